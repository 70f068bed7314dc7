"""Measures the pace of an engine from its consecutive statuses.

The load: engines of one service work at different speeds, and each has phases
of some hundred milliseconds in which its work takes more than twice as long.
Entries that take all engines to be alike send the slow ones as much as the
fast ones, and what runs there is late. So agents measure the time of a
decoding step and the time to prefill prompts.

A running generation gains one token a step. While a prompt is prefilled, steps
take longer, since a part of the prompt is processed in each of them. So steps
are measured apart with and without a prompt in prefill, and the former are
divided by the usual ratio of the two. Otherwise an engine that prefills much
would look slow.

The prefill time is measured from the prompts that finish while there is always
one in prefill: the memory of a generation at its first sight gives the length
of its prompt exactly. The decrease of the estimated backlog is less robust: it
counts a prompt in progress as a whole, takes all waiting prompts to be as long
as the first, and can't tell arrivals from slowness. An engine that can't start
on waiting prompts, for lack of memory, is not slow, and no time counts then.
"""

import math
import typing

from gentianpoint_core import ports

__all__ = ("EnginePace", "Pace")

_HALF_LIFE_S: typing.Final = 1.0
"""Time in seconds after which a sample counts half. A phase of slowness of
600 ms shows before it ends, and is mostly forgotten two seconds after it."""
_USUAL_HALF_LIFE_S: typing.Final = 20.0
"""Half-life in seconds of the usual pace, which an idle engine returns to. It
covers several phases of slowness, which come every four seconds."""
_MIN_INTERVAL_S: typing.Final = 0.05
"""Least time between two statuses that are compared, in seconds. A shorter one
holds so few steps that a whole number of them is far off."""
_MAX_INTERVAL_S: typing.Final = 1.0
"""Longest time between two statuses that are compared, in seconds. After a
longer one it is not known what the engine did in between."""
_MIN_STEPS: typing.Final = 4
"""Least steps in a sample, unless it has become long: of four steps, the one
that is cut off at the ends is a quarter."""
_LONG_SAMPLE_S: typing.Final = 0.5
"""Time in seconds after which a sample ends with any number of steps."""
_MIN_SAMPLES: typing.Final = 2
"""Samples before which a pace is unknown. A prompt counts as one for each
interval between statuses in which it was in prefill."""
_MAX_RATIO: typing.Final = 4.0
"""Largest ratio of steps with and without a prompt in prefill. A larger one is
due to a phase of slowness."""
_NEAR: typing.Final = 1.3
"""Ratio to the mean at which samples for the ratio are cut off. A phase of
slowness may be seen with a prompt in prefill, or without, alone."""
_LEAST_TELLING_RATIO: typing.Final = 1.2
"""Ratio from which the steps between two statuses tell for how long a prompt
was in prefill."""
_MAX_FIRST_EVENTS: typing.Final = 12
"""Most events of a generation that has just finished its prefill. One with
more has been moved here with its memory."""
_MIN_US: typing.Final = 10
_MAX_US: typing.Final = 60_000_000
"""Bounds of a pace in microseconds; no engine is faster or slower, so that a
status which says so is wrong."""


class Pace(typing.NamedTuple):
    """The pace of an engine."""

    step_us: int = 0
    """Time of a decoding step without a prompt in prefill, in microseconds;
    0 if unknown."""
    prefill_us_per_k: int = 0
    """Time to prefill a thousand prompt tokens, with the decoding steps in
    between, in microseconds; 0 if unknown."""


class _Average:
    """An exponential mean of samples, weighted by the time that they cover."""

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s: typing.Final = half_life_s
        self._weight = 0.0
        self.value = 0.0
        self.samples = 0
        self.changed_at = -math.inf

    def add(
        self, value: float, length_s: float, now: float, samples: int = 1
    ) -> None:
        """Add samples that cover the last ``length_s`` seconds together.

        They also stand for a short time before in which there were none, as
        while a prompt came and went.
        """
        idle_s = now - self.changed_at
        length_s = max(length_s, min(idle_s, _LONG_SAMPLE_S))
        left = self._weight * math.pow(0.5, idle_s / self._half_life_s)
        added = 1 - math.pow(0.5, length_s / self._half_life_s)
        self._weight = left + added
        self.value += (value - self.value) * added / self._weight
        self.samples += samples
        self.changed_at = now

    def add_near(self, value: float, length_s: float, now: float) -> None:
        """Add a sample that moves the mean by a few percent at most."""
        if self.samples >= _MIN_SAMPLES:
            value = min(max(value, self.value / _NEAR), self.value * _NEAR)
        self.add(value, length_s, now)


class _Quantity:
    """One time in microseconds: its present value and its usual one."""

    def __init__(self) -> None:
        self._present: typing.Final = _Average(_HALF_LIFE_S)
        self._usual: typing.Final = _Average(_USUAL_HALF_LIFE_S)

    def add(
        self, value: float, length_s: float, now: float, samples: int = 1
    ) -> None:
        """Add samples, unless they can't be true."""
        if _MIN_US <= value <= _MAX_US:
            self._present.add(value, length_s, now, samples)
            self._usual.add(value, length_s, now, samples)

    def find(self, now: float) -> float:
        """Return the value, 0 if unknown.

        Without samples it returns to the usual one, since an engine that was
        found slow and gets no work could not show that it no longer is.
        """
        if self._present.samples < _MIN_SAMPLES:
            return 0.0
        idle_s = now - self._present.changed_at
        share = math.pow(0.5, idle_s / _HALF_LIFE_S)
        usual = self._usual.value
        return usual + (self._present.value - usual) * min(1.0, share)


class EnginePace:
    """Follows the statuses of one engine, and resets when it restarts."""

    def __init__(self) -> None:
        """Start with an unknown pace."""
        self._born_ms = 0
        self._reset()

    def _reset(self) -> None:
        self._steps = _Quantity()
        self._prefill = _Quantity()
        self._plain_steps = _Average(_USUAL_HALF_LIFE_S)
        self._prefill_steps = _Average(_USUAL_HALF_LIFE_S)
        self._last: typing.Optional[ports.EngineStatus] = None
        self._last_at = -math.inf
        # The status with which the sample of steps under way began, and
        # whether prompts were in prefill in all, or in none, of those since.
        self._first: typing.Optional[ports.EngineStatus] = None
        self._first_at = -math.inf
        self._is_prefilling = False
        # Since when prompts have been in prefill without a break, and none
        # has finished; in how many intervals; and whether the prompt that
        # was the first one then was seen from its beginning.
        self._prefilling_since: typing.Optional[float] = None
        self._intervals = 0
        self._is_whole = False

    def measure(self, now: float) -> Pace:
        """Return the pace at ``now``, in seconds on a monotonic clock."""
        return Pace(
            round(self._steps.find(now)), round(self._prefill.find(now))
        )

    def note_status(self, status: ports.EngineStatus, now: float) -> None:
        """Take a status that was read at ``now``, on the same clock."""
        last = self._last
        if last is not None and status.born_ms != last.born_ms:
            self._reset()
            last = None
        elapsed_s = now - self._last_at
        if last is not None and elapsed_s < _MIN_INTERVAL_S:
            return
        self._last = status
        self._last_at = now
        if last is None or elapsed_s > _MAX_INTERVAL_S:
            self._begin_steps(status, now)
            self._begin_prefill(status, now, is_whole=False)
            return
        self._note_prefill(last, status, elapsed_s, now)
        self._note_steps(last, status, now)

    def _begin_steps(self, status: ports.EngineStatus, now: float) -> None:
        self._first = status
        self._first_at = now
        self._is_prefilling = _is_prefilling(status)

    def _note_steps(
        self, last: ports.EngineStatus, status: ports.EngineStatus, now: float
    ) -> None:
        first = self._first
        assert first is not None
        is_mixed = _is_prefilling(status) != self._is_prefilling
        if not self._is_prefilling:
            # A prompt may have been prefilled between the two statuses.
            is_mixed = is_mixed or bool(_list_new(last, status))
        steps = _count_steps(first, status)
        if is_mixed or steps is None or steps < 0:
            self._begin_steps(status, now)
            return
        length_s = now - self._first_at
        if steps < _MIN_STEPS and length_s < _LONG_SAMPLE_S:
            return
        length_us = length_s * 1e6
        if steps <= length_us / _MIN_US:
            self._add_steps(length_us / max(1, steps), length_s, now)
        self._begin_steps(status, now)

    def _add_steps(self, step_us: float, length_s: float, now: float) -> None:
        if not self._is_prefilling:
            self._plain_steps.add_near(step_us, length_s, now)
            self._steps.add(step_us, length_s, now)
            return
        self._prefill_steps.add_near(step_us, length_s, now)
        ratio = self._find_ratio()
        if ratio:
            self._steps.add(step_us / ratio, length_s, now)

    def _begin_prefill(
        self, status: ports.EngineStatus, began: float, *, is_whole: bool
    ) -> None:
        self._prefilling_since = began if _is_prefilling(status) else None
        self._intervals = 0
        self._is_whole = is_whole

    def _note_prefill(
        self,
        last: ports.EngineStatus,
        status: ports.EngineStatus,
        elapsed_s: float,
        now: float,
    ) -> None:
        since = self._prefilling_since
        if since is None:
            part_s = self._estimate_prefill_s(last, status, elapsed_s, now)
            self._begin_prefill(status, now - part_s, is_whole=True)
            return
        self._intervals += 1
        tokens = _count_prefilled(last, status)
        if not tokens and _is_prefilling(status):
            return
        ended = now - elapsed_s / 2
        if not _is_prefilling(status):
            part_s = self._estimate_prefill_s(last, status, elapsed_s, now)
            ended = now - elapsed_s + part_s
        length_s = ended - since
        if (
            self._is_whole
            and length_s > 0
            and 0 < tokens <= length_s * 1e9 / _MIN_US
        ):
            value = length_s * 1e9 / tokens
            self._prefill.add(value, length_s, now, self._intervals)
        self._begin_prefill(status, ended, is_whole=True)

    def _estimate_prefill_s(
        self,
        last: ports.EngineStatus,
        status: ports.EngineStatus,
        elapsed_s: float,
        now: float,
    ) -> float:
        """Return for how long a prompt was in prefill between two statuses.

        The prompt was so at one of them alone. The fewer steps there were, the
        longer it was; if that can't be told, it was half of the time.
        """
        steps = _count_steps(last, status)
        step_s = self._steps.find(now) / 1e6
        ratio = self._find_ratio()
        if steps is None or ratio <= _LEAST_TELLING_RATIO or not step_s:
            return elapsed_s / 2
        longer = elapsed_s / step_s - min(steps, elapsed_s * 1e6)
        part = longer * step_s * ratio / (ratio - 1)
        return min(elapsed_s, max(0.0, part))

    def _find_ratio(self) -> float:
        """Return how much longer steps with a prompt are; 0 if unknown."""
        if (
            self._plain_steps.samples < _MIN_SAMPLES
            or not self._prefill_steps.samples
        ):
            return 0.0
        ratio = self._prefill_steps.value / self._plain_steps.value
        return min(_MAX_RATIO, max(1.0, ratio))


def _is_prefilling(status: ports.EngineStatus) -> bool:
    return status.running > status.generating


def _list_new(
    last: ports.EngineStatus, status: ports.EngineStatus
) -> list[ports.EngineRun]:
    """Return the generations that are in the later status alone."""
    known = {run.request_id for run in last.runs}
    return [run for run in status.runs if run.request_id not in known]


def _count_steps(
    first: ports.EngineStatus, status: ports.EngineStatus
) -> typing.Optional[int]:
    """Return the growth of the generation that grew most; None without one."""
    known = {run.request_id: run.tokens for run in first.runs}
    return max(
        (
            run.tokens - known[run.request_id]
            for run in status.runs
            if run.request_id in known
        ),
        default=None,
    )


def _count_prefilled(
    last: ports.EngineStatus, status: ports.EngineStatus
) -> int:
    """Return the tokens of the prompts that finished between two statuses.

    A short generation may have ended before it was seen. Then fewer prompts
    are unfinished than before, by more than generations are new, and each is
    taken to be as long as the next one that waited.
    """
    new = _list_new(last, status)
    tokens = sum(
        max(0, run.tokens) for run in new if run.events <= _MAX_FIRST_EVENTS
    )
    finished = _count_unfinished(last) - _count_unfinished(status)
    unseen = max(0, finished - len(new))
    in_progress = last.running - last.generating
    memory = last.used_tokens - last.copy_tokens - last.generating_tokens
    size = max(0, memory) // max(1, in_progress) or last.next_prompt_tokens
    return tokens + unseen * max(0, size)


def _count_unfinished(status: ports.EngineStatus) -> int:
    return status.waiting + status.running - status.generating

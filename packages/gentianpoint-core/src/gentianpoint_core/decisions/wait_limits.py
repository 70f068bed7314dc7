"""Decides how long a request may wait for room, and when it is refused.

The load: short generations with a near objective come in a burst while long
ones hold the memory of all engines. A request waits while its first event can
still be on time. After that it goes behind all that can still be on time, and
waits on only while its response can be complete before its deadline, since a
late response is worth less than one on time but more than none. If room is
expected later than that, it is refused at once, so that its caller can come
back when there is room.

All times are in seconds on the caller's clock, and so are the results.
"""

from collections import abc
import heapq
import math
import typing

__all__ = (
    "DEFAULT_PREFILL_US_PER_K",
    "DEFAULT_STEP_US",
    "Pace",
    "WaitLimits",
    "find_limits",
    "find_opening",
    "is_retry",
    "may_refuse",
    "predict_events_s",
    "predict_first_event_s",
)

DEFAULT_PREFILL_US_PER_K: typing.Final = 143_000
"""Time to prefill a thousand prompt tokens, in microseconds, where it is not
known. Chunks of 112 tokens take 8 ms at 14 tokens a millisecond, and the step
after each takes as long again."""
DEFAULT_STEP_US: typing.Final = 8_000
"""Time of a decoding step in microseconds, where it is not known: 7 ms, and
0.12 ms for each of eight running generations."""
_RETRY_SHARE: typing.Final = 0.9
"""Share of the route's time limit below which a caller's remaining time shows
that it has spent some on an earlier attempt."""
_MAX_EXACT_OPENINGS: typing.Final = 32
"""Openings ahead that are looked up one by one; later ones are estimated, so
that a decision takes as long with a long queue."""
_MIN_SLOT_SHARE: typing.Final = 0.5
"""Share of the slots that has to be taken before a request is refused."""


class Pace(typing.NamedTuple):
    """How fast a target works, as far as it is known."""

    unread_tokens: int = 0
    """Prompt tokens that it has yet to process."""
    prefill_us_per_k: int = 0
    """Time to prefill a thousand tokens, in microseconds; 0 if unknown."""
    step_us: int = 0
    """Time of a decoding step, in microseconds; 0 if unknown."""


class WaitLimits(typing.NamedTuple):
    """Until when it is of use to its caller that a request waits."""

    on_time_until: float
    """Last moment at which its first event can still be on time."""
    useful_until: float
    """Last moment at which its response can be complete in time."""

    def is_late(self, now: float) -> bool:
        """Tell whether the first event can't be on time any more.

        >>> WaitLimits(1.0, 4.0).is_late(0.5)
        False
        """
        return now > self.on_time_until


def predict_first_event_s(pace: Pace, prompt_tokens: int) -> float:
    """Return the seconds from sending a request to its first event.

    >>> predict_first_event_s(Pace(unread_tokens=1000), 1000)
    0.286
    """
    us_per_k = pace.prefill_us_per_k or DEFAULT_PREFILL_US_PER_K
    return (pace.unread_tokens + prompt_tokens) * us_per_k / 1e9


def predict_events_s(pace: Pace, output_tokens: int) -> float:
    """Return the seconds from the first event to the end of a response.

    >>> predict_events_s(Pace(step_us=10_000), 100)
    1.0
    """
    return output_tokens * (pace.step_us or DEFAULT_STEP_US) / 1e6


def find_limits(
    received_at: float,
    objective_ms: float,
    deadline_at: float,
    first_event_s: float,
    response_s: float,
) -> WaitLimits:
    """Return until when a request may wait.

    ``objective_ms`` is the time within which its first event is on time, 0 if
    there is none. The last two arguments are the predicted seconds from
    sending it to its first event and to its end.

    >>> find_limits(10.0, 1500.0, 16.0, 0.5, 1.0)
    WaitLimits(on_time_until=11.0, useful_until=15.0)
    """
    useful_until = deadline_at - response_s
    on_time_until = useful_until
    if objective_ms:
        on_time_until = received_at + objective_ms / 1000 - first_event_s
    return WaitLimits(min(on_time_until, useful_until), useful_until)


def is_retry(left_ms: float, timeout_ms: float) -> bool:
    """Tell whether a request comes back after a refusal.

    ``left_ms`` is the time that its caller had left when it came, and
    ``timeout_ms`` what the route allows, 0 for no limit. Callers keep the
    deadline of their first attempt.

    >>> is_retry(4000, 6000), is_retry(6000, 6000), is_retry(4000, 0)
    (True, False, False)
    """
    return left_ms < _RETRY_SHARE * timeout_ms


def find_opening(
    openings: abc.Collection[float], targets: int, ahead: int, now: float
) -> float:
    """Return when room is expected for a request; infinite if unknown.

    ``openings`` are the times at which agents expect room at their targets,
    of which there are ``targets`` in all. ``ahead`` other requests get room
    before. Targets whose opening is not known count like the others, and each
    is taken to open again after the same time.

    >>> find_opening([1.0, 3.0], 2, 0, 0.0)
    1.0
    >>> find_opening([1.0, 3.0], 2, 2, 0.0)
    3.0
    >>> find_opening([1.0], 4, 7, 0.0)
    2.0
    >>> find_opening([], 2, 0, 0.0)
    inf
    """
    known = [(at, at - now) for at in openings if now < at < math.inf]
    if not known:
        return math.inf
    rank = ahead * len(known) // max(targets, len(known))
    looked_up = min(rank, _MAX_EXACT_OPENINGS)
    heapq.heapify(known)
    for _ in range(looked_up):
        at, interval_s = known[0]
        heapq.heapreplace(known, (at + interval_s, interval_s))
    return now + (known[0][0] - now) * (rank + 1) / (looked_up + 1)


def may_refuse(taken_slots: int, slots: int, waiting: int) -> bool:
    """Tell whether a request may be refused for want of room.

    ``taken_slots`` of all ``slots`` of its targets are taken, and ``waiting``
    requests wait there. The forecasts of memory can be wrong, and a caller
    that sees idle slots must not be refused because of one.

    >>> may_refuse(5, 16, 0), may_refuse(8, 16, 0), may_refuse(5, 16, 1)
    (False, True, True)
    """
    return waiting > 0 or taken_slots >= _MIN_SLOT_SHARE * slots

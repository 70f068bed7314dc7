"""Learns from an engine's reports how long its generations become.

The load: generations of very different lengths share an engine's memory, and
nothing says at their start how long they will be. Those of one urgency are
similar, so each urgency has a distribution of its own, with that of all
generations as the prior.

A generation that is no longer listed has ended. If it was moved to another
engine, or its engine leaves, the length so far is only a lower bound. One that
was preempted is listed again after its second prefill, so while the engine has
requests that it has not begun, an end counts only after some time.
"""

from collections import abc
import typing

from gentianpoint_core.decisions import length_distributions

__all__ = ("RunLength", "RunLengths")

_MAX_FOLLOWED: typing.Final = 512
"""Most generations whose lengths are followed at the same time; an engine runs
some dozens."""
_MAX_MOVED: typing.Final = 256
"""Most generations that are remembered as moving."""
_PREEMPTED_S: typing.Final = 3.0
"""Time in seconds after which a generation that is not listed has ended, and
was not preempted. Its second prefill takes less, also behind others."""
_MAX_PAUSE_S: typing.Final = 1.0
"""Time between two reports, in seconds, above which the lengths at the first
one say nothing on the ends between them."""


class RunLength(typing.NamedTuple):
    """Length of a listed generation."""

    urgency: int
    """Urgency that the engine was told."""
    tokens: int
    """Tokens generated so far."""
    is_limited: bool
    """True if it has reached the limit of its response."""
    is_whole: bool
    """True if it began at this engine."""


class _Followed:
    """A generation that has been listed and has not ended."""

    def __init__(self, run: RunLength) -> None:
        self.run = run
        self.gained = run.tokens if run.is_whole else 0
        # One that began elsewhere says nothing on shorter ones.
        self.bin = (
            0 if run.is_whole else length_distributions.find_bin(run.tokens)
        )
        self.missing_since: typing.Optional[float] = None


class RunLengths:
    """Distributions of the lengths of one engine's generations, in tokens."""

    def __init__(self) -> None:
        """Start without observations."""
        self.all: typing.Final = length_distributions.LengthDistribution()
        self._by_urgency: typing.Final[
            dict[int, length_distributions.LengthDistribution]
        ] = {}
        self._followed: typing.Final[dict[str, _Followed]] = {}
        self._moved: typing.Final[dict[str, None]] = {}
        self._reported_at: typing.Optional[float] = None

    def find_distribution(
        self, urgency: int
    ) -> length_distributions.LengthDistribution:
        """Return the distribution for an urgency from 0 to 9."""
        urgency = min(max(urgency, 0), 9)
        found = self._by_urgency.get(urgency)
        if found is None:
            found = length_distributions.LengthDistribution(self.all)
            self._by_urgency[urgency] = found
        return found

    def is_followed(self, request_id: str) -> bool:
        """Tell whether a generation has been listed and has not ended."""
        return request_id in self._followed

    def count_followed(self) -> int:
        """Return the number of generations that are followed."""
        return len(self._followed)

    def note_move(self, request_id: str) -> None:
        """Record that a generation is about to move to another engine."""
        self._moved[request_id] = None
        if len(self._moved) > _MAX_MOVED:
            del self._moved[next(iter(self._moved))]

    def note_unlisted_end(self, urgency: int, tokens: int) -> None:
        """Count a generation that ended before any report listed it.

        Without these, an urgency whose generations end between two reports
        would count only those that are long enough to be seen.
        """
        self._count_end(urgency, length_distributions.find_bin(tokens), 0)

    def note_report(
        self,
        runs: abc.Mapping[str, RunLength],
        now: float,
        *,
        is_leaving: bool,
        may_return: bool,
    ) -> None:
        """Learn from the generations that a report lists, by request.

        ``is_leaving`` tells that the engine is about to end; ``may_return``
        that a generation which is not listed may have been preempted.
        """
        last = self._reported_at
        is_cut_off = is_leaving or (
            last is not None and now - last > _MAX_PAUSE_S
        )
        self._reported_at = now
        for request_id, run in runs.items():
            self._follow(request_id, run)
        missing = [key for key in self._followed if key not in runs]
        for request_id in missing:
            followed = self._followed[request_id]
            if followed.missing_since is None:
                followed.missing_since = now
            if is_cut_off or request_id in self._moved:
                self._drop(request_id)
            elif not may_return or now >= (
                followed.missing_since + _PREEMPTED_S
            ):
                self._end(followed)
                self._drop(request_id)

    def _follow(self, request_id: str, run: RunLength) -> None:
        followed = self._followed.get(request_id)
        if followed is None:
            if len(self._followed) >= _MAX_FOLLOWED:
                return
            followed = self._followed[request_id] = _Followed(run)
        else:
            followed.missing_since = None
            followed.gained = max(0, run.tokens - followed.run.tokens)
            followed.run = run
        reached = length_distributions.find_bin(run.tokens)
        if reached > followed.bin:
            self._count_survived(run.urgency, followed.bin, reached)
            followed.bin = reached

    def _end(self, followed: _Followed) -> None:
        run = followed.run
        if run.is_limited:
            return
        # The end was between two reports: on average half of what was
        # generated between the last two came after the last one.
        tokens = run.tokens + followed.gained // 2
        self._count_end(
            run.urgency, length_distributions.find_bin(tokens), followed.bin
        )

    def _count_survived(self, urgency: int, first: int, end: int) -> None:
        for distribution in (self.all, self.find_distribution(urgency)):
            for index in range(first, end):
                distribution.add_survivor(index)

    def _count_end(self, urgency: int, last: int, first: int) -> None:
        self._count_survived(urgency, first, last)
        for distribution in (self.all, self.find_distribution(urgency)):
            distribution.add_end(last)

    def _drop(self, request_id: str) -> None:
        self._followed.pop(request_id, None)
        self._moved.pop(request_id, None)

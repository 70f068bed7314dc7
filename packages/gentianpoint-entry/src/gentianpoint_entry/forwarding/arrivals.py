"""The rate at which requests arrive at this entry."""

import collections
import typing

__all__ = ("ArrivalRate",)

_WINDOW_S: typing.Final = 5.0
"""Seconds over which arrivals are counted, unless others are given: long
enough for a mean at an entry with one in two seconds, and short enough to
follow a burst."""


class ArrivalRate:
    """Counts arrivals over a sliding window."""

    def __init__(self, window_s: float = _WINDOW_S) -> None:
        """Start without arrivals; count them over ``window_s`` seconds."""
        self._window_s: typing.Final = window_s
        self._times: typing.Final[collections.deque[float]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        """Return how many arrivals are remembered."""
        return len(self._times)

    def note(self, now: float) -> None:
        """Count an arrival."""
        self._forget_old(now)
        self._times.append(now)

    def measure_per_s(self, now: float) -> float:
        """Return how many arrive a second."""
        self._forget_old(now)
        return len(self._times) / self._window_s

    def _forget_old(self, now: float) -> None:
        while self._times and self._times[0] <= now - self._window_s:
            self._times.popleft()

"""Limits how often all entries together send requests once more.

If a service's targets fail or refuse, each request would be sent several
times, by every entry, just when the service can bear that least. The limit
holds for the sum of all entries over a sliding window, and each entry keeps to
its share without coordination. The part that grows with requests is counted on
the entry's own requests, which add up to those of all. The constant part is
divided by the number of entries.

An entry that has just started does not know what its previous run has spent.
It gets its share of the constant part only when that has left the window, and
when it knows how many entries share it.
"""

import collections
import typing

from gentianpoint_core import deadlines

__all__ = ("RetryLimits",)

_USED_SHARE: typing.Final = 0.8
"""Share of the limit that is used. Arrivals are counted at targets, later than
here, so a window there may hold a few more than one here."""


class _SlidingWindow:
    """Times of one kind of event, over a sliding window."""

    def __init__(self, window_s: float) -> None:
        self._window_s: typing.Final = window_s
        self._times: typing.Final[collections.deque[float]] = (
            collections.deque()
        )

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, now: float) -> int:
        while self._times and self._times[0] <= now - self._window_s:
            self._times.popleft()
        return len(self._times)


class RetryLimits:
    """The retries that this entry may make, for each service."""

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        """Allow all entries ``ratio`` retries a request plus ``slack``."""
        self._ratio: typing.Final = ratio
        self._window_s: typing.Final = window_s
        self._slack: typing.Final = slack
        self._started_at = deadlines.NEVER
        self._requests: typing.Final[dict[str, _SlidingWindow]] = {}
        self._retries: typing.Final[dict[str, _SlidingWindow]] = {}

    def note_start(self, now: float) -> None:
        """Record that this entry has just started."""
        self._started_at = now

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        self._find_window(self._requests, service).add(now)

    def take_retry(self, service: str, now: float, entry_count: int) -> bool:
        """Take one retry; return False if this entry's share is spent.

        ``entry_count`` is 0 while the number of entries is not known.
        """
        requests = self._find_window(self._requests, service).count(now)
        retries = self._find_window(self._retries, service)
        allowed = self._ratio * requests
        if entry_count and now - self._started_at >= self._window_s:
            allowed += self._slack / entry_count
        if retries.count(now) + 1 > allowed * _USED_SHARE:
            return False
        retries.add(now)
        return True

    def _find_window(
        self, windows: dict[str, _SlidingWindow], service: str
    ) -> _SlidingWindow:
        if service not in windows:
            windows[service] = _SlidingWindow(self._window_s)
        return windows[service]

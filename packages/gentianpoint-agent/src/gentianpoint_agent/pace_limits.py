"""The engine's pace, and how many streams may share it.

Time between tokens grows with the number of streams in a batch. The limit
rises while the slower tokens come within a factor of the pace of the nearly
empty engine, and falls by a tenth when they don't: additive increase and
multiplicative decrease, as in congestion control.
"""

import itertools
import math
import typing

__all__ = ("PaceLimit", "PaceMeter", "WindowPace")

_BUCKETS_PER_DOUBLING: typing.Final = 8
_LEAST_GAP_MS: typing.Final = 0.1
_BUCKETS: typing.Final = 160
_LEAST_GAPS: typing.Final = 20
_SLOW_SHARE: typing.Final = 0.9

_FIRST_LIMIT: typing.Final = 16.0
_LEAST_LIMIT: typing.Final = 4.0
_QUICK_RISE: typing.Final = 1.25
_SLOW_RISE: typing.Final = 1.03
_CUT: typing.Final = 0.9
_USED_SHARE: typing.Final = 0.9
_BASE_RISE: typing.Final = 1.01
_SHORT_ROOM: typing.Final = 1.125


class WindowPace(typing.NamedTuple):
    """Times between tokens of all streams over a short while."""

    mean_ms: float
    """Mean gap, which bursts on the way don't change, milliseconds."""
    median_ms: float
    """Half of the gaps are at most this long, milliseconds."""
    slow_ms: float
    """Nine in ten gaps are at most this long, milliseconds."""


class PaceMeter:
    """Counts gaps in buckets on a log scale; a gap costs one addition."""

    def __init__(self) -> None:
        """Count nothing yet."""
        self._counts = [0] * _BUCKETS
        self._total = 0
        self._sum_ms = 0.0

    def clear(self) -> None:
        """Forget the gaps counted so far."""
        self._counts = [0] * _BUCKETS
        self._total = 0
        self._sum_ms = 0.0

    def note_gap(self, gap_ms: float) -> None:
        """Count the time between two tokens of a stream."""
        doublings = math.log2(max(gap_ms, _LEAST_GAP_MS) / _LEAST_GAP_MS)
        place = int(doublings * _BUCKETS_PER_DOUBLING)
        self._counts[min(place, _BUCKETS - 1)] += 1
        self._total += 1
        self._sum_ms += gap_ms

    def close_window(self) -> typing.Optional[WindowPace]:
        """Return the pace since the last window and begin another.

        With too few gaps there is none, and the window goes on.
        """
        if self._total < _LEAST_GAPS:
            return None
        pace = WindowPace(
            self._sum_ms / self._total,
            self._find_quantile(0.5),
            self._find_quantile(_SLOW_SHARE),
        )
        self.clear()
        return pace

    def _find_quantile(self, share: float) -> float:
        wanted = share * self._total
        seen = itertools.accumulate(self._counts)
        place = next(
            place for place, count in enumerate(seen) if count >= wanted
        )
        middle = (place + 0.5) / _BUCKETS_PER_DOUBLING
        return float(_LEAST_GAP_MS * 2**middle)


class PaceLimit:
    """How many streams may run, by the pace that they get."""

    def __init__(self) -> None:
        """Begin with few streams."""
        self._base_ms = math.inf
        self._limit = _FIRST_LIMIT
        self._was_cut = False

    def forget(self) -> None:
        """Begin anew: the engine was restarted or has another model."""
        self._base_ms = math.inf
        self._limit = _FIRST_LIMIT
        self._was_cut = False

    def get_limit(self) -> int:
        """Return the most streams that may run."""
        return int(self._limit)

    def update(self, pace: WindowPace, running: int, factor: float) -> None:
        """Follow the pace of a window in which ``running`` streams ran.

        The slower gaps may be up to ``factor`` times the base pace.
        """
        self._base_ms = min(self._base_ms, pace.mean_ms)
        if pace.slow_ms > factor * self._base_ms:
            self._cut(running)
        elif running >= _USED_SHARE * self._limit:
            rise = _SLOW_RISE if self._was_cut else _QUICK_RISE
            self._limit = max(self._limit + 1, self._limit * rise)

    def _cut(self, running: int) -> None:
        self._was_cut = True
        lower = min(self._limit, float(running)) * _CUT
        self._limit = max(_LEAST_LIMIT, lower)
        if self._limit <= _LEAST_LIMIT:
            # With this few streams the engine is not crowded, it has become
            # slow: throttling for ever would only waste it. Seen as a limit
            # that never rises again while calls queue.
            self._base_ms *= _BASE_RISE

    def allows(self, running: int, *, is_short: bool) -> bool:
        """Tell whether one more may run; short ones have a little room."""
        limit = self._limit * _SHORT_ROOM if is_short else self._limit
        return running < limit

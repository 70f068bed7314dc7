"""The engine's pace, and the number of streams that may share it.

The time between tokens grows with the number of streams in a batch. The
limit rises while the slower tokens come within a factor of the pace of the
nearly empty engine, and falls by a tenth when they don't: additive increase
and multiplicative decrease, as in congestion control.
"""

import itertools
import math
import typing

__all__ = ("PaceLimit", "PaceMeter", "WindowPace")

_BUCKETS_PER_DOUBLING: typing.Final = 8
"""Number of histogram buckets from one gap to its double."""
_MIN_GAP_MS: typing.Final = 0.1
"""Lower end of the first bucket, milliseconds."""
_BUCKETS: typing.Final = 160
"""Number of histogram buckets."""
_MIN_GAPS: typing.Final = 20
"""Minimum number of gaps in a window."""
_SLOW_QUANTILE: typing.Final = 0.9
"""Quantile of the gaps that the limit keeps within bounds."""

_INITIAL_LIMIT: typing.Final = 16.0
"""Number of streams allowed at first."""
_MIN_LIMIT: typing.Final = 4.0
"""Lowest limit, in streams."""
_FAST_INCREASE: typing.Final = 1.25
"""Factor by which the limit rises until it is first reduced."""
_SLOW_INCREASE: typing.Final = 1.03
"""Factor by which it rises after that."""
_DECREASE: typing.Final = 0.9
"""Factor by which the limit is reduced."""
_USED_SHARE: typing.Final = 0.9
"""Share of the limit that must be in use for it to rise."""
_BASELINE_INCREASE: typing.Final = 1.01
"""Factor by which the baseline gap rises while the limit is the lowest."""
_SHORT_HEADROOM: typing.Final = 1.125
"""Factor of the limit up to which short calls may start."""


class WindowPace(typing.NamedTuple):
    """Times between tokens of all streams within one window."""

    mean_ms: float
    """Mean gap, which doesn't depend on bursts in transit, milliseconds."""
    median_ms: float
    """Median gap, milliseconds."""
    slow_ms: float
    """90th percentile of the gaps, milliseconds."""


class PaceMeter:
    """Counts gaps in log-spaced buckets; a gap costs one addition."""

    def __init__(self) -> None:
        """Start with an empty window."""
        self._counts = [0] * _BUCKETS
        self._total = 0
        self._sum_ms = 0.0

    def clear(self) -> None:
        """Drop the gaps counted so far."""
        self._counts = [0] * _BUCKETS
        self._total = 0
        self._sum_ms = 0.0

    def note_gap(self, gap_ms: float) -> None:
        """Count the time between two tokens of a stream."""
        doublings = math.log2(max(gap_ms, _MIN_GAP_MS) / _MIN_GAP_MS)
        bucket = int(doublings * _BUCKETS_PER_DOUBLING)
        self._counts[min(bucket, _BUCKETS - 1)] += 1
        self._total += 1
        self._sum_ms += gap_ms

    def close_window(self) -> typing.Optional[WindowPace]:
        """Return the pace of the current window and start a new one.

        With too few gaps it returns None, and the window stays open.
        """
        if self._total < _MIN_GAPS:
            return None
        pace = WindowPace(
            self._sum_ms / self._total,
            self._find_quantile(0.5),
            self._find_quantile(_SLOW_QUANTILE),
        )
        self.clear()
        return pace

    def _find_quantile(self, share: float) -> float:
        rank = share * self._total
        cumulative = itertools.accumulate(self._counts)
        bucket = next(
            index for index, count in enumerate(cumulative) if count >= rank
        )
        middle = (bucket + 0.5) / _BUCKETS_PER_DOUBLING
        return float(_MIN_GAP_MS * 2**middle)


class PaceLimit:
    """Maximum number of running streams, by the pace that they get."""

    def __init__(self) -> None:
        """Start with a low limit."""
        self._baseline_ms = math.inf
        self._limit = _INITIAL_LIMIT
        self._was_reduced = False

    def reset(self) -> None:
        """Start again, after a restart of the engine or a change of model."""
        self._baseline_ms = math.inf
        self._limit = _INITIAL_LIMIT
        self._was_reduced = False

    def get_limit(self) -> int:
        """Return the maximum number of running streams."""
        return int(self._limit)

    def update(self, pace: WindowPace, running: int, factor: float) -> None:
        """Adjust the limit to a window in which ``running`` streams ran.

        The slower gaps may be up to ``factor`` times the baseline gap, which
        is the lowest mean gap of any window.
        """
        self._baseline_ms = min(self._baseline_ms, pace.mean_ms)
        if pace.slow_ms > factor * self._baseline_ms:
            self._reduce(running)
        elif running >= _USED_SHARE * self._limit:
            rise = _SLOW_INCREASE if self._was_reduced else _FAST_INCREASE
            self._limit = max(self._limit + 1, self._limit * rise)

    def _reduce(self, running: int) -> None:
        self._was_reduced = True
        lower = min(self._limit, float(running)) * _DECREASE
        self._limit = max(_MIN_LIMIT, lower)
        if self._limit <= _MIN_LIMIT:
            # With this few streams the engine is not overloaded: it has
            # become slower. Without raising the baseline, the limit would
            # stay at its minimum for ever while calls queue.
            self._baseline_ms *= _BASELINE_INCREASE

    def allows(self, running: int, *, is_short: bool) -> bool:
        """Return whether one more may run; short calls get some headroom."""
        limit = self._limit * _SHORT_HEADROOM if is_short else self._limit
        return running < limit

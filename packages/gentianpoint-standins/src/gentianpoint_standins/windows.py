"""Counts events in sliding windows."""

from collections import abc

__all__ = ("count_most",)


def count_most(times: abc.Sequence[float], window_s: float) -> int:
    """Return the most of the sorted times that lie within any window.

    Of two times exactly a window apart only one counts.

    >>> count_most([0.0, 0.5, 1.0, 1.2], 1.0)
    3
    """
    most = 0
    first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most

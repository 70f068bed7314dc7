"""How much of what requests are worth was lost, by route and cause.

The commonest cause may cost little: short answers are many, and a long one
that is lost is worth more than all of them. Operators say what an answer of a
route is worth; a generation weighs by its size against the mean of its route.
"""

import collections
from collections import abc
import statistics
import typing

from gentianpoint_entry import loss_summary

__all__ = ("Worth", "parse_worth", "weigh_losses")

_FIXED_SHARE: typing.Final = 0.3
"""Share of a generation's worth that does not grow with its size."""
_MOST_TIMES: typing.Final = 4.0
"""Times the worth of its route that a generation counts at most."""
_LATE: typing.Final = frozenset(
    (
        loss_summary.Cause.LATE_MOVE,
        loss_summary.Cause.LATE_PAUSE,
        loss_summary.Cause.LATE_TRIES,
        loss_summary.Cause.LATE_FIRST,
    )
)


class Worth(typing.NamedTuple):
    """What a request of one route is worth to its caller."""

    on_time: float
    """Worth of an answer in time."""
    late: float
    """Worth of a late answer."""


def parse_worth(text: str) -> tuple[str, Worth]:
    """Return a route and its worth from ``ROUTE=ON_TIME[,LATE]``.

    >>> parse_worth("reports=160,24")
    ('reports', Worth(on_time=160.0, late=24.0))
    """
    route, _, figures = text.rpartition("=")
    on_time, _, late = figures.partition(",")
    if not route:
        raise ValueError(f"{text!r} names no route")
    return route, Worth(float(on_time), float(late or 0))


def weigh_losses(
    judged: abc.Iterable[loss_summary.JudgedRequest],
    worths: abc.Mapping[str, Worth],
) -> abc.Mapping[str, abc.Mapping[str, float]]:
    """Return the share of all worth that was lost, by route and cause.

    Callers that left asked for no answer any more; they and routes without a
    worth are left out.
    """
    owed = [
        item
        for item in judged
        if item.route in worths
        and item.cause != loss_summary.Cause.CALLER_LEFT
    ]
    means = _find_mean_sizes(owed)
    total = 0.0
    losses: dict[str, collections.defaultdict[str, float]] = {}
    for item in owed:
        worth = worths[item.route]
        weight = _find_weight(item.size, means.get(item.route, 0.0))
        total += weight * worth.on_time
        lost = losses.setdefault(item.route, collections.defaultdict(float))
        lost[item.cause] += weight * _find_lost_worth(item.cause, worth)
    return {
        route: {cause: lost / total for cause, lost in causes.items()}
        for route, causes in losses.items()
        if total
    }


def _find_mean_sizes(
    judged: abc.Iterable[loss_summary.JudgedRequest],
) -> abc.Mapping[str, float]:
    sizes: dict[str, list[float]] = {}
    for item in judged:
        if item.size is not None:
            sizes.setdefault(item.route, []).append(item.size)
    return {route: statistics.fmean(found) for route, found in sizes.items()}


def _find_weight(size: typing.Optional[float], mean: float) -> float:
    if size is None or not mean:
        return 1.0
    weight = _FIXED_SHARE + (1 - _FIXED_SHARE) * size / mean
    return min(_MOST_TIMES, weight)


def _find_lost_worth(cause: str, worth: Worth) -> float:
    if cause == loss_summary.Cause.IN_TIME:
        return 0.0
    if cause in _LATE:
        return worth.on_time - worth.late
    return worth.on_time

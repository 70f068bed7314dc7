"""Computes the share of the requests' value that was lost, by cause.

The most frequent cause may cost little: there are many short answers, and one
long answer can be worth more than all of them together. Operators give the
value of an answer on each route with the option ``--worth``. A generation is
weighted by its size relative to the mean of its route.
"""

import collections
from collections import abc
import statistics
import typing

from gentianpoint_entry import outcome_summary

__all__ = ("AnswerValue", "compute_lost_shares", "parse_answer_value")

_SIZE_INDEPENDENT_SHARE: typing.Final = 0.3
"""Share of a generation's value that does not depend on its size."""
_MAX_WEIGHT: typing.Final = 4.0
"""Largest weight of a generation, as a multiple of its route's value."""
_LATE_CAUSES: typing.Final = frozenset(
    (
        outcome_summary.Cause.LATE_MOVE,
        outcome_summary.Cause.LATE_PAUSE,
        outcome_summary.Cause.LATE_AFTER_FAILURE,
        outcome_summary.Cause.LATE_ROOM,
        outcome_summary.Cause.LATE_START,
    )
)


class AnswerValue(typing.NamedTuple):
    """Value of an answer on one route to its caller."""

    on_time: float
    """Value of an answer in time."""
    late: float
    """Value of a late answer."""


def parse_answer_value(text: str) -> tuple[str, AnswerValue]:
    """Return a route and its value from ``ROUTE=ON_TIME[,LATE]``.

    >>> parse_answer_value("reports=160,24")
    ('reports', AnswerValue(on_time=160.0, late=24.0))
    """
    route, _, values = text.rpartition("=")
    on_time, _, late = values.partition(",")
    if not route:
        raise ValueError(f"{text!r} has no route before '='")
    return route, AnswerValue(float(on_time), float(late or 0))


def compute_lost_shares(
    classified: abc.Iterable[outcome_summary.ClassifiedRequest],
    values_by_route: abc.Mapping[str, AnswerValue],
) -> abc.Mapping[str, abc.Mapping[str, float]]:
    """Return the share of the total value that was lost, by route and cause.

    Requests whose caller left no longer wanted an answer. They are left out,
    and so are routes without a value.
    """
    counted = [
        item
        for item in classified
        if item.route in values_by_route
        and item.cause != outcome_summary.Cause.CALLER_LEFT
    ]
    means = _compute_mean_sizes(counted)
    total = 0.0
    losses: dict[str, collections.defaultdict[str, float]] = {}
    for item in counted:
        value = values_by_route[item.route]
        weight = _compute_weight(item.size, means.get(item.route, 0.0))
        total += weight * value.on_time
        lost = losses.setdefault(item.route, collections.defaultdict(float))
        lost[item.cause] += weight * _compute_lost_value(item.cause, value)
    return {
        route: {cause: lost / total for cause, lost in causes.items()}
        for route, causes in losses.items()
        if total
    }


def _compute_mean_sizes(
    classified: abc.Iterable[outcome_summary.ClassifiedRequest],
) -> abc.Mapping[str, float]:
    sizes: dict[str, list[float]] = {}
    for item in classified:
        if item.size is not None:
            sizes.setdefault(item.route, []).append(item.size)
    return {route: statistics.fmean(found) for route, found in sizes.items()}


def _compute_weight(size: typing.Optional[float], mean: float) -> float:
    if size is None or not mean:
        return 1.0
    weight = (
        _SIZE_INDEPENDENT_SHARE + (1 - _SIZE_INDEPENDENT_SHARE) * size / mean
    )
    return min(_MAX_WEIGHT, weight)


def _compute_lost_value(cause: str, value: AnswerValue) -> float:
    if cause == outcome_summary.Cause.IN_TIME:
        return 0.0
    if cause in _LATE_CAUSES:
        return value.on_time - value.late
    return value.on_time

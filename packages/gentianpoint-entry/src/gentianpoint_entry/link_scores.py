"""Scores of targets: how crowded one seems from this entry.

A score is a share of the target's memory, above 1 when calls wait there. It
is made of the last report, which counts the less the older it is, and of
what this entry has sent since, which the report can't know. Lower is better.
"""

from collections import abc
import math
import statistics
import typing

from gentianpoint_core import deadlines
from gentianpoint_entry import agent_links

__all__ = ("FULL_SCORE", "find_pace_penalty", "find_usual_pace", "score_load")

FULL_SCORE: typing.Final = 1.0
"""A target with this score or more is full."""

_NEUTRAL: typing.Final = 0.5
_HALF_LIFE_MS: typing.Final = 2000.0
_WAIT_OF_FULL_MS: typing.Final = 1000.0
_CALL_SHARE: typing.Final = 1 / 32
_REFUSED: typing.Final = 2.0
_SLOW_FACTOR: typing.Final = 2.0
_SLOW_PENALTY: typing.Final = 0.5
_MOST_SLOW_PENALTY: typing.Final = 4.0
_LEAST_PACES: typing.Final = 2


def _measure_age_ms(link: agent_links.AgentLink) -> float:
    assert link.report is not None
    received_ms = link.report_received.at * 1000
    return deadlines.read_clock_ms() - received_ms + link.report["age_ms"]


def score_load(link: agent_links.AgentLink) -> float:
    """Return how crowded a target seems.

    Without a report it is taken to be half full, whatever is true: neither
    is it avoided, nor do all entries run to it.
    """
    refused = _REFUSED if not link.refused_until.is_past() else 0.0
    report = link.report
    if report is None:
        return _NEUTRAL + refused + _CALL_SHARE * link.count_calls()
    freshness = math.pow(0.5, _measure_age_ms(link) / _HALF_LIFE_MS)
    memory = max(report["memory_used"], report["memory_predicted"])
    running = report["running"]
    # A plain service has no cache memory: it is judged by its calls.
    memory = memory or running * _CALL_SHARE
    reported = memory + report["queue_wait_ms"] / _WAIT_OF_FULL_MS
    known = freshness * reported + (1 - freshness) * _NEUTRAL
    # One call's share of memory is that of those that run there, so small
    # and large targets are not taken for equal.
    share = memory / running if running else _CALL_SHARE
    return known + refused + share * link.sent_since_report


def find_usual_pace(
    links: abc.Iterable[agent_links.AgentLink],
) -> float:
    """Return the median time between tokens of targets that report one.

    0 when too few do to tell which of them is slow.
    """
    paces = [
        link.report["pace_ms"]
        for link in links
        if link.report is not None and link.report["pace_ms"] > 0
    ]
    if len(paces) < _LEAST_PACES:
        return 0.0
    return statistics.median_low(paces)


def find_pace_penalty(link: agent_links.AgentLink, usual_ms: float) -> float:
    """Return what a target loses for being slower than is usual.

    A target that is a little slower is only more crowded, which its load
    says already.
    """
    if link.report is None or usual_ms <= 0:
        return 0.0
    excess = link.report["pace_ms"] / usual_ms - _SLOW_FACTOR
    return min(max(0.0, excess) * _SLOW_PENALTY, _MOST_SLOW_PENALTY)

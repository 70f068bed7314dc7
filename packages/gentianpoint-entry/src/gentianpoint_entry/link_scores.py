"""Load scores of targets, as estimated by one entry.

A score is the used share of the target's memory, and above 1 when calls
queue there; lower is better. It combines the last report, whose weight
decays with its age, and the calls that this entry has sent since, which the
report does not include.
"""

from collections import abc
import math
import statistics
import typing

from gentianpoint_core import deadlines
from gentianpoint_entry import agent_links

__all__ = (
    "FULL_SCORE",
    "compute_pace_penalty",
    "compute_median_pace",
    "score_load",
)

FULL_SCORE: typing.Final = 1.0
"""Score from which on a target counts as full, as a share of memory."""

_NEUTRAL_SCORE: typing.Final = 0.5
"""Score of a target without a report, as a share of memory."""
_HALF_LIFE_MS: typing.Final = 2000.0
"""Age at which a report has half its weight, in milliseconds."""
_FULL_QUEUE_WAIT_MS: typing.Final = 1000.0
"""Queueing time that raises the score by 1, in milliseconds."""
_DEFAULT_CALL_SHARE: typing.Final = 1 / 32
"""Memory share of a call where no report gives one."""
_REFUSAL_PENALTY: typing.Final = 2.0
"""Score added to a target that refused a call, until it may be tried again."""
_SLOW_FACTOR: typing.Final = 2.0
"""Multiple of the median token time above which a target is slow."""
_SLOW_PENALTY: typing.Final = 0.5
"""Score added per further multiple of the median token time."""
_MAX_SLOW_PENALTY: typing.Final = 4.0
"""Largest score added for a slow target."""
_MIN_PACES: typing.Final = 2
"""Targets with a token time that a median needs at least."""


def _measure_age_ms(link: agent_links.AgentLink) -> float:
    assert link.report is not None
    received_ms = link.report_received.at * 1000
    return deadlines.read_clock_ms() - received_ms + link.report["age_ms"]


def score_load(link: agent_links.AgentLink) -> float:
    """Return the load score of a target.

    A target without a report is assumed to be half full, so that it is
    neither avoided nor preferred by all entries at once.
    """
    refused = _REFUSAL_PENALTY if not link.refused_until.is_past() else 0.0
    report = link.report
    if report is None:
        return (
            _NEUTRAL_SCORE + refused + _DEFAULT_CALL_SHARE * link.count_calls()
        )
    freshness = math.pow(0.5, _measure_age_ms(link) / _HALF_LIFE_MS)
    memory = max(report["memory_used"], report["memory_predicted"])
    running = report["running"]
    # A plain HTTP service runs no model engine and has no cache memory, so
    # its running calls count instead.
    memory = memory or running * _DEFAULT_CALL_SHARE
    reported = memory + report["queue_wait_ms"] / _FULL_QUEUE_WAIT_MS
    known = freshness * reported + (1 - freshness) * _NEUTRAL_SCORE
    # A new call is assumed to use as much memory as the average running one,
    # which differs between small and large targets.
    share = memory / running if running else _DEFAULT_CALL_SHARE
    return known + refused + share * link.sent_since_report


def compute_median_pace(
    links: abc.Iterable[agent_links.AgentLink],
) -> float:
    """Return the median time between tokens of the targets, milliseconds.

    Only targets that report a time count. The result is 0 when fewer than
    two do, since a slow one can't be told apart then.
    """
    paces = [
        link.report["pace_ms"]
        for link in links
        if link.report is not None and link.report["pace_ms"] > 0
    ]
    if len(paces) < _MIN_PACES:
        return 0.0
    return statistics.median_low(paces)


def compute_pace_penalty(
    link: agent_links.AgentLink, median_ms: float
) -> float:
    """Return the score penalty of a target that is slower than the median.

    Up to twice the median time there is no penalty: such a target is merely
    busier, which its load score includes.
    """
    if link.report is None or median_ms <= 0:
        return 0.0
    excess = link.report["pace_ms"] / median_ms - _SLOW_FACTOR
    return min(max(0.0, excess) * _SLOW_PENALTY, _MAX_SLOW_PENALTY)

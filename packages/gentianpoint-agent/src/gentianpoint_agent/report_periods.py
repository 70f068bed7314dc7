"""Chooses how often an entry receives load reports and cached prefixes.

An entry with many connections asks for infrequent reports, since they are
most of its control traffic. The prefixes of a warm cache make a report
several times longer and change more slowly than the load, so such an entry
gets them only with every tenth report.
"""

import typing

__all__ = ("ReportPeriods", "choose_periods")

_MAX_PERIOD_MS: typing.Final = 60_000
"""Longest time between two reports, milliseconds."""
_REPORTS_PER_PREFIXES: typing.Final = 10
"""Number of reports of which one contains prefixes."""


class ReportPeriods(typing.NamedTuple):
    """Periods of the reports to one entry, milliseconds."""

    load_ms: int
    """Time between reports."""
    prefixes_ms: int
    """Time between reports that contain prefixes."""


def choose_periods(own_ms: int, asked_ms: int) -> ReportPeriods:
    """Return the periods for an entry that asked for ``asked_ms``.

    ``own_ms`` is the agent's own period, which an entry with few
    connections gets.

    >>> choose_periods(500, 250)
    ReportPeriods(load_ms=500, prefixes_ms=500)
    >>> choose_periods(500, 7333)
    ReportPeriods(load_ms=7333, prefixes_ms=73330)
    """
    if asked_ms <= own_ms:
        return ReportPeriods(own_ms, own_ms)
    load_ms = min(asked_ms, _MAX_PERIOD_MS)
    return ReportPeriods(load_ms, load_ms * _REPORTS_PER_PREFIXES)

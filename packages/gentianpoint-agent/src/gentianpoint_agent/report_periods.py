"""How often an entry is told of load, and of prefixes.

An entry with many connections asks for seldom reports, since they are most
of what control costs it. The prefixes that a warm cache holds make a report
several times longer and change more slowly than the load, so such an entry
gets them only with every tenth report.
"""

import typing

__all__ = ("ReportPeriods", "choose_periods")

_LONGEST_MS: typing.Final = 60_000
_REPORTS_FOR_PREFIXES: typing.Final = 10


class ReportPeriods(typing.NamedTuple):
    """Times between what one entry is told, milliseconds."""

    load_ms: int
    """Time between reports."""
    prefixes_ms: int
    """Time between reports that name prefixes."""


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
    load_ms = min(asked_ms, _LONGEST_MS)
    return ReportPeriods(load_ms, load_ms * _REPORTS_FOR_PREFIXES)

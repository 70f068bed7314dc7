"""Decides how long the events of a stream are left unread while busy.

A read and a write cost as much for one event as for several. An entry with
time to spare forwards each event at once; a busy one lets some come and
forwards them together, for a part of the pause that the route allows.
"""

import typing

__all__ = ("choose_pause_s",)

_PAUSE_PART: typing.Final = 1 / 3
"""Part of the longest pause on time that a stream may be left unread. The rest
is for the target's own pause, and for tasks that run late."""
_FROM_SHARE: typing.Final = 0.5
"""Share of time in which the scheduler is busy from which streams wait."""
_FULL_SHARE: typing.Final = 0.9
"""Share of busy time from which they wait for the longest time."""


def choose_pause_s(gap_objective_ms: float, busy_share: float) -> float:
    """Return for how many seconds the next events may come unread.

    ``gap_objective_ms`` is the longest pause on time, 0 if none is known, and
    ``busy_share`` the share of time in which this entry's scheduler is busy.

    >>> choose_pause_s(180, 0.5)
    0.0
    >>> choose_pause_s(180, 1.0)
    0.06
    """
    excess = (busy_share - _FROM_SHARE) / (_FULL_SHARE - _FROM_SHARE)
    part = _PAUSE_PART * min(1.0, max(0.0, excess))
    return part * gap_objective_ms / 1000

"""Tells operators which limits callers meet, however many callers do."""

import collections
from collections import abc
import time
import typing

from gentianpoint_core import logs
from gentianpoint_core.generated import events

__all__ = ("LimitReports",)

_LINE_S: typing.Final = 1.0
"""Least seconds between two lines with the same reason."""


class LimitReports:
    """Counts refusals and closed connections by their reason.

    Each reason has a line in the log when it occurs, with the number of times
    since the last one, and one line a second at most.
    """

    def __init__(self, record: abc.Callable[[str], None]) -> None:
        """Call ``record`` with each reason, for the metrics."""
        self._record: typing.Final = record
        self._unlogged: typing.Final[collections.Counter[str]] = (
            collections.Counter()
        )
        self._logged_at: typing.Final[dict[str, float]] = {}

    def note(self, reason: str, **details: typing.Any) -> None:
        """Count one occurrence; a line also has its ``details``."""
        self._record(reason)
        self._unlogged[reason] += 1
        now = time.monotonic()
        if now - self._logged_at.get(reason, -_LINE_S) < _LINE_S:
            return
        self._logged_at[reason] = now
        logs.log_event(
            events.CALLERS_LIMITED,
            reason=reason,
            count=self._unlogged.pop(reason),
            **details,
        )

"""Keeps the newest version of the configuration in force."""

from collections import abc
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import topic_follower

__all__ = ("DecodeTable", "RouteUpdates")

DecodeTable = abc.Callable[
    [ports.KeyedRecord], typing.Optional[routes.RouteTable]
]
"""Decodes a record; returns None if it holds no configuration."""


class RouteUpdates(topic_follower.RecordConsumer):
    """Holds the table in force and never replaces it by an older one."""

    def __init__(self, decode: DecodeTable) -> None:
        """Start without a configuration."""
        self._decode: typing.Final = decode
        self.table: typing.Optional[routes.RouteTable] = None
        self._confirmed_at = deadlines.NEVER

    def measure_age_ms(self) -> int:
        """Return how long ago the log last confirmed the table as newest.

        A high age shows that a caller may have been refused because this
        process has not read a change yet. -1 if the log has not answered yet.
        """
        return deadlines.measure_ms_since(self._confirmed_at)

    def apply_snapshot(self, records: abc.Sequence[ports.KeyedRecord]) -> None:
        """Apply the newest version."""
        for record in records:
            self.apply_change(record)

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Put a version in force, unless it is older than the current one."""
        if record.value is None:
            return
        table = self._decode(record)
        if table is None:
            return
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        logs.log_event(
            events.CONFIGURATION_APPLIED,
            version=table.version,
            offset=record.offset,
        )

    def note_log_availability(self, *, is_available: bool) -> None:
        """Record that the log confirmed the table, if it is available.

        The table stays in force while the log is unavailable.
        """
        if is_available:
            self._confirmed_at = trio.current_time()

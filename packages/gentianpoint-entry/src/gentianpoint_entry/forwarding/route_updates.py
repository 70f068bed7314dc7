"""Keeps the newest version of the configuration in force.

Each record holds one version, which is decoded to a table of its routes,
services and customers.
"""

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
    """Holds the newest version's table, never replaced by an older one."""

    def __init__(self, decode: DecodeTable) -> None:
        """Start without a table; ``decode`` builds one from a record."""
        self._decode: typing.Final = decode
        self.table: typing.Optional[routes.RouteTable] = None
        self._confirmed_at = deadlines.NEVER

    def measure_age_ms(self) -> int:
        """Return how long ago the log last confirmed the table as newest.

        A newer version may have been written since then. So a high age shows
        that a caller may have been refused by an outdated table, because this
        process has not read the change yet. -1 if the log has not answered
        yet.
        """
        return deadlines.measure_ms_since(self._confirmed_at)

    def apply_snapshot(self, records: abc.Sequence[ports.KeyedRecord]) -> None:
        """Put the newest version among ``records`` in force."""
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
            if table.version < self.table.version:
                logs.log_event(
                    events.RECORD_OUTDATED,
                    step="apply configuration",
                    key=record.key,
                    reason=f"version {table.version} at"
                    f" {tuple(record.position)} is before"
                    f" {self.table.version}",
                )
            return
        self.table = table
        logs.log_event(
            events.CONFIGURATION_APPLIED,
            version=table.version,
            offset=record.offset,
            era=record.era,
        )

    def note_log_restored(self) -> None:
        """Keep the table: only a higher version takes its place."""

    def note_log_availability(self, *, is_available: bool) -> None:
        """Record that the log confirmed the table, if it is available.

        The table stays in force while the log is unavailable.
        """
        if is_available:
            self._confirmed_at = trio.current_time()

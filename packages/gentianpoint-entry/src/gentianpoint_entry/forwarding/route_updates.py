"""Keeps the newest version of the configuration in force."""

from collections import abc
import typing

from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import topic_follower

__all__ = ("DecodeTable", "RouteUpdates")

DecodeTable = abc.Callable[
    [ports.KeyedRecord], typing.Optional[routes.RouteTable]
]
"""Returns the table of a record; None when it is no configuration."""


class RouteUpdates(topic_follower.RecordReader):
    """Holds the table in force, which never goes back to an older one."""

    def __init__(self, decode: DecodeTable) -> None:
        """Start without a configuration."""
        self._decode: typing.Final = decode
        self.table: typing.Optional[routes.RouteTable] = None

    def take_newest(self, records: abc.Sequence[ports.KeyedRecord]) -> None:
        """Take the newest version."""
        for record in records:
            self.take_change(record)

    def take_change(self, record: ports.KeyedRecord) -> None:
        """Put a version in force, unless it is older than the one here."""
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

    def note_source(self, *, is_available: bool) -> None:
        """Keep what is in force: it holds also while the log is away."""

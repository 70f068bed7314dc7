"""Passes the records of one topic to several consumers."""

from collections import abc
import typing

from gentianpoint_core import ports
from gentianpoint_entry.forwarding import topic_follower

__all__ = ("ConsumerGroup",)


class ConsumerGroup(topic_follower.RecordConsumer):
    """Consumers of a topic whose records concern different parts."""

    def __init__(
        self, consumers: abc.Sequence[topic_follower.RecordConsumer]
    ) -> None:
        """Pass everything to each of ``consumers`` in their order.

        A snapshot is applied by all of them without a pause, so that none is
        seen to be ahead of another.
        """
        self._consumers: typing.Final = tuple(consumers)

    def apply_snapshot(self, records: abc.Sequence[ports.KeyedRecord]) -> None:
        """Pass on the whole topic."""
        for consumer in self._consumers:
            consumer.apply_snapshot(records)

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Pass on one record."""
        for consumer in self._consumers:
            consumer.apply_change(record)

    def note_log_availability(self, *, is_available: bool) -> None:
        """Pass on whether the log answers this process."""
        for consumer in self._consumers:
            consumer.note_log_availability(is_available=is_available)

    def note_log_restored(self) -> None:
        """Pass on that the log has come back from an older copy."""
        for consumer in self._consumers:
            consumer.note_log_restored()

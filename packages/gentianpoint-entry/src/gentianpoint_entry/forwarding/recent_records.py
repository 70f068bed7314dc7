"""The latest records of a topic, for entries that are slightly behind."""

import collections
from collections import abc
import typing

from gentianpoint_core import ports

__all__ = ("RecentRecords",)

_MAX_VALUE_BYTES: typing.Final = 256 * 1024
"""Bytes of values that are kept. An entry that is further behind gets the
latest record of every key instead."""


class RecentRecords:
    """All records of a topic from one offset to its end, without gaps.

    All of them are of one era; with another one it is restarted.
    """

    def __init__(self) -> None:
        """Start empty; :meth:`restart` sets the first offset."""
        self._records: typing.Final[collections.deque[ports.KeyedRecord]] = (
            collections.deque()
        )
        self._start = 0
        self._value_bytes = 0

    def restart(self, start: int) -> None:
        """Drop all records, and keep those from offset ``start`` on."""
        self._records.clear()
        self._start = start
        self._value_bytes = 0

    def append(self, record: ports.KeyedRecord) -> None:
        """Add the record that follows the last one; evict the oldest ones."""
        self._records.append(record)
        self._value_bytes += len(record.value or b"")
        while self._value_bytes > _MAX_VALUE_BYTES:
            oldest = self._records.popleft()
            self._value_bytes -= len(oldest.value or b"")
            self._start = oldest.offset + 1

    def list_from(
        self, start: int
    ) -> typing.Optional[abc.Sequence[ports.KeyedRecord]]:
        """Return the records from ``start`` on; None if some were evicted."""
        if start < self._start:
            return None
        return [record for record in self._records if record.offset >= start]

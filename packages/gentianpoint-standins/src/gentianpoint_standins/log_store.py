"""Streams of records in memory, with limited retention and rate."""

import collections
import typing

import trio

__all__ = ("LogStore", "RateLimit", "StoredRecord", "StreamSlice")


class StoredRecord(typing.NamedTuple):
    """One record of a stream."""

    offset: int
    """Place in the stream, from 1."""
    data: bytes
    """What was appended."""
    expires_at: float
    """When the record's age is over, in seconds of trio's clock."""


class StreamSlice(typing.NamedTuple):
    """Consecutive records of a stream."""

    first: int
    """Oldest offset kept."""
    next: int
    """Offset that the next append gets."""
    records: tuple[StoredRecord, ...]
    """The records in order."""


class RateLimit:
    """A token bucket that allows bursts of one second's worth."""

    def __init__(self, per_second: float) -> None:
        """Allow ``per_second`` takings a second."""
        self._per_second: typing.Final = per_second
        self._left = per_second
        self._filled_at = trio.current_time()

    def take(self) -> bool:
        """Take one if there is one left, and tell whether there was."""
        now = trio.current_time()
        gained = (now - self._filled_at) * self._per_second
        self._left = min(self._per_second, self._left + gained)
        self._filled_at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


class _Stream:
    """Records of one stream."""

    def __init__(self) -> None:
        self.records: typing.Final[collections.deque[StoredRecord]] = (
            collections.deque()
        )
        self.next = 1
        self.changed = trio.Event()

    def wake_readers(self) -> None:
        """Let everyone who waits for a change look again."""
        self.changed.set()
        self.changed = trio.Event()

    def expire(self, max_records: int) -> None:
        """Forget records that are too old or too many."""
        now = trio.current_time()
        while self.records and (
            self.records[0].expires_at <= now
            or len(self.records) > max_records
        ):
            self.records.popleft()

    def first(self) -> int:
        """Return the oldest offset kept."""
        return self.records[0].offset if self.records else self.next


class LogStore:
    """All streams of the log."""

    def __init__(self, max_age_ms: int, max_records: int) -> None:
        """Keep each stream's newest ``max_records`` for ``max_age_ms``."""
        self._max_age_s: typing.Final = max_age_ms / 1000
        self._max_records: typing.Final = max_records
        self._streams: typing.Final[dict[str, _Stream]] = {}
        self.era = 0
        """Number of times that records were lost."""

    def lose_last(self, counts: typing.Mapping[str, int]) -> None:
        """Lose the last records of streams, and begin the next era."""
        for name, count in counts.items():
            stream = self._find(name)
            for _ in range(min(count, len(stream.records))):
                stream.next = stream.records.pop().offset
        self.era += 1
        self.wake_readers()

    def _find(self, name: str) -> _Stream:
        stream = self._streams.setdefault(name, _Stream())
        stream.expire(self._max_records)
        return stream

    def append(self, name: str, data: bytes) -> int:
        """Append ``data`` to the stream ``name`` and return its offset."""
        stream = self._find(name)
        offset = stream.next
        expires_at = trio.current_time() + self._max_age_s
        stream.records.append(StoredRecord(offset, data, expires_at))
        stream.next += 1
        stream.wake_readers()
        return offset

    def read(self, name: str, start: int, limit: int) -> StreamSlice:
        """Return up to ``limit`` records from offset ``start`` on."""
        stream = self._find(name)
        first = stream.first()
        skipped = max(0, start - first)
        records = [
            stream.records[index]
            for index in range(
                skipped, min(len(stream.records), skipped + limit)
            )
        ]
        return StreamSlice(first, stream.next, tuple(records))

    async def wait_for_record(self, name: str, start: int) -> None:
        """Wait until there is a record at ``start`` or someone is woken."""
        stream = self._find(name)
        if stream.next <= start:
            await stream.changed.wait()

    def expire_before(self, name: str, offset: int) -> None:
        """Forget the records of ``name`` below ``offset``."""
        stream = self._find(name)
        while stream.records and stream.records[0].offset < offset:
            stream.records.popleft()

    def wake_readers(self) -> None:
        """Wake all who wait, as when the service goes out."""
        for stream in self._streams.values():
            stream.wake_readers()

    def count_records(self) -> dict[str, int]:
        """Return how many records each stream ever got."""
        return {name: row.next - 1 for name, row in self._streams.items()}

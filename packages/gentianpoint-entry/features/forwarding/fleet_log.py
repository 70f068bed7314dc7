"""A log that all entries of a fleet read, and when each has a record."""

from collections import abc
import typing

import fleet_builders
import trio

from gentianpoint_core import ports
from gentianpoint_entry.forwarding import topic_follower

_ANSWER_S: typing.Final = 0.004


class FleetLog:
    """One topic, which may turn some entries away."""

    def __init__(self) -> None:
        self.records = [ports.KeyedRecord("first", b"value", 0)]
        self.turned_away: set[str] = set()
        self.calls = 0
        self._written = trio.Event()

    def write(self, key: str) -> None:
        """Append a record."""
        offset = len(self.records)
        self.records.append(ports.KeyedRecord(key, b"value", offset))
        self._written.set()
        self._written = trio.Event()

    async def read(
        self, address: str, start: int, wait_ms: int
    ) -> ports.KeyedSlice:
        """Return the records from ``start`` on, for one entry."""
        self.calls += 1
        if address not in self.turned_away and start >= len(self.records):
            with trio.move_on_after(wait_ms / 1000):
                await self._written.wait()
        await trio.sleep(_ANSWER_S)
        if address in self.turned_away:
            raise ports.PortError(
                "read", "log", "turned away", took_effect=False
            )
        return ports.KeyedSlice(self.records[start:], len(self.records))


class EntryTopic(ports.KeyedTopic):
    """The topic as the log gives it to one entry."""

    def __init__(self, log: FleetLog, address: str) -> None:
        self._log: typing.Final = log
        self._address: typing.Final = address

    async def read_newest(self, within_ms: float) -> ports.KeyedSlice:
        """Return all records."""
        return await self._log.read(self._address, 0, 0)

    async def read_changes(
        self, start: int, wait_ms: int, within_ms: float
    ) -> ports.KeyedSlice:
        """Return the records from ``start`` on."""
        return await self._log.read(self._address, start, wait_ms)


class MomentsReader(topic_follower.RecordConsumer):
    """Notes when it was first given each key."""

    def __init__(self) -> None:
        self.moments: typing.Final[dict[str, float]] = {}
        self.outages = 0

    def apply_snapshot(self, records: abc.Sequence[ports.KeyedRecord]) -> None:
        """Take a whole state."""
        for record in records:
            self.apply_change(record)

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Take one record."""
        self.moments.setdefault(record.key, trio.current_time())

    def note_log_availability(self, *, is_available: bool) -> None:
        """Count the times that the log was away."""
        self.outages += not is_available


class ReadingFleet:
    """Entries that follow one topic together."""

    def __init__(self, count: int, pace: topic_follower.PollTiming) -> None:
        self.log: typing.Final = FleetLog()
        self.fleet: typing.Final = fleet_builders.Fleet(count)
        self.readers: typing.Final[dict[str, MomentsReader]] = {}
        self._pace: typing.Final = pace

    def start(self, nursery: trio.Nursery) -> None:
        """Start all entries."""
        self.fleet.start(nursery)
        for entry in self.fleet.entries.values():
            reader = MomentsReader()
            self.readers[entry.address] = reader
            topic = EntryTopic(self.log, entry.address)
            entry.follow(topic, reader, self._pace)
        self.fleet.run_all()

    def find_first(self) -> fleet_builders.Entry:
        """Return the entry that reads all the while."""
        for entry in self.fleet.entries.values():
            assert entry.follower is not None
            if entry.follower.is_first():
                return entry
        raise AssertionError("no entry reads")

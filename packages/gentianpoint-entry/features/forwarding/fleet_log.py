"""A fleet whose entries follow one topic of a shared fake log."""

from collections import abc
import typing

import fleet_builders
import trio

from gentianpoint_core import ports
from gentianpoint_entry.forwarding import topic_follower

_ANSWER_S: typing.Final = 0.004


class FleetLog:
    """A log with one topic, which may reject some entries."""

    def __init__(self) -> None:
        self.records = [ports.KeyedRecord("first", b"value", 0, 1)]
        self.rejected: set[str] = set()
        self.calls = 0
        self.era = 1
        self._written = trio.Event()

    def write(
        self, key: str, value: typing.Optional[bytes] = b"value"
    ) -> None:
        """Append a record, which removes the key if it has no value."""
        offset = len(self.records)
        self.records.append(ports.KeyedRecord(key, value, offset, self.era))
        self._written.set()
        self._written = trio.Event()

    def restore(self, kept: int) -> None:
        """Come back from a copy that has the first ``kept`` records."""
        self.era += 1
        self.records = [
            record._replace(era=self.era) for record in self.records[:kept]
        ]
        self._written.set()
        self._written = trio.Event()

    async def read(
        self, address: str, start: int, wait_ms: int
    ) -> ports.KeyedSlice:
        """Return the records from ``start`` on, for one entry."""
        self.calls += 1
        if address not in self.rejected and start == len(self.records):
            with trio.move_on_after(wait_ms / 1000):
                await self._written.wait()
        await trio.sleep(_ANSWER_S)
        if address in self.rejected:
            raise ports.PortError("read", "log", "rejected", took_effect=False)
        if start > len(self.records):
            raise ports.RecordsExpiredError("beyond the end")
        return ports.KeyedSlice(
            self.records[start:], len(self.records), self.era
        )


class EntryTopic(ports.KeyedTopic):
    """The topic of the log, read by one entry."""

    def __init__(self, log: FleetLog, address: str) -> None:
        self._log: typing.Final = log
        self._address: typing.Final = address

    async def read_newest(self, within_ms: float) -> ports.KeyedSlice:
        """Return all records."""
        return await self._log.read(self._address, 0, 0)

    async def read_changes(
        self, start: ports.LogPosition, wait_ms: int, within_ms: float
    ) -> ports.KeyedSlice:
        """Return the records from ``start`` on."""
        return await self._log.read(self._address, start.offset, wait_ms)


class TimingConsumer(topic_follower.RecordConsumer):
    """Records when each key was first received."""

    def __init__(self) -> None:
        self.received_at: typing.Final[dict[str, float]] = {}
        self.outages = 0
        self.restorations = 0

    def apply_snapshot(self, records: abc.Sequence[ports.KeyedRecord]) -> None:
        """Apply a snapshot."""
        for record in records:
            self.apply_change(record)

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Record when the key came first."""
        self.received_at.setdefault(record.key, trio.current_time())

    def note_log_availability(self, *, is_available: bool) -> None:
        """Count the notes that the log is unavailable."""
        self.outages += not is_available

    def note_log_restored(self) -> None:
        """Count the returns of the log from a copy."""
        self.restorations += 1


class PollingFleet:
    """Entries that follow one topic together."""

    def __init__(
        self,
        count: int,
        timing: topic_follower.PollTiming,
        make_consumer: abc.Callable[
            [], topic_follower.RecordConsumer
        ] = TimingConsumer,
    ) -> None:
        self.log: typing.Final = FleetLog()
        self.fleet: typing.Final = fleet_builders.Fleet(count)
        self.consumers: typing.Final[dict[str, typing.Any]] = {}
        self._timing: typing.Final = timing
        self._make_consumer: typing.Final = make_consumer

    def start(self, nursery: trio.Nursery) -> None:
        """Start all entries."""
        self.fleet.start(nursery)
        for entry in self.fleet.entries.values():
            consumer = self._make_consumer()
            self.consumers[entry.address] = consumer
            topic = EntryTopic(self.log, entry.address)
            entry.follow(topic, consumer, self._timing)
        self.fleet.run_all()

    def find_first_reader(self) -> fleet_builders.Entry:
        """Return the entry that polls without waiting for others."""
        for entry in self.fleet.entries.values():
            assert entry.follower is not None
            if entry.follower.is_primary_reader():
                return entry
        raise AssertionError("no entry polls")

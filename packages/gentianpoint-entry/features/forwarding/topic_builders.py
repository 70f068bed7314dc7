"""Fake topics and consumers, and a mock clock."""

from collections import abc
import typing

import trio
import trio.testing

from gentianpoint_core import log_eras
from gentianpoint_core import ports
from gentianpoint_entry.forwarding import topic_follower


def make_record(offset: int) -> ports.KeyedRecord:
    """Return a record whose key is named after its offset."""
    return ports.KeyedRecord(f"key-{offset}", b"value", offset)


class FakeTopic(ports.KeyedTopic):
    """A topic with one record for each key, up to an offset."""

    def __init__(self, end: int) -> None:
        self.records = [make_record(offset) for offset in range(end)]
        self.end = end
        self.first = 0
        self.reads = 0
        self.is_unavailable = False

    async def read_newest(self, within_ms: float) -> ports.KeyedSlice:
        """Return all records."""
        await self._answer()
        return ports.KeyedSlice(list(self.records), self.end)

    async def read_changes(
        self, start: ports.LogPosition, wait_ms: int, within_ms: float
    ) -> ports.KeyedSlice:
        """Return the records from ``start`` on."""
        await self._answer()
        if start.offset < self.first:
            raise ports.RecordsExpiredError("expired")
        found = [item for item in self.records if item.offset >= start.offset]
        return ports.KeyedSlice(found, self.end)

    async def _answer(self) -> None:
        self.reads += 1
        await trio.sleep(0.001)
        if self.is_unavailable:
            raise ports.PortError("read", "log", "rejected", took_effect=False)


class UnnotifiedTopic(FakeTopic):
    """A topic whose new records do not wake a pending long poll."""

    async def read_changes(
        self, start: ports.LogPosition, wait_ms: int, within_ms: float
    ) -> ports.KeyedSlice:
        """Return the records from ``start`` on, after the wait if none."""
        found = await super().read_changes(start, 0, within_ms)
        if not found.records:
            await trio.sleep(wait_ms / 1000)
        return found


class FakePeerTopic(FakeTopic):
    """Another entry's copy of a topic; it only offers snapshots."""

    async def read_changes(
        self, start: ports.LogPosition, wait_ms: int, within_ms: float
    ) -> ports.KeyedSlice:
        """Return no records if there are none; else raise, as expired."""
        await self._answer()
        if self.end <= start.offset:
            return ports.KeyedSlice((), start.offset)
        raise ports.RecordsExpiredError("only the latest is kept")


class KeptTopic(ports.WritableTopic):
    """A topic in memory, which may be unavailable."""

    def __init__(self) -> None:
        """Start empty."""
        self.values: dict[str, bytes] = {}
        self.out_until = 0.0
        self.eras: typing.Final = log_eras.LogEras()

    def restore(self, values: abc.Mapping[str, bytes]) -> None:
        """Come back from a copy that has ``values``."""
        self.values = dict(values)
        self.eras.note(self.eras.newest + 1)

    async def read_newest(self, within_ms: float) -> ports.KeyedSlice:
        """Return the newest record of every key."""
        await self._answer()
        records = [
            ports.KeyedRecord(key, value, 0)
            for key, value in self.values.items()
        ]
        return ports.KeyedSlice(records, len(records))

    async def read_changes(
        self, start: ports.LogPosition, wait_ms: int, within_ms: float
    ) -> ports.KeyedSlice:
        """Fail: nobody follows the topic."""
        raise AssertionError

    async def put(
        self, key: str, value: typing.Optional[bytes], within_ms: float
    ) -> None:
        """Write or remove a record."""
        await self._answer()
        if value is None:
            self.values.pop(key, None)
        else:
            self.values[key] = value

    async def _answer(self) -> None:
        await trio.sleep(0.01)
        if trio.current_time() < self.out_until:
            raise ports.PortError("call", "log", "out", took_effect=False)


class RecordingConsumer(topic_follower.RecordConsumer):
    """Records what it is given."""

    def __init__(self) -> None:
        self.keys: set[str] = set()
        self.snapshots: list[set[str]] = []

    def apply_snapshot(self, records: abc.Sequence[ports.KeyedRecord]) -> None:
        """Record a snapshot."""
        self.keys = {record.key for record in records}
        self.snapshots.append(set(self.keys))

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Record one change."""
        if record.value is None:
            self.keys.discard(record.key)
        else:
            self.keys.add(record.key)

    def note_log_availability(self, *, is_available: bool) -> None:
        """Ignore whether the log answers this entry."""

    def note_log_restored(self) -> None:
        """Ignore that the log came back from a copy."""


def run_on_mock_clock(
    function: abc.Callable[..., abc.Awaitable[typing.Any]], *args: typing.Any
) -> typing.Any:
    """Run an async function on a virtual clock that skips waits."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *args, clock=clock)

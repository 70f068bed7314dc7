"""Topics and readers for features of what entries read."""

from collections import abc
import typing

import trio
import trio.testing

from gentianpoint_core import ports
from gentianpoint_entry.forwarding import topic_follower


def make_record(offset: int) -> ports.KeyedRecord:
    """Return the record of a key that is named by its offset."""
    return ports.KeyedRecord(f"key-{offset}", b"value", offset)


class FakeTopic(ports.KeyedTopic):
    """A topic with one record a key, up to an offset."""

    def __init__(self, end: int) -> None:
        self.records = [make_record(offset) for offset in range(end)]
        self.end = end
        self.first = 0
        self.reads = 0
        self.is_away = False

    async def read_newest(self, within_ms: float) -> ports.KeyedSlice:
        """Return every record that is kept."""
        await self._answer()
        return ports.KeyedSlice(list(self.records), self.end)

    async def read_changes(
        self, start: int, wait_ms: int, within_ms: float
    ) -> ports.KeyedSlice:
        """Return the records from ``start`` on."""
        await self._answer()
        if start < self.first:
            raise ports.RecordsExpiredError("expired")
        found = [item for item in self.records if item.offset >= start]
        return ports.KeyedSlice(found, self.end)

    async def _answer(self) -> None:
        self.reads += 1
        await trio.sleep(0.001)
        if self.is_away:
            raise ports.PortError(
                "read", "log", "turned away", took_effect=False
            )


class SleepyTopic(FakeTopic):
    """A topic that wakes no reading that waits already."""

    async def read_changes(
        self, start: int, wait_ms: int, within_ms: float
    ) -> ports.KeyedSlice:
        """Return the records from ``start`` on, late if there are none."""
        found = await super().read_changes(start, 0, within_ms)
        if not found.records:
            await trio.sleep(wait_ms / 1000)
        return found


class FakePeerTopic(FakeTopic):
    """A topic as another entry has it: whole states only."""

    async def read_changes(
        self, start: int, wait_ms: int, within_ms: float
    ) -> ports.KeyedSlice:
        """Tell whether there is anything new."""
        await self._answer()
        if self.end <= start:
            return ports.KeyedSlice((), start)
        raise ports.RecordsExpiredError("only the newest is kept")


class NotingReader(topic_follower.RecordConsumer):
    """Notes what it is given."""

    def __init__(self) -> None:
        self.keys: set[str] = set()
        self.states: list[set[str]] = []

    def apply_snapshot(self, records: abc.Sequence[ports.KeyedRecord]) -> None:
        """Note a whole state."""
        self.keys = {record.key for record in records}
        self.states.append(set(self.keys))

    def apply_change(self, record: ports.KeyedRecord) -> None:
        """Note one record."""
        if record.value is None:
            self.keys.discard(record.key)
        else:
            self.keys.add(record.key)

    def note_log_availability(self, *, is_available: bool) -> None:
        """Learn whether the log serves this entry."""


def run_on_mock_clock(
    function: abc.Callable[..., abc.Awaitable[typing.Any]], *args: typing.Any
) -> typing.Any:
    """Run an async function on a clock that jumps over waits."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *args, clock=clock)

"""Topics and readers for features of what entries read."""

import trio
import trio.testing

from gentianpoint_core import ports
from gentianpoint_entry.forwarding import topic_follower


def make_record(offset, value=b"value"):
    """Return the record of a key that is named by its offset."""
    return ports.KeyedRecord(f"key-{offset}", value, offset)


class FakeTopic(ports.KeyedTopic):
    """A topic with one record a key, up to an offset."""

    def __init__(self, end):
        self.records = [make_record(offset) for offset in range(end)]
        self.end = end
        self.first = 0
        self.is_away = False

    async def read_newest(self):
        """Return every record that is kept."""
        await self._answer()
        return ports.KeyedSlice(list(self.records), self.end)

    async def read_changes(self, start, wait_ms):
        """Return the records from ``start`` on."""
        await self._answer()
        if start < self.first:
            raise ports.RecordsExpiredError("expired")
        found = [item for item in self.records if item.offset >= start]
        return ports.KeyedSlice(found, self.end)

    async def _answer(self):
        await trio.sleep(0.001)
        if self.is_away:
            raise ports.PortError(
                "read", "log", "turned away", took_effect=False
            )


class FakePeerTopic(FakeTopic):
    """A topic as another entry has it: whole states only."""

    async def read_changes(self, start, wait_ms):
        """Tell whether there is anything new."""
        await self._answer()
        if self.end <= start:
            return ports.KeyedSlice((), start)
        raise ports.RecordsExpiredError("only the newest is kept")


class NotingReader(topic_follower.RecordReader):
    """Notes what it is given."""

    def __init__(self):
        self.keys = set()
        self.states = []

    def take_newest(self, records):
        """Note a whole state."""
        self.keys = {record.key for record in records}
        self.states.append(set(self.keys))

    def take_change(self, record):
        """Note one record."""
        if record.value is None:
            self.keys.discard(record.key)
        else:
            self.keys.add(record.key)

    def note_source(self, *, is_available):
        """Learn whether the log serves this entry."""


def run_on_clock(function, *args):
    """Run an async function on a clock that jumps over waits."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *args, clock=clock)

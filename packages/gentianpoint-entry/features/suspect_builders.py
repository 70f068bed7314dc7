"""A log that entries share, and entries that follow it."""

import itertools
import typing

import trio

from gentianpoint_core import ports
from gentianpoint_entry import crash_suspects
from gentianpoint_entry import suspect_stream

__all__ = ("SharedLog", "make_entry")

_ANSWER_S: typing.Final = 0.01
_NUMBERS: typing.Final = itertools.count()


class SharedLog(ports.Log):
    """Streams of records, which may be unavailable."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: typing.Final[list[bytes]] = []
        self.is_out = False
        self._appended = trio.Event()

    async def append_record(self, stream: str, data: bytes) -> int:
        """Append a record; all streams are one here."""
        await self._answer("append")
        self.records.append(data)
        self._appended.set()
        self._appended = trio.Event()
        return len(self.records)

    async def read_records(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> ports.LogSlice:
        """Return the records from ``start`` on, after a wait if none."""
        await self._answer("read")
        if start > len(self.records):
            with trio.move_on_after(wait_ms / 1000):
                await self._appended.wait()
        found = [
            ports.LogRecord(offset, data)
            for offset, data in enumerate(self.records, 1)
            if offset >= start
        ]
        return ports.LogSlice(1, len(self.records) + 1, found[:limit])

    async def _answer(self, step: str) -> None:
        await trio.sleep(_ANSWER_S)
        if self.is_out:
            raise ports.PortError(step, "log", "out", took_effect=False)


def make_entry(
    log: SharedLog, nursery: trio.Nursery
) -> suspect_stream.SuspectStream:
    """Return an entry's view of the stream, which runs in ``nursery``."""
    entry = suspect_stream.SuspectStream(
        log, crash_suspects.CrashSuspects(), f"entry-{next(_NUMBERS)}"
    )
    nursery.start_soon(entry.run)
    return entry

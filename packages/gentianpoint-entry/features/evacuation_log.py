"""A log whose records expire, and entries that follow the evacuations."""

import math
import typing

import suspect_builders
import trio

from gentianpoint_core import ports
from gentianpoint_entry import evacuation_stream

__all__ = ("ExpiringLog", "start_entry")

_RENEWAL_MS: typing.Final = 15_000.0


class ExpiringLog(suspect_builders.SharedLog):
    """A shared log that drops records after some time."""

    def __init__(self) -> None:
        """Keep all records at first."""
        super().__init__()
        self.kept_s = math.inf
        self._appended_at: typing.Final[list[float]] = []

    async def append_record(self, stream: str, data: bytes) -> int:
        """Append a record."""
        offset = await super().append_record(stream, data)
        self._appended_at.append(trio.current_time())
        return offset

    async def read_records(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> ports.LogSlice:
        """Return the records that have not expired."""
        found = await super().read_records(stream, start, limit, wait_ms)
        oldest = trio.current_time() - self.kept_s
        first = 1 + sum(at < oldest for at in self._appended_at)
        kept = [item for item in found.records if item.offset >= first]
        return ports.LogSlice(first, found.next, kept)


def start_entry(
    nursery: trio.Nursery, log: ports.Log
) -> evacuation_stream.EvacuationStream:
    """Return an entry's view of the stream, which runs in ``nursery``."""
    stream = evacuation_stream.EvacuationStream(log, _RENEWAL_MS)
    nursery.start_soon(stream.run)
    return stream

"""Builders of a log in memory, and of targets that take turns through it."""

from collections import abc
import math
import typing

import trio

from gentianpoint_agent import order_leases
from gentianpoint_agent import order_stream
from gentianpoint_agent import order_turns
from gentianpoint_core import ports

TURNS: typing.Final = "turns"
TURN_MS: typing.Final = 30_000
LEASE_MS: typing.Final = 10_000
_HELD_POLL_S: typing.Final = 0.1


class MemoryLog(ports.Log):
    """A log that keeps one stream in memory."""

    def __init__(self) -> None:
        """Begin empty."""
        self.records: typing.Final[list[ports.LogRecord]] = []
        self.first = 1
        self.appends_a_second = math.inf
        self._second = 0
        self._in_second = 0
        self.is_out = False

    def _check_out(self) -> None:
        if self.is_out:
            raise ports.PortError("use", "log", "out", took_effect=False)

    def _check_rate(self) -> None:
        second = int(trio.current_time())
        if second != self._second:
            self._second, self._in_second = second, 0
        self._in_second += 1
        if self._in_second > self.appends_a_second:
            raise ports.PortError("use", "log", "429", took_effect=False)

    async def append_record(self, stream: str, data: bytes) -> int:
        """Append a record."""
        await trio.lowlevel.checkpoint()
        self._check_out()
        self._check_rate()
        offset = len(self.records) + 1
        self.records.append(ports.LogRecord(offset, data))
        return offset

    async def read_records(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> ports.LogSlice:
        """Read records, or wait for the whole time."""
        await trio.lowlevel.checkpoint()
        self._check_out()
        if start > len(self.records):
            await trio.sleep(wait_ms / 1000)
        begin = max(start, self.first) - 1
        rows = self.records[begin : begin + limit]
        return ports.LogSlice(self.first, len(self.records) + 1, tuple(rows))

    def expire_all(self) -> None:
        """Forget all records."""
        self.first = len(self.records) + 1


class HeldLog(ports.Log):
    """A way to a log on which reads or appends may be held up."""

    def __init__(self, log: ports.Log) -> None:
        """Hold nothing up."""
        self._log: typing.Final = log
        self.reads_held = False
        self.appends_held = False

    async def append_record(self, stream: str, data: bytes) -> int:
        """Append a record, perhaps later."""
        while self.appends_held:
            await trio.sleep(_HELD_POLL_S)
        return await self._log.append_record(stream, data)

    async def read_records(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> ports.LogSlice:
        """Read records, perhaps later."""
        while self.reads_held:
            await trio.sleep(_HELD_POLL_S)
        return await self._log.read_records(stream, start, limit, wait_ms)


class TurnTaker:
    """A target of its own that takes a turn of some units."""

    def __init__(self, log: ports.Log, name: str, limit: int) -> None:
        """Share turns of ``limit`` units."""
        self.name: typing.Final = name
        self.log: typing.Final = HeldLog(log)
        self.stream: typing.Final = order_stream.OrderStream(
            self.log, name, f"run-of-{name}"
        )
        self.lease: typing.Final = order_leases.OrderLease(
            self.stream, LEASE_MS
        )
        self.turns: typing.Final = order_turns.TurnClient(
            self.stream, TURNS, TURN_MS
        )
        self.is_wanted = True
        self.outcome = ""
        self._limit: typing.Final = limit

    async def claim_and_take(self, units: int) -> None:
        """Claim the target and take a turn."""
        await self.lease.claim()
        await self.take(units)

    async def take(self, units: int) -> None:
        """Take a turn, and note how that went."""
        taken = await self.turns.acquire(
            units, lambda: self._limit, lambda: self.is_wanted
        )
        self.outcome = "taken" if taken else "not wanted"

    async def take_and_keep_up(self, units: int) -> None:
        """Take a turn and keep it up for ever."""
        await self.claim_and_take(units)
        await self.turns.keep_renewed()


def count_taken(takers: abc.Iterable[TurnTaker]) -> int:
    """Return how many hold a turn."""
    return sum(
        taker.outcome == "taken" and taker.turns.is_held() for taker in takers
    )

"""An in-memory log and targets that acquire turns through it."""

from collections import abc
import math
import typing

import trio

from gentianpoint_agent import order_leases
from gentianpoint_agent import order_stream
from gentianpoint_agent import order_turns
from gentianpoint_core import ports

TURNS: typing.Final = "turns"
"""Name of the turns in these features."""
TURN_MS: typing.Final = 30_000
"""Duration of a turn in milliseconds."""
LEASE_MS: typing.Final = 10_000
"""Duration of a lease in milliseconds."""
_BLOCKED_POLL_S: typing.Final = 0.1
"""Interval at which a blocked call looks whether it may go on."""


class MemoryLog(ports.Log):
    """A log with one stream, which can be out or limit its rate."""

    def __init__(self) -> None:
        """Create an empty log without a rate limit."""
        self.records: typing.Final[list[ports.LogRecord]] = []
        self.first = 1
        self.appends_per_second = math.inf
        self._current_second = 0
        self._appends_in_second = 0
        self.is_out = False

    def _check_out(self) -> None:
        if self.is_out:
            raise ports.PortError("use", "log", "out", took_effect=False)

    def _check_rate(self) -> None:
        second = int(trio.current_time())
        if second != self._current_second:
            self._current_second, self._appends_in_second = second, 0
        self._appends_in_second += 1
        if self._appends_in_second > self.appends_per_second:
            raise ports.PortError("use", "log", "429", took_effect=False)

    async def append_record(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        await trio.lowlevel.checkpoint()
        self._check_out()
        self._check_rate()
        offset = len(self.records) + 1
        self.records.append(ports.LogRecord(offset, data))
        return offset

    async def read_records(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> ports.LogSlice:
        """Return records; waits the whole time when there are none."""
        await trio.lowlevel.checkpoint()
        self._check_out()
        if start > len(self.records):
            await trio.sleep(wait_ms / 1000)
        begin = max(start, self.first) - 1
        rows = self.records[begin : begin + limit]
        return ports.LogSlice(self.first, len(self.records) + 1, tuple(rows))

    def expire_all(self) -> None:
        """Expire all records."""
        self.first = len(self.records) + 1


class BlockableLog(ports.Log):
    """Access to a log whose reads or appends can be blocked."""

    def __init__(self, log: ports.Log) -> None:
        """Block nothing."""
        self._log: typing.Final = log
        self.reads_blocked = False
        self.appends_blocked = False

    async def append_record(self, stream: str, data: bytes) -> int:
        """Append a record once appends are not blocked."""
        while self.appends_blocked:
            await trio.sleep(_BLOCKED_POLL_S)
        return await self._log.append_record(stream, data)

    async def read_records(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> ports.LogSlice:
        """Return records once reads are not blocked."""
        while self.reads_blocked:
            await trio.sleep(_BLOCKED_POLL_S)
        return await self._log.read_records(stream, start, limit, wait_ms)


class TurnTarget:
    """A target that acquires turns, with a stream and lease of its own."""

    def __init__(self, log: ports.Log, name: str, limit: int) -> None:
        """Share ``limit`` units with the other targets of ``log``."""
        self.name: typing.Final = name
        self.log: typing.Final = BlockableLog(log)
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

    async def claim_and_acquire(self, units: int) -> None:
        """Claim the target and acquire a turn."""
        await self.lease.claim()
        await self.acquire(units)

    async def acquire(self, units: int) -> None:
        """Acquire a turn and store the outcome."""
        acquired = await self.turns.acquire(
            units, lambda: self._limit, lambda: self.is_wanted
        )
        self.outcome = "acquired" if acquired else "not wanted"

    async def acquire_and_renew(self, units: int) -> None:
        """Acquire a turn and renew it forever."""
        await self.claim_and_acquire(units)
        await self.turns.keep_renewed()


def count_holders(targets: abc.Iterable[TurnTarget]) -> int:
    """Return how many targets hold a turn."""
    return sum(
        target.outcome == "acquired" and target.turns.is_held()
        for target in targets
    )

"""What turns at the weight store cost the log when many targets come back.

All targets find their engines empty at one moment, take turns by the code of
the agent through a log in memory, and hold each turn as long as a read takes.
A clock that jumps stands for the waiting, so that only records and calls are
counted, and nothing depends on this machine.
"""

import base64
import functools
import math
import typing

import trio
import trio.testing

from bench import measures
from gentianpoint_agent import order_leases
from gentianpoint_agent import order_records
from gentianpoint_agent import order_stream
from gentianpoint_agent import order_turns
from gentianpoint_core import logs
from gentianpoint_core import ports

__all__ = ("measure",)

_TARGETS: typing.Final = (10, 20, 40, 80, 170, 386)
_AT_ONCE: typing.Final = 7
"""Reads that the store's rate carries together."""
_READ_S: typing.Final = 10.0
_TURN_MS: typing.Final = 30_000
_LEASE_MS: typing.Final = 10_000
_RECORD_FRAME_BYTES: typing.Final = len('{"offset":100000,"data":""},')
_ANSWER_BYTES: typing.Final = 160
"""Head and frame of an answer of the log."""


class _CountingLog(ports.Log):
    """A log in memory that counts what is asked of it."""

    def __init__(self) -> None:
        self.records: typing.Final[list[ports.LogRecord]] = []
        self.appended_bytes = 0
        self.reads = 0
        self.read_bytes = 0
        self.busiest = 0
        self._second = -1
        self._in_second = 0
        self._changed = trio.Event()

    def _note_call(self) -> None:
        second = int(trio.current_time())
        if second != self._second:
            self._second, self._in_second = second, 0
        self._in_second += 1
        self.busiest = max(self.busiest, self._in_second)

    async def append_record(self, stream: str, data: bytes) -> int:
        await trio.lowlevel.checkpoint()
        self._note_call()
        self.appended_bytes += len(data)
        offset = len(self.records) + 1
        self.records.append(ports.LogRecord(offset, data))
        self._changed.set()
        self._changed = trio.Event()
        return offset

    async def read_records(
        self, stream: str, start: int, limit: int, wait_ms: int
    ) -> ports.LogSlice:
        await trio.lowlevel.checkpoint()
        self._note_call()
        if start > len(self.records) and wait_ms:
            with trio.move_on_after(wait_ms / 1000):
                await self._changed.wait()
        rows = tuple(self.records[start - 1 : start - 1 + limit])
        self.reads += 1
        self.read_bytes += _ANSWER_BYTES + sum(
            len(base64.b64encode(row.data)) + _RECORD_FRAME_BYTES
            for row in rows
        )
        return ports.LogSlice(1, len(self.records) + 1, rows)


class _Outcome(typing.NamedTuple):
    """What one return of many targets took."""

    appends: int
    appended_bytes: int
    reads: int
    read_bytes: int
    busiest: int
    most_at_once: int
    seconds: float


class _Store:
    """Counts who reads."""

    def __init__(self) -> None:
        self.readers = 0
        self.most = 0

    async def read(self) -> None:
        self.readers += 1
        self.most = max(self.most, self.readers)
        await trio.sleep(_READ_S)
        self.readers -= 1


async def _load(log: ports.Log, store: _Store, number: int) -> None:
    target = f"modelo-taller-{number:04}"
    stream = order_stream.OrderStream(log, target, f"{number:016x}")
    lease = order_leases.OrderLease(stream, _LEASE_MS)
    turns = order_turns.TurnClient(stream, order_records.WEIGHTS, _TURN_MS)
    await lease.claim()
    taken = await turns.acquire(1, lambda: _AT_ONCE, lambda: True)
    assert taken
    async with trio.open_nursery() as nursery:
        nursery.start_soon(turns.keep_renewed)
        await lease.renew()
        await store.read()
        nursery.cancel_scope.cancel()
    await turns.release()


async def _bring_back(count: int) -> _Outcome:
    log = _CountingLog()
    store = _Store()
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(_load, log, store, number)
    return _Outcome(
        len(log.records),
        log.appended_bytes,
        log.reads,
        log.read_bytes,
        log.busiest,
        store.most,
        trio.current_time() - began,
    )


def _run(count: int) -> _Outcome:
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(functools.partial(_bring_back, count), clock=clock)


def measure() -> list[measures.Series]:
    """Return appends, reads and bytes against the targets that return."""
    logs.configure_logs("bench", "warning")
    outcomes = [_run(count) for count in _TARGETS]
    for count, outcome in zip(_TARGETS, outcomes, strict=True):
        ideal = math.ceil(count / _AT_ONCE) * _READ_S
        print(f"{count} targets, at least {ideal:.0f} s: {outcome}")
        assert outcome.most_at_once <= _AT_ONCE, outcome
    return [
        measures.Series(
            f"weight_turns.{name}",
            unit,
            "target",
            _TARGETS,
            [[float(getattr(outcome, name))] for outcome in outcomes],
        )
        for name, unit in (
            ("appends", "appends"),
            ("appended_bytes", "bytes"),
            ("reads", "calls"),
            ("read_bytes", "bytes"),
            ("busiest", "calls"),
            ("seconds", "s"),
        )
    ]


if __name__ == "__main__":
    measures.write_series(measure())

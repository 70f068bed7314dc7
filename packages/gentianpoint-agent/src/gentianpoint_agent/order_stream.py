"""One agent's reading and writing of the stream of orders."""

import abc
import contextlib
import random
import typing

import msgspec
import trio

from gentianpoint_agent import order_records
from gentianpoint_core import ports

__all__ = ("LogUnavailableError", "OrderStream", "RecordReader")

_BATCH: typing.Final = 500
_LOOK_BACK: typing.Final = 2000
"""Records before the own claim that are read, for turns that are open."""
_TAIL_S: typing.Final = 120.0
_APPEND_TRIES: typing.Final = 8
_APPEND_PAUSE_S: typing.Final = 0.2
_BACK_OFF: typing.Final = 2
_MAX_APPEND_PAUSE_S: typing.Final = 2.0


class LogUnavailableError(ports.PortError):
    """The log can't be used."""


def _make_unavailable(error: ports.PortError) -> LogUnavailableError:
    return LogUnavailableError(
        error.step, error.peer, error.reason, took_effect=error.took_effect
    )


class RecordReader(abc.ABC):
    """Takes the records of the stream in their order."""

    @abc.abstractmethod
    def take_record(
        self, offset: int, record: order_records.OrderRecord
    ) -> None:
        """Take one record."""

    @abc.abstractmethod
    def note_hole(self) -> None:
        """Learn that records expired before they were read."""


class OrderStream:
    """Appends records of one run, and reads those of all."""

    def __init__(self, log: ports.Log, target: str, incarnation: str) -> None:
        """Write for a run of the agent of ``target``."""
        self.target: typing.Final = target
        self.incarnation: typing.Final = incarnation
        self._log: typing.Final = log
        self._readers: typing.Final[list[RecordReader]] = []
        self._read_through = 0
        self._claim = 0
        self._reading: typing.Final = trio.Lock()

    def add_reader(self, reader: RecordReader) -> None:
        """Give ``reader`` all records read from now on."""
        self._readers.append(reader)

    def start_before(self, claim: int) -> None:
        """Read from a while before the own claim.

        An agent that began to read at its claim would not know of turns that
        were open then, and would read weights beside them all.
        """
        self._read_through = max(0, claim - _LOOK_BACK)
        self._claim = claim

    async def append(self, kind: str, turns: str = "", units: int = 0) -> int:
        """Append a record and return its offset.

        A refusal is tried again for some seconds: when a region comes back,
        all its agents append at once, and a log that is over its rate is
        not out. Raises :class:`LogUnavailableError`.
        """
        record = order_records.OrderRecord(
            kind, self.target, self.incarnation, turns, units
        )
        data = msgspec.json.encode(record)
        tries_left = _APPEND_TRIES
        pause_s = _APPEND_PAUSE_S
        while True:
            try:
                return await self._log.append_record(
                    order_records.ORDER_STREAM, data
                )
            except ports.PortError as error:
                tries_left -= 1
                if error.took_effect or not tries_left:
                    raise _make_unavailable(error) from error
            await trio.sleep(random.uniform(pause_s / 2, pause_s))
            pause_s = min(_MAX_APPEND_PAUSE_S, pause_s * _BACK_OFF)

    async def read_through(self, offset: int) -> None:
        """Read until the record at ``offset`` was taken."""
        while self._read_through < offset:
            await self.read_on(0)

    async def read_on(self, wait_ms: int) -> None:
        """Read the next records, waiting a while when there are none.

        Raises :class:`LogUnavailableError`.
        """
        async with self._reading:
            start = self._read_through + 1
            try:
                piece = await self._log.read_records(
                    order_records.ORDER_STREAM, start, _BATCH, wait_ms
                )
            except ports.PortError as error:
                raise _make_unavailable(error) from error
            if piece.first > start:
                self._skip_hole(piece.first)
            for record in piece.records:
                self._read_through = record.offset
                self._take(record)

    def _skip_hole(self, first: int) -> None:
        # Records expired unread. Those from before the own claim only told
        # of turns that have long ended; later ones may hold a later claim.
        if first - 1 > max(self._read_through, self._claim):
            for reader in self._readers:
                reader.note_hole()
        self._read_through = first - 1

    def _take(self, record: ports.LogRecord) -> None:
        with contextlib.suppress(msgspec.DecodeError):
            decoded = msgspec.json.decode(
                record.data, type=order_records.OrderRecord
            )
            for reader in self._readers:
                reader.take_record(record.offset, decoded)

    async def is_reachable(self) -> bool:
        """Tell whether the log can be read now."""
        try:
            await self.read_on(0)
        except ports.PortError:
            return False
        return True

    async def tail(self) -> None:
        """Read on now and then, for ever.

        An agent that reads only when it orders finds, after a quiet day,
        that records expired which it never read. It could not know any more
        that no later claim was among them, and would never order again; an
        operator would notice a target that stays at an old version.
        """
        while True:
            await trio.sleep(_TAIL_S)
            with contextlib.suppress(ports.PortError):
                await self.read_to_end()

    async def read_to_end(self) -> None:
        """Read all that there is."""
        before = -1
        while before != self._read_through:
            before = self._read_through
            await self.read_on(0)

"""Reads and appends the log's records of claims, leases and turns."""

import abc
import contextlib
import random
import typing

import msgspec
import trio

from gentianpoint_agent import order_records
from gentianpoint_core import ports

__all__ = ("LogUnavailableError", "OrderStream", "RecordHandler")

_READ_BATCH: typing.Final = 500
"""Most records in one read."""
_LOOKBACK_RECORDS: typing.Final = 2000
"""Records before this agent's claim that are read, to find open turns."""
_TAIL_INTERVAL_S: typing.Final = 120.0
"""Interval at which new records are read in the background, in seconds."""
_APPEND_ATTEMPTS: typing.Final = 8
"""Attempts of one append that the log refuses."""
_APPEND_DELAY_S: typing.Final = 0.2
"""Longest delay before the second attempt of an append, in seconds."""
_BACKOFF_FACTOR: typing.Final = 2
"""Factor by which the delay grows with each attempt."""
_MAX_APPEND_DELAY_S: typing.Final = 2.0
"""Longest delay between attempts of an append, in seconds."""


class LogUnavailableError(ports.PortError):
    """The log can't be used."""


def _make_unavailable(error: ports.PortError) -> LogUnavailableError:
    return LogUnavailableError(
        error.step, error.peer, error.reason, took_effect=error.took_effect
    )


class RecordHandler(abc.ABC):
    """Receives the records of the stream in order."""

    @abc.abstractmethod
    def handle_record(
        self, offset: int, record: order_records.OrderRecord
    ) -> None:
        """Handle one record."""

    @abc.abstractmethod
    def handle_gap(self) -> None:
        """Handle that records expired before they were read."""


class OrderStream:
    """Appends the records of one run of an agent and reads those of all."""

    def __init__(self, log: ports.Log, target: str, incarnation: str) -> None:
        """Append on behalf of one run of the agent of ``target``."""
        self.target: typing.Final = target
        self.incarnation: typing.Final = incarnation
        self._log: typing.Final = log
        self._handlers: typing.Final[list[RecordHandler]] = []
        self._last_offset = 0
        self._claim_offset = 0
        self._era: typing.Optional[int] = None
        self._read_lock: typing.Final = trio.Lock()

    def add_handler(self, handler: RecordHandler) -> None:
        """Pass all records read from now on to ``handler``."""
        self._handlers.append(handler)

    def start_reading_before(self, claim_offset: int) -> None:
        """Start reading some records before this agent's claim.

        An agent that started at its claim would not know which turns were
        held then, and its engine would read weights beside all of them.
        """
        self._last_offset = max(0, claim_offset - _LOOKBACK_RECORDS)
        self._claim_offset = claim_offset

    async def append(self, kind: str, turns: str = "", units: int = 0) -> int:
        """Append a record and return its offset.

        A refused append is retried for some seconds: when a region comes
        back, all its agents append at once, and a log that refuses because
        of its rate limit is not out. Raises :class:`LogUnavailableError`.
        """
        record = order_records.OrderRecord(
            kind, self.target, self.incarnation, turns, units
        )
        data = msgspec.json.encode(record)
        attempts_left = _APPEND_ATTEMPTS
        delay_s = _APPEND_DELAY_S
        while True:
            try:
                return await self._log.append_record(
                    order_records.ORDER_STREAM, data
                )
            except ports.PortError as error:
                attempts_left -= 1
                if error.took_effect or not attempts_left:
                    raise _make_unavailable(error) from error
            await trio.sleep(random.uniform(delay_s / 2, delay_s))
            delay_s = min(_MAX_APPEND_DELAY_S, delay_s * _BACKOFF_FACTOR)

    async def read_up_to(self, offset: int) -> None:
        """Read until the record at ``offset`` has been handled."""
        while self._last_offset < offset:
            await self.read_next(0)

    async def read_next(self, wait_ms: int) -> None:
        """Read the next records, waiting up to ``wait_ms`` for some.

        Raises :class:`LogUnavailableError`.
        """
        async with self._read_lock:
            start = self._last_offset + 1
            try:
                log_slice = await self._log.read_records(
                    order_records.ORDER_STREAM, start, _READ_BATCH, wait_ms
                )
            except ports.PortError as error:
                raise _make_unavailable(error) from error
            if self._era is not None and log_slice.era > self._era:
                # The log came back from an older copy: a later claim may be
                # among the records that it gives out offsets for again.
                for handler in self._handlers:
                    handler.handle_gap()
                self._last_offset = 0
                self._era = log_slice.era
                raise LogUnavailableError(
                    "read orders",
                    "log",
                    "it came back from an older copy",
                    took_effect=False,
                )
            self._era = log_slice.era
            if log_slice.first > start:
                self._skip_expired(log_slice.first)
            for record in log_slice.records:
                self._last_offset = record.offset
                self._dispatch(record)

    def _skip_expired(self, first: int) -> None:
        # Records expired unread. Records from before this agent's claim only
        # concern turns that ended long ago, but those after it may include a
        # later claim.
        if first - 1 > max(self._last_offset, self._claim_offset):
            for handler in self._handlers:
                handler.handle_gap()
        self._last_offset = first - 1

    def _dispatch(self, record: ports.LogRecord) -> None:
        with contextlib.suppress(msgspec.DecodeError):
            decoded = msgspec.json.decode(
                record.data, type=order_records.OrderRecord
            )
            for handler in self._handlers:
                handler.handle_record(record.offset, decoded)

    async def is_reachable(self) -> bool:
        """Tell whether the log can be read at present."""
        try:
            await self.read_next(0)
        except ports.PortError:
            return False
        return True

    async def tail(self) -> None:
        """Read new records at an interval, forever.

        An agent that read only before an order would find, after a day
        without orders, that records expired unread. It could no longer rule
        out a later claim among them and would never order again, so its
        target would stay at an old version.
        """
        while True:
            await trio.sleep(_TAIL_INTERVAL_S)
            with contextlib.suppress(ports.PortError):
                await self.read_to_end()

    async def read_to_end(self) -> None:
        """Read all records that are there."""
        previous = -1
        while previous != self._last_offset:
            previous = self._last_offset
            await self.read_next(0)

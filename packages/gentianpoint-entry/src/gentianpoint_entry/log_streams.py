"""Reads a stream of the log in batches, and logs its outages."""

import typing

import trio

from gentianpoint_core import ports
from gentianpoint_entry import log_availability

__all__ = ("LogStream",)

_BATCH_RECORDS: typing.Final = 500
"""Most records that one read returns."""


class LogStream(log_availability.LogAvailability):
    """One stream of the log, as a reader follows it."""

    def __init__(
        self, log: ports.Log, name: str, step: str, timeout_s: float
    ) -> None:
        """Read the stream ``name``; ``step`` names reads in errors.

        Each read takes ``timeout_s`` seconds at most, long polling included.
        A read that is open when an outage begins may never be answered.
        """
        super().__init__()
        self._log: typing.Final = log
        self._name: typing.Final = name
        self._step: typing.Final = step
        self._timeout_s: typing.Final = timeout_s

    async def append(self, data: bytes) -> int:
        """Append a record and return its offset.

        Raises :class:`ports.PortError`; if that took effect, the record may
        have been appended.
        """
        return await self._log.append_record(self._name, data)

    async def read(self, offset: int, wait_ms: int) -> ports.LogSlice:
        """Return records from ``offset`` on, after ``wait_ms`` without any.

        Raises :class:`ports.PortError`, also if there is no answer in time.
        """
        with trio.move_on_after(self._timeout_s):
            return await self._log.read_records(
                self._name, offset, _BATCH_RECORDS, wait_ms
            )
        raise ports.PortError(
            self._step, "log", "no answer in time", took_effect=False
        )

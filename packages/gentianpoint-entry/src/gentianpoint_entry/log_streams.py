"""Reads a stream of the log in batches, and logs its outages."""

import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events

__all__ = ("LogStream",)

_BATCH_RECORDS: typing.Final = 500
"""Most records that one read returns."""


class LogStream:
    """One stream of the log, as a reader follows it."""

    def __init__(
        self, log: ports.Log, name: str, step: str, timeout_s: float
    ) -> None:
        """Read the stream ``name``; ``step`` names reads in errors.

        Each read takes ``timeout_s`` seconds at most, long polling included.
        A read that is open when an outage begins may never be answered.
        """
        self._log: typing.Final = log
        self._name: typing.Final = name
        self._step: typing.Final = step
        self._timeout_s: typing.Final = timeout_s
        self.is_available = True

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

    def note_outcome(self, error: typing.Optional[ports.PortError]) -> None:
        """Log once that the stream can't be used, until it can be again."""
        if error is not None and self.is_available:
            logs.log_event(
                events.LOG_UNAVAILABLE,
                step=error.step,
                peer=error.peer,
                reason=error.reason,
            )
        self.is_available = error is None

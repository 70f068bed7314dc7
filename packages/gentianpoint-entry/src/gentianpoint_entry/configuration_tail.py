"""Follows the configuration stream of the platform's log."""

import typing

import trio

from gentianpoint_core import configuration
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events

__all__ = ("ConfigurationTail",)

_BATCH: typing.Final = 500
_WAIT_MS: typing.Final = 2000
_PAUSE_S: typing.Final = 0.3


class ConfigurationTail:
    """The configuration as this entry has folded it."""

    def __init__(self, log: ports.Log) -> None:
        """Follow ``log`` from its beginning."""
        self.state: typing.Final = configuration.Configuration()
        self._log: typing.Final = log
        self._available = True
        self._caught_up: typing.Final = trio.Event()
        self._changed = trio.Event()

    async def wait_caught_up(self) -> None:
        """Wait until the end of the stream was reached once."""
        await self._caught_up.wait()

    async def wait_changed(self) -> None:
        """Wait until another record is folded."""
        await self._changed.wait()

    async def run(self) -> None:
        """Fold records for ever, through outages of the log."""
        while True:
            try:
                await self._read_once()
            except ports.PortError as error:
                self._note_unavailable(error)
                await trio.sleep(_PAUSE_S)

    async def _read_once(self) -> None:
        start = self.state.offset + 1
        wait_ms = _WAIT_MS if self._caught_up.is_set() else 0
        piece = await self._log.read_records(
            configuration.CONFIGURATION_STREAM, start, _BATCH, wait_ms
        )
        if not self._available:
            self._available = True
            logs.log_event(events.LOG_AVAILABLE)
        for record in piece.records:
            self._fold(record)
        if piece.records:
            logs.log_event(
                events.CONFIGURATION_APPLIED, offset=self.state.offset
            )
            self._changed.set()
            self._changed = trio.Event()
        if self.state.offset + 1 >= piece.next:
            self._caught_up.set()

    def _fold(self, record: ports.LogRecord) -> None:
        outcome = self.state.apply_record(record.offset, record.data)
        if outcome is None:
            return
        event = events.CHANGE_REFUSED
        if outcome.accepted:
            event = events.CHANGE_ACCEPTED
        logs.log_event(
            event,
            change=outcome.change,
            offset=outcome.offset,
            kind=outcome.kind,
            name=outcome.name,
            reason=outcome.reason,
        )

    def _note_unavailable(self, error: ports.PortError) -> None:
        if self._available:
            logs.log_event(
                events.LOG_UNAVAILABLE,
                step=error.step,
                peer=error.peer,
                reason=error.reason,
            )
        self._available = False

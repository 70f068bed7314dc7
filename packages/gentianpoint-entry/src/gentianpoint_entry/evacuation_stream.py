"""Shares operators' evacuations of data centres through the log.

Evacuations have a stream of their own: processes of earlier versions skip
records of a kind that they don't know, and their configurations would differ
for good. Each record is the begin or the end of one evacuation, or the whole
state. Records expire in the log, so while a data centre is evacuated, one
entry after the other repeats the state before the newest record is too old.
"""

import math
import random
import typing

import msgspec
import trio

from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.decisions import evacuations
from gentianpoint_core.generated import events
from gentianpoint_entry import log_streams

__all__ = ("STREAM", "EvacuationStream")

STREAM: typing.Final = "evacuations"
"""Stream of the log that has the evacuations."""
_FIRST_OFFSET: typing.Final = 1
_LONG_POLL_MS: typing.Final = 2000
"""Time for which the log may hold a read that finds no record, milliseconds.
A record that does not wake the read comes with the next one."""
_READ_TIMEOUT_S: typing.Final = 3.5
"""Timeout of one read, long polling included, seconds. A read that is open
when an outage begins is never answered."""
_RETRY_PAUSE_S: typing.Final = 0.3
"""Pause before the log is read again after a failure, seconds."""
_RENEWAL_SPREAD: typing.Final = 1.0
"""Share of the interval over which the entries' renewals are spread, so that
nearly always one of them writes and the others see it."""


class _Row(typing.TypedDict, total=False):
    """A record: either one change or the whole state."""

    data_centre: str
    evacuated: bool
    since: dict[str, int]
    """Offsets of the records of all evacuated data centres."""
    through: int
    """Offset up to which the state takes records into account."""


class EvacuationStream:
    """The evacuations that this entry has read from the log."""

    def __init__(self, log: ports.Log, renewal_ms: float) -> None:
        """Follow ``log``; repeat the state if none came for ``renewal_ms``."""
        self.evacuations: typing.Final = evacuations.Evacuations()
        self.offset = 0
        self._era: typing.Optional[int] = None
        self._stream: typing.Final = log_streams.LogStream(
            log, STREAM, "read evacuations", _READ_TIMEOUT_S
        )
        self._renewal_s: typing.Final = renewal_ms / 1000
        self._recorded_at = -math.inf
        self._is_ready = False
        self._changed = trio.Event()
        self._watchers: typing.Final[
            list[typing.Callable[[frozenset[str]], None]]
        ] = []

    def is_ready(self) -> bool:
        """Tell whether calls may be taken.

        Either the stream was read to its end, or the log fails. Then agents
        in evacuated data centres refuse calls themselves, as other entries
        have told them.
        """
        return self._is_ready

    @property
    def position(self) -> ports.LogPosition:
        """Position in the log of the last record that was read."""
        return ports.LogPosition(self._era or 0, self.offset)

    def add_watcher(
        self, notify: typing.Callable[[frozenset[str]], None]
    ) -> None:
        """Call ``notify`` with the evacuated data centres at each change."""
        self._watchers.append(notify)

    async def wait_changed(self) -> None:
        """Wait until other data centres are evacuated than now."""
        await self._changed.wait()

    async def write(self, data_centre: str, *, is_evacuated: bool) -> int:
        """Append the begin or the end of an evacuation; return its offset.

        It is acknowledged by the log, and every entry reads it from there.
        Raises :class:`ports.PortError`; if that took effect, the record may
        have been appended.
        """
        return await self._append(
            {"data_centre": data_centre, "evacuated": is_evacuated}
        )

    async def _append(self, row: _Row) -> int:
        return await self._stream.append(msgspec.json.encode(row))

    async def run(self) -> None:
        """Follow the stream, and repeat the state, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            nursery.start_soon(self._renew)

    async def _follow(self) -> None:
        while True:
            try:
                found = await self._read(self.offset + 1)
            except ports.PortError as error:
                self._stream.note_outcome(error)
                self._is_ready = True
                await trio.sleep(_RETRY_PAUSE_S)
                continue
            self._stream.note_outcome(None)
            if self._era is None:
                self._era = found.era
            if found.era != self._era:
                await self._go_on_in_era(found.era)
                continue
            for record in found.records:
                self._apply(record)
                self.offset = record.offset
            self.offset = max(self.offset, found.first - 1)
            if self.offset + 1 >= found.next:
                self._is_ready = True

    async def _go_on_in_era(self, era: int) -> None:
        """Read the stream anew after it has come back from an older copy.

        Evacuations hold meanwhile. Those that the copy lacks are written
        again; the end of one that it lacks has to be told again.
        """
        if self._era is not None and era < self._era:
            # The answer is late, and of before the log's return.
            return
        logs.log_event(
            events.LOG_RESTORED,
            topic=STREAM,
            era=era,
            end=1,
            era_before=self._era,
            end_before=self.offset + 1,
        )
        known = self.evacuations.find_offsets()
        self.evacuations.restart(known)
        self.offset = 0
        self._era = era
        try:
            for data_centre in known:
                await self.write(data_centre, is_evacuated=True)
        except ports.PortError as error:
            self._stream.note_outcome(error)

    async def _read(self, start: int) -> ports.LogSlice:
        may_wait = self._is_ready and self._stream.is_available
        return await self._stream.read(
            max(start, _FIRST_OFFSET), _LONG_POLL_MS if may_wait else 0
        )

    def _apply(self, record: ports.LogRecord) -> None:
        try:
            row = msgspec.json.decode(record.data, type=_Row)
            is_changed = self._apply_row(row, record.offset)
        except (msgspec.DecodeError, LookupError, RecursionError) as error:
            logs.log_event(
                events.RECORD_IGNORED,
                step="read evacuations",
                peer=STREAM,
                offset=record.offset,
                reason=repr(error),
            )
            return
        self._recorded_at = trio.current_time()
        if is_changed:
            self._notify()

    def _apply_row(self, row: _Row, offset: int) -> bool:
        if "since" in row:
            return self.evacuations.apply_state(row["since"], row["through"])
        return self.evacuations.apply_change(
            row["data_centre"], offset, is_evacuated=row["evacuated"]
        )

    def _notify(self) -> None:
        evacuated = self.evacuations.data_centres
        logs.log_event(
            events.DATA_CENTRES_EVACUATED, data_centres=sorted(evacuated)
        )
        for notify in self._watchers:
            notify(evacuated)
        self._changed.set()
        self._changed = trio.Event()

    async def _renew(self) -> None:
        """Repeat the state while there is one that could expire."""
        while True:
            spread = 1 + _RENEWAL_SPREAD * random.random()
            due_at = self._recorded_at + self._renewal_s * spread
            if not self.evacuations.data_centres:
                await self.wait_changed()
                continue
            if trio.current_time() < due_at:
                await trio.sleep_until(due_at)
                continue
            try:
                await self._append(
                    {
                        "since": dict(self.evacuations.find_offsets()),
                        "through": self.offset,
                    }
                )
            except ports.PortError as error:
                self._stream.note_outcome(error)
                await trio.sleep(_RETRY_PAUSE_S)
            else:
                self._recorded_at = trio.current_time()

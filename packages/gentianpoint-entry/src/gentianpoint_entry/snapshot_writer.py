"""When this entry writes a snapshot of the configuration.

Any entry may write one and a second one harms nothing, but 380 entries that
all write several megabytes at the same time would fill the log. So they take
turns: rendezvous hashing ranks them, each waits its rank's time, and then
looks whether one before it has written.
"""

import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import ports
from gentianpoint_core import snapshots
from gentianpoint_entry import configuration_tail
from gentianpoint_entry import live_hosts
from gentianpoint_entry import snapshot_store
from gentianpoint_entry.generated import settings as entry_settings

__all__ = ("SnapshotWriter",)

_TURN_MS: typing.Final = 3000
_LONGEST_TURNS: typing.Final = 40
_PAUSE_S: typing.Final = 1.0


class SnapshotWriter:
    """Writes a snapshot when the newest one is too old or too far behind."""

    def __init__(
        self,
        log: ports.Log,
        tail: configuration_tail.ConfigurationTail,
        hosts: live_hosts.LiveHosts,
        settings: entry_settings.EntrySettings,
    ) -> None:
        """Write the state of ``tail`` to ``log``."""
        self._log: typing.Final = log
        self._tail: typing.Final = tail
        self._hosts: typing.Final = hosts
        self._records: typing.Final = settings.snapshot_records
        self._interval_ms: typing.Final = settings.snapshot_interval_ms
        self._newest: typing.Optional[snapshots.IndexEntry] = None
        self._renew_at = deadlines.make_deadline(self._interval_ms)

    async def run(self) -> None:
        """Write for ever, whenever it is due and nobody else did."""
        await self._tail.wait_ready()
        while True:
            try:
                await self._look_for_newer()
                await self._wait_due()
                await self._take_turn()
            except ports.PortError:
                # The tail reads the same log and reports its outage.
                await trio.sleep(_PAUSE_S)

    def _is_due(self) -> bool:
        if self._tail.state.offset == 0:
            return False
        covered = self._newest.offset if self._newest else 0
        behind = self._tail.state.offset - covered
        return behind >= self._records or self._renew_at.is_past()

    async def _wait_due(self) -> None:
        while not self._is_due():
            with trio.move_on_at(self._renew_at.at):
                await self._tail.wait_changed()
            if self._tail.state.offset == 0:
                self._renew_at = deadlines.make_deadline(self._interval_ms)

    async def _look_for_newer(self) -> bool:
        """Take over what another entry wrote, and tell whether one did."""
        entry = await snapshot_store.read_newest_entry(self._log)
        if entry is None or entry == self._newest:
            return False
        self._note_newest(entry)
        return True

    def _note_newest(self, entry: snapshots.IndexEntry) -> None:
        self._newest = entry
        self._renew_at = deadlines.make_deadline(self._interval_ms)

    async def _take_turn(self) -> None:
        if await self._look_for_newer() and not self._is_due():
            return
        subject = self._newest.snapshot if self._newest else ""
        rank = min(self._hosts.find_own_rank(subject), _LONGEST_TURNS)
        await trio.sleep(rank * _TURN_MS / 1000)
        if await self._look_for_newer() and not self._is_due():
            return
        entry = await snapshot_store.write_snapshot(
            self._log, self._tail.state
        )
        self._note_newest(entry)

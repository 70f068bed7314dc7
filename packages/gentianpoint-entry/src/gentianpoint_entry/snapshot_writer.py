"""Decides when this entry writes a snapshot of the configuration.

Any entry may write one, and a duplicate does no harm. But if 380 entries all
wrote several megabytes at the same time, they would fill the log. So
rendezvous hashing ranks the entries. Each waits for a time in proportion to
its rank, and writes only if no other entry has written meanwhile.
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

_DELAY_PER_RANK_MS: typing.Final = 3000
"""Delay per rank, milliseconds."""
_MAX_RANK: typing.Final = 40
"""Highest rank that counts for the delay."""
_RETRY_PAUSE_S: typing.Final = 1.0
"""Pause before the next attempt after a failure of the log, seconds."""


class SnapshotWriter:
    """Writes a snapshot when the newest is too old or too far behind."""

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
        self._max_records: typing.Final = settings.snapshot_records
        self._interval_ms: typing.Final = settings.snapshot_interval_ms
        self._newest: typing.Optional[snapshots.IndexEntry] = None
        self._due_at = deadlines.make_deadline(self._interval_ms)

    async def run(self) -> None:
        """Write a snapshot whenever one is due and no other entry wrote it."""
        await self._tail.wait_ready()
        while True:
            try:
                await self._find_newer()
                await self._wait_due()
                await self._write_in_turn()
            except ports.PortError:
                # The configuration tail reads the same log and reports the
                # outage.
                await trio.sleep(_RETRY_PAUSE_S)

    def _is_due(self) -> bool:
        if self._tail.state.offset == 0:
            return False
        snapshot_offset = self._newest.offset if self._newest else 0
        records_behind = self._tail.state.offset - snapshot_offset
        return records_behind >= self._max_records or self._due_at.is_past()

    async def _wait_due(self) -> None:
        while not self._is_due():
            with trio.move_on_at(self._due_at.at):
                await self._tail.wait_changed()
            if self._tail.state.offset == 0:
                self._due_at = deadlines.make_deadline(self._interval_ms)

    async def _find_newer(self) -> bool:
        """Look for a snapshot of another entry; tell whether there is one."""
        entry = await snapshot_store.read_newest_entry(self._log)
        if entry is None or entry == self._newest:
            return False
        self._set_newest(entry)
        return True

    def _set_newest(self, entry: snapshots.IndexEntry) -> None:
        self._newest = entry
        self._due_at = deadlines.make_deadline(self._interval_ms)

    async def _write_in_turn(self) -> None:
        if await self._find_newer() and not self._is_due():
            return
        rank_subject = self._newest.snapshot if self._newest else ""
        rank = min(self._hosts.find_own_rank(rank_subject), _MAX_RANK)
        await trio.sleep(rank * _DELAY_PER_RANK_MS / 1000)
        if await self._find_newer() and not self._is_due():
            return
        entry = await snapshot_store.write_snapshot(
            self._log, self._tail.state
        )
        self._set_newest(entry)

"""On how many of the live hosts a change is in force.

The entry through which an operator watches reads the status records of all
entries; the others never do. Some time after the last question it stops.
"""

from collections import abc
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import ports
from gentianpoint_entry import agent_links
from gentianpoint_entry import configuration_tail
from gentianpoint_entry import live_hosts
from gentianpoint_entry import status_records
from gentianpoint_entry import status_writer

__all__ = ("InForce", "StatusTracker")

_FOLLOWED_MS: typing.Final = 60_000
_WAIT_MS: typing.Final = 2000
_PAUSE_S: typing.Final = 0.5
_BATCH: typing.Final = 500
_RECORDS_PER_ENTRY: typing.Final = 2
_SPARE_RECORDS: typing.Final = 16
_FIRST_READ_WITHIN_S: typing.Final = 2.0
_MAX_LAGGING: typing.Final = 20


class InForce(typing.NamedTuple):
    """Where a change is in force."""

    n: int
    """Live hosts that are known to have it."""
    of: int
    """Live hosts of the host list, entries and agents."""
    lagging: abc.Sequence[str]
    """Names of some of the others."""


class StatusTracker:
    """The highest offset that each host is known to have."""

    def __init__(
        self,
        log: ports.Log,
        tail: configuration_tail.ConfigurationTail,
        hosts: live_hosts.LiveHosts,
        list_links: abc.Callable[[], abc.Iterable[agent_links.AgentLink]],
    ) -> None:
        """Read status records from ``log`` when someone asks."""
        self.version = 0
        self._log: typing.Final = log
        self._tail: typing.Final = tail
        self._hosts: typing.Final = hosts
        self._list_links: typing.Final = list_links
        self._offsets: typing.Final[dict[bytes, int]] = {}
        self._followed_until = deadlines.make_deadline(0)
        self._asked = trio.Event()
        self._read_once = trio.Event()
        self._changed = trio.Event()

    async def run(self) -> None:
        """Follow tail, hosts and, while someone asks, the records."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pass_on, self._tail.wait_changed)
            nursery.start_soon(self._pass_on, self._hosts.wait_changed)
            nursery.start_soon(self._follow_records)

    async def _pass_on(
        self, wait_changed: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        while True:
            await wait_changed()
            self.announce()

    def announce(self) -> None:
        """Let watchers look again."""
        self.version += 1
        self._changed.set()
        self._changed = trio.Event()

    async def wait_changed(self, version: int) -> None:
        """Wait until there is something newer than ``version``."""
        while self.version == version:
            await self._changed.wait()

    def ask(self) -> None:
        """Read the records for some time from now on."""
        self._followed_until = deadlines.make_deadline(_FOLLOWED_MS)
        self._asked.set()

    async def wait_read(self) -> None:
        """Wait, not for long, until the records were read."""
        self.ask()
        with trio.move_on_after(_FIRST_READ_WITHIN_S):
            await self._read_once.wait()

    async def _follow_records(self) -> None:
        while True:
            await self._asked.wait()
            try:
                await self._read_until_unasked()
            except ports.PortError:
                await trio.sleep(_PAUSE_S)

    async def _read_until_unasked(self) -> None:
        start = await self._find_start()
        while not self._followed_until.is_past():
            wait_ms = _WAIT_MS if self._read_once.is_set() else 0
            piece = await self._log.read_records(
                status_records.STATUS_STREAM, start, _BATCH, wait_ms
            )
            for record in piece.records:
                self._note(status_records.decode_status(record.data))
            start = max(start, piece.first)
            if piece.records:
                start = piece.records[-1].offset + 1
                self.announce()
            if start >= piece.next:
                self._read_once.set()
        self._asked = trio.Event()
        self._read_once = trio.Event()

    async def _find_start(self) -> int:
        end = await self._log.read_records(
            status_records.STATUS_STREAM, 1, 1, 0
        )
        wanted = self._hosts.count_entries() * _RECORDS_PER_ENTRY
        return max(1, end.first, end.next - wanted - _SPARE_RECORDS)

    def _note(
        self, record: typing.Optional[status_records.StatusRecord]
    ) -> None:
        if record is None:
            return
        names = [status_records.digest_name(record.host)]
        names += status_records.list_digests(record)
        for name in names:
            known = self._offsets.get(name, 0)
            self._offsets[name] = max(known, record.offset)

    def count_in_force(self, offset: int) -> InForce:
        """Return where the change at ``offset`` is in force."""
        own = {self._hosts.own_name} if self._has(offset) else set()
        own.update(
            status_writer.list_agents_in_force(self._list_links(), offset)
        )
        hosts = self._hosts.list_hosts()
        lagging = [
            host.host
            for host in hosts
            if host.host not in own
            and self._offsets.get(status_records.digest_name(host.host), 0)
            < offset
        ]
        return InForce(
            len(hosts) - len(lagging),
            len(hosts),
            sorted(lagging)[:_MAX_LAGGING],
        )

    def _has(self, offset: int) -> bool:
        return self._tail.state.offset >= offset

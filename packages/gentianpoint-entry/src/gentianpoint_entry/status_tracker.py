"""Tracks on which of the live hosts a change is in force.

Only an entry through which an operator asks or watches reads the status
records of all entries. It stops some time after the last request.
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

_FOLLOW_MS: typing.Final = 60_000
"""Time for which the records are read after a request, milliseconds."""
_LONG_POLL_MS: typing.Final = 2000
"""Time for which the log may hold a read that finds no new record (long
polling), milliseconds."""
_RETRY_PAUSE_S: typing.Final = 0.5
"""Pause before the log is read again after a failure, seconds."""
_BATCH_RECORDS: typing.Final = 500
"""Most records that one read returns."""
_RECORDS_PER_ENTRY: typing.Final = 2
"""Number of the latest records that are read first, for each live entry."""
_SPARE_RECORDS: typing.Final = 16
"""Number of further records that are read first."""
_FIRST_READ_TIMEOUT_S: typing.Final = 2.0
"""Longest wait for the end of the stream to be reached, seconds."""
_MAX_LAGGING: typing.Final = 20
"""Number of lagging hosts that are named at most."""


class InForce(typing.NamedTuple):
    """On how many live hosts a change is in force."""

    in_force_count: int
    """Number of live hosts on which it is known to be in force."""
    live_count: int
    """Number of live hosts in the host list, entries and agents."""
    lagging: abc.Sequence[str]
    """Names of the other hosts, sorted, up to a maximum number."""


class StatusTracker:
    """Tracks the highest offset that each host is known to have.

    ``version`` grows with each change that a watcher may have to see.
    """

    def __init__(
        self,
        log: ports.Log,
        tail: configuration_tail.ConfigurationTail,
        hosts: live_hosts.LiveHosts,
        list_links: abc.Callable[[], abc.Iterable[agent_links.AgentLink]],
    ) -> None:
        """Read status records from ``log`` on request."""
        self.version = 0
        self._log: typing.Final = log
        self._tail: typing.Final = tail
        self._hosts: typing.Final = hosts
        self._list_links: typing.Final = list_links
        self._known_offsets: typing.Final[dict[bytes, int]] = {}
        self._follow_until = deadlines.make_deadline(0)
        self._follow_requested = trio.Event()
        self._caught_up = trio.Event()
        self._changed = trio.Event()

    async def run(self) -> None:
        """Follow the tail, the hosts and, while requested, the records."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._forward_changes, self._tail.wait_changed)
            nursery.start_soon(self._forward_changes, self._hosts.wait_changed)
            nursery.start_soon(self._follow_records)

    async def _forward_changes(
        self, wait_changed: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        while True:
            await wait_changed()
            self.notify_changed()

    def notify_changed(self) -> None:
        """Wake all that wait for a newer version."""
        self.version += 1
        self._changed.set()
        self._changed = trio.Event()

    async def wait_changed(self, version: int) -> None:
        """Wait until there is a newer version than ``version``."""
        while self.version == version:
            await self._changed.wait()

    def keep_following(self) -> None:
        """Read the status records for some time from now on."""
        self._follow_until = deadlines.make_deadline(_FOLLOW_MS)
        self._follow_requested.set()

    async def wait_until_caught_up(self) -> None:
        """Wait a limited time until the latest records have been read."""
        self.keep_following()
        with trio.move_on_after(_FIRST_READ_TIMEOUT_S):
            await self._caught_up.wait()

    async def _follow_records(self) -> None:
        while True:
            await self._follow_requested.wait()
            try:
                await self._read_while_requested()
            except ports.PortError:
                await trio.sleep(_RETRY_PAUSE_S)

    async def _read_while_requested(self) -> None:
        start = await self._find_start()
        while not self._follow_until.is_past():
            wait_ms = _LONG_POLL_MS if self._caught_up.is_set() else 0
            batch = await self._log.read_records(
                status_records.STATUS_STREAM, start, _BATCH_RECORDS, wait_ms
            )
            for record in batch.records:
                self._update_offsets(status_records.decode_status(record.data))
            start = max(start, batch.first)
            if batch.records:
                start = batch.records[-1].offset + 1
                self.notify_changed()
            if start >= batch.next:
                self._caught_up.set()
        self._follow_requested = trio.Event()
        self._caught_up = trio.Event()

    async def _find_start(self) -> int:
        end = await self._log.read_records(
            status_records.STATUS_STREAM, 1, 1, 0
        )
        wanted = self._hosts.count_entries() * _RECORDS_PER_ENTRY
        return max(1, end.first, end.next - wanted - _SPARE_RECORDS)

    def _update_offsets(
        self, record: typing.Optional[status_records.StatusRecord]
    ) -> None:
        if record is None:
            return
        names = [status_records.digest_name(record.host)]
        names += status_records.list_digests(record)
        for name in names:
            known = self._known_offsets.get(name, 0)
            self._known_offsets[name] = max(known, record.offset)

    def count_hosts_in_force(self, offset: int) -> InForce:
        """Return on how many hosts the change at ``offset`` is in force.

        Hosts that follow an earlier era of the log don't count.
        """
        number = self._tail.position._replace(offset=offset).to_number()
        confirmed = (
            {self._hosts.own_name} if self._is_in_force_here(offset) else set()
        )
        confirmed.update(
            status_writer.list_agents_in_force(self._list_links(), number)
        )
        hosts = self._hosts.list_hosts()
        lagging = [
            host.host
            for host in hosts
            if host.host not in confirmed
            and self._known_offsets.get(
                status_records.digest_name(host.host), 0
            )
            < number
        ]
        return InForce(
            len(hosts) - len(lagging),
            len(hosts),
            sorted(lagging)[:_MAX_LAGGING],
        )

    def _is_in_force_here(self, offset: int) -> bool:
        return self._tail.state.offset >= offset

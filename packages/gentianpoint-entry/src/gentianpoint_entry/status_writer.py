"""Reports to the log which configuration this entry and its agents have."""

from collections import abc
import random
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import ports
from gentianpoint_entry import agent_links
from gentianpoint_entry import configuration_tail
from gentianpoint_entry import live_hosts
from gentianpoint_entry import status_records

__all__ = ("StatusWriter", "list_agents_in_force")

_MIN_PAUSE_S: typing.Final = 2.0
_APPENDS_PER_S: typing.Final = 100
"""Highest rate of status records of all entries, per second."""
_JITTER: typing.Final = 0.25
"""Largest random deviation of a pause, as a share of it."""
_REPEAT_MS: typing.Final = 60_000
"""Time after which an unchanged record is written again, milliseconds."""


def list_agents_in_force(
    links: abc.Iterable[agent_links.AgentLink], offset: int
) -> abc.Sequence[str]:
    """Return the hosts of connected agents that have at least ``offset``."""
    return [
        link.host.host
        for link in links
        if link.is_connected() and link.get_applied_offset() >= offset
    ]


class StatusWriter:
    """Appends a status record when it has changed, and every minute.

    The pause between two records grows with the number of entries, so that
    all of them together leave most of the log's append rate to operators.
    """

    def __init__(
        self,
        log: ports.Log,
        tail: configuration_tail.ConfigurationTail,
        hosts: live_hosts.LiveHosts,
        list_links: abc.Callable[[], abc.Iterable[agent_links.AgentLink]],
    ) -> None:
        """Report on ``tail`` and the agents of the links in ``list_links``."""
        self._log: typing.Final = log
        self._tail: typing.Final = tail
        self._hosts: typing.Final = hosts
        self._list_links: typing.Final = list_links
        self._last_record: typing.Optional[status_records.StatusRecord] = None
        self._repeat_at = deadlines.make_deadline(0)

    async def run(self) -> None:
        """Write until cancelled, also through outages of the log."""
        await self._tail.wait_ready()
        while True:
            await trio.sleep(self._choose_pause_s())
            record = self._make_record()
            if record == self._last_record and not self._repeat_at.is_past():
                continue
            try:
                await self._append(record)
            except ports.PortError:
                # The configuration tail reads the same log and reports the
                # outage. A missing record only makes hosts appear lagging.
                continue

    def _choose_pause_s(self) -> float:
        shared_pause_s = self._hosts.count_entries() / _APPENDS_PER_S
        jitter = random.uniform(1 - _JITTER, 1 + _JITTER)
        return max(_MIN_PAUSE_S, shared_pause_s) * jitter

    def _make_record(self) -> status_records.StatusRecord:
        offset = self._tail.position.to_number()
        agents = list_agents_in_force(self._list_links(), offset)
        return status_records.make_status(self._hosts.own_name, offset, agents)

    async def _append(self, record: status_records.StatusRecord) -> None:
        await self._log.append_record(
            status_records.STATUS_STREAM, status_records.encode_status(record)
        )
        self._last_record = record
        self._repeat_at = deadlines.make_deadline(_REPEAT_MS)

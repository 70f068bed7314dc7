"""The last reading of the host list, for those who need all hosts."""

from collections import abc
import typing

import trio
import xxhash

from gentianpoint_core import ports

__all__ = ("LiveHosts",)

_ENTRY: typing.Final = "entry"
_LIVE: typing.Final = "live"


class LiveHosts:
    """Hosts that the platform's list shows as live."""

    def __init__(self, own_name: str) -> None:
        """Start with no hosts, seen from the host ``own_name``."""
        self.own_name: typing.Final = own_name
        self._hosts: abc.Sequence[ports.Host] = ()
        self._changed = trio.Event()

    def update_hosts(self, hosts: abc.Iterable[ports.Host]) -> None:
        """Take a new reading of the list."""
        live = tuple(host for host in hosts if host.state == _LIVE)
        if live != self._hosts:
            self._hosts = live
            self._changed.set()
            self._changed = trio.Event()

    async def wait_changed(self) -> None:
        """Wait until a reading differs from the one before."""
        await self._changed.wait()

    def list_hosts(self) -> abc.Sequence[ports.Host]:
        """Return all live hosts, entries and agents."""
        return self._hosts

    def list_other_entries(self) -> abc.Sequence[ports.Host]:
        """Return the live entries but this one."""
        return [
            host
            for host in self._hosts
            if host.role == _ENTRY and host.host != self.own_name
        ]

    def count_entries(self) -> int:
        """Return the number of live entries, this one included."""
        return len(self.list_other_entries()) + 1

    def count_targets(self, service: str) -> int:
        """Return the number of live targets of a service."""
        return sum(host.service == service for host in self._hosts)

    def find_own_rank(self, subject: str) -> int:
        """Return this entry's place, from 0, among those for ``subject``.

        Rendezvous hashing: all entries with the same list agree who comes
        first, and the turn falls to others for other subjects.
        """

        def weigh(name: str) -> int:
            return xxhash.xxh64_intdigest(f"{subject}/{name}".encode())

        own = weigh(self.own_name)
        others = self.list_other_entries()
        return sum(weigh(host.host) > own for host in others)

"""The live hosts of the last read host list."""

from collections import abc
import typing

import trio
import xxhash

from gentianpoint_core import ports

__all__ = ("LiveHosts",)

_ENTRY: typing.Final = "entry"
_LIVE: typing.Final = "live"


class LiveHosts:
    """Hosts whose state in the platform's host list is live."""

    def __init__(self, own_name: str) -> None:
        """Start without hosts; ``own_name`` is the name of this entry."""
        self.own_name: typing.Final = own_name
        self._hosts: abc.Sequence[ports.Host] = ()
        self._changed = trio.Event()

    def update_hosts(self, hosts: abc.Iterable[ports.Host]) -> None:
        """Replace the hosts by those of a newly read list."""
        live = tuple(host for host in hosts if host.state == _LIVE)
        if live != self._hosts:
            self._hosts = live
            self._changed.set()
            self._changed = trio.Event()

    async def wait_changed(self) -> None:
        """Wait until the live hosts change."""
        await self._changed.wait()

    def list_hosts(self) -> abc.Sequence[ports.Host]:
        """Return all live hosts, entries and agents."""
        return self._hosts

    def list_other_entries(self) -> abc.Sequence[ports.Host]:
        """Return the live entries without this one."""
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
        """Return this entry's rank for ``subject``, from 0 for the first.

        Rendezvous hashing: all entries with the same host list compute the
        same order, and different subjects give different orders.
        """

        def compute_weight(name: str) -> int:
            return xxhash.xxh64_intdigest(f"{subject}/{name}".encode())

        own = compute_weight(self.own_name)
        others = self.list_other_entries()
        return sum(compute_weight(host.host) > own for host in others)

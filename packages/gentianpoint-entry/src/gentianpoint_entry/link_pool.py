"""Selection of the agents that an entry connects to, and its links."""

from collections import abc
import math
import typing

import trio
import xxhash

from gentianpoint_core import deadlines
from gentianpoint_core import ports
from gentianpoint_entry import agent_links
from gentianpoint_entry import link_settings

__all__ = (
    "LinkPool",
    "choose_hosts",
    "compute_link_count",
    "compute_min_links",
)

_ENTRIES_PER_AGENT: typing.Final = 6
"""Number of entries that should be connected to each agent."""
_MIN_LINKS: typing.Final = 2
"""Least number of links per service of an entry process."""
_FAILURES_UNTIL_UNREACHABLE: typing.Final = 3
"""Consecutive failures after which an agent is replaced."""
_UNREACHABLE_MS: typing.Final = 30_000
"""Time for which an unreachable agent ranks last, in milliseconds."""


def compute_min_links(links_per_service: int, processes_on_host: int) -> int:
    """Return the least number of links per service of one entry process.

    The entry processes of a host share its budget for control traffic, so
    they divide its links. Each keeps at least two, since placement needs two
    candidates to choose between.

    >>> compute_min_links(links_per_service=4, processes_on_host=2)
    2
    >>> compute_min_links(links_per_service=4, processes_on_host=8)
    2
    """
    shared = math.ceil(links_per_service / processes_on_host)
    return max(min(_MIN_LINKS, links_per_service), shared)


def compute_link_count(agents: int, entries: int, min_links: int) -> int:
    """Return the number of a service's agents that an entry connects to.

    It is at least ``min_links``, and high enough that each agent has
    connections from about six entries. A fixed number would leave agents
    idle when there are few entries and many agents, and with many entries a
    large number costs each of them needless heartbeats and reports.

    >>> compute_link_count(agents=245, entries=380, min_links=4)
    4
    >>> compute_link_count(agents=12, entries=2, min_links=4)
    36
    """
    return max(
        min_links, math.ceil(_ENTRIES_PER_AGENT * agents / max(1, entries))
    )


def choose_hosts(
    hosts: abc.Iterable[ports.Host],
    entry: str,
    data_centre: str,
    links_per_service: int,
    unreachable: abc.Container[str] = (),
) -> abc.Sequence[ports.Host]:
    """Return the agents to which an entry keeps connections.

    Of each service these are at least ``links_per_service`` agents, see
    :func:`compute_link_count`. Agents in the entry's own data centre come
    first; among equals the order is by the highest hash of entry and host
    (rendezvous hashing), which spreads the entries over the agents and moves
    few links when a host is added or removed. ``unreachable`` hosts come
    last.

    >>> host = ports.Host("h1", "agent", "s", "t", "a:1", "north", "live")
    >>> [item.host for item in choose_hosts([host], "e1", "north", 2)]
    ['h1']
    """

    def rank(host: ports.Host) -> tuple[bool, bool, int]:
        weight = xxhash.xxh64_intdigest(f"{entry}/{host.host}".encode())
        is_remote = host.data_centre != data_centre
        return host.host in unreachable, is_remote, -weight

    entries = 0
    by_service: dict[str, list[ports.Host]] = {}
    for host in hosts:
        if host.role == "agent" and host.state == "live":
            by_service.setdefault(host.service, []).append(host)
        entries += host.role == "entry"
    chosen: list[ports.Host] = []
    for candidates in by_service.values():
        count = compute_link_count(len(candidates), entries, links_per_service)
        chosen += sorted(candidates, key=rank)[:count]
    return chosen


class LinkPool:
    """The links of one entry; each runs in a task of its own."""

    def __init__(
        self,
        nursery: trio.Nursery,
        settings: link_settings.LinkSettings,
        links_per_service: int,
        configure: abc.Callable[[agent_links.AgentLink], abc.Awaitable[None]],
    ) -> None:
        """Run links in ``nursery``.

        ``configure`` sends the configuration to the agent of a link.
        """
        self._nursery: typing.Final = nursery
        self._settings: typing.Final = settings
        self._links_per_service: typing.Final = links_per_service
        self._configure: typing.Final = configure
        self._links: typing.Final[dict[str, agent_links.AgentLink]] = {}
        self._scopes: typing.Final[dict[str, trio.CancelScope]] = {}
        self._hosts: dict[str, ports.Host] = {}
        self._unreachable: typing.Final[dict[str, deadlines.Deadline]] = {}
        self._wanted_count = 0
        self._evacuated: frozenset[str] = frozenset()
        self._changed = trio.Event()

    async def wait_changed(self) -> None:
        """Wait until a link connects, is lost or fails to connect."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
        self._replace_unreachable()

    def _replace_unreachable(self) -> None:
        """Connect to other agents in place of unreachable ones.

        An entry has links to few agents of a service, only two when its host
        runs several entries, and the failure of one network switch can cut
        all of them. The host list reflects that only minutes later; until
        then calls would be refused although other agents are idle.
        """
        lost = [
            name
            for name, link in self._links.items()
            if link.failures >= _FAILURES_UNTIL_UNREACHABLE
            and name not in self._unreachable
        ]
        # An entry that is itself cut off reaches no agent. Without this limit
        # it would end up trying every agent each second.
        spare = max(0, self._wanted_count - len(self._unreachable))
        lost = lost[:spare]
        for name in lost:
            self._unreachable[name] = deadlines.make_deadline(_UNREACHABLE_MS)
        if lost:
            self._reconcile_links()

    def list_links(self, service: str) -> abc.Sequence[agent_links.AgentLink]:
        """Return the links to agents of a service."""
        return [
            link
            for link in self._links.values()
            if link.host.service == service
        ]

    def list_all_links(self) -> abc.Sequence[agent_links.AgentLink]:
        """Return all links."""
        return tuple(self._links.values())

    def find_target_link(
        self, target: str, incarnation: str = ""
    ) -> typing.Optional[agent_links.AgentLink]:
        """Return the link to a target's agent and open one if necessary.

        If the target has several agents, the one with ``incarnation`` is
        preferred while its link is connected or recovering, then any
        connected one. None when the host list has no agent of the target.
        """
        links = self._list_target_links(target)
        if not any(link.is_connected() for link in links):
            links += [
                self._open_link(host)
                for host in self._hosts.values()
                if host.target == target
                and host.role == "agent"
                and host.host not in self._links
            ]
        return max(
            links,
            key=lambda link: (
                _reaches_run(link, incarnation),
                link.is_connected(),
            ),
            default=None,
        )

    def _list_target_links(self, target: str) -> list[agent_links.AgentLink]:
        return [
            link for link in self._links.values() if link.host.target == target
        ]

    def update_hosts(self, hosts: abc.Iterable[ports.Host]) -> None:
        """Apply a new version of the host list.

        A host that is leaving or no longer listed gets no new calls; its
        link stays open while calls run on it.
        """
        self._hosts = {host.host: host for host in hosts}
        for name, until in tuple(self._unreachable.items()):
            if until.is_past() or name not in self._hosts:
                del self._unreachable[name]
        self._reconcile_links()

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Place no new calls in ``data_centres``, and place them elsewhere."""
        self._evacuated = data_centres
        for link in self._links.values():
            link.is_evacuated = link.host.data_centre in data_centres
        self._reconcile_links()
        self._notify()

    def _choose_hosts(
        self, hosts: abc.Iterable[ports.Host]
    ) -> abc.Sequence[ports.Host]:
        return choose_hosts(
            hosts,
            self._settings.name,
            self._settings.data_centre,
            self._links_per_service,
            self._unreachable,
        )

    def _choose_wanted(self) -> dict[str, ports.Host]:
        """Return the hosts to which links are kept, by their names.

        During an evacuation these are as many in other data centres as
        usual, and besides the usual ones, which have to hear of its end.
        """
        hosts = self._hosts.values()
        chosen = list(self._choose_hosts(hosts))
        if self._evacuated:
            chosen += self._choose_hosts(
                host
                for host in hosts
                if host.role == "entry"
                or host.data_centre not in self._evacuated
            )
        return {host.host: host for host in chosen}

    def _reconcile_links(self) -> None:
        """Open missing links and close those that are no longer chosen."""
        wanted = self._choose_wanted()
        self._wanted_count = len(wanted)
        for name, host in wanted.items():
            link = self._links.get(name)
            if link is not None and link.host.address != host.address:
                self._close_link(name)
                link = None
            if link is None:
                self._open_link(host)
        for name, link in tuple(self._links.items()):
            link.links = self._wanted_count
            listed = self._hosts.get(name)
            if listed is None or listed.state != "live":
                link.mark_leaving("not listed as live in the host list")
            # The link of an unreachable agent keeps reconnecting, since the
            # calls that were cut off with it wait for the agent.
            is_kept = name in wanted or name in self._unreachable
            if not is_kept and not link.count_calls():
                self._close_link(name)

    def _open_link(self, host: ports.Host) -> agent_links.AgentLink:
        link = agent_links.AgentLink(
            host, self._settings, self._notify, self._wanted_count
        )
        link.is_evacuated = host.data_centre in self._evacuated
        scope = trio.CancelScope()
        self._links[host.host] = link
        self._scopes[host.host] = scope
        self._nursery.start_soon(self._run_link, link, scope)
        return link

    async def _run_link(
        self, link: agent_links.AgentLink, scope: trio.CancelScope
    ) -> None:
        with scope:
            await link.run(self._configure)

    def _close_link(self, name: str) -> None:
        self._links.pop(name)
        self._scopes.pop(name).cancel()


def _reaches_run(link: agent_links.AgentLink, incarnation: str) -> bool:
    """Tell whether a link leads to an agent process or may soon again."""
    return (
        link.welcome is not None
        and link.welcome["incarnation"] == incarnation
        and (link.is_connected() or link.is_recovering())
    )

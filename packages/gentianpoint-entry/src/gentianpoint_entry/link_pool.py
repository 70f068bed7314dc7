"""Which agents this entry keeps connections to."""

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

_ENTRIES_FOR_AN_AGENT: typing.Final = 6
_LEAST_SHARE: typing.Final = 2
_FAILURES_TO_PASS_OVER: typing.Final = 3
_PASSED_OVER_MS: typing.Final = 30_000


def compute_min_links(links_per_service: int, processes_on_host: int) -> int:
    """Return the fewest links per service of one of a host's entries.

    The processes of a host share its budget for control, so they share its
    links; two are the fewest among which a placement can choose.

    >>> compute_min_links(links_per_service=4, processes_on_host=2)
    2
    >>> compute_min_links(links_per_service=4, processes_on_host=8)
    2
    """
    shared = math.ceil(links_per_service / processes_on_host)
    return max(min(_LEAST_SHARE, links_per_service), shared)


def compute_link_count(agents: int, entries: int, fewest: int) -> int:
    """Return the number of a service's agents an entry connects to.

    At least ``fewest``, and so many that an agent has connections from
    about six entries: with few entries and many agents a fixed number would
    leave agents idle, and with many entries a large one costs each of them
    heartbeats and reports that it has no use for.

    >>> compute_link_count(agents=245, entries=380, fewest=4)
    4
    >>> compute_link_count(agents=12, entries=2, fewest=4)
    36
    """
    return max(
        fewest, math.ceil(_ENTRIES_FOR_AN_AGENT * agents / max(1, entries))
    )


def choose_hosts(
    hosts: abc.Iterable[ports.Host],
    entry: str,
    data_centre: str,
    links_per_service: int,
    passed_over: abc.Container[str] = (),
) -> abc.Sequence[ports.Host]:
    """Return the agents to which an entry keeps connections.

    Of each service these are at least ``links_per_service`` agents, see
    :func:`compute_link_count`. Agents in the entry's own data centre come
    first; among equals the order is by the highest hash of entry and host
    (rendezvous hashing), which spreads the entries over the agents and moves
    few links when a host is added or removed. ``passed_over`` hosts come
    last.

    >>> host = ports.Host("h1", "agent", "s", "t", "a:1", "north", "live")
    >>> [item.host for item in choose_hosts([host], "e1", "north", 2)]
    ['h1']
    """

    def rank(host: ports.Host) -> tuple[bool, bool, int]:
        weight = xxhash.xxh64_intdigest(f"{entry}/{host.host}".encode())
        is_far = host.data_centre != data_centre
        return host.host in passed_over, is_far, -weight

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
    """The links of one entry, one task each."""

    def __init__(
        self,
        nursery: trio.Nursery,
        settings: link_settings.LinkSettings,
        links_per_service: int,
        configure: abc.Callable[[agent_links.AgentLink], abc.Awaitable[None]],
    ) -> None:
        """Run links in ``nursery``."""
        self._nursery: typing.Final = nursery
        self._settings: typing.Final = settings
        self._links_per_service: typing.Final = links_per_service
        self._configure: typing.Final = configure
        self._links: typing.Final[dict[str, agent_links.AgentLink]] = {}
        self._scopes: typing.Final[dict[str, trio.CancelScope]] = {}
        self._hosts: dict[str, ports.Host] = {}
        self._passed_over: typing.Final[dict[str, deadlines.Deadline]] = {}
        self._wanted = 0
        self._changed = trio.Event()

    async def wait_changed(self) -> None:
        """Wait until a link is connected, lost, or could not connect."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
        self._replace_lost()

    def _replace_lost(self) -> None:
        """Take other agents for those that can't be reached for a while.

        An entry has few agents of a service, two when its host runs several
        entries, and a switch takes them all at once. The host list shows it
        minutes later; until then callers would be refused though other
        agents of the service are idle.
        """
        lost = [
            name
            for name, link in self._links.items()
            if link.failures >= _FAILURES_TO_PASS_OVER
            and name not in self._passed_over
        ]
        # An entry that is itself cut off reaches nobody, and would else end
        # up trying every agent there is each second.
        spare = max(0, self._wanted - len(self._passed_over))
        lost = lost[:spare]
        for name in lost:
            self._passed_over[name] = deadlines.make_deadline(_PASSED_OVER_MS)
        if lost:
            self._follow_choice()

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
        """Return the link to a target's agent, opening one if need be.

        With several agents of one target, that of the run ``incarnation``
        comes first unless it is lost for longer than a moment, then one that
        is connected. None when the host list names no agent of the target.
        """
        links = self._list_target_links(target)
        if not any(link.is_connected() for link in links):
            links += [
                self._open(host)
                for host in self._hosts.values()
                if host.target == target
                and host.role == "agent"
                and host.host not in self._links
            ]
        return max(
            links,
            key=lambda link: (
                _holds_run(link, incarnation),
                link.is_connected(),
            ),
            default=None,
        )

    def _list_target_links(self, target: str) -> list[agent_links.AgentLink]:
        return [
            link for link in self._links.values() if link.host.target == target
        ]

    def update_hosts(self, hosts: abc.Iterable[ports.Host]) -> None:
        """Follow a new reading of the host list.

        A host that is leaving, or that the list has lost, gets no new calls;
        its link stays while calls run on it.
        """
        self._hosts = {host.host: host for host in hosts}
        for name, until in tuple(self._passed_over.items()):
            if until.is_past() or name not in self._hosts:
                del self._passed_over[name]
        self._follow_choice()

    def _follow_choice(self) -> None:
        """Open the links that are missing and close those not wanted."""
        chosen = choose_hosts(
            self._hosts.values(),
            self._settings.name,
            self._settings.data_centre,
            self._links_per_service,
            self._passed_over,
        )
        wanted = {host.host: host for host in chosen}
        self._wanted = len(wanted)
        for name, host in wanted.items():
            link = self._links.get(name)
            if link is not None and link.host.address != host.address:
                self._close(name)
                link = None
            if link is None:
                self._open(host)
        for name, link in tuple(self._links.items()):
            link.links = self._wanted
            listed = self._hosts.get(name)
            if listed is None or listed.state != "live":
                link.mark_leaving("the host list says so")
            # A link that is passed over goes on trying: calls that were cut
            # with it wait for its agent to come back.
            is_kept = name in wanted or name in self._passed_over
            if not is_kept and not link.count_calls():
                self._close(name)

    def _open(self, host: ports.Host) -> agent_links.AgentLink:
        link = agent_links.AgentLink(
            host, self._settings, self._notify, self._wanted
        )
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

    def _close(self, name: str) -> None:
        self._links.pop(name)
        self._scopes.pop(name).cancel()


def _holds_run(link: agent_links.AgentLink, incarnation: str) -> bool:
    """Tell whether a run of an agent answers on a link, or soon will."""
    return (
        link.welcome is not None
        and link.welcome["incarnation"] == incarnation
        and (link.is_connected() or link.is_recovering())
    )

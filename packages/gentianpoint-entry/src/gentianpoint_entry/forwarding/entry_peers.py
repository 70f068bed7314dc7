"""Connections between entries.

Over them, entries gossip about members, about engines whose agents only some
entries are connected to, and about their progress in the log's topics, and
request records of those topics. An entry knows a few seed addresses from its
settings, and learns the others from the entries that it reaches. A few
connections for each entry are enough, as gossip is passed on.
"""

from collections import abc
import math
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import peer_connections
from gentianpoint_core import peer_sockets
from gentianpoint_core import ports
from gentianpoint_core.decisions import ranking
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import gossip_state
from gentianpoint_entry.forwarding import peer_links

__all__ = ("MAX_SEND_INTERVAL_S", "EntryPeers", "make_rank_lookup")

_CONNECTION_CHECK_S: typing.Final = 0.25
"""Seconds between checks of which connections to open and close."""
MAX_SEND_INTERVAL_S: typing.Final = 0.25
"""Seconds, at most, until new information is sent to a connected entry. A
report of an engine gets up to this much older at each entry on its way."""
_FIRST_RETRY_S: typing.Final = 0.4
"""Seconds until another attempt to connect after the first failure; doubles
with each further one."""
_MAX_RETRY_S: typing.Final = 3.0
"""Seconds, at most, until another attempt to connect."""
_UNWANTED_KEPT_S: typing.Final = 3.0
"""Seconds for which a connection stays open that is no longer wanted, such as
one to a seed."""
_SEED_CONTACT_S: typing.Final = 4.0
"""Seconds between attempts to reach seeds that are not live members. Groups
of entries that were separated know of each other only by the seeds."""
_MEMBERS_KNOWN_S: typing.Final = 2.0
"""Seconds after its start within which an entry that reaches others has heard
of all of them: the time to connect, and a few rounds of gossip."""
_ALONE_S: typing.Final = 30.0
"""Seconds after its start from which an entry that has reached no other takes
part in limits all the same. All entries may start while they can't reach each
other."""
_MAX_RELAYED_ENGINES: typing.Final = 512
"""Engines that are remembered as passed on, so as not to do so again."""
_Message = abc.Mapping[str, typing.Any]


class _Failures(typing.NamedTuple):
    """Consecutive failures to connect to an address."""

    attempts: int
    retry_at: float
    """When to try again, in seconds of trio's clock."""


class _Dial:
    """A connection that this entry is opening or has opened."""

    def __init__(self) -> None:
        self.scope: typing.Final = trio.CancelScope()
        self.unwanted_since: typing.Optional[float] = None


def _ignore_engine(message: _Message) -> None:
    """Ignore an announced engine, which the list of targets names later."""


class EntryPeers:
    """This entry's connections to other entries."""

    def __init__(
        self,
        gossip: gossip_state.GossipState,
        seeds: abc.Sequence[str],
        handle_engine: abc.Callable[[_Message], None] = _ignore_engine,
    ) -> None:
        """Exchange ``gossip``; first connect to the addresses ``seeds``.

        ``handle_engine`` is given the ``engine_here`` message of each engine
        that has started.
        """
        self._gossip: typing.Final = gossip
        self._address: typing.Final = gossip.members.address
        self._handle_engine: typing.Final = handle_engine
        self._seeds: set[str] = set(seeds) - {self._address}
        self._dials: typing.Final[dict[str, _Dial]] = {}
        self._failures: typing.Final[dict[str, _Failures]] = {}
        self._links: typing.Final[list[peer_links.PeerLink]] = []
        self._seed_contact_at = 0.0
        self._relayed: typing.Final[dict[str, None]] = {}
        self._began_at = math.inf

    def replace_seeds(self, seeds: abc.Sequence[str]) -> None:
        """Use other seed addresses, as after a reload of the settings."""
        self._seeds = set(seeds) - {self._address}

    def count_connected(self) -> int:
        """Return how many other entries this one is connected to."""
        return len(self._find_connected())

    def count_entries(self) -> int:
        """Return how many entries there are, this one among them.

        An entry that reaches no other may be cut off from entries that are
        running. So the result includes members that it has heard of but is
        not connected to, and is at least the number of seeds plus one.
        """
        return max(self._gossip.members.count(), len(self._seeds) + 1)

    def count_retry_sharers(self) -> int:
        """Return how many entries share the retry limit of all entries.

        If there are seeds, it is 0 until another entry was heard of: entries
        that start while they can't reach each other would each use the whole
        limit.
        """
        if self._seeds and self._gossip.members.count() == 1:
            return 0
        return self.count_entries()

    def list_limit_sharers(self) -> frozenset[str]:
        """Return the entries that divide a limit among them by their names.

        Empty while this entry may not know them all, which is for a moment
        after its start, and longer if no other entry was heard of. One that
        goes on alone shares with its seeds, since it may only be cut off.
        """
        if not self._seeds:
            return frozenset((self._address,))
        known = self._gossip.members.list_known()
        age_s = trio.current_time() - self._began_at
        if len(known) == 1:
            return known | self._seeds if age_s >= _ALONE_S else frozenset()
        return known if age_s >= _MEMBERS_KNOWN_S else frozenset()

    def list_peer_topics(self, name: str) -> abc.Sequence[ports.KeyedTopic]:
        """Return the copies of a topic at all connected entries."""
        return [
            peer_links.PeerTopic(link, name)
            for link in self._links
            if link.address
        ]

    async def run(self) -> None:
        """Accept and open connections until cancelled."""
        self._began_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                peer_sockets.serve_connections,
                self._address,
                self._accept,
                peer_sockets.INFREQUENT_HEARTBEATS,
            )
            while True:
                self._gossip.tick()
                self._update_connections(nursery)
                await trio.sleep(_CONNECTION_CHECK_S)

    def _update_connections(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        connected = self._find_connected()
        wanted = self._find_wanted(now)
        for address in wanted - connected - set(self._dials):
            self._dials[address] = _Dial()
            nursery.start_soon(self._dial, address, self._dials[address])
        for address, dial in self._dials.items():
            if address in wanted:
                dial.unwanted_since = None
            elif dial.unwanted_since is None:
                dial.unwanted_since = now
            elif now - dial.unwanted_since > _UNWANTED_KEPT_S:
                dial.scope.cancel()

    def _find_wanted(self, now: float) -> set[str]:
        """Return the addresses that this entry should be connected to."""
        failed = {
            address
            for address, failures in self._failures.items()
            if now < failures.retry_at
        }
        wanted = set(self._gossip.members.choose_neighbours(failed))
        missing_seeds = self._seeds - set(self._gossip.members.list_live())
        if missing_seeds and now >= self._seed_contact_at:
            self._seed_contact_at = now + _SEED_CONTACT_S
            wanted |= missing_seeds
        return wanted | (missing_seeds & set(self._dials))

    def _find_connected(self) -> set[str]:
        return {link.address for link in self._links if link.address}

    async def _dial(self, address: str, dial: _Dial) -> None:
        """Connect once; another attempt is up to the next check."""
        try:
            with dial.scope:
                async with peer_sockets.open_connection(
                    address, peer_sockets.INFREQUENT_HEARTBEATS
                ) as connection:
                    self._failures.pop(address, None)
                    link = peer_links.PeerLink(connection, is_dialled=True)
                    await self._serve(link)
        except* peer_connections.PeerConnectionError as group:
            self._note_failure(address, group.exceptions[0])
        finally:
            del self._dials[address]

    def _note_failure(self, address: str, error: BaseException) -> None:
        count = 0
        if address in self._failures:
            count = self._failures[address].attempts
        else:
            peer_connections.log_connection_error(error)
        pause_s = min(_MAX_RETRY_S, _FIRST_RETRY_S * 2**count)
        retry_at = trio.current_time() + pause_s
        self._failures[address] = _Failures(count + 1, retry_at)

    async def _accept(
        self, connection: peer_connections.PeerConnection
    ) -> None:
        await self._serve(peer_links.PeerLink(connection, is_dialled=False))

    async def _serve(self, link: peer_links.PeerLink) -> None:
        self._links.append(link)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.connection.keep_alive, lambda: True)
                nursery.start_soon(self._send_gossip, link)
                while await self._handle_next(link):
                    if self._is_duplicate(link):
                        break
                nursery.cancel_scope.cancel()
        finally:
            self._links.remove(link)

    async def _send_gossip(self, link: peer_links.PeerLink) -> None:
        while True:
            message = self._gossip.build_message(link.gossip)
            if message is not None:
                await link.connection.send(message)
            await self._gossip.wait_for_urgent(
                link.gossip, MAX_SEND_INTERVAL_S
            )

    def _is_duplicate(self, link: peer_links.PeerLink) -> bool:
        """Tell whether this entry has to close a second connection.

        If two entries connect to each other at the same moment, the one with
        the higher address closes the connection that it opened.
        """
        if not link.is_dialled or link.address > self._address:
            return False
        return any(
            other is not link and other.address == link.address
            for other in self._links
        )

    async def _handle_next(self, link: peer_links.PeerLink) -> bool:
        """Handle the next message; False if it is the last one."""
        message = await link.connection.receive()
        match message["type"]:
            case "gossip":
                self._apply_gossip(link, message)
            case "records_wanted":
                follower = self._gossip.find_follower(message["topic"])
                await link.connection.send(
                    peer_links.make_records_answer(message, follower)
                )
            case "records_found":
                link.deliver_answer(message)
            case "engine_here":
                await self._handle_announcement(message)
                # An agent sends nothing else, and takes the closing of its
                # connection for the acknowledgement.
                return bool(message["passed_on"])
        return True

    def _apply_gossip(
        self, link: peer_links.PeerLink, message: _Message
    ) -> None:
        if not link.address:
            link.address = message["address"]
            link.connection.peer = link.address
            logs.log_event(events.CONNECTION_OPENED, peer=link.address)
        try:
            topics = self._gossip.apply_message(link.gossip, message)
        except OverflowError as error:
            raise peer_connections.PeerConnectionError(
                "decode message", link.address, str(error)
            ) from error
        for name, progress in topics:
            follower = self._gossip.find_follower(name)
            if follower is not None:
                follower.offer(peer_links.PeerTopic(link, name), progress)

    async def _handle_announcement(self, message: _Message) -> None:
        """Handle the announcement of a new engine, and pass it on once.

        An agent knows only a few entries, and some of those may be gone. So
        each entry that hears of an engine for the first time tells all
        entries that it is connected to.
        """
        target = message["target"]
        if target in self._relayed:
            return
        self._relayed[target] = None
        if len(self._relayed) > _MAX_RELAYED_ENGINES:
            del self._relayed[next(iter(self._relayed))]
        self._handle_engine(message)
        for link in list(self._links):
            if not link.address:
                continue
            try:
                await link.connection.send({**message, "passed_on": True})
            except peer_connections.PeerConnectionError as error:
                # The connection to that entry is lost. It finds the engine
                # on the list of targets instead.
                peer_connections.log_connection_error(error)


def make_rank_lookup(
    gossip: gossip_state.GossipState, topic: str
) -> abc.Callable[[], int]:
    """Return a function that returns this entry's rank for ``topic``.

    The rank is the number of entries whose turn to poll the topic comes
    before this one's.
    """
    # Holds the rank for the current version of the members only.
    ranks: dict[int, int] = {}

    def get_rank() -> int:
        version = gossip.members.version
        if version not in ranks:
            order = ranking.rank_members(topic, gossip.members.list_live())
            ranks.clear()
            ranks[version] = order.index(gossip.members.address)
        return ranks[version]

    return get_rank

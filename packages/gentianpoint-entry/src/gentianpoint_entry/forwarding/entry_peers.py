"""Connections between entries.

Entries tell each other who they are, how engines do whose agents only some
of them are connected to, and what the log's topics have brought. An entry
knows a few addresses from its settings and learns the others from those that
it reaches. A small number of connections each is enough: news goes on from
entry to entry.
"""

from collections import abc
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import peer_connections
from gentianpoint_core import peer_sockets
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import gossip_state
from gentianpoint_entry.forwarding import peer_links
from gentianpoint_entry.forwarding import ranking

__all__ = ("MAX_SEND_INTERVAL_S", "EntryPeers", "make_rank_lookup")

_LOOK_S: typing.Final = 0.25
"""Pause between looks at which connections there should be."""
MAX_SEND_INTERVAL_S: typing.Final = 0.25
"""Longest pause after which a connection is sent what it lacks. Reports of
engines are that much older at each entry on their way."""
_FIRST_RETRY_S: typing.Final = 0.4
_LONGEST_RETRY_S: typing.Final = 3.0
_UNWANTED_S: typing.Final = 3.0
"""Time after which a connection is closed that is not wanted any more, such
as one to a seed."""
_MEET_AGAIN_S: typing.Final = 4.0
"""Pause between looks for seeds that are not among the members. Entries that
fell apart into groups know nothing of each other but these."""
_MOST_ENGINES_PASSED: typing.Final = 512
"""Engines of which it is remembered that they were passed on."""
_Message = abc.Mapping[str, typing.Any]


class _Failures(typing.NamedTuple):
    """Attempts in a row that failed to connect to an address."""

    attempts: int
    until: float
    """Moment from which it is tried again."""


class _Dial:
    """A connection that this entry opens, or has opened."""

    def __init__(self) -> None:
        self.scope: typing.Final = trio.CancelScope()
        self.unwanted_since: typing.Optional[float] = None


def _ignore_engine(message: _Message) -> None:
    """Leave an announced engine to the list."""


class EntryPeers:
    """The other entries, as far as this one reaches them."""

    def __init__(
        self,
        news: gossip_state.GossipState,
        seeds: abc.Sequence[str],
        take_engine: abc.Callable[[_Message], None] = _ignore_engine,
    ) -> None:
        """Exchange ``news``; start from ``seeds``.

        ``take_engine`` is given what agents tell of engines that started.
        """
        self._news: typing.Final = news
        self._address: typing.Final = news.members.address
        self._take_engine: typing.Final = take_engine
        self._seeds: set[str] = set(seeds) - {self._address}
        self._dials: typing.Final[dict[str, _Dial]] = {}
        self._failures: typing.Final[dict[str, _Failures]] = {}
        self._links: typing.Final[list[peer_links.PeerLink]] = []
        self._meets_at = 0.0
        self._passed_on: typing.Final[dict[str, None]] = {}

    def replace_seeds(self, seeds: abc.Sequence[str]) -> None:
        """Take new addresses from the settings."""
        self._seeds = set(seeds) - {self._address}

    def count_connected(self) -> int:
        """Return how many other entries there are connections to."""
        return len(self._find_connected())

    def count_entries(self) -> int:
        """Return how many entries there are, this one among them.

        An entry that reaches no other may be cut off from entries that are
        well, so it counts those that it has heard of, and the seeds.
        """
        return max(self._news.members.count(), len(self._seeds) + 1)

    def count_budget_sharers(self) -> int:
        """Return how many entries share what is allowed to all together.

        It is 0 until another entry was heard of, if there should be any:
        entries that start while they can't reach each other would each take
        the whole for themselves.
        """
        if self._seeds and self._news.members.count() == 1:
            return 0
        return self.count_entries()

    def list_peer_topics(self, name: str) -> abc.Sequence[ports.KeyedTopic]:
        """Return a topic as each connected entry holds it."""
        return [
            peer_links.PeerTopic(link, name)
            for link in self._links
            if link.address
        ]

    async def run(self) -> None:
        """Listen, and connect to others, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                peer_sockets.serve_connections,
                self._address,
                self._accept,
                peer_sockets.INFREQUENT_HEARTBEATS,
            )
            while True:
                self._news.tick()
                self._open_and_close(nursery)
                await trio.sleep(_LOOK_S)

    def _open_and_close(self, nursery: trio.Nursery) -> None:
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
            elif now - dial.unwanted_since > _UNWANTED_S:
                dial.scope.cancel()

    def _find_wanted(self, now: float) -> set[str]:
        """Return the addresses that this entry connects to."""
        failed = {
            address
            for address, failures in self._failures.items()
            if now < failures.until
        }
        wanted = set(self._news.members.choose_neighbours(failed))
        strangers = self._seeds - set(self._news.members.list_live())
        if strangers and now >= self._meets_at:
            self._meets_at = now + _MEET_AGAIN_S
            wanted |= strangers
        return wanted | (strangers & set(self._dials))

    def _find_connected(self) -> set[str]:
        return {link.address for link in self._links if link.address}

    async def _dial(self, address: str, dial: _Dial) -> None:
        """Connect once; whether to try again is looked at anew."""
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
        pause_s = min(_LONGEST_RETRY_S, _FIRST_RETRY_S * 2**count)
        until = trio.current_time() + pause_s
        self._failures[address] = _Failures(count + 1, until)

    async def _accept(
        self, connection: peer_connections.PeerConnection
    ) -> None:
        await self._serve(peer_links.PeerLink(connection, is_dialled=False))

    async def _serve(self, link: peer_links.PeerLink) -> None:
        self._links.append(link)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.connection.keep_alive, lambda: True)
                nursery.start_soon(self._send_news, link)
                while await self._take_next(link):
                    if self._is_double(link):
                        break
                nursery.cancel_scope.cancel()
        finally:
            self._links.remove(link)

    async def _send_news(self, link: peer_links.PeerLink) -> None:
        while True:
            message = self._news.collect(link.news)
            if message is not None:
                await link.connection.send(message)
            await self._news.wait_urgent(link.news, MAX_SEND_INTERVAL_S)

    def _is_double(self, link: peer_links.PeerLink) -> bool:
        """Tell whether this entry is to close a second connection.

        Two entries may connect to each other at the same moment; the one
        with the higher address closes its own.
        """
        if not link.is_dialled or link.address > self._address:
            return False
        return any(
            other is not link and other.address == link.address
            for other in self._links
        )

    async def _take_next(self, link: peer_links.PeerLink) -> bool:
        """Take the next message; False if it was the last one."""
        message = await link.connection.receive()
        match message["type"]:
            case "gossip":
                self._take_news(link, message)
            case "records_wanted":
                follower = self._news.find_topic(message["topic"])
                await link.connection.send(
                    peer_links.find_records(message, follower)
                )
            case "records_found":
                link.take_answer(message)
            case "engine_here":
                await self._take_announcement(message)
                # An agent has nothing else to say and takes the end of its
                # connection as a receipt.
                return bool(message["passed_on"])
        return True

    def _take_news(self, link: peer_links.PeerLink, message: _Message) -> None:
        if not link.address:
            link.address = message["address"]
            link.connection.peer = link.address
            logs.log_event(events.CONNECTION_OPENED, peer=link.address)
        try:
            topics = self._news.take(link.news, message)
        except OverflowError as error:
            raise peer_connections.PeerConnectionError(
                "decode message", link.address, str(error)
            ) from error
        for name, news in topics:
            follower = self._news.find_topic(name)
            if follower is not None:
                follower.offer(peer_links.PeerTopic(link, name), news)

    async def _take_announcement(self, message: _Message) -> None:
        """Take an engine that started, and pass it on once.

        Agents know few entries, which may be fewer still by now. Each entry
        that hears of an engine for the first time tells those that it is
        connected to.
        """
        target = message["target"]
        if target in self._passed_on:
            return
        self._passed_on[target] = None
        if len(self._passed_on) > _MOST_ENGINES_PASSED:
            del self._passed_on[next(iter(self._passed_on))]
        self._take_engine(message)
        for link in list(self._links):
            if not link.address:
                continue
            try:
                await link.connection.send({**message, "passed_on": True})
            except peer_connections.PeerConnectionError as error:
                # The list tells that entry, which has lost this one anyway.
                peer_connections.log_connection_error(error)


def make_rank_lookup(
    news: gossip_state.GossipState, topic: str
) -> abc.Callable[[], int]:
    """Return what tells how many entries read ``topic`` before this one."""
    ranks: dict[int, int] = {}

    def read() -> int:
        version = news.members.version
        if version not in ranks:
            order = ranking.rank_members(topic, news.members.list_live())
            ranks.clear()
            ranks[version] = order.index(news.members.address)
        return ranks[version]

    return read

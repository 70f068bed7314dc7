"""A fleet of entries that gossip over fake connections on a mock clock.

Messages are encoded and decoded as between processes; only sockets are left
out. Each entry opens the connections that its table of members asks for.
"""

from collections import abc
import typing

import trio

from gentianpoint_core import codec
from gentianpoint_core import ports
from gentianpoint_entry import crash_suspects
from gentianpoint_entry.forwarding import entry_peers
from gentianpoint_entry.forwarding import gossip_state
from gentianpoint_entry.forwarding import leaving_notices
from gentianpoint_entry.forwarding import members
from gentianpoint_entry.forwarding import peer_links
from gentianpoint_entry.forwarding import targets
from gentianpoint_entry.forwarding import topic_follower

_CONNECTION_CHECK_S: typing.Final = 0.25
_TRANSIT_S: typing.Final = 0.002
_DATA_CENTRES: typing.Final = 5
TOPIC: typing.Final = "topic"


def make_report(
    *, number: int, made_at: float, run: int = 1, is_leaving: bool = False
) -> targets.EngineReport:
    """Return a report that an agent made at ``made_at`` on trio's clock."""
    return targets.EngineReport(
        sampled_at=made_at,
        running=2,
        waiting=1,
        used_tokens=300,
        total_tokens=1000,
        is_leaving=is_leaving,
        leaves_at=None,
        is_silent=False,
        pending_prefill_tokens=40,
        started_ms=1700000000000,
        agent_run=run,
        sequence_number=number,
    )


class Link:
    """One direction of a connection between two entries."""

    def __init__(self, sender: "Entry", receiver: "Entry") -> None:
        self.sender: typing.Final = sender
        self.receiver: typing.Final = receiver
        self.gossip: typing.Final = gossip_state.LinkState(trio.current_time())


class Entry:
    """One entry: its members, its gossip, and its topic if it follows one."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.number: typing.Final = number
        self.address: typing.Final = f"10.0.{number // 200}.{number % 200}:80"
        data_centre = f"centre-{number % _DATA_CENTRES}"
        self.table: typing.Final = members.MemberTable(
            self.address, data_centre
        )
        self.suspects: typing.Final = crash_suspects.CrashSuspects()
        self.registry: typing.Final = targets.TargetRegistry()
        self.gossip: typing.Final = gossip_state.GossipState(
            self.table,
            self.suspects,
            notices=leaving_notices.LeavingNotices(self.registry),
        )
        self.gossip.handle_report = self._record_report
        self.fleet: typing.Final = fleet
        self.links: typing.Final[dict[str, Link]] = {}
        self.seeds: tuple[str, ...] = ()
        self.reports: typing.Final[dict[str, targets.EngineReport]] = {}
        self.heard_at: typing.Final[dict[str, float]] = {}
        self.follower: typing.Optional[topic_follower.TopicFollower] = None
        self.is_stopped = False
        self._link_state: typing.Final = gossip_state.LinkState(0.0)
        self.sent = 0
        self.sent_bytes = 0

    def follow(
        self,
        topic: ports.KeyedTopic,
        consumer: topic_follower.RecordConsumer,
        timing: topic_follower.PollTiming,
    ) -> None:
        """Follow the log's topic, sharing polls with the other entries."""
        self.follower = topic_follower.TopicFollower(
            TOPIC,
            topic,
            consumer,
            timing,
            lambda: (),
            entry_peers.make_rank_lookup(self.gossip, TOPIC),
        )
        self.gossip.add_topic(self.follower)

    def _record_report(self, agent: str, report: targets.EngineReport) -> None:
        self.reports[agent] = report
        self.heard_at.setdefault(agent, trio.current_time())

    def find_wanted(self) -> set[str]:
        """Return the entries that this one connects to."""
        wanted = set(self.table.choose_neighbours(()))
        return wanted | (set(self.seeds) - set(self.table.list_live()))

    async def run(self) -> None:
        """Update the connections and send gossip until stopped."""
        async with trio.open_nursery() as nursery:
            if self.follower is not None:
                nursery.start_soon(self.follower.run)
            while not self.is_stopped:
                self.gossip.tick()
                self.fleet.connect(self)
                await self._send_gossip()
                await self.gossip.wait_for_urgent(
                    self._link_state, _CONNECTION_CHECK_S
                )
            nursery.cancel_scope.cancel()

    async def _send_gossip(self) -> None:
        for link in list(self.links.values()):
            message = self.gossip.build_message(link.gossip)
            if message is None:
                continue
            data = codec.encode_message(message)
            self.sent += 1
            self.sent_bytes += len(data)
            self.fleet.deliver(link, data)

    def receive(self, sender: str, data: bytes) -> None:
        """Handle a message that another entry sent."""
        link = self.links.get(sender)
        if link is None or self.is_stopped:
            return
        message = codec.decode_message(data, sender).ok
        for name, progress in self.gossip.apply_message(link.gossip, message):
            follower = self.gossip.find_follower(name)
            if follower is not None:
                follower.offer(_FleetTopic(link.receiver, self), progress)


class _FleetTopic(ports.KeyedTopic):
    """The copy of the topic that another entry of the fleet has."""

    def __init__(self, entry: Entry, requester: Entry) -> None:
        self._entry: typing.Final = entry
        self._requester: typing.Final = requester

    async def read_newest(self, within_ms: float) -> ports.KeyedSlice:
        return _decode(await self._request_records(ports.LogPosition(0, 0)))

    async def read_changes(
        self, start: ports.LogPosition, wait_ms: int, within_ms: float
    ) -> ports.KeyedSlice:
        answer = await self._request_records(start)
        if answer["whole"]:
            raise ports.RecordsExpiredError(TOPIC)
        return _decode(answer)

    async def _request_records(
        self, start: ports.LogPosition
    ) -> abc.Mapping[str, typing.Any]:
        await trio.sleep(2 * _TRANSIT_S)
        ends = {self._entry.address, self._requester.address}
        if self._entry.is_stopped or self._entry.fleet.cut_off & ends:
            raise ports.PortError("ask", "entry", "gone", took_effect=False)
        return peer_links.make_records_answer(
            {"number": 1, "start": start.offset, "era": start.era},
            self._entry.follower,
        )


def _decode(answer: abc.Mapping[str, typing.Any]) -> ports.KeyedSlice:
    era = answer["era"]
    records = [
        ports.KeyedRecord(row["key"], row["value"] or None, row["offset"], era)
        for row in answer["records"]
    ]
    return ports.KeyedSlice(records, answer["end"], era)


class Fleet:
    """Entries, and the connections between the running ones."""

    def __init__(self, count: int) -> None:
        self._count: typing.Final = count
        self.entries: typing.Final[dict[str, Entry]] = {}
        self.cut_off: typing.Final[set[str]] = set()
        self._nursery: typing.Optional[trio.Nursery] = None

    def start(self, nursery: trio.Nursery) -> None:
        """Add all entries; each knows the first three."""
        self._nursery = nursery
        for number in range(self._count):
            self.add(number)

    def add(self, number: int) -> Entry:
        """Add the entry with a number."""
        assert self._nursery is not None
        entry = Entry(self, number)
        entry.seeds = tuple(
            address
            for address in list(self.entries)[:3]
            if address != entry.address
        )
        self.entries[entry.address] = entry
        return entry

    def run_all(self) -> None:
        """Run the entries that were added."""
        assert self._nursery is not None
        for entry in self.entries.values():
            self._nursery.start_soon(entry.run)

    def stop(self, entry: Entry) -> None:
        """Stop an entry and drop its connections."""
        entry.is_stopped = True
        del self.entries[entry.address]
        for address in list(entry.links):
            self._drop(entry, address)

    def restart(self, entry: Entry) -> None:
        """Stop an entry and start it again at its address."""
        assert self._nursery is not None
        self.stop(entry)
        self._nursery.start_soon(self.add(entry.number).run)

    def connect(self, entry: Entry) -> None:
        """Open the connections an entry wants; close those neither wants."""
        wanted = entry.find_wanted()
        for address in wanted - set(entry.links):
            other = self.entries.get(address)
            if other is not None and other is not entry:
                entry.links[address] = Link(entry, other)
                other.links[entry.address] = Link(other, entry)
        for address, link in list(entry.links.items()):
            other = link.receiver
            if (
                address not in wanted
                and entry.address not in other.find_wanted()
            ):
                self._drop(entry, address)

    def _drop(self, entry: Entry, address: str) -> None:
        other = entry.links.pop(address).receiver
        other.links.pop(entry.address, None)

    def deliver(self, link: Link, data: bytes) -> None:
        """Deliver a message to the other end after the transit time."""
        assert self._nursery is not None
        if self.cut_off & {link.sender.address, link.receiver.address}:
            return
        self._nursery.start_soon(_deliver, link, data)


async def _deliver(link: Link, data: bytes) -> None:
    await trio.sleep(_TRANSIT_S)
    link.receiver.receive(link.sender.address, data)

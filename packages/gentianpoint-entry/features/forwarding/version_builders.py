"""Entries that gossip, before targets of several software versions.

The entries gossip as in :mod:`fleet_builders` and share the targets. Callers
whose stream breaks off come back at another entry and take it up there.
"""

from collections import abc
import contextlib
import itertools
import random
import re
import typing

import fleet_builders
import forwarding_builders
import mail_builders
import topic_builders
import trio

from gentianpoint_agent import kept_origins
from gentianpoint_core import codec
from gentianpoint_core import option_types
from gentianpoint_core import ports
from gentianpoint_core.decisions import ranking
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import software_history
from gentianpoint_entry.forwarding import stream_records
from gentianpoint_entry.forwarding import target_ends
from gentianpoint_entry.forwarding import targets
from gentianpoint_entry.forwarding import version_markers

__all__ = ("CalledStream", "VersionFleet")

EVENTS: typing.Final = 40
"""Events of each stream."""
_TRANSIT_S: typing.Final = 0.002
_MOST_GOSSIPING: typing.Final = 100
"""Entries up to which they gossip; for more that takes too long."""
_MAX_TRIES: typing.Final = 3
_COME_BACK_S: typing.Final = 0.05
"""Seconds from a break until its caller comes back, usually."""
_RETRY_SLACK: typing.Final = 1e6
_AGENT_PORTS: typing.Final = 5000
"""Difference between the ports of an agent and of its target."""
_EVENT_PATTERN: typing.Final = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class CalledStream(typing.NamedTuple):
    """What a caller got for one stream, over all its tries."""

    at: float
    """When it came first, on trio's clock."""
    softwares: tuple[str, ...]
    """Software version that wrote each event."""
    taken_up: int
    """How often it was taken up after a break."""
    went_on: int
    """How often it then brought further events."""
    wait_s: float
    """Longest time from a return to the next event, or to a refusal."""
    is_whole: bool
    """True when the caller has all events."""
    refusal: typing.Optional[refusals.Refusal]
    """The refusal that ended it, if one did."""


class _VersionAnswer(forwarding_builders.GoodAnswer):
    """A stream whose events name the software that writes them."""

    def __init__(self, start: "_Start", after: int) -> None:
        super().__init__()
        self._start: typing.Final = start
        self._after: typing.Final = after

    async def receive_body(self) -> abc.AsyncIterator[bytes]:
        start = self._start
        for number in range(self._after + 1, EVENTS + 1):
            await trio.sleep(forwarding_builders.EVENT_S)
            if start.has_ended:
                raise ports.PortError(
                    "receive body",
                    start.entry.address,
                    "connection closed",
                    took_effect=True,
                    disconnected=True,
                )
            yield f"id: {number}\ndata: {start.software}\n\n".encode()


class _Start:
    """One start of a target."""

    def __init__(self, name: str, software: str) -> None:
        self.software: typing.Final = software
        self.entry: typing.Final = forwarding_builders.make_entry(
            name, software=software, slots=1000
        )
        self.has_ended = False


class _VersionCalls(forwarding_builders.ScriptedCalls):
    """One entry's calls to the targets."""

    def __init__(self, park: abc.Mapping[str, _Start]) -> None:
        super().__init__()
        self._park: typing.Final = park

    @contextlib.asynccontextmanager
    async def send_request(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> typing.Any:
        start = self._park[target.target_id]
        await trio.sleep(0.002)
        if start.has_ended:
            raise ports.PortError(
                "connect", target.entry.address, "refused", took_effect=False
            )
        after = int(options.last_event_id or request.last_event_id or 0)
        yield _VersionAnswer(start, after)


class _VersionEntry(forwarding_builders.ServingEntry):
    """An entry that serves streams."""

    def __init__(
        self,
        fleet: "VersionFleet",
        gossip: fleet_builders.Entry,
        park: abc.Mapping[str, _Start],
    ) -> None:
        self.gossip: typing.Final = gossip
        self.registry: typing.Final = targets.TargetRegistry()
        self.mail: typing.Final = mail_builders.FleetMail(
            fleet.deliver, gossip.address
        )
        self.is_cut_off = False
        self.is_log_cut_off = False
        self.list_age_s = 0.0
        self.cut_off_at = 0.0
        self._fleet: typing.Final = fleet
        self.scope: typing.Final = trio.CancelScope()
        self.history: typing.Final = software_history.SoftwareHistory()
        self.origins: typing.Final = stream_records.StreamRecords(
            gossip.address,
            lambda: fleet.list_members(gossip),
            self.registry,
            self.history,
            self.mail,
            option_types.split_address,
            _list_windows_s,
            fleet.find_agent,
        )
        self.origins.get_list_confirmed_at = self._confirm_list
        if fleet.topic is not None:
            self.registry.find_streams_from = self.origins.find_streams_from
        calls = _VersionCalls(park)
        ends = target_ends.TargetEnds(
            gossip.suspects,
            gossip.address,
            calls.check_listening,
            lambda contents: None,
        )
        super().__init__(
            forwarding_builders.connect_forwarder(
                self.registry,
                calls,
                ends,
                retry_slack=_RETRY_SLACK,
                count_entries=lambda: fleet.count,
                seed=gossip.number,
                origins=self.origins,
            )
        )
        self.scopes: typing.Final[set[trio.CancelScope]] = set()

    async def run(self) -> None:
        """Watch which versions serve, until killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.origins.run)
                if self._fleet.topic is not None:
                    markers = version_markers.VersionMarkers(
                        _EntryTopic(self, self._fleet.topic),
                        self.history,
                        self.origins,
                        self.gossip.address,
                        lambda: self._fleet.list_members(self.gossip),
                        self._fleet.topic.eras,
                        is_first_start=self._fleet.is_first_start,
                    )
                    nursery.start_soon(markers.run)

    def _confirm_list(self) -> float:
        """Return when the list of targets was last confirmed."""
        if self.is_cut_off:
            return self.cut_off_at
        return trio.current_time() - self.list_age_s


class _Agent:
    """The agent beside one target, which keeps where streams began."""

    def __init__(self, fleet: "VersionFleet", address: str) -> None:
        self.mail: typing.Final = mail_builders.FleetMail(
            fleet.deliver, address
        )
        self._address: typing.Final = address
        # True for an agent that ignores the messages, as an older one does.
        self.is_older = False
        self.is_cut_off = False
        self.start_again()

    def start_again(self) -> None:
        """Lose what it has kept."""
        self._origins = kept_origins.KeptOrigins(self._address)

    async def handle(
        self, message: codec.MessageMap, sender: tuple[str, int]
    ) -> None:
        """Handle a datagram of an entry."""
        if self.is_older or self.is_cut_off:
            return
        if message["type"] == "origins_told":
            self._origins.keep(message)
        else:
            await self.mail.send(sender, self._origins.answer(message))


class _EntryTopic(ports.WritableTopic):
    """The topic as one entry reaches it."""

    def __init__(
        self, entry: _VersionEntry, topic: topic_builders.KeptTopic
    ) -> None:
        self._entry: typing.Final = entry
        self._topic: typing.Final = topic

    async def read_newest(self, within_ms: float) -> ports.KeyedSlice:
        self._check()
        return await self._topic.read_newest(within_ms)

    async def read_changes(
        self, start: ports.LogPosition, wait_ms: int, within_ms: float
    ) -> ports.KeyedSlice:
        self._check()
        return await self._topic.read_changes(start, wait_ms, within_ms)

    async def put(
        self, key: str, value: typing.Optional[bytes], within_ms: float
    ) -> None:
        self._check()
        await self._topic.put(key, value, within_ms)

    def _check(self) -> None:
        if self._entry.is_log_cut_off:
            raise ports.PortError("call", "log", "cut", took_effect=False)


class VersionFleet:
    """Entries, targets of several versions, and callers."""

    def __init__(
        self,
        nursery: trio.Nursery,
        entries: int,
        topic: typing.Optional[topic_builders.KeptTopic] = None,
        seed: int = 1,
    ) -> None:
        """Start ``entries`` entries before no target.

        In a large fleet they know each other from the start, and go on to
        count those that are killed. They keep in ``topic`` which services
        versions serve; without it they know that from the start.
        """
        self.topic: typing.Final = topic
        self.is_first_start = True
        self.count: typing.Final = entries
        self.gossip: typing.Final = fleet_builders.Fleet(entries)
        self.gossip.start(nursery)
        if entries <= _MOST_GOSSIPING:
            self.gossip.run_all()
        self._addresses: typing.Final = frozenset(self.gossip.entries)
        self.streams: typing.Final[list[CalledStream]] = []
        self._park: typing.Final[dict[str, _Start]] = {}
        self.entries: typing.Final[list[_VersionEntry]] = []
        self._down: typing.Final[list[fleet_builders.Entry]] = []
        self._all: typing.Final[list[_VersionEntry]] = []
        self._by_address: typing.Final[
            dict[tuple[str, int], _VersionEntry]
        ] = {}
        self.agents: typing.Final[dict[str, _Agent]] = {}
        # True if targets that start have an agent beside them.
        self.has_agents = False
        self.lost_share = 0.0
        # Seconds from a break until its caller comes back.
        self.come_back_s = _COME_BACK_S
        # Seconds by which the last entry lists a target later than the first.
        self.list_lag_s = 0.0
        self._nursery: typing.Final = nursery
        self._numbers: typing.Final = itertools.count(1)
        self._rng: typing.Final = random.Random(seed)
        for gossip in self.gossip.entries.values():
            self._start_entry(gossip, ())

    def _start_entry(
        self, gossip: fleet_builders.Entry, earlier: abc.Collection[str]
    ) -> None:
        entry = _VersionEntry(self, gossip, self._park)
        self.entries.append(entry)
        self._all.append(entry)
        self._by_address[option_types.split_address(gossip.address)] = entry
        for start in self._park.values():
            self._list(entry, start)
        now = trio.current_time()
        entry.history.note_start(now)
        if self.topic is None:
            entry.history.note_earlier(
                {forwarding_builders.SERVICE: earlier}, now
            )
        self._nursery.start_soon(entry.run)

    def list_members(self, entry: fleet_builders.Entry) -> abc.Collection[str]:
        """Return the entries that one of them counts as live."""
        if self.count > _MOST_GOSSIPING:
            return self._addresses
        return entry.table.list_live()

    def deliver(
        self, address: tuple[str, int], data: bytes, sender: tuple[str, int]
    ) -> None:
        """Deliver a datagram, unless it is lost or its entry is gone."""
        agent = self.agents.get(f"{address[0]}:{address[1]}")
        if agent is not None:
            self._nursery.start_soon(self._receive, agent, data, sender)
            return
        entry = self._by_address[address]
        is_lost = self._rng.random() < self.lost_share
        is_lost |= entry.is_cut_off
        if sender in self._by_address:
            is_lost |= self._by_address[sender].is_cut_off
        if entry in self.entries and not is_lost:
            self._nursery.start_soon(self._receive, entry.mail, data, sender)

    @staticmethod
    async def _receive(
        receiver: typing.Union[mail_builders.FleetMail, _Agent],
        data: bytes,
        sender: tuple[str, int],
    ) -> None:
        await trio.sleep(_TRANSIT_S)
        message = codec.decode_message(data, sender[0])
        assert message.is_ok(), message
        await receiver.handle(message.ok, sender)

    def find_agent(self, target: targets.Target) -> typing.Optional[str]:
        """Return the address of the agent beside a target."""
        if not self.has_agents:
            return None
        address = _name_agent(target.entry)
        if address not in self.agents:
            self.agents[address] = _Agent(self, address)
        return address

    def send_bad_datagrams(self) -> None:
        """Send every entry messages of the right form with odd values."""
        sender = next(iter(self._by_address))
        origin = {"service": "s", "start": "x" * 999, "software": ""}
        for value in (0, -1, 10**400):
            row = {**origin, "key": "k", "left_ms": value}
            wanted = {
                "type": "origin_wanted",
                "question": value,
                "member": "nobody",
                "key": "",
                "service": "s",
                "window_ms": value,
            }
            found = {
                "type": "origin_found",
                "question": value,
                "member": "nobody",
                "origin": {**origin, "more": value},
                "sole_software": "",
                "current": True,
            }
            told = {
                "type": "origins_told",
                "rows": [row, {**row, "start": ""}],
            }
            for address in self._by_address:
                for message in (wanted, found, told):
                    data = codec.encode_message(message)
                    self.deliver(address, data, sender)

    def count_messages(self) -> tuple[int, int]:
        """Return the datagrams that all entries have sent, and their bytes."""
        return (
            sum(entry.mail.sent for entry in self._all),
            sum(entry.mail.sent_bytes for entry in self._all),
        )

    def cut_off(self, number: int) -> None:
        """Cut an entry off from the others and from the list."""
        entry = self.entries[number]
        entry.is_cut_off = True
        entry.cut_off_at = trio.current_time()
        self.gossip.cut_off.add(entry.gossip.address)

    def restart_all(self, earlier: abc.Collection[str]) -> None:
        """Kill all entries, and start them again.

        Without a topic, they learn the ``earlier`` versions otherwise.
        """
        self.kill_all()
        self.start_again(len(self._down), earlier)

    def kill_all(self) -> None:
        """Kill all entries; they are down until they are started again."""
        self.is_first_start = False
        self.kill_some(self.entries)

    def start_again(
        self, count: int, earlier: abc.Collection[str] = ()
    ) -> None:
        """Start some of the entries that are down."""
        for gossip in self._down[:count]:
            self._start_entry(gossip, earlier)
        del self._down[:count]

    def start_target(self, software: str) -> str:
        """Start a target, which all entries list at once."""
        name = f"t-{next(self._numbers)}"
        start = _Start(name, software)
        self._park[name] = start
        for place, entry in enumerate(self.entries):
            lag_s = self.list_lag_s * place / max(1, len(self.entries) - 1)
            if lag_s:
                self._nursery.start_soon(self._list_later, entry, start, lag_s)
            else:
                self._list(entry, start)
        return name

    async def _list_later(
        self, entry: _VersionEntry, start: _Start, lag_s: float
    ) -> None:
        await trio.sleep(lag_s)
        if not start.has_ended:
            self._list(entry, start)

    @staticmethod
    def _list(entry: _VersionEntry, start: _Start) -> None:
        if entry.is_cut_off:
            return
        entry.registry.put_entry(start.entry, trio.current_time())

    def list_foreign_target(self, service: str) -> None:
        """Let the list name a target without a version, of any service."""
        target = forwarding_builders.make_entry(
            "foreign", service=service, software=""
        )
        for entry in self.entries:
            entry.registry.put_entry(target, trio.current_time())

    def end_target(self, name: str) -> None:
        """End a target: its streams break off, and the list drops it."""
        self._park.pop(name).has_ended = True
        for entry in self.entries:
            entry.registry.drop(name)

    def list_writers(self, software: str) -> abc.Sequence[_VersionEntry]:
        """Return the entries that write the mark of a version at once."""
        key = version_markers.make_key(forwarding_builders.SERVICE, software)
        addresses = [entry.gossip.address for entry in self.entries]
        ranked = ranking.rank_members(key, addresses)
        return [
            entry
            for entry in self.entries
            if entry.gossip.address in ranked[: version_markers.WRITERS]
        ]

    def kill_some(self, killed: abc.Collection[_VersionEntry]) -> None:
        """Kill some entries; they are down until they are started again."""
        for entry in list(killed):
            entry.scope.cancel()
            for scope in list(entry.scopes):
                scope.cancel()
            self._down.append(entry.gossip)
            self.entries.remove(entry)

    def kill_entries(self, count: int) -> None:
        """Kill some entries at once; their answers break off."""
        for _ in range(count):
            entry = self.entries.pop(self._rng.randrange(len(self.entries)))
            self.gossip.stop(entry.gossip)
            for scope in list(entry.scopes):
                scope.cancel()

    def cut_answers(self, share: float) -> None:
        """Break off a share of all answers; their entries go on."""
        for entry in self.entries:
            for scope in list(entry.scopes):
                if self._rng.random() < share:
                    scope.cancel()

    async def send_load(self, per_s: float, seconds: float) -> None:
        """Let callers come for some seconds, and wait for their streams."""
        async with trio.open_nursery() as nursery:
            until = trio.current_time() + seconds
            while trio.current_time() < until:
                nursery.start_soon(self.call)
                await trio.sleep(self._rng.expovariate(per_s))

    async def call(self) -> None:
        """Ask for a stream, and take it up after each break."""
        began = trio.current_time()
        content = f"request-{next(self._numbers)}"
        began_by = ""
        softwares: list[str] = []
        taken_up = went_on = 0
        longest_s = 0.0
        refusal = None
        for number in range(_MAX_TRIES):
            while not self.entries:
                # Some come back at once, others later.
                await trio.sleep(self._rng.random())
            entry = self._rng.choice(self.entries)
            known = len(softwares)
            taken_up += known > 0
            asked_at = trio.current_time()
            answer = _TimedAnswer()
            with trio.CancelScope() as scope:
                entry.scopes.add(scope)
                await entry.handler.serve(
                    _make_request(content, number, known, began_by), answer
                )
            entry.scopes.discard(scope)
            refusal = entry.refusals.pop(answer, None)
            for place, software in _EVENT_PATTERN.findall(answer.data):
                assert int(place) == len(softwares) + 1, (place, content)
                softwares.append(software.decode())
            if softwares and not known:
                began_by = _name_try(content, number)
            if known:
                went_on += len(softwares) > known or answer.status == 200
                first_at = answer.first_at or trio.current_time()
                longest_s = max(longest_s, first_at - asked_at)
            if answer.is_finished and refusal is None:
                break
            if refusal is not None and not refusal.retry_after_ms:
                break
            if refusal is not None:
                await trio.sleep(refusal.retry_after_ms / 1000)
            await trio.sleep(self.come_back_s)
        self.streams.append(
            CalledStream(
                began,
                tuple(softwares),
                taken_up,
                went_on,
                longest_s,
                len(softwares) == EVENTS,
                refusal,
            )
        )


class _TimedAnswer(forwarding_builders.RecordedAnswer):
    """Records what a caller receives, and when its first event came."""

    def __init__(self) -> None:
        super().__init__()
        self.first_at: typing.Optional[float] = None

    async def send(self, data: bytes) -> None:
        self.first_at = self.first_at or trio.current_time()
        await super().send(data)


def _name_agent(entry: targets.TargetEntry) -> str:
    ip, port = option_types.split_address(entry.address)
    return f"{ip}:{port + _AGENT_PORTS}"


def _name_try(content: str, number: int) -> str:
    return f"{content}-{number}"


def _make_route() -> routes.Route:
    return forwarding_builders.make_route(
        routes.RouteKind.STREAM, may_resume=True, max_attempts=2
    )


def _list_windows_s() -> abc.Mapping[str, float]:
    """Return the configured service, and how long its streams may resume."""
    window_s = _make_route().find_resume_window_s()
    return {forwarding_builders.SERVICE: window_s}


def _make_request(
    content: str, number: int, known: int, began_by: str
) -> requests.CallerRequest:
    """Return a caller's try, which has ``known`` events already."""
    route = _make_route()
    engine = forwarding_builders.ENGINE._replace(
        can_move=False, can_back_up=False
    )
    request = forwarding_builders.make_request(route, engine)
    return request._replace(
        request_id=_name_try(content, number),
        content=content,
        customer=routes.Customer("customer", None),
        last_event_id=str(known) if known else "",
        resumed_id=began_by,
        route_services=(request.service,),
    )

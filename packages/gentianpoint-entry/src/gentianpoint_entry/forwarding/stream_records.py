"""Finds out where a stream began that a caller takes up at this entry.

The entry that begins a stream tells a few others, chosen by consistent
hashing, as long as several software versions serve. An entry to which the
caller comes back asks the same ones. While one version serves, and did when
the stream began, neither is needed.

Some of the agents beside the targets are told and asked as well, as they
outlive an end of all entries. Agents have no list of targets, so an agent
without a record says nothing about the versions that served.
"""

from collections import abc
import itertools
import math
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import option_types
from gentianpoint_core import origin_table
from gentianpoint_core.decisions import member_ring
from gentianpoint_core.decisions import stream_origins
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import peer_datagrams
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import software_history
from gentianpoint_entry.forwarding import targets

__all__ = ("FoundOrigin", "StreamRecords", "choose_origin")

_HOLDERS: typing.Final = 4
"""Other entries that are told where a stream began."""
_ASKED: typing.Final = 6
"""Entries that are asked. Some of them may have started after the stream
began, and some of those that were told may be gone."""
_AGENT_HOLDERS: typing.Final = 3
"""Agents that are told where a stream began."""
_AGENTS_ASKED: typing.Final = 5
"""Agents that are asked. Some targets may have come or gone since."""
_AGENTS_CHECK_S: typing.Final = 5.0
"""Seconds after which the agents are listed again although no target has come
or gone. Which targets have one depends on the configuration."""
_ASK_AGAIN_S: typing.Final = 0.1
"""Seconds after which entries that have not answered are asked once more."""
_ASK_ROUNDS: typing.Final = 3
"""How often they are asked at most."""
_CHECK_S: typing.Final = 0.25
"""Seconds between checks of which versions serve."""
_KEPT_SLACK_S: typing.Final = 5.0
"""Seconds for which a record outlasts its caller's deadline."""
_MAX_WINDOW_MS: typing.Final = 10**9
"""Longest time that another entry may ask for, in milliseconds; no history
goes back as far."""
_ROWS_AT_ONCE: typing.Final = 6
"""Records in one datagram, which has to fit into a packet."""
_Message = abc.Mapping[str, typing.Any]

FindAgent = abc.Callable[[targets.Target], typing.Optional[str]]
"""Returns the address of the agent beside a target, None if it has none."""


class FoundOrigin(typing.NamedTuple):
    """What another entry knows of a stream."""

    origin: typing.Optional[stream_origins.StreamOrigin]
    """Where it began, None if the entry has no record."""
    sole_software: str
    """The one version that served since before it can have begun; empty if
    there were several, or that is not known."""
    is_current: bool
    """True if the entry's list of targets is."""


def choose_origin(
    service: str, found: abc.Sequence[FoundOrigin], asked: int
) -> typing.Optional[stream_origins.StreamOrigin]:
    """Return where a stream of ``service`` began, None if it is not known.

    ``found`` has the answers of some of the ``asked`` entries. If the log is
    out, no entry's list is current. Then what at least half of them say
    counts, as they can't all have missed the same news.
    """
    origins = {item.origin for item in found if item.origin is not None}
    if origins:
        return origins.pop() if len(origins) == 1 else None
    softwares = {item.sole_software for item in found if item.sole_software}
    if len(softwares) != 1:
        return None
    sole = stream_origins.StreamOrigin(service, "", softwares.pop())
    if any(item.sole_software and item.is_current for item in found):
        return sole
    agreed = sum(bool(item.sole_software) for item in found)
    return sole if agreed == len(found) and agreed * 2 >= asked else None


class _Question:
    """A question to some entries and agents, and their answers."""

    def __init__(
        self, entries: abc.Collection[str], agents: abc.Collection[str]
    ) -> None:
        self.missing: typing.Final = {*entries, *agents}
        self.found: typing.Final[list[FoundOrigin]] = []
        self.answered: typing.Final = trio.Event()
        # True once an agent has answered with a record.
        self.is_told_by_agent = False
        self._agents: typing.Final = frozenset(agents)

    def take_answer(self, name: str, answer: FoundOrigin) -> None:
        """Take the answer of the entry or agent ``name``."""
        if name not in self.missing:
            return
        self.missing.discard(name)
        has_origin = answer.origin is not None
        if name not in self._agents:
            self.found.append(answer)
        elif has_origin:
            self.is_told_by_agent = True
            # An agent knows nothing of the versions that serve.
            self.found.append(FoundOrigin(answer.origin, "", False))
        if has_origin or not self.missing:
            self.answered.set()


class StreamRecords:
    """Where streams began, as this entry and others know it."""

    def __init__(
        self,
        address: str,
        list_members: abc.Callable[[], abc.Collection[str]],
        registry: targets.TargetRegistry,
        history: software_history.SoftwareHistory,
        datagrams: peer_datagrams.PeerDatagrams,
        find_address: abc.Callable[[str], tuple[str, int]],
        list_windows_s: abc.Callable[[], abc.Mapping[str, float]],
        find_agent: FindAgent,
    ) -> None:
        """Be the entry ``address`` among ``list_members()``.

        ``find_address`` returns the address for datagrams of a member, and
        ``find_agent`` that of the agent beside a target.
        ``list_windows_s`` returns the configured services whose streams may
        be taken up, and for how many seconds. The list of targets may name
        any others, for which nothing is kept.
        """
        self._address: typing.Final = address
        self._list_members: typing.Final = list_members
        self._registry: typing.Final = registry
        self._history: typing.Final = history
        self._datagrams: typing.Final = datagrams
        self._find_address: typing.Final = find_address
        self._list_windows_s: typing.Final = list_windows_s
        # Returns when the list of targets was last known to be complete.
        self.get_list_confirmed_at: abc.Callable[[], float] = lambda: (
            deadlines.NEVER
        )
        self._table: typing.Final = origin_table.OriginTable()
        # Streams that this entry began and that may be taken up elsewhere.
        self._begun: typing.Final = origin_table.OriginTable()
        self._was_sole: typing.Final[dict[str, bool]] = {}
        self._questions: typing.Final[dict[int, _Question]] = {}
        self._numbers: typing.Final = itertools.count(1)
        self._ring_members: abc.Collection[str] = ()
        self._ring = member_ring.MemberRing(())
        self._find_agent: typing.Final = find_agent
        self._agents: frozenset[str] = frozenset()
        self._agent_ring = member_ring.MemberRing(())
        # The ring by which records of streams under way were told last.
        self._told_ring = self._agent_ring
        self._list_agents_at = -math.inf
        registry.handle_membership = self._note_membership
        # Stays true for an entry that is cut off from all others.
        self._has_known_others = False
        datagrams.add_handler("origins_told", self._handle_told)
        datagrams.add_handler("origin_wanted", self._handle_wanted)
        datagrams.add_handler("origin_found", self._handle_found)

    # Telling.

    async def note_began(self, request: requests.CallerRequest) -> None:
        """Record that a stream has its first event, at ``request.origin``."""
        assert request.origin is not None
        if not request.route.may_resume:
            return
        now = trio.current_time()
        kept_s = request.caller_deadline.at - now + _KEPT_SLACK_S
        record = origin_table.OriginRecord(
            _make_key(request, request.request_id),
            request.origin,
            now + min(kept_s, origin_table.MAX_KEPT_S),
        )
        self._table.put(record)
        self._begun.put(record)
        # Of those that began since the last check, others are told with it.
        if not self._find_sole(request, now):
            await self._tell([record])

    def note_ended(self, request: requests.CallerRequest) -> None:
        """Forget a stream that its caller has received to the end."""
        key = _make_key(request, request.resumed_id or request.request_id)
        self._begun.drop(key)
        self._table.drop(key)

    async def run(self) -> None:
        """Watch which versions serve, until cancelled.

        When a second one comes, other entries are told of the streams that
        began before.
        """
        self._history.note_start(trio.current_time())
        while True:
            now = trio.current_time()
            self._update_ring()
            self._table.prune(now)
            self._begun.prune(now)
            windows_s = self._list_windows_s()
            self.note_listed()
            for service, window_s in windows_s.items():
                is_sole = bool(self._history.find_sole(service, window_s, now))
                if self._was_sole.get(service, True) and not is_sole:
                    await self._tell(self._begun.list_by_service(service))
                self._was_sole[service] = is_sole
            for service in self._was_sole.keys() - windows_s.keys():
                del self._was_sole[service]
            await self._tell_new_agents()
            self._history.prune(now)
            await trio.sleep(_CHECK_S)

    def note_listed(self) -> None:
        """Note which versions serve now, and where streams may begin."""
        now = trio.current_time()
        for service in self._list_windows_s():
            self._note_listed(service, now)

    def list_serving(self) -> abc.Mapping[str, abc.Collection[str]]:
        """Return the versions at which streams that may be taken up begin.

        By service; a version that is not known is empty.
        """
        now = trio.current_time()
        return {
            service: self._list_softwares(service, now)
            for service in self._list_windows_s()
        }

    def list_windows_s(self) -> abc.Mapping[str, float]:
        """Return for how long a service's streams may be taken up."""
        return self._list_windows_s()

    def is_list_current(self) -> bool:
        """Tell whether the list of targets was read a moment ago."""
        return self._is_current(trio.current_time())

    async def _tell(
        self, records: abc.Sequence[origin_table.OriginRecord]
    ) -> None:
        self._update_agents()
        holders = [self._list_holders(record.key) for record in records]
        await self._send_records(records, holders)

    def _list_holders(self, key: str) -> abc.Collection[tuple[str, int]]:
        """Return the addresses of those that keep the record with a key."""
        entries = self._list_others(key, _HOLDERS)
        agents = self._agent_ring.list_members(key, _AGENT_HOLDERS)
        return [
            *map(self._find_address, entries),
            *map(option_types.split_address, agents),
        ]

    async def _tell_new_agents(self) -> None:
        """Tell agents of streams under way whose records they keep from now.

        These are other agents than before where targets have come or gone.
        """
        self._update_agents()
        before, self._told_ring = self._told_ring, self._agent_ring
        if before is self._told_ring:
            return
        records = [
            record
            for service, was_sole in self._was_sole.items()
            if not was_sole
            for record in self._begun.list_by_service(service)
        ]
        holders = []
        for record in records:
            present = self._agent_ring.list_members(record.key, _AGENT_HOLDERS)
            known = before.list_members(record.key, _AGENT_HOLDERS)
            new = [agent for agent in present if agent not in known]
            holders.append([*map(option_types.split_address, new)])
        await self._send_records(records, holders)

    async def _send_records(
        self,
        records: abc.Sequence[origin_table.OriginRecord],
        holders: abc.Iterable[abc.Collection[tuple[str, int]]],
    ) -> None:
        """Send each record to those of ``holders`` at the same place."""
        now = trio.current_time()
        rows: dict[tuple[str, int], list[_Message]] = {}
        for record, addresses in zip(records, holders, strict=True):
            row = origin_table.pack_record(record, now)
            for address in addresses:
                rows.setdefault(address, []).append(row)
        for address, told in rows.items():
            for first in range(0, len(told), _ROWS_AT_ONCE):
                message = {
                    "type": "origins_told",
                    "rows": told[first : first + _ROWS_AT_ONCE],
                }
                await self._datagrams.send(address, message)

    def _list_others(self, key: str, count: int) -> abc.Sequence[str]:
        """Return the other entries that keep the record with a key."""
        self._update_ring()
        return self._ring.list_members(key, count)

    def _update_ring(self) -> None:
        members = self._list_members()
        if members is not self._ring_members:
            self._ring_members = members
            others = set(members) - {self._address}
            self._has_known_others |= bool(others)
            self._ring = member_ring.MemberRing(others)

    def _note_membership(self) -> None:
        self._list_agents_at = -math.inf

    def _update_agents(self) -> None:
        """Bring the ring of agents up to date."""
        now = trio.current_time()
        if now < self._list_agents_at:
            return
        found = map(self._find_agent, self._registry.list_all())
        agents = frozenset(agent for agent in found if agent is not None)
        # Without a configuration none is known yet.
        check_s = _AGENTS_CHECK_S if agents else _CHECK_S
        self._list_agents_at = now + check_s
        if agents != self._agents:
            self._agents = agents
            self._agent_ring = member_ring.MemberRing(agents)

    async def _handle_told(
        self, message: _Message, sender: tuple[str, int]
    ) -> None:
        now = trio.current_time()
        for record in origin_table.unpack_records(message["rows"], now):
            self._table.put(record)

    # Asking.

    async def find(
        self, request: requests.CallerRequest
    ) -> typing.Optional[stream_origins.StreamOrigin]:
        """Return where the stream began that a request takes up.

        None if that is not known, which takes a few tenths of a second at
        most.
        """
        now = trio.current_time()
        key = ""
        if request.resumed_id:
            key = _make_key(request, request.resumed_id)
            origin = self._table.find(key, now)
            if origin is not None:
                return self._log_found(request, origin, "record", now)
        service = request.service.name
        self._note_listed(service, now)
        sole = self._find_sole(request, now)
        others = self._list_others(key, _ASKED)
        if sole and (self._is_current(now) or not self._has_known_others):
            origin = stream_origins.StreamOrigin(service, "", sole)
            return self._log_found(request, origin, "one version", now)
        question = await self._ask(request, key, others)
        origin = choose_origin(service, question.found, len(others))
        way = "agent" if question.is_told_by_agent else "asked"
        return self._log_found(request, origin, way, now)

    def _log_found(
        self,
        request: requests.CallerRequest,
        origin: typing.Optional[stream_origins.StreamOrigin],
        way: str,
        began: float,
    ) -> typing.Optional[stream_origins.StreamOrigin]:
        logs.log_event(
            events.STREAM_TAKEN_UP,
            resumed_attempt=request.resumed_id,
            after_event=request.last_event_id,
            is_known=origin is not None,
            start=origin.start if origin else "",
            software=origin.software if origin else "",
            way=way,
            took_ms=round((trio.current_time() - began) * 1000),
        )
        return origin

    def _find_sole(self, request: requests.CallerRequest, now: float) -> str:
        """Return the one version that began all streams of a route.

        The versions are those of the last check, a moment ago.
        """
        service = request.service.name
        if len(request.route.shares) > 1:
            return ""
        return self._history.find_sole(
            service, request.route.find_resume_window_s(), now
        )

    def _note_listed(self, service: str, now: float) -> None:
        self._history.note(service, self._list_softwares(service, now), now)
        for target in self._registry.list_by_service(service):
            target.streams_from = self.find_streams_from(target, now)

    def _list_softwares(self, service: str, now: float) -> abc.Collection[str]:
        """Return the versions of a service's targets.

        An unknown one counts once streams may begin there: it may become
        known before.
        """
        return {
            target.software
            for target in self._registry.list_by_service(service)
            if target.software or target.streams_from <= now
        }

    def find_streams_from(self, target: targets.Target, now: float) -> float:
        """Return from when streams that may be taken up begin at a target."""
        if not target.software:
            return target.added_at + software_history.UNKNOWN_WAIT_S
        return self._history.find_begin_at(
            target.entry.service, target.software, now
        )

    def _is_current(self, now: float) -> bool:
        list_age_s = now - self.get_list_confirmed_at()
        return list_age_s <= software_history.LIST_LAG_S

    async def _ask(
        self,
        request: requests.CallerRequest,
        key: str,
        others: abc.Sequence[str],
    ) -> _Question:
        """Ask other entries and, where the key is known, agents."""
        self._update_agents()
        agents = (
            self._agent_ring.list_members(key, _AGENTS_ASKED) if key else ()
        )
        addresses = {name: self._find_address(name) for name in others}
        for agent in agents:
            addresses[agent] = option_types.split_address(agent)
        question = _Question(others, agents)
        number = next(self._numbers)
        self._questions[number] = question
        message = {
            "type": "origin_wanted",
            "question": number,
            "key": key,
            "member": self._address,
            "service": request.service.name,
            "window_ms": round(request.route.find_resume_window_s() * 1000),
        }
        try:
            for _ in range(_ASK_ROUNDS):
                for name in sorted(question.missing):
                    await self._datagrams.send(addresses[name], message)
                with trio.move_on_after(_ASK_AGAIN_S):
                    await question.answered.wait()
                    break
        finally:
            del self._questions[number]
        return question

    async def _handle_wanted(
        self, message: _Message, sender: tuple[str, int]
    ) -> None:
        now = trio.current_time()
        origin = self._table.find(message["key"], now)
        window_ms = min(max(0, message["window_ms"]), _MAX_WINDOW_MS)
        self._note_listed(message["service"], now)
        answer: dict[str, typing.Any] = {
            "type": "origin_found",
            "question": message["question"],
            "member": self._address,
            "sole_software": self._history.find_sole(
                message["service"], window_ms / 1000, now
            ),
            "current": self._is_current(now),
        }
        if origin is not None:
            answer["origin"] = origin._asdict()
        await self._datagrams.send(sender, answer)

    async def _handle_found(
        self, message: _Message, sender: tuple[str, int]
    ) -> None:
        question = self._questions.get(message["question"])
        if question is None:
            return
        row = message.get("origin")
        found = FoundOrigin(
            None
            if row is None
            else stream_origins.StreamOrigin(
                row["service"], row["start"], row["software"]
            ),
            message["sole_software"],
            message["current"],
        )
        question.take_answer(message["member"], found)


def _make_key(request: requests.CallerRequest, request_id: str) -> str:
    customer = request.customer
    return origin_table.make_key(
        "" if customer is None else customer.name, request_id
    )

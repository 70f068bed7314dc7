"""Finds out where a stream began that a caller takes up at this entry.

The entry that begins a stream tells a few others, chosen by consistent
hashing, as long as several software versions serve. An entry to which the
caller comes back asks the same ones. While one version serves, and did when
the stream began, neither is needed.
"""

from collections import abc
import itertools
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core.decisions import member_ring
from gentianpoint_core.decisions import stream_origins
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import origin_table
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
_ASK_AGAIN_S: typing.Final = 0.1
"""Seconds after which entries that have not answered are asked once more."""
_ASK_ROUNDS: typing.Final = 3
"""How often they are asked at most."""
_CHECK_S: typing.Final = 0.25
"""Seconds between checks of which versions serve."""
_KEPT_SLACK_S: typing.Final = 5.0
"""Seconds for which a record outlasts its caller's deadline."""
_MAX_KEPT_S: typing.Final = 600.0
"""Seconds, at most, for which a record is kept."""
_MAX_WINDOW_MS: typing.Final = 10**9
"""Longest time that another entry may ask for, in milliseconds; no history
goes back as far."""
_MAX_TEXT: typing.Final = 300
"""Longest text in a record that another entry tells."""
_ROWS_AT_ONCE: typing.Final = 6
"""Records in one datagram, which has to fit into a packet."""
_Message = abc.Mapping[str, typing.Any]


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
    """A question to some entries, and their answers."""

    def __init__(self, asked: abc.Iterable[str]) -> None:
        self.missing: typing.Final = set(asked)
        self.found: typing.Final[list[FoundOrigin]] = []
        self.answered: typing.Final = trio.Event()


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
    ) -> None:
        """Be the entry ``address`` among ``list_members()``.

        ``find_address`` returns the address for datagrams of a member.
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
            now + min(kept_s, _MAX_KEPT_S),
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
        now = trio.current_time()
        rows: dict[str, list[_Message]] = {}
        for record in records:
            row = {
                "key": record.key,
                **record.origin._asdict(),
                "left_ms": round((record.expires_at - now) * 1000),
            }
            for member in self._list_others(record.key, _HOLDERS):
                rows.setdefault(member, []).append(row)
        for member, told in rows.items():
            for first in range(0, len(told), _ROWS_AT_ONCE):
                message = {
                    "type": "origins_told",
                    "rows": told[first : first + _ROWS_AT_ONCE],
                }
                await self._datagrams.send(self._find_address(member), message)

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

    async def _handle_told(
        self, message: _Message, sender: tuple[str, int]
    ) -> None:
        now = trio.current_time()
        for row in message["rows"]:
            texts = (row["key"], row["service"], row["start"], row["software"])
            if max(map(len, texts)) > _MAX_TEXT:
                continue
            left_s = min(max(0, row["left_ms"]), _MAX_KEPT_S * 1000) / 1000
            origin = stream_origins.StreamOrigin(*texts[1:])
            self._table.put(
                origin_table.OriginRecord(row["key"], origin, now + left_s)
            )

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
        found = await self._ask(request, key, others)
        origin = choose_origin(service, found, len(others))
        return self._log_found(request, origin, "asked", now)

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
    ) -> abc.Sequence[FoundOrigin]:
        question = _Question(others)
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
                for member in sorted(question.missing):
                    await self._datagrams.send(
                        self._find_address(member), message
                    )
                with trio.move_on_after(_ASK_AGAIN_S):
                    await question.answered.wait()
                    break
        finally:
            del self._questions[number]
        return question.found

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
        if question is None or message["member"] not in question.missing:
            return
        question.missing.discard(message["member"])
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
        question.found.append(found)
        if not question.missing or found.origin is not None:
            question.answered.set()


def _make_key(request: requests.CallerRequest, request_id: str) -> str:
    customer = request.customer
    return origin_table.make_key(
        "" if customer is None else customer.name, request_id
    )

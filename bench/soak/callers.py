"""Callers, the balancer before them, and probes of what is in force."""

from collections import abc
import random
import typing
import uuid

import trio

from bench.soak import facts as seen
from bench.soak import kinds
from bench.soak import programs
from gentianpoint_core import kept_connections
from gentianpoint_core import ports

__all__ = (
    "Balancer",
    "EntryPlace",
    "call_for_ever",
    "find_probe_pause",
    "probe_for_ever",
)

MAIN_KEY: typing.Final = "key-of-all-versions"
_LOOK_S: typing.Final = 0.5
_MOST_MISSES: typing.Final = 2
_PAUSE_S: typing.Final = 0.06
_PROBE_S: typing.Final = 0.15
_PROBE_ANSWER_S: typing.Final = 1.0
_MOST_PROBES: typing.Final = 40
"""Probes of all entries together in a second, each of two requests."""
_ESTIMATE_SPREAD: typing.Final = 1.0
"""Standard deviation of the logarithm of estimated over real length."""
_CONNECT_MS: typing.Final = 1000.0
_OK: typing.Final = 200
_NOT_RUN: typing.Final = 503
_NOT_FOUND: typing.Final = 404
_NO_KEY: typing.Final = 401


class EntryPlace(typing.NamedTuple):
    """An entry, and where it is reached."""

    program: programs.Program
    """Its process."""
    front: str
    """IP:PORT for callers."""
    ready: str
    """IP:PORT for the balancer."""


class Balancer:
    """Knows which entries take connections, as a balancer does."""

    def __init__(self, entries: abc.Sequence[EntryPlace]) -> None:
        """Ask ``entries``."""
        self._entries: typing.Final = entries
        self._misses: typing.Final = dict.fromkeys(
            range(len(entries)), _MOST_MISSES
        )

    def list_ready(self) -> list[EntryPlace]:
        """Return the entries in rotation; all if fewer than half are."""
        ready = [
            place
            for number, place in enumerate(self._entries)
            if self._misses[number] < _MOST_MISSES
        ]
        if len(ready) * 2 < len(self._entries):
            return list(self._entries)
        return ready

    async def wait_all_ready(self) -> None:
        """Return once every entry is in rotation."""
        while max(self._misses.values()) >= _MOST_MISSES:
            await trio.sleep(_LOOK_S)

    async def run(self) -> None:
        """Ask each entry again and again."""
        async with trio.open_nursery() as nursery:
            for number, place in enumerate(self._entries):
                nursery.start_soon(self._ask, number, place)

    async def _ask(self, number: int, place: EntryPlace) -> None:
        connections = kept_connections.KeptConnections(
            place.ready, _LOOK_S * 1000
        )
        request = _make_request(b"GET", "/api/readiness", place.ready, {}, b"")
        while True:
            answer = await _exchange(connections, request, _LOOK_S)
            is_ready = answer == _Answer(_OK, b"", "answered")
            self._misses[number] = 0 if is_ready else self._misses[number] + 1
            await trio.sleep(_LOOK_S)


class _Answer(typing.NamedTuple):
    """What came back; the status is 0 if nothing did."""

    status: int
    body: bytes
    end: typing.Literal["answered", "cut", "given_up", "not_sent"]


async def _exchange(
    connections: kept_connections.KeptConnections,
    request: kept_connections.ExchangeRequest,
    within_s: float,
) -> _Answer:
    status = 0
    parts: list[bytes] = []
    with trio.move_on_after(within_s):
        try:
            async with connections.exchange(request) as exchange:
                status = exchange.status
                async for part in exchange.receive_body():
                    parts.append(part)
            return _Answer(status, b"".join(parts), "answered")
        except ports.PortError as error:
            # What the entry ends too soon is noted as such.
            if not error.took_effect:
                return _Answer(0, b"", "not_sent")
            return _Answer(status, b"".join(parts), "cut")
    return _Answer(status, b"".join(parts), "given_up")


def _make_request(
    method: bytes,
    path: str,
    host: str,
    headers: abc.Mapping[str, str],
    body: bytes,
) -> kept_connections.ExchangeRequest:
    fields = [("Host", host), *headers.items()]
    return kept_connections.ExchangeRequest(
        method,
        path.encode(),
        [(name.encode(), value.encode()) for name, value in fields],
        body,
    )


class _Caller:
    """A caller with its connections, which it keeps."""

    def __init__(self, source: random.Random, *, stays: bool) -> None:
        self._source: typing.Final = source
        self._stays: typing.Final = stays
        self._connections: typing.Final[
            dict[int, kept_connections.KeptConnections]
        ] = {}
        self._last: typing.Optional[tuple[EntryPlace, int]] = None

    def choose_place(self, balancer: Balancer) -> EntryPlace:
        """Return the next entry; one that stays keeps to a process."""
        if self._last is not None and self._stays:
            place, pid = self._last
            if place.program.pid == pid and place.program.is_running:
                return place
        return self._source.choice(balancer.list_ready())

    async def call(
        self, place: EntryPlace, kind: kinds.RequestKind
    ) -> seen.Answer:
        """Send a request and return what came of it."""
        most = self._source.choice(kind.most_events)
        request_id = f"{kind.name}-{most}-{uuid.uuid4().hex}"
        error = self._source.lognormvariate(0, _ESTIMATE_SPREAD)
        estimate = round(kinds.count_events(request_id) * error)
        headers = {
            **_make_headers(request_id, kind.deadline_ms, MAIN_KEY),
            "X-Gentianpoint-Token-Count": f"100,{most}",
            "X-Gentianpoint-Length-Hint": str(estimate),
        }
        request = _make_request(
            b"POST", f"/{kind.name}/x", kinds.HOST, headers, b"prompt"
        )
        pid = place.program.pid
        self._last = (place, pid)
        connections = self._connections.setdefault(
            pid, kept_connections.KeptConnections(place.front, _CONNECT_MS)
        )
        sent_at = trio.current_time()
        answer = await _exchange(connections, request, kind.deadline_ms / 1000)
        return seen.Answer(
            request_id,
            kind.name,
            sent_at,
            answer.status,
            answer.body,
            answer.end == "answered",
            place.program.name,
            pid,
            trio.current_time(),
            answer.end,
        )


async def call_for_ever(
    balancer: Balancer,
    facts: seen.Facts,
    source: random.Random,
    *,
    stays: bool,
) -> None:
    """Send requests, one after the other, over connections that are kept.

    A caller that ``stays`` uses a process until it is gone.
    """
    caller = _Caller(source, stays=stays)
    while True:
        kind = source.choice(kinds.KINDS)
        place = caller.choose_place(balancer)
        facts.answers.append(await caller.call(place, kind))
        await trio.sleep(source.random() * _PAUSE_S)


def _make_headers(
    request_id: str, deadline_ms: int, key: str
) -> dict[str, str]:
    return {
        "X-Gentianpoint-Request-Id": request_id,
        "X-Gentianpoint-Request-Deadline": str(deadline_ms),
        "X-Gentianpoint-Model": "m",
        "Authorization": f"Bearer {key}",
    }


def find_probe_pause(entries: int) -> float:
    """Return the seconds between two probes of an entry.

    Probes of all entries together keep to a rate that the soak's own process
    can bear; else it would be the log and the targets that are slow.
    """
    return max(_PROBE_S, entries / _MOST_PROBES)


async def probe_for_ever(
    place: EntryPlace, facts: seen.Facts, pause_s: float
) -> None:
    """Ask an entry again and again for what the newest version says.

    Each version adds a route, and takes the key of the one before away.
    """
    connections = kept_connections.KeptConnections(place.front, _CONNECT_MS)
    while True:
        if facts.changes:
            version = facts.changes[-1].version
            for is_key in (False, True):
                await _probe(connections, place, facts, version, is_key=is_key)
        await trio.sleep(pause_s)


async def _probe(
    connections: kept_connections.KeptConnections,
    place: EntryPlace,
    facts: seen.Facts,
    version: int,
    *,
    is_key: bool,
) -> None:
    key = f"key-{version - 1}" if is_key else MAIN_KEY
    path = "/status/x" if is_key else f"/version-{version}/x"
    request_id = f"probe-{uuid.uuid4().hex}"
    pid = place.program.pid
    sent_at = trio.current_time()
    headers = _make_headers(request_id, 1000, key)
    request = _make_request(b"POST", path, kinds.HOST, headers, b"")
    answer = await _exchange(connections, request, _PROBE_ANSWER_S)
    if answer.end != "answered":
        # An entry that is down, or was, shows nothing of its version.
        return
    if answer.status == _NOT_RUN or pid != place.program.pid:
        return
    refused = answer.status == (_NO_KEY if is_key else _NOT_FOUND)
    if is_key and refused:
        # So does an entry that is two versions behind; its route tells.
        return
    facts.probes.append(
        seen.Probe(
            place.program.name,
            pid,
            version,
            sent_at,
            trio.current_time(),
            is_in_force=not is_key and not refused,
        )
    )

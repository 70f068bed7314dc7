"""Callers, the balancer before them, and probes of what is in force."""

from collections import abc
import random
import typing
import uuid

import trio

from bench.soak import dialects
from bench.soak import facts as seen
from bench.soak import kinds
from bench.soak import programs
from bench.soak import schedule
from gentianpoint_core import connection_pools
from gentianpoint_core import ports

__all__ = (
    "Balancer",
    "EntryPlace",
    "call_for_ever",
    "exchange",
    "find_broken_stream",
    "find_probe_pause",
    "probe_for_ever",
    "send_fatal",
)

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
_PREFERRED_SHARE: typing.Final = 0.9
"""Share of new connections that a preferred entry gets."""
_LOST_SHARE: typing.Final = 0.2
"""Share of streams that may run again whose callers lose their connection."""
_LOST_AFTER_S: typing.Final = (0.1, 1.0)
"""Shortest and longest time after which they do."""
_TAKEN_UP: typing.Final = 2
"""Times that a caller takes up one stream."""
_FATAL_ATTEMPTS: typing.Final = 2
"""Attempts of a caller at a fatal request, one after the other."""
_FATAL_ROUNDS: typing.Final = 4
"""Times, at least, that the caller makes so many attempts."""
_FATAL_PAUSE_S: typing.Final = (1.0, 5.0)
"""Shortest and longest pause before it does so again."""


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

    def __init__(
        self,
        entries: abc.Sequence[EntryPlace],
        dialect: dialects.Dialect,
        look_s: float = _LOOK_S,
    ) -> None:
        """Ask each of ``entries`` every ``look_s`` seconds."""
        self._look_s: typing.Final = look_s
        self._entries: typing.Final = entries
        self._dialect: typing.Final = dialect
        # Name of the entry that gets most new connections, if any does.
        self.preferred = ""
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

    def choose(self, source: random.Random) -> EntryPlace:
        """Draw the entry of a new connection."""
        ready = self.list_ready()
        preferred = [
            place for place in ready if place.program.name == self.preferred
        ]
        if preferred and source.random() < _PREFERRED_SHARE:
            return preferred[0]
        return source.choice(ready)

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
        connections = connection_pools.ConnectionPool(
            place.ready, self._look_s * 1000
        )
        request = dialects.ask(b"GET", self._dialect.ready_path, {})
        while True:
            answer = await exchange(connections, request, self._look_s)
            is_ready = answer.is_whole and answer.status == _OK
            self._misses[number] = 0 if is_ready else self._misses[number] + 1
            await trio.sleep(self._look_s)


async def exchange(
    connections: connection_pools.ConnectionPool,
    request: connection_pools.ExchangeRequest,
    within_s: float,
) -> dialects.Outcome:
    """Send a request and return what came of it within a time."""
    status = 0
    parts: list[bytes] = []
    with trio.move_on_after(within_s):
        try:
            async with connections.exchange(request) as exchange:
                status = exchange.status
                async for part in exchange.receive_body():
                    parts.append(part)
            body = b"".join(parts)
            return dialects.Outcome(status, body, "answered", is_whole=True)
        except ports.PortError as error:
            # What the entry ends too soon is noted as such.
            if not error.took_effect:
                return dialects.Outcome(0, b"", "not_sent")
            return dialects.Outcome(status, b"".join(parts), "cut")
    return dialects.Outcome(status, b"".join(parts), "given_up")


class _Caller:
    """A caller with its connections, which it keeps."""

    def __init__(
        self,
        dialect: dialects.Dialect,
        source: random.Random,
        *,
        stays: bool,
    ) -> None:
        self._dialect: typing.Final = dialect
        self._source: typing.Final = source
        self._stays: typing.Final = stays
        self._connections: typing.Final[
            dict[int, connection_pools.ConnectionPool]
        ] = {}
        self._last: typing.Optional[tuple[EntryPlace, int]] = None

    def choose_place(self, balancer: Balancer) -> EntryPlace:
        """Return the next entry; one that stays keeps to a process."""
        if self._last is not None and self._stays:
            place, pid = self._last
            if place.program.pid == pid and place.program.is_running:
                return place
        return balancer.choose(self._source)

    def _choose_wait_s(self, kind: kinds.RequestKind) -> float:
        """Return how long a caller reads; some lose their connection."""
        may_return = kind.is_stream and kind.may_run_again
        if not (self._dialect.takes_streams_up and may_return):
            return kind.deadline_ms / 1000
        if self._source.random() >= _LOST_SHARE:
            return kind.deadline_ms / 1000
        return self._source.uniform(*_LOST_AFTER_S)

    async def call(
        self,
        place: EntryPlace,
        kind: kinds.RequestKind,
        broken: typing.Optional[dialects.BrokenStream] = None,
    ) -> seen.Answer:
        """Send a request, which may take a stream up, and return its answer.

        A caller opens a new connection to take a stream up.
        """
        most = self._source.choice(kind.most_events)
        request_id = f"{kind.name}-{most}-{uuid.uuid4().hex}"
        error = self._source.lognormvariate(0, _ESTIMATE_SPREAD)
        estimate = round(kinds.count_events(request_id) * error)
        request = self._dialect.make_call(kind, request_id, estimate, broken)
        pid = place.program.pid
        self._last = (place, pid)
        connections = self._connections.setdefault(
            pid, connection_pools.ConnectionPool(place.front, _CONNECT_MS)
        )
        if broken is not None:
            connections.close()
        sent_at = trio.current_time()
        answer = await exchange(
            connections, request, self._choose_wait_s(kind)
        )
        ended_at = trio.current_time()
        answer = self._dialect.read_outcome(request_id, answer)
        return seen.Answer(
            request_id,
            kind.name,
            sent_at,
            answer.status,
            answer.body,
            answer.is_whole,
            place.program.name,
            pid,
            ended_at,
            answer.end,
            broken.stream_id if broken else "",
            broken.last_event if broken else 0,
        )


def find_broken_stream(
    answer: seen.Answer,
) -> typing.Optional[dialects.BrokenStream]:
    """Return the stream that an answer leaves unfinished, if it has events.

    One that is taken up and refused is as unfinished as before.
    """
    kind = kinds.find_kind(answer.request_id)
    if answer.is_whole and answer.status == _OK:
        return None
    if kind is None or not kind.is_stream or not kind.may_run_again:
        return None
    events = answer.body.count(b"\n\n") if answer.status == _OK else 0
    last_event = answer.after_event + events
    if not last_event:
        return None
    stream_id = answer.stream_id or answer.request_id
    return dialects.BrokenStream(stream_id, last_event)


async def call_for_ever(
    balancer: Balancer,
    dialect: dialects.Dialect,
    facts: seen.Facts,
    source: random.Random,
    *,
    stays: bool,
) -> None:
    """Send requests, one after the other, over connections that are kept.

    A caller that ``stays`` uses a process until it is gone.
    """
    caller = _Caller(dialect, source, stays=stays)
    while True:
        kind = source.choice(kinds.KINDS)
        place = caller.choose_place(balancer)
        answer = await caller.call(place, kind)
        facts.answers.append(answer)
        for _ in range(_TAKEN_UP if dialect.takes_streams_up else 0):
            broken = find_broken_stream(answer)
            if broken is None:
                break
            await trio.sleep(source.random() * _PAUSE_S)
            place = balancer.choose(source)
            answer = await caller.call(place, kind, broken)
            facts.answers.append(answer)
        await trio.sleep(source.random() * _PAUSE_S)


async def send_fatal(
    balancer: Balancer,
    dialect: dialects.Dialect,
    facts: seen.Facts,
    source: random.Random,
    step: schedule.Step,
) -> None:
    """Send a request that ends targets, or others with one part of it.

    Its first attempts end targets until the entries know it. The later ones
    show whether they do.
    """
    content = f"{step.place}x{round(step.at * 1000)}"
    choice: abc.Sequence[kinds.RequestKind] = kinds.KINDS
    if step.kind == schedule.FATAL_PART:
        content = kinds.make_part_content(content)
        choice = [kind for kind in kinds.KINDS if kind.is_stream]
    kind = choice[step.place % len(choice)]
    for _ in range(_FATAL_ROUNDS + step.changes):
        for _ in range(_FATAL_ATTEMPTS):
            place = balancer.choose(source)
            request_id = kinds.make_fatal_id(kind, content, uuid.uuid4().hex)
            facts.fatal_calls.append(
                seen.FatalCall(
                    request_id, place.program.name, trio.current_time()
                )
            )
            connections = connection_pools.ConnectionPool(
                place.front, _CONNECT_MS
            )
            await exchange(
                connections,
                dialect.make_call(kind, request_id, 1),
                kind.deadline_ms / 1000,
            )
            connections.close()
        await trio.sleep(source.uniform(*_FATAL_PAUSE_S))


def find_probe_pause(entries: int) -> float:
    """Return the seconds between two probes of an entry.

    Probes of all entries together keep to a rate that the soak's own process
    can bear; else it would be the log and the targets that are slow.
    """
    return max(_PROBE_S, entries / _MOST_PROBES)


async def probe_for_ever(
    place: EntryPlace,
    dialect: dialects.Dialect,
    facts: seen.Facts,
    pause_s: float,
) -> None:
    """Ask an entry again and again for what the newest version says."""
    connections = connection_pools.ConnectionPool(place.front, _CONNECT_MS)
    while True:
        if facts.changes:
            await _probe(connections, place, dialect, facts)
        await trio.sleep(pause_s)


async def _probe(
    connections: connection_pools.ConnectionPool,
    place: EntryPlace,
    dialect: dialects.Dialect,
    facts: seen.Facts,
) -> None:
    version = facts.changes[-1].version
    requests = dialect.make_probes(version, f"probe-{uuid.uuid4().hex}")
    for number, request in enumerate(requests):
        pid = place.program.pid
        sent_at = trio.current_time()
        answer = await exchange(connections, request, _PROBE_ANSWER_S)
        if not answer.is_whole or pid != place.program.pid:
            # An entry that is down, or was, shows nothing of its version.
            continue
        is_in_force = dialect.judge_probe(number, answer.status)
        if is_in_force is not None:
            facts.probes.append(
                seen.Probe(
                    place.program.name,
                    pid,
                    version,
                    sent_at,
                    trio.current_time(),
                    is_in_force,
                )
            )

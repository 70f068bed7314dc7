"""Plays broken answers against real entries, and notes what callers get."""

import collections
from collections import abc
import itertools
import pathlib
import random
import re
import typing
import uuid

import trio

from bench.broken_answers import answers
from bench.broken_answers import relays
from bench.soak import callers
from bench.soak import dialects
from bench.soak import facts as seen
from bench.soak import fleet
from bench.soak import http_serving
from bench.soak import kinds
from bench.soak import platform_targets
from gentianpoint_core import connection_pools
from gentianpoint_entry import authentication
from gentianpoint_standins import addresses
from gentianpoint_standins import processes

__all__ = ("Results", "play_own", "play_platform")

_LONG_BYTES: typing.Final = 3 << 20
"""Length of a request that takes a while to send."""
_REQUEST_ID: typing.Final = re.compile(
    rb"\r\n(x-gentianpoint-request-id: [^\r]*)", re.IGNORECASE
)
_MARK_FIELD: typing.Final = "X-Mark"
_SEAL_FIELD: typing.Final = b"X-Gentianpoint-Server-Seal: seal"
_STREAM_FIELD: typing.Final = b"Content-Type: text/event-stream"
_READY_S: typing.Final = 30.0
_LOOK_S: typing.Final = 0.1
_CONNECT_MS: typing.Final = 1000.0
_ANSWER_S: typing.Final = 15.0
_DEADLINE_MS: typing.Final = 10000
_OK: typing.Final = 200
_FIRST_FAILURE: typing.Final = 500
_ENTRIES: typing.Final = 2
_TARGETS: typing.Final = 2
_DATA_CENTRE: typing.Final = "centre-0"
_OWN_METHODS: typing.Final = (b"POST", b"PUT")
"""Methods of a call that may run once, and of one that may run again."""


class Results:
    """What callers got for requests that targets answered by a name."""

    def __init__(self) -> None:
        """Begin without any."""
        self.sent: typing.Final[collections.Counter[str]] = (
            collections.Counter()
        )
        """How often targets sent each answer."""
        self.called: typing.Final[
            dict[tuple[str, str], list[dialects.Outcome]]
        ] = {}
        """What callers got, by the answer and the kind of request."""

    def note(self, name: str, kind: str, outcome: dialects.Outcome) -> None:
        """Note what a caller got."""
        self.called.setdefault((name, kind), []).append(outcome)

    def count_whole(self, name: str, kind: str) -> int:
        """Return how many callers got the whole body as a success."""
        return sum(
            _looks_complete(outcome) and outcome.body == answers.WHOLE
            for outcome in self.called[name, kind]
        )

    def list_mixed(self) -> abc.Sequence[str]:
        """Return the answers that looked complete with another body."""
        return self._describe(
            lambda outcome: (
                _looks_complete(outcome) and outcome.body != answers.WHOLE
            )
        )

    def list_unrefused(self) -> abc.Sequence[str]:
        """Return what was no complete failure of the entry's own.

        That is also an answer which the caller's own client can't read.
        """
        return self._describe(
            lambda outcome: (
                not outcome.is_whole or outcome.status < _FIRST_FAILURE
            )
        )

    def _describe(
        self, is_listed: abc.Callable[[dialects.Outcome], bool]
    ) -> abc.Sequence[str]:
        return [
            f"{kind} answered by {name}: {outcome}"
            for (name, kind), outcomes in self.called.items()
            for outcome in outcomes
            if is_listed(outcome)
        ]


def _looks_complete(outcome: dialects.Outcome) -> bool:
    return outcome.is_whole and outcome.status == _OK


async def play_platform(
    names: abc.Sequence[str],
    times: int,
    folder: pathlib.Path,
    *,
    is_long: bool,
) -> Results:
    """Let each kind of request be answered so on the users' platform."""
    slot = fleet.NetworkSlot()
    results = Results()
    try:
        size = fleet.FleetSize(_ENTRIES, _TARGETS, _TARGETS)
        count = size.engines + size.plain
        parts = fleet.Fleet(
            size,
            folder,
            slot,
            seen.Facts(),
            random.Random(1),
            served_elsewhere=range(count),
        )
        async with trio.open_nursery() as nursery:
            opened = [
                await _open_target(parts, number, nursery)
                for number in range(count)
            ]
            await fleet.start_configured(nursery, parts)
            with trio.fail_after(_READY_S):
                for place in parts.entries:
                    await _wait_until_served(place)
            places = itertools.cycle(parts.entries)
            for name, _, kind in itertools.product(
                names, range(times), kinds.KINDS
            ):
                place = next(places)
                request = _mark(
                    _make_platform_call(kind), name, is_long=is_long
                )
                outcome = await _call(place.front, request)
                results.note(name, kind.name, outcome)
            for relay in opened:
                results.sent.update(relay.sent)
            nursery.cancel_scope.cancel()
    finally:
        slot.release()
    return results


async def _open_target(
    parts: fleet.Fleet, number: int, nursery: trio.Nursery
) -> relays.AnsweringRelay:
    """Serve a sound target behind a relay that answers what is marked."""
    place = parts.targets[number].place
    target = platform_targets.Target(
        place._replace(own=place.listed),
        parts.log,
        seen.Facts(),
        random.Random(number),
    )
    target.undelimited_share = 0.0
    await http_serving.open_server(nursery, place.own, target.serve)
    fields = [_SEAL_FIELD]
    if place.service == kinds.ENGINES:
        fields.append(_STREAM_FIELD)
    relay = relays.AnsweringRelay(
        place.own, lambda head: [*_REQUEST_ID.findall(head), *fields]
    )
    await relay.open(nursery, place.listed)
    nursery.start_soon(target.run)
    return relay


async def _wait_until_served(place: callers.EntryPlace) -> None:
    """Wait until an entry knows a target for each kind of request."""
    for kind in kinds.KINDS:
        outcome = dialects.Outcome(0, b"", "not_sent")
        while outcome.status != _OK:
            outcome = await _call(place.front, _make_platform_call(kind))
            await trio.sleep(_LOOK_S)


def _make_platform_call(
    kind: kinds.RequestKind,
) -> connection_pools.ExchangeRequest:
    request_id = f"{kind.name}-20-{uuid.uuid4().hex}"
    return dialects.PlatformDialect().make_call(
        kind._replace(deadline_ms=_DEADLINE_MS), request_id, 1
    )


def _mark(
    request: connection_pools.ExchangeRequest, name: str, *, is_long: bool
) -> connection_pools.ExchangeRequest:
    """Let a request be answered by a name; no two bodies are alike."""
    body = uuid.uuid4().hex.encode()
    mark = (_MARK_FIELD.encode(), relays.make_mark(name).encode())
    return request._replace(
        headers=[*request.headers, mark],
        body=body.ljust(_LONG_BYTES) if is_long else body,
    )


async def _call(
    address: str, request: connection_pools.ExchangeRequest
) -> dialects.Outcome:
    connections = connection_pools.ConnectionPool(address, _CONNECT_MS)
    outcome = await callers.exchange(connections, request, _ANSWER_S)
    connections.close()
    return outcome


async def play_own(
    names: abc.Sequence[str],
    times: int,
    *,
    is_long: bool,
) -> Results:
    """Let plain calls be answered so on the project's own interface."""
    results = Results()
    relay_address = addresses.reserve_address()
    with processes.LocalDeployment() as deployment:
        entry, target = await trio.to_thread.run_sync(
            _start_own, deployment, relay_address
        )
        relay = relays.AnsweringRelay(target.address, lambda head: ())
        async with trio.open_nursery() as nursery:
            await relay.open(nursery, relay_address)
            for name, _, method in itertools.product(
                names, range(times), _OWN_METHODS
            ):
                request = _make_own_call(method, name, is_long=is_long)
                outcome = await _call(entry.address, request)
                results.note(name, method.decode(), outcome)
            nursery.cancel_scope.cancel()
        results.sent.update(relay.sent)
    return results


def _make_own_call(
    method: bytes, name: str, *, is_long: bool
) -> connection_pools.ExchangeRequest:
    headers = {
        "Authorization": f"Bearer {dialects.MAIN_KEY}",
        "Gentianpoint-Deadline-Ms": str(_DEADLINE_MS),
    }
    path = f"/services/{kinds.PLAIN}/echo/x"
    request = dialects.ask(method, path, headers)
    return _mark(request, name, is_long=is_long)


def _start_own(
    deployment: processes.LocalDeployment, relay_address: str
) -> tuple[processes.ProcessHandle, processes.ProcessHandle]:
    """Start an entry, and an agent whose target is behind a relay."""
    deployment.start_log()
    deployment.start_hosts()
    target = deployment.start_plain("plain-0")
    entry = deployment.start_entry("entry-0", _DATA_CENTRE)
    agent = deployment.start_agent(
        "plain-0-agent",
        _DATA_CENTRE,
        kinds.PLAIN,
        f"http://{relay_address}",
        target_kind="plain",
    )
    deployment.register_host(entry, _DATA_CENTRE)
    deployment.register_host(agent, _DATA_CENTRE, kinds.PLAIN)
    key = authentication.hash_key(dialects.MAIN_KEY)
    deployment.declare("customers", "all", {"key_hashes": [key]})
    service = {"kind": "plain", "customers": ["*"]}
    deployment.declare("services", kinds.PLAIN, service)
    entry.log.wait_for_event(
        "connection_opened", matches=lambda event: event["peer"] == agent.name
    )
    return entry, target

"""Real entries that are all killed at once, and callers that come back."""

from collections import abc
import pathlib
import random
import re
import typing
import uuid

import trio

from bench.soak import callers
from bench.soak import dialects
from bench.soak import facts as seen
from bench.soak import fleet
from bench.soak import kinds
from gentianpoint_core import connection_pools
from gentianpoint_core import ports

__all__ = ("CalledStream", "RejoinPlan", "play")

_CALLERS: typing.Final = 30
_LEAST_EVENTS: typing.Final = 30
_MOST_EVENTS: typing.Final = 120
_MOST_TRIES: typing.Final = 60
"""Tries of one stream; while entries are down they fail at once."""
_PAUSE_S: typing.Final = 0.1
_WITHIN_S: typing.Final = 12.0
_CONNECT_MS: typing.Final = 1000.0
_BETWEEN_KILLS_S: typing.Final = 7.0
_EVENT: typing.Final = re.compile(rb"id: (\d+)\ndata: [^/]+/\d+/\d+/(\w+)\n")


class RejoinPlan(typing.NamedTuple):
    """What happens to a fleet."""

    entries: int
    """Entries, all of which are killed."""
    engines: int
    """Targets that stream."""
    kills: int
    """How often the entries are killed."""
    is_replaced: bool
    """True if another version takes the place of all targets before the first
    entry is back."""


class CalledStream(typing.NamedTuple):
    """What a caller got for one stream, over all its tries."""

    softwares: tuple[str, ...]
    """Software version that wrote each event."""
    taken_up: int
    """How often an entry answered as it was taken up."""
    went_on: int
    """How often it then brought further events."""
    refused_with: int
    """Status of the refusal that ended it, 0 if none did."""
    wait_s: float
    """Longest time from a return to the first event, or to a refusal."""


class _Try(typing.NamedTuple):
    """One try at a stream."""

    status: int
    """Status of the answer, 0 without one."""
    softwares: tuple[str, ...]
    """Software version that wrote each event that it brought."""
    is_whole: bool
    """True if it ended as a complete answer does."""
    wait_s: float
    """Time to the first event, or to the end if there was none."""


async def play(
    plan: RejoinPlan, folder: pathlib.Path
) -> abc.Sequence[CalledStream]:
    """Play a plan and return the streams that its callers got."""
    slot = fleet.NetworkSlot()
    found: list[CalledStream] = []
    try:
        parts = fleet.Fleet(
            fleet.FleetSize(plan.entries, plan.engines, 1),
            folder,
            slot,
            seen.Facts(),
            random.Random(1),
            relays_targets=False,
        )
        async with trio.open_nursery() as nursery:
            balancer = await fleet.start_configured(nursery, parts)
            for number in range(_CALLERS):
                source = random.Random(number)
                nursery.start_soon(_call_for_ever, balancer, source, found)
            await _kill_entries(plan, parts)
            nursery.cancel_scope.cancel()
    finally:
        slot.release()
    return found


async def _kill_entries(plan: RejoinPlan, parts: fleet.Fleet) -> None:
    for number in range(plan.kills):
        await trio.sleep(_BETWEEN_KILLS_S)
        for place in parts.entries:
            place.program.kill()
        if plan.is_replaced:
            for target in parts.targets[: plan.engines]:
                await target.replace(f"v{number + 2}")
    await trio.sleep(_BETWEEN_KILLS_S)


async def _call_for_ever(
    balancer: callers.Balancer,
    source: random.Random,
    found: list[CalledStream],
) -> None:
    while True:
        found.append(await _call(balancer, source))
        await trio.sleep(_PAUSE_S * source.random())


async def _call(
    balancer: callers.Balancer, source: random.Random
) -> CalledStream:
    """Ask for a stream, and take it up after each break."""
    began_by = ""
    softwares: tuple[str, ...] = ()
    taken_up = went_on = refused_with = 0
    longest_s = 0.0
    for _ in range(_MOST_TRIES):
        request_id = _make_long_id()
        broken = (
            dialects.BrokenStream(began_by, len(softwares))
            if softwares
            else None
        )
        item = await _try_once(balancer.choose(source), request_id, broken)
        began_by = began_by or (request_id if item.softwares else "")
        softwares += item.softwares
        if broken is not None and item.status:
            taken_up += 1
            went_on += bool(item.softwares) or item.is_whole
            longest_s = max(longest_s, item.wait_s)
            if item.status != 200:
                refused_with = item.status
                break
        if item.is_whole and item.status == 200:
            break
        await trio.sleep(_PAUSE_S)
    return CalledStream(softwares, taken_up, went_on, refused_with, longest_s)


def _make_long_id() -> str:
    """Return the identifier of a request for a stream of many events."""
    while True:
        request_id = f"tag-{_MOST_EVENTS}-{uuid.uuid4().hex}"
        if kinds.count_events(request_id) >= _LEAST_EVENTS:
            return request_id


async def _try_once(
    place: callers.EntryPlace,
    request_id: str,
    broken: typing.Optional[dialects.BrokenStream],
) -> _Try:
    kind = kinds.find_kind(request_id)
    assert kind is not None
    request = dialects.PlatformDialect().make_call(
        kind, request_id, _MOST_EVENTS, broken
    )
    connections = connection_pools.ConnectionPool(place.front, _CONNECT_MS)
    asked_at = trio.current_time()
    wait_s: typing.Optional[float] = None
    status = 0
    is_whole = False
    body = b""
    with trio.move_on_after(_WITHIN_S):
        try:
            async with connections.exchange(request) as exchange:
                status = exchange.status
                async for part in exchange.receive_body():
                    body += part
                    wait_s = wait_s or trio.current_time() - asked_at
                is_whole = True
        except ports.PortError:
            # The entry is down, or was killed meanwhile.
            pass
    connections.close()
    after = broken.last_event if broken else 0
    events = _EVENT.findall(body) if status == 200 else []
    numbers = [int(number) for number, _ in events]
    assert numbers == list(range(after + 1, after + 1 + len(numbers)))
    return _Try(
        status,
        tuple(software.decode() for _, software in events),
        is_whole,
        wait_s or trio.current_time() - asked_at,
    )

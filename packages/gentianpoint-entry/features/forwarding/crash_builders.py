"""Targets that end while they run a request, and entries that call them.

The entries gossip as in :mod:`fleet_builders` and share the targets. A target
that ends breaks off all its requests, refuses connections, and starts again
at its address some seconds later.
"""

from collections import abc
import contextlib
import itertools
import math
import typing

import fleet_builders
import forwarding_builders
import trio

from gentianpoint_core import deadlines
from gentianpoint_core import ports
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import target_ends
from gentianpoint_entry.forwarding import targets

__all__ = (
    "FATAL",
    "CrashFleet",
    "ServedRequest",
    "TargetPark",
    "make_crash_request",
)

FATAL: typing.Final = "fatal"
"""Content that ends each target that begins to run it."""
_CRASH_S: typing.Final = 0.1
"""Seconds from the start of such a run to the target's end."""
_PLAIN_S: typing.Final = 0.05
_EVENTS: typing.Final = 20
_UNLISTED_S: typing.Final = 3.6
"""Seconds until the list drops a target that has ended."""
_RESTART_S: typing.Final = 4.0
_SLOTS: typing.Final = 16
_RETRY_SLACK: typing.Final = 58.0


class Send(typing.NamedTuple):
    """A request that reached a target."""

    content: str
    """What is requested."""
    at: float
    """When, on trio's clock."""
    target_id: str
    """Start of the target."""
    parts: abc.Sequence[str] = ()
    """Parts of its prompt that others share."""


class _TargetStart:
    """One start of a target."""

    def __init__(self, place: int, number: int) -> None:
        self.entry: typing.Final = targets.TargetEntry(
            target_id=f"i-{place}-{number}",
            service=forwarding_builders.SERVICE,
            address=f"10.1.0.{place}:80",
            data_centre=forwarding_builders.DATA_CENTRE,
            slots=_SLOTS,
            is_leaving=False,
            cold_left_ms=0.0,
            started_ms=1 + number,
            software="v1",
        )
        self.ended: typing.Final = trio.Event()

    async def work(self, seconds: float, link: "_EntryLink") -> None:
        """Work for so long; raise if the connection breaks off meanwhile."""
        broken = link.broken
        with trio.move_on_after(seconds) as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_when, self.ended, nursery)
                nursery.start_soon(_cancel_when, broken, nursery)
        if not scope.cancelled_caught:
            raise ports.PortError(
                "receive body",
                self.entry.address,
                "connection closed",
                took_effect=True,
                disconnected=True,
            )


async def _cancel_when(event: trio.Event, nursery: trio.Nursery) -> None:
    await event.wait()
    nursery.cancel_scope.cancel()


class _EntryLink:
    """An entry's way to the targets."""

    def __init__(self) -> None:
        self.broken = trio.Event()
        self.is_cut = False

    def reset(self) -> None:
        """Break all connections off; new ones can be opened."""
        self.broken.set()
        self.broken = trio.Event()


class TargetPark:
    """All targets, and what reached them."""

    def __init__(self, nursery: trio.Nursery, places: int) -> None:
        """Start targets at ``places`` addresses."""
        self.registries: typing.Final[list[targets.TargetRegistry]] = []
        self.sends: typing.Final[list[Send]] = []
        self.ends: typing.Final[list[Send]] = []
        self.fatal: typing.Final[set[str]] = {FATAL}
        # Parts of prompts that end each target that begins to write on them.
        self.fatal_parts: typing.Final[set[str]] = set()
        # Whether connections are taken at the address of a target that is
        # down.
        self.has_fronts = False
        # Whether targets take requests and answer nothing.
        self.are_silent = False
        # Whether a target ends under each request.
        self.are_all_fatal = False
        self._nursery: typing.Final = nursery
        self.places: typing.Final = places
        self._starts: typing.Final[dict[int, _TargetStart]] = {}
        self._numbers: typing.Final = itertools.count(1)
        for place in range(places):
            self._starts[place] = _TargetStart(place, next(self._numbers))

    def add_registry(self) -> targets.TargetRegistry:
        """Return a registry that lists the targets from now on."""
        registry = targets.TargetRegistry()
        for start in self._starts.values():
            registry.put_entry(start.entry, trio.current_time())
        self.registries.append(registry)
        return registry

    def find_start(self, target: targets.Target) -> _TargetStart:
        """Return the start at a target's address; raise if it is down."""
        for start in self._starts.values():
            is_there = start.entry.address == target.entry.address
            if is_there and not start.ended.is_set():
                return start
        raise ports.PortError(
            "connect", target.entry.address, "refused", took_effect=False
        )

    def is_up(self, target: targets.Target) -> bool:
        """Tell whether a start listens at a target's address."""
        if self.has_fronts:
            return True
        try:
            self.find_start(target)
        except ports.PortError:
            return False
        return True

    def end(self, place: int) -> None:
        """End the target at a place; it starts again later."""
        start = self._starts[place]
        if not start.ended.is_set():
            start.ended.set()
            self._nursery.start_soon(self._restart, place)

    def end_all(self) -> None:
        """End all targets at once."""
        for place in range(self.places):
            self.end(place)

    async def run_fatal(self, start: _TargetStart, content: str) -> None:
        """End a target some time after it has begun to run ``content``."""
        await trio.sleep(_CRASH_S)
        if start.ended.is_set():
            return
        now = trio.current_time()
        self.ends.append(Send(content, now, start.entry.target_id))
        for place, current in self._starts.items():
            if current is start:
                self.end(place)

    def is_fatal(self, request: requests.CallerRequest) -> bool:
        """Tell whether a request ends each target that begins to run it."""
        return (
            self.are_all_fatal
            or request.content in self.fatal
            or not self.fatal_parts.isdisjoint(request.prompt_parts)
        )

    def start_fatal(self, start: _TargetStart, content: str) -> None:
        """Let a run of ``content`` end a target."""
        self._nursery.start_soon(self.run_fatal, start, content)

    async def _restart(self, place: int) -> None:
        old = self._starts[place]
        await trio.sleep(_UNLISTED_S)
        for registry in self.registries:
            registry.drop(old.entry.target_id)
        await trio.sleep(_RESTART_S - _UNLISTED_S)
        start = _TargetStart(place, next(self._numbers))
        self._starts[place] = start
        for registry in self.registries:
            registry.put_entry(start.entry, trio.current_time())


class _ParkAnswer(forwarding_builders.GoodAnswer):
    """The answer of a target, as long as it does not end."""

    def __init__(
        self,
        start: _TargetStart,
        link: _EntryLink,
        request: requests.CallerRequest,
        after: int,
    ) -> None:
        super().__init__()
        self._start: typing.Final = start
        self._link: typing.Final = link
        self._request: typing.Final = request
        self._after: typing.Final = after

    async def receive_body(self) -> abc.AsyncIterator[bytes]:
        if self._request.route.kind is not routes.RouteKind.STREAM:
            yield b"body"
            return
        for number in range(self._after + 1, _EVENTS + 1):
            await self._start.work(forwarding_builders.EVENT_S, self._link)
            yield forwarding_builders.make_event(number)


class ParkCalls(target_calls.TargetCalls):
    """One entry's calls to the targets."""

    def __init__(self, park: TargetPark) -> None:
        """Call the targets of ``park``."""
        self.link: typing.Final = _EntryLink()
        self._park: typing.Final = park

    @contextlib.asynccontextmanager
    async def send_request(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> abc.AsyncIterator[target_calls.TargetAnswer]:
        """Let a target run a request, which may end it."""
        if self.link.is_cut:
            raise ports.PortError(
                "connect", target.entry.address, "no answer", took_effect=False
            )
        start = self._park.find_start(target)
        self._park.sends.append(
            Send(
                request.content,
                trio.current_time(),
                start.entry.target_id,
                request.prompt_parts,
            )
        )
        if self._park.is_fatal(request):
            self._park.start_fatal(start, request.content)
        if self._park.are_silent:
            await start.work(math.inf, self.link)
        if request.route.kind is not routes.RouteKind.STREAM:
            is_fatal = self._park.is_fatal(request)
            run_s = 10 * _CRASH_S if is_fatal else _PLAIN_S
            await start.work(run_s, self.link)
        after = int(options.last_event_id or 0)
        yield _ParkAnswer(start, self.link, request, after)

    async def copy_memory(
        self,
        source: targets.Target,
        destination: targets.Target,
        request_id: str,
        *,
        stops_first: bool,
        deadline: deadlines.Deadline,
    ) -> target_calls.CopyResult:
        """Copy nothing: no target leaves."""
        raise AssertionError("no target leaves")

    async def free_copy(self, target: targets.Target, name: str) -> None:
        """Do nothing: copies take no memory here."""

    async def check_listening(
        self, target: targets.Target
    ) -> typing.Optional[bool]:
        """Tell whether a start listens at the target's address."""
        return None if self.link.is_cut else self._park.is_up(target)

    def close_unlisted(self, listed: abc.Collection[targets.Target]) -> None:
        """Do nothing: no connection is kept."""


class ServedRequest(typing.NamedTuple):
    """What a caller got."""

    content: str
    """What was requested."""
    at: float
    """When it was sent, on trio's clock."""
    status: int
    """Status of the answer; 0 for none."""
    is_whole: bool
    """True when the answer is complete."""
    refusal: typing.Optional[refusals.Refusal]
    """The entry's own answer, if it gave one."""
    took_s: float
    """Seconds to the end of the answer."""
    parts: abc.Sequence[str] = ()
    """Parts of its prompt that others share."""


def make_crash_request(
    kind: str, content: str, number: int, parts: abc.Sequence[str] = ()
) -> requests.CallerRequest:
    """Return a request of a kind; to be called while trio runs.

    ``parts`` are those of its prompt that others share.
    """
    is_stream = "stream" in kind
    may_repeat = "once" not in kind
    route_kind = routes.RouteKind.ONCE
    if is_stream:
        route_kind = routes.RouteKind.STREAM
    elif may_repeat:
        route_kind = routes.RouteKind.IDEMPOTENT
    route = forwarding_builders.make_route(
        route_kind,
        may_resume=is_stream and may_repeat,
        max_attempts=2 if may_repeat else 1,
    )
    engine = None
    if is_stream:
        engine = forwarding_builders.ENGINE._replace(
            can_move=False, can_back_up="backup" in kind
        )
    request = forwarding_builders.make_request(route, engine)
    return request._replace(
        request_id=f"request-{number}", content=content, prompt_parts=parts
    )


class _CrashEntry(forwarding_builders.ServingEntry):
    """An entry that serves requests."""

    def __init__(self, park: TargetPark, gossip: fleet_builders.Entry) -> None:
        self.gossip: typing.Final = gossip
        calls = ParkCalls(park)
        self.link: typing.Final = calls.link
        registry = park.add_registry()
        self.ends: typing.Final = target_ends.TargetEnds(
            gossip.suspects,
            gossip.address,
            calls.check_listening,
            lambda contents: gossip.gossip.notify_urgent(),
            registry.has_other_start,
        )
        super().__init__(
            forwarding_builders.connect_forwarder(
                registry,
                calls,
                self.ends,
                retry_slack=_RETRY_SLACK,
                seed=gossip.number,
            )
        )


class CrashFleet:
    """Entries that gossip, the targets they share, and callers."""

    def __init__(
        self, nursery: trio.Nursery, entries: int, places: int
    ) -> None:
        """Start ``entries`` entries and targets at ``places`` addresses."""
        self.gossip: typing.Final = fleet_builders.Fleet(entries)
        self.gossip.start(nursery)
        self.gossip.run_all()
        self.park: typing.Final = TargetPark(nursery, places)
        self.served: typing.Final[list[ServedRequest]] = []
        self._nursery: typing.Final = nursery
        self._numbers: typing.Final = itertools.count(1)
        self.entries: typing.Final[list[_CrashEntry]] = [
            _CrashEntry(self.park, entry)
            for entry in self.gossip.entries.values()
        ]
        for item in self.entries:
            nursery.start_soon(item.ends.run)

    def add_entry(self) -> int:
        """Start another entry, and return its number."""
        gossip = self.gossip.add(len(self.gossip.entries))
        entry = _CrashEntry(self.park, gossip)
        self._nursery.start_soon(gossip.run)
        self._nursery.start_soon(entry.ends.run)
        self.entries.append(entry)
        return len(self.entries) - 1

    async def call(
        self,
        kind: str,
        content: str,
        entry: int,
        parts: abc.Sequence[str] = (),
    ) -> ServedRequest:
        """Send a request to an entry, and record and return the answer."""
        chosen = self.entries[entry % len(self.entries)]
        answer = forwarding_builders.RecordedAnswer()
        began = trio.current_time()
        await chosen.handler.serve(
            make_crash_request(kind, content, next(self._numbers), parts),
            answer,
        )
        result = ServedRequest(
            content,
            began,
            answer.status,
            answer.is_finished,
            chosen.refusals.pop(answer, None),
            trio.current_time() - began,
            parts,
        )
        self.served.append(result)
        return result

"""Engines with little room, entries that claim it, and a fake agent."""

from collections import abc
import contextlib
import math
import typing

import forwarding_builders
import probe_builders
import trio

from gentianpoint_core import codec
from gentianpoint_core import deadlines
from gentianpoint_core import ports
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import peer_datagrams
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import room_claims
from gentianpoint_entry.forwarding import room_waits
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import targets

MEMORY: typing.Final = forwarding_builders.ENGINE.memory_tokens


class FakeRoom(room_claims.RoomClaims):
    """The room at some engines, as all their agents see it."""

    def __init__(self) -> None:
        """Start without engines."""
        self.free: typing.Final[dict[str, int]] = {}
        self.leases: typing.Final[dict[tuple[str, str], int]] = {}
        self.opens_in_s = math.inf
        self.delay_s = 0.002
        self.silent: typing.Final[set[str]] = set()
        self.asked: typing.Final[list[tuple[str, float]]] = []
        self.given_back: typing.Final[list[tuple[str, str]]] = []

    async def claim(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> typing.Optional[room_claims.RoomReply]:
        """Grant what fits."""
        name = target.target_id
        self.asked.append((name, trio.current_time()))
        if name in self.silent:
            await trio.sleep(0.025)
            return None
        await trio.sleep(self.delay_s)
        tokens = request.prompt_tokens + request.likely_output_tokens
        if tokens > self.free[name]:
            opens_at = trio.current_time() + self.opens_in_s
            return room_claims.RoomReply(False, opens_at)
        self.free[name] -= tokens
        self.leases[name, request.request_id] = tokens
        return room_claims.RoomReply(True)

    def give_back(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> None:
        """Free what was granted."""
        key = (target.target_id, request.request_id)
        self.given_back.append(key)
        self.free[key[0]] += self.leases.pop(key, 0)


class Calls(forwarding_builders.ScriptedCalls):
    """Targets that record what is sent, and may be out of reach."""

    def __init__(self) -> None:
        """Start without requests."""
        super().__init__()
        self.is_reachable = True

    @contextlib.asynccontextmanager
    async def send_request(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> abc.AsyncIterator[forwarding_builders.GoodAnswer]:
        """Answer with success."""
        if not self.is_reachable:
            raise ports.PortError(
                "connect", "target", "down", took_effect=False
            )
        yield forwarding_builders.GoodAnswer()


class Entry:
    """An entry that sends generations to engines with little room."""

    def __init__(
        self,
        room: FakeRoom,
        names: abc.Sequence[str],
        used: int = 0,
        *,
        is_controlled: bool = True,
    ) -> None:
        """Know engines of which reports show ``used`` tokens in use."""
        self.room: typing.Final = room
        self.calls: typing.Final = Calls()
        self.rooms: typing.Final = room_waits.RoomWaits(room)
        self.shared: typing.Final[forwarder.Forwarder] = (
            forwarding_builders.make_forwarder(
                names,
                self.calls,
                rooms=self.rooms if is_controlled else None,
            )
        )
        for name in names:
            room.free.setdefault(name, MEMORY - used)
            self.report(name, used)
        self.sent: typing.Final[list[tuple[str, float]]] = []
        self.refused: typing.Final[list[tuple[float, float]]] = []

    def report(self, name: str, used: int, running: int = 12) -> None:
        """Apply a new report of an engine."""
        target = self.find(name)
        target.open_requests = 0
        number = 1
        if target.report is not None:
            number = target.report.sequence_number + 1
        target.take_report(
            targets.EngineReport(
                sampled_at=trio.current_time(),
                running=running,
                waiting=0,
                used_tokens=used,
                total_tokens=MEMORY,
                is_leaving=False,
                leaves_at=None,
                is_silent=False,
                pending_prefill_tokens=0,
                sequence_number=number,
            )
        )
        self.shared.registry.note_report(target)

    def open_room(self, name: str, tokens: int) -> None:
        """Free memory of an engine, without a report."""
        self.room.free[name] += tokens

    def find(self, name: str) -> targets.Target:
        """Return a target by its name."""
        target = self.shared.registry.find(name)
        assert target is not None
        return target

    async def request(
        self, request: requests.CallerRequest
    ) -> typing.Optional[targets.Target]:
        """Find a target, and record when it was found or refused."""
        target = await self.shared.find_target(request)
        if target is None:
            opening_ms = self.shared.promise_opening_ms(request)
            self.refused.append((trio.current_time(), opening_ms))
        else:
            self.sent.append((request.request_id, trio.current_time()))
            target.note_sent(
                trio.current_time(),
                request.prompt_tokens + request.likely_output_tokens,
                0,
            )
            self.shared.settle_claim(target, request)
        return target


def make_generation(
    name: str,
    tokens: int = 1000,
    *,
    within_s: float = 20.0,
    objective_ms: float = 1500.0,
    **changes: typing.Any,
) -> requests.CallerRequest:
    """Return a generation that needs room for ``tokens``.

    Its route allows ``within_s`` seconds, and its caller waits for a minute.
    """
    route = forwarding_builders.make_route(routes.RouteKind.STREAM)
    request = forwarding_builders.make_request(
        route._replace(objective_ms=objective_ms), forwarding_builders.ENGINE
    )
    return request._replace(
        request_id=name,
        prompt_tokens=tokens - 100,
        likely_output_tokens=100,
        deadline=deadlines.make_deadline(within_s * 1000),
        caller_deadline=deadlines.make_deadline(60000.0),
        received_at=trio.current_time(),
        **changes,
    )


class RoomAgent:
    """An agent that replies to claims by datagrams, unless it is silent."""

    def __init__(self) -> None:
        """Reply as the agent of the engine ``target-0``."""
        self.address = ""
        self.identity = "target-0"
        self.replies: list[str] = ["grant"]
        self.received: typing.Final[list[dict[str, typing.Any]]] = []

    async def run(self) -> None:
        """Reply until cancelled."""
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as socket:
            await socket.bind(("127.0.0.1", 0))
            self.address = "{}:{}".format(*socket.getsockname())
            while True:
                data, sender = await socket.recvfrom(2048)
                message = codec.decode_message(data, "entry").ok
                self.received.append(message)
                if message["type"] != "room_wanted":
                    continue
                words = self.replies[0]
                if len(self.replies) > 1:
                    self.replies.pop(0)
                if words == "silence":
                    continue
                reply = {
                    "type": "room_found",
                    "claim": message["claim"],
                    "granted": words == "grant",
                    "opens_in_ms": 0 if words == "grant" else 400,
                    "state": probe_builders.STATE,
                    "target": self.identity,
                }
                await socket.sendto(codec.encode_message(reply), sender)


class ClaimStage:
    """An entry that claims room at one agent by datagrams."""

    def __init__(self) -> None:
        """Prepare the agent and the entry."""
        self.agent: typing.Final = RoomAgent()
        self.target: typing.Final = targets.Target(
            forwarding_builders.make_entry("target-0"), 0.0
        )
        self.states: typing.Final[list[str]] = []
        self._datagrams: typing.Final = peer_datagrams.UdpDatagrams(
            "127.0.0.1:0"
        )
        self.claims: typing.Final = room_claims.DatagramRoomClaims(
            self._datagrams,
            lambda target: self.agent.address,
            lambda target, state: self.states.append(target.target_id),
        )

    async def run(
        self, act: abc.Callable[["ClaimStage"], abc.Awaitable[None]]
    ) -> None:
        """Run ``act`` beside the agent and the entry."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.agent.run)
            nursery.start_soon(self._datagrams.run)
            await trio.sleep(0.05)
            await act(self)
            await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

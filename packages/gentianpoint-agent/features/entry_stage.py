"""An agent with connections from entries, without processes or sockets."""

from collections import abc
import contextlib
import math
import typing

import trio
import watch_builders
import websockets.exceptions

from gentianpoint_agent import admission
from gentianpoint_agent import agent_state
from gentianpoint_agent import applied_service
from gentianpoint_agent import baseline_policies
from gentianpoint_agent import entry_connections
from gentianpoint_agent import plain_runner
from gentianpoint_agent.generated import settings
from gentianpoint_core import codec
from gentianpoint_core import peer_connections
from gentianpoint_core import ports

SETTINGS: typing.Final = settings.AgentSettings(
    "agent-1",
    "zona-norte",
    "",
    "key",
    "app-banco",
    "target-1",
    "",
    target_kind="plain",
)
"""Settings of an agent of a plain service."""


def make_hello(run: str, **more: typing.Any) -> dict[str, typing.Any]:
    """Return the first message of a run of an entry."""
    return {
        "type": "hello",
        "version": codec.PROTOCOL_VERSION,
        "peer": "entry-1",
        "incarnation": run,
        "data_centre": "zona-norte",
        "offset": 0,
        "window": 8,
        "report_ms": 500,
        **more,
    }


def make_offer(attempt: str, **more: typing.Any) -> dict[str, typing.Any]:
    """Return an offer of a plain call, with call number 1."""
    request = {
        "kind": "plain",
        "prompt": "",
        "max_tokens": 0,
        "method": "GET",
        "path": "/",
        "headers": more.pop("headers", []),
        "body": b"",
    }
    return {
        "type": "offer",
        "call": 1,
        "attempt": attempt,
        "customer": "one",
        "weight": 1.0,
        "customer_limit": 0,
        "priority": 5,
        "repeatable": True,
        "start_within_ms": 1000,
        "finish_within_ms": 0,
        "request": request,
        "trace": "",
        **more,
    }


def make_resume(after: int) -> dict[str, typing.Any]:
    """Return a resume of a generation that the agent does not hold."""
    return {
        "type": "resume",
        "call": 2,
        "generation": "none",
        "customer": "one",
        "after": after,
    }


def make_invalid_messages() -> abc.Mapping[str, abc.Mapping[str, typing.Any]]:
    """Return invalid messages by their descriptions in the feature."""
    return {
        "a resource that is not JSON": {
            "type": "configure",
            "offset": 9,
            "revision": 9,
            "service": b"{",
        },
        "an offer whose header is not a pair": make_offer(
            "b", headers=[["a"]]
        ),
        "an offer with a deadline of 400 digits": make_offer(
            "b", start_within_ms=10**400
        ),
        "an offer whose weight is not finite": make_offer(
            "b", weight=math.nan
        ),
        "a resume after item -1": make_resume(-1),
        "a message that only agents send": {"type": "leaving", "reason": ""},
        "a second hello": make_hello("r3"),
    }


class FakeWebsocket:
    """Delivers given messages and records sent ones; can break at a type."""

    def __init__(self) -> None:
        """Create a websocket that does not break."""
        self.sent: typing.Final[list[codec.MessageMap]] = []
        self.breaks_at = ""
        self._sender, self._receiver = trio.open_memory_channel[bytes](
            math.inf
        )

    def deliver(self, message: abc.Mapping[str, typing.Any]) -> None:
        """Let ``recv`` return a message."""
        self._sender.send_nowait(codec.encode_message(message))

    async def send(self, data: bytes) -> None:
        """Record a message, or break at its type."""
        message = codec.decode_message(data, "agent").ok
        if message["type"] == self.breaks_at:
            raise websockets.exceptions.ConnectionClosedError(None, None)
        self.sent.append(message)

    async def recv(self) -> bytes:
        """Return the next message."""
        return await self._receiver.receive()


class FakeService(ports.PlainService):
    """Records the calls that it runs."""

    def __init__(self) -> None:
        """Create a service that has run no call."""
        self.calls: typing.Final[list[abc.Sequence[tuple[str, str]]]] = []
        self.may_end = trio.Event()
        self.may_end.set()

    @contextlib.asynccontextmanager
    async def send_call(
        self,
        method: str,
        path: str,
        headers: abc.Sequence[tuple[str, str]],
        body: bytes,
    ) -> abc.AsyncIterator[ports.PlainAnswer]:
        """Record a call and return a short answer."""
        self.calls.append(headers)
        await self.may_end.wait()
        yield ports.PlainAnswer(200, (), self._iterate())

    async def _iterate(self) -> abc.AsyncIterator[bytes]:
        yield b"part"


class EntryStage:
    """One agent's state and connections; create it inside a trio run."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Run connections and calls in ``nursery``."""
        service = applied_service.AppliedService("app-banco")
        control = admission.AdmissionControl(
            baseline_policies.FixedPolicy(8), service
        )
        self.target: typing.Final = FakeService()
        self.websockets: typing.Final[list[FakeWebsocket]] = []
        self.ends: typing.Final[dict[int, str]] = {}
        self._nursery: typing.Final = nursery
        self.state: typing.Final = agent_state.AgentState(
            SETTINGS,
            nursery,
            control,
            plain_runner.PlainRunner(
                control, self.target, watch_builders.SteadyTarget("app-banco")
            ),
            service,
        )

    def connect(self, run: str, versions: abc.Mapping[str, int] = {}) -> None:
        """Open a connection from an entry run that supports ``versions``.

        Without ``versions`` the entry supports the agent's version.
        """
        websocket = FakeWebsocket()
        self.websockets.append(websocket)
        websocket.deliver(make_hello(run, **versions))
        self._nursery.start_soon(self._serve, len(self.websockets))

    def block_target(self) -> None:
        """Let the target run one call at a time, and end none."""
        self.state.control._policy = baseline_policies.FixedPolicy(1)
        self.target.may_end = trio.Event()

    def suspend_admission(self) -> None:
        """Suspend admission, as the agent does while its target loads."""
        self.state.suspend_admission("the target is loading")

    def resume_admission(self) -> None:
        """Resume admission."""
        self.state.resume_admission()

    async def _serve(self, number: int) -> None:
        connection = peer_connections.PeerConnection(
            typing.cast(typing.Any, self.websockets[number - 1]),
            "entry",
            1000,
            3000,
        )
        try:
            await entry_connections.EntryConnection(
                connection, self.state
            ).serve()
        except* peer_connections.PeerConnectionError as group:
            error = group.exceptions[0]
            assert isinstance(error, peer_connections.PeerConnectionError)
            self.ends[number] = error.step
        except* Exception as group:
            # In the real process this would end the agent. Here the step that
            # checks how the connection ended fails and shows the error.
            self.ends[number] = f"left the connection: {group.exceptions[0]!r}"

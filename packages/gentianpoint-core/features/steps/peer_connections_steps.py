"""Steps for connections between processes, on a clock that jumps."""

import math

import behave
import trio
import trio.testing

from gentianpoint_core import codec
from gentianpoint_core import peer_connections

TICK_MS = 1000
SILENCE_MS = 3000
MESSAGE = {"type": "leaving", "reason": "a message of any kind"}
HEARTBEAT = {"type": "heartbeat", "number": 1, "echo": 0}


class FakeWebsocket:
    """Takes what is sent; brings heartbeats when the peer lives."""

    def __init__(self, lives):
        self.sent = []
        self.lives = lives

    async def send(self, data):
        """Note the type of what is sent."""
        self.sent.append(codec.decode_message(data, "peer").ok["type"])

    async def recv(self):
        """Return a heartbeat each tick, or never."""
        await trio.sleep(TICK_MS / 1000 if self.lives else math.inf)
        return codec.encode_message(HEARTBEAT)


class Scene:
    """A connection on which calls open after some ticks, or never."""

    def __init__(self, lives, opens_after, period_ms=0):
        self.websocket = FakeWebsocket(lives)
        self.connection = peer_connections.PeerConnection(
            self.websocket, "peer", TICK_MS, SILENCE_MS
        )
        self.opens_after = opens_after
        self.period_s = period_ms / 1000 or math.inf
        self.lost = False

    def has_calls(self):
        """Tell whether calls are open by now."""
        passed_s = trio.current_time() - self.began_at
        return passed_s * 1000 / TICK_MS > self.opens_after

    async def send_messages(self):
        """Send messages of our own."""
        while True:
            await trio.sleep(self.period_s)
            await self.connection.send(MESSAGE)

    async def keep_alive(self):
        """Beat, and note the loss."""
        try:
            await self.connection.keep_alive(self.has_calls)
        except peer_connections.PeerConnectionError:
            self.lost = True

    async def run(self, ticks):
        """Let ticks pass."""
        self.began_at = trio.current_time()
        with trio.move_on_after((ticks + 0.5) * TICK_MS / 1000):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.keep_alive)
                nursery.start_soon(self.send_messages)
                await self.connection.receive()


def let_pass(scene, ticks):
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(scene.run, ticks, clock=clock)


def find_opening(calls):
    return {"open calls": -1, "no calls": math.inf}[calls]


@behave.given("a connection with {calls} that sends a message each {ms:d} ms")
def make_live(context, calls, ms):
    context.scene = Scene(True, find_opening(calls), ms)


@behave.given("a connection with {calls} whose peer is silent")
def make_silent(context, calls):
    context.scene = Scene(False, find_opening(calls))


@behave.given(
    "a silent connection on which a call opens after {ticks:d} ticks"
)
def make_opening(context, ticks):
    context.scene = Scene(False, ticks + 0.5)


@behave.when("{ticks:d} ticks of its heartbeat pass")
def pass_ticks(context, ticks):
    let_pass(context.scene, ticks)


@behave.then("it has sent {count:d} heartbeats")
def check_heartbeats(context, count):
    sent = context.scene.websocket.sent
    assert sent.count("heartbeat") == count, sent
    assert not context.scene.lost


@behave.then("the connection is {outcome}")
def check_outcome(context, outcome):
    assert context.scene.lost is (outcome == "lost")

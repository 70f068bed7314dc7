"""Steps for connections between processes, with trio's mock clock."""

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
    """Records sent messages; delivers heartbeats if the peer is alive."""

    def __init__(self, is_alive):
        self.sent = []
        self.is_alive = is_alive

    async def send(self, data):
        """Record the type of a sent message."""
        self.sent.append(codec.decode_message(data, "peer").ok["type"])

    async def recv(self):
        """Return a heartbeat each tick if the peer is alive, else never."""
        await trio.sleep(TICK_MS / 1000 if self.is_alive else math.inf)
        return codec.encode_message(HEARTBEAT)


class ConnectionSimulation:
    """A simulated connection on which a call may open after some ticks."""

    def __init__(self, is_alive, opens_after_ticks, period_ms=0):
        self.websocket = FakeWebsocket(is_alive)
        self.connection = peer_connections.PeerConnection(
            self.websocket, "peer", TICK_MS, SILENCE_MS
        )
        self.opens_after_ticks = opens_after_ticks
        self.period_s = period_ms / 1000 or math.inf
        self.lost = False

    def has_calls(self):
        """Return whether a call is open."""
        elapsed_s = trio.current_time() - self.began_at
        return elapsed_s * 1000 / TICK_MS > self.opens_after_ticks

    async def send_messages(self):
        """Send a message each period."""
        while True:
            await trio.sleep(self.period_s)
            await self.connection.send(MESSAGE)

    async def keep_alive(self):
        """Send heartbeats, and record whether the connection was lost."""
        try:
            await self.connection.keep_alive(self.has_calls)
        except peer_connections.PeerConnectionError:
            self.lost = True

    async def run(self, ticks):
        """Run the connection for some ticks."""
        self.began_at = trio.current_time()
        with trio.move_on_after((ticks + 0.5) * TICK_MS / 1000):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.keep_alive)
                nursery.start_soon(self.send_messages)
                await self.connection.receive()


def run_ticks(simulation, ticks):
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(simulation.run, ticks, clock=clock)


def find_opening_tick(calls):
    return {"open calls": -1, "no calls": math.inf}[calls]


@behave.given("a connection with {calls} that sends a message each {ms:d} ms")
def add_live_connection(context, calls, ms):
    context.simulation = ConnectionSimulation(
        True, find_opening_tick(calls), ms
    )


@behave.given("a connection with {calls} whose peer is silent")
def add_silent_connection(context, calls):
    context.simulation = ConnectionSimulation(False, find_opening_tick(calls))


@behave.given(
    "a silent connection on which a call opens after {ticks:d} ticks"
)
def add_opening_connection(context, ticks):
    context.simulation = ConnectionSimulation(False, ticks + 0.5)


@behave.when("{ticks:d} ticks of its heartbeat pass")
def pass_ticks(context, ticks):
    run_ticks(context.simulation, ticks)


@behave.then("the connection has sent {count:d} heartbeats")
def check_heartbeats(context, count):
    sent = context.simulation.websocket.sent
    assert sent.count("heartbeat") == count, sent
    assert not context.simulation.lost


@behave.then("the connection is {outcome}")
def check_outcome(context, outcome):
    assert context.simulation.lost is (outcome == "lost")

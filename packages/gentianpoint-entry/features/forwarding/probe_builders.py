"""Agents that answer datagrams, and an entry that asks them."""

from collections import abc
import random
import typing

import forwarding_builders
import trio

from gentianpoint_core import codec
from gentianpoint_entry.forwarding import engine_probes
from gentianpoint_entry.forwarding import targets

STATE: typing.Final = {
    "type": "engine_state",
    "running": 3,
    "waiting": 0,
    "used_tokens": 700,
    "total_tokens": 10000,
    "unread_tokens": 0,
    "born_ms": 1,
    "leaving": False,
    "leaves_in_ms": -1,
    "age_ms": 0,
    "silent": False,
    "run": 1,
    "number": 7,
}
"""What each agent answers."""


class Agent:
    """Answers what it is asked for, unless it is silent."""

    def __init__(self, number: int, *, is_silent: bool) -> None:
        self.address = ""
        self.identity = f"target-{number}"
        self.is_silent = is_silent
        self.target: typing.Final = targets.Target(
            forwarding_builders.make_entry(f"target-{number}"), 0.0
        )

    async def run(self) -> None:
        """Answer until cancelled."""
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as socket:
            await socket.bind(("127.0.0.1", 0))
            self.address = "{}:{}".format(*socket.getsockname())
            while True:
                data, sender = await socket.recvfrom(2048)
                message = codec.decode_message(data, "entry").ok
                answer = {
                    "type": "state_found",
                    "probe": message["probe"],
                    "state": STATE,
                    "target": self.identity,
                }
                if not self.is_silent:
                    await socket.sendto(codec.encode_message(answer), sender)


class Stage:
    """Some agents, and an entry that asks them."""

    def __init__(self, count: int, silent: int) -> None:
        self.agents: typing.Final = [
            Agent(number, is_silent=number < silent) for number in range(count)
        ]
        self.taken: typing.Final[list[str]] = []
        self._by_target: typing.Final = {
            agent.target: agent for agent in self.agents
        }
        self._probes: typing.Final = engine_probes.AgentProbes(
            "127.0.0.1:0", self._find_agent, self._take
        )

    def _find_agent(self, target: targets.Target) -> str:
        return self._by_target[target].address

    def _take(
        self, target: targets.Target, message: abc.Mapping[str, typing.Any]
    ) -> None:
        assert dict(message) == STATE
        self.taken.append(target.target_id)

    async def run(
        self, act: abc.Callable[["Stage"], abc.Awaitable[None]]
    ) -> None:
        """Run ``act`` beside the agents and the entry."""
        async with trio.open_nursery() as nursery:
            for agent in self.agents:
                nursery.start_soon(agent.run)
            nursery.start_soon(self._probes.run)
            await trio.sleep(0.05)
            await act(self)
            nursery.cancel_scope.cancel()

    async def ask(self) -> float:
        """Ask all agents; return how long that took, in seconds."""
        self.taken.clear()
        began = trio.current_time()
        await self._probes.refresh([agent.target for agent in self.agents])
        return trio.current_time() - began

    async def send_noise(self, count: int) -> None:
        """Send random datagrams to the entry, some of them like answers."""
        rng = random.Random(5)
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as socket:
            for number in range(count):
                data = rng.randbytes(rng.randrange(80))
                if number % 3 == 0:
                    data = codec.encode_message(
                        {"type": "state_found", "probe": 10**6, "state": STATE}
                    )
                await socket.sendto(data, self._probes.datagrams.address)

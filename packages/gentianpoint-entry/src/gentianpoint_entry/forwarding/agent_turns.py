"""Turns to move generations, which the source engine's agent grants."""

from collections import abc
import math
import typing

import trio

from gentianpoint_core import peer_connections

__all__ = ("AgentTurns",)

_CHECK_S: typing.Final = 0.2
"""Seconds between checks whether the agent still sends reports."""


class AgentTurns:
    """Requests and awaits turns over one connection to an agent."""

    def __init__(self, connection: peer_connections.PeerConnection) -> None:
        """Request turns over ``connection``."""
        self._connection: typing.Final = connection
        self._granted: typing.Final[dict[str, trio.Event]] = {}
        send, receive = trio.open_memory_channel[abc.Mapping[str, typing.Any]](
            math.inf
        )
        self._outgoing: typing.Final = send
        self._to_send: typing.Final = receive

    async def send_messages(self) -> None:
        """Send the queued messages to the agent, until cancelled."""
        async for message in self._to_send:
            await self._connection.send(message)

    def mark_granted(self, request: str) -> None:
        """Record that the agent has granted a request the turn."""
        granted = self._granted.get(request)
        if granted is None:
            self.give_back(request)
        else:
            granted.set()

    def close(self) -> None:
        """Let all waiting requests go on, since the agent is lost."""
        for granted in self._granted.values():
            granted.set()

    async def wait_for_turn(
        self,
        request: str,
        tokens: int,
        is_agent_reporting: abc.Callable[[], bool],
    ) -> None:
        """Return when a request has the turn, or needs none.

        It needs none once ``is_agent_reporting()`` returns False, since the
        agent has stopped then. While the agent grants turns, nothing moves
        without one: all waiting requests would start to copy at once, and
        the copy that has the turn would not be complete before its engine
        stops.
        """
        granted = trio.Event()
        self._granted[request] = granted
        self._outgoing.send_nowait(
            {"type": "move_wanted", "request": request, "tokens": tokens}
        )
        while not granted.is_set() and is_agent_reporting():
            with trio.move_on_after(_CHECK_S):
                await granted.wait()

    def give_back(self, request: str) -> None:
        """Give the turn back, or stop waiting for it."""
        self._granted.pop(request, None)
        self._outgoing.send_nowait({"type": "move_done", "request": request})

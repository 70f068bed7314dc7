"""Turns to move generations, as the agent beside the source gives them."""

from collections import abc
import math
import typing

import trio

from gentianpoint_core import peer_connections

__all__ = ("AgentTurns",)

_LOOK_S: typing.Final = 0.2
"""Pause between looks at whether the agent is still heard."""


class AgentTurns:
    """Waits for turns over one connection to an agent."""

    def __init__(self, connection: peer_connections.PeerConnection) -> None:
        """Ask over ``connection``."""
        self._connection: typing.Final = connection
        self._given: typing.Final[dict[str, trio.Event]] = {}
        send, receive = trio.open_memory_channel[abc.Mapping[str, typing.Any]](
            math.inf
        )
        self._outgoing: typing.Final = send
        self._to_send: typing.Final = receive

    async def send_messages(self) -> None:
        """Send what is asked and given back, for ever."""
        async for message in self._to_send:
            await self._connection.send(message)

    def mark_granted(self, request: str) -> None:
        """Learn that a request has the turn."""
        given = self._given.get(request)
        if given is None:
            self.give_back(request)
        else:
            given.set()

    def close(self) -> None:
        """Let all go on that wait: the agent is lost."""
        for given in self._given.values():
            given.set()

    async def wait_for_turn(
        self, request: str, tokens: int, is_heard: abc.Callable[[], bool]
    ) -> None:
        """Return when a request has the turn, or needs none.

        It needs none once ``is_heard()`` says that the agent has stopped.
        While the agent gives out turns, nothing moves without one: all that
        wait would start at once, and the copy that has the turn would miss
        its engine's end behind them.
        """
        given = trio.Event()
        self._given[request] = given
        self._outgoing.send_nowait(
            {"type": "move_wanted", "request": request, "tokens": tokens}
        )
        while not given.is_set() and is_heard():
            with trio.move_on_after(_LOOK_S):
                await given.wait()

    def give_back(self, request: str) -> None:
        """Give the turn back, or stop waiting for it."""
        self._given.pop(request, None)
        self._outgoing.send_nowait({"type": "move_done", "request": request})

"""Fake connections to other processes."""

from collections import abc
import math
import typing

import trio

from gentianpoint_core import codec
from gentianpoint_core import peer_connections

__all__ = ("ScriptedConnection",)


class ScriptedConnection:
    """A connection that receives given messages, and then ends."""

    peer = "10.0.0.2:80"

    def __init__(
        self, messages: abc.Iterable[abc.Mapping[str, typing.Any]]
    ) -> None:
        """Receive ``messages``, encoded as on the wire."""
        self.sent: typing.Final[list[abc.Mapping[str, typing.Any]]] = []
        self._data: typing.Final = [
            codec.encode_message(message) for message in messages
        ]

    async def receive(self) -> codec.MessageMap:
        """Return the next message, as the real connection does."""
        await trio.lowlevel.checkpoint()
        if not self._data:
            raise peer_connections.PeerConnectionError(
                "receive message", self.peer, "the other end has closed"
            )
        result = codec.decode_message(self._data.pop(0), self.peer)
        if result.is_error():
            raise peer_connections.PeerConnectionError(
                "decode message", self.peer, result.error.reason
            )
        return result.ok

    async def send(self, message: abc.Mapping[str, typing.Any]) -> None:
        """Record a message; raises if it can't be encoded."""
        await trio.lowlevel.checkpoint()
        codec.encode_message(message)
        self.sent.append(message)

    async def keep_alive(self, is_busy: abc.Callable[[], bool]) -> None:
        """Wait until cancelled."""
        await trio.sleep(math.inf)

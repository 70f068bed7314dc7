"""Connections between processes: CBOR messages and heartbeats on a websocket.

A connection can stop delivering data without an error at either end, for
example when a device between the hosts loses its connection state. So both
ends send heartbeats, and an end that receives nothing during several of its
own heartbeat intervals (ticks) closes the connection. Silence is counted in
ticks instead of elapsed time, so that a process that was paused reads the
messages waiting for it before it decides that its peer is silent.

Heartbeats account for most of a node's control traffic. They are sent only
if nothing else was, since any message shows that the sender is alive. A
connection without open calls sends them less often and tolerates a longer
silence. Both ends know which calls are open, because the first message of a
call is sent at once.
"""

from collections import abc
import typing

import trio
import websockets.exceptions
import websockets.trio.connection

from gentianpoint_core import codec
from gentianpoint_core import logs
from gentianpoint_core.generated import events

__all__ = (
    "IDLE_SILENCE_FACTOR",
    "PEER_KEY_HEADER",
    "PeerConnection",
    "PeerConnectionError",
    "count_idle_heartbeat_ticks",
    "log_connection_error",
)

PEER_KEY_HEADER: typing.Final = "Gentianpoint-Peer-Key"
"""HTTP header of the websocket handshake that carries the shared key."""
IDLE_SILENCE_FACTOR: typing.Final = 5
"""Factor by which a connection without open calls may be silent for longer."""
_MAX_HEARTBEAT_TICKS: typing.Final = 10
"""Largest number of ticks between heartbeats."""


def count_idle_heartbeat_ticks(allowed_ticks: int) -> int:
    """Return the ticks between heartbeats of a connection without calls.

    That is two thirds of the silence that the peer allows. TCP does not lose
    a heartbeat without losing the connection, so one in that time is enough;
    the last third is a reserve for a slow process. An agent that sends its
    reports more often needs no heartbeats at all.

    >>> count_idle_heartbeat_ticks(allowed_ticks=3)
    10
    >>> count_idle_heartbeat_ticks(allowed_ticks=2)
    6
    """
    allowed = allowed_ticks * IDLE_SILENCE_FACTOR
    return min(_MAX_HEARTBEAT_TICKS, allowed * 2 // 3)


class PeerConnectionError(Exception):
    """The connection is closed, reset or silent, or received invalid data."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        """Create the error; ``step`` is what failed."""
        self.step: typing.Final = step
        self.peer: typing.Final = peer
        self.reason: typing.Final = reason
        super().__init__(f"{step} with {peer}: {reason}")


def log_connection_error(error: BaseException) -> None:
    """Log why a connection ended; re-raises errors of other types."""
    if not isinstance(error, PeerConnectionError):
        raise error
    is_invalid = error.step == "decode message"
    logs.log_event(
        events.MESSAGE_REFUSED if is_invalid else events.CONNECTION_LOST,
        step=error.step,
        peer=error.peer,
        reason=error.reason,
    )


class PeerConnection:
    """A connection to a peer; both ends use this class."""

    def __init__(
        self,
        websocket: websockets.trio.connection.Connection,
        peer: str,
        heartbeat_ms: int,
        silence_ms: int,
    ) -> None:
        """Wrap ``websocket``.

        The connection is lost after ``silence_ms`` milliseconds without a
        message, counted in ticks of ``heartbeat_ms``.
        """
        self.peer = peer
        self._websocket: typing.Final = websocket
        self._heartbeat_s: typing.Final = heartbeat_ms / 1000
        self._silence_s: typing.Final = silence_ms / 1000
        self._allowed_ticks: typing.Final = max(2, silence_ms // heartbeat_ms)
        self._idle_heartbeat_ticks: typing.Final = count_idle_heartbeat_ticks(
            self._allowed_ticks
        )
        self._silent_ticks = 0
        self._unsent_ticks = 0
        self._sent_in_tick = False
        self._highest_received = 0

    async def send(self, message: abc.Mapping[str, typing.Any]) -> None:
        """Send a message; raises :class:`PeerConnectionError`.

        Sending blocks while the peer does not read. After the silence timeout
        the connection is lost, since the rest of the frame can't be sent and
        the part already sent can't be withdrawn.
        """
        data = codec.encode_message(message)
        with trio.move_on_after(self._silence_s) as scope:
            try:
                await self._websocket.send(data)
            except websockets.exceptions.ConnectionClosed as error:
                raise PeerConnectionError(
                    "send message", self.peer, str(error)
                ) from error
        self._sent_in_tick = True
        if scope.cancelled_caught:
            raise PeerConnectionError(
                "send message", self.peer, "the peer does not read"
            )

    async def receive(self) -> codec.MessageMap:
        """Return the next message other than a heartbeat.

        Raises :class:`PeerConnectionError` when the connection closes or
        receives an invalid message, after which the peer's state is unknown.
        """
        while True:
            try:
                data = await self._websocket.recv()
            except websockets.exceptions.ConnectionClosed as error:
                raise PeerConnectionError(
                    "receive message", self.peer, str(error)
                ) from error
            self._silent_ticks = 0
            result = codec.decode_message(data, self.peer)
            if result.is_error():
                raise PeerConnectionError(
                    "decode message", self.peer, result.error.reason
                )
            message = result.ok
            if message["type"] != "heartbeat":
                return message
            self._highest_received = message["number"]

    async def keep_alive(self, is_busy: abc.Callable[[], bool]) -> None:
        """Send heartbeats until cancelled; raises when the peer is silent.

        ``is_busy`` returns whether the connection has open calls.
        """
        number = 0
        was_busy = True
        while True:
            await trio.sleep(self._heartbeat_s)
            busy = is_busy()
            if busy and not was_busy:
                # Before the first call a longer silence was allowed.
                self._silent_ticks = 0
            was_busy = busy
            self._check_silence(
                self._allowed_ticks * (1 if busy else IDLE_SILENCE_FACTOR)
            )
            if not self._is_heartbeat_due(
                1 if busy else self._idle_heartbeat_ticks
            ):
                continue
            number += 1
            await self.send(
                {
                    "type": "heartbeat",
                    "number": number,
                    "echo": self._highest_received,
                }
            )
            self._sent_in_tick = False

    def _check_silence(self, allowed_ticks: int) -> None:
        self._silent_ticks += 1
        if self._silent_ticks > allowed_ticks:
            raise PeerConnectionError(
                "keep connection alive", self.peer, "the peer is silent"
            )

    def _is_heartbeat_due(self, ticks: int) -> bool:
        """Return whether nothing was sent for ``ticks`` ticks."""
        self._unsent_ticks = 0 if self._sent_in_tick else self._unsent_ticks
        self._unsent_ticks += not self._sent_in_tick
        self._sent_in_tick = False
        if self._unsent_ticks < ticks:
            return False
        self._unsent_ticks = 0
        return True

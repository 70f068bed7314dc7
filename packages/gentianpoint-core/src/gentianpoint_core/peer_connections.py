"""Connections between processes: one websocket, CBOR, heartbeats.

A connection can go silent for good while both ends believe that it lives,
because something between them has lost track of it: nothing arrives and no
error comes. Both ends therefore send heartbeats, and an end that received
nothing during several of its own ticks gives the connection up. Ticks are
counted instead of time, so that a process that was paused first gets to read
what waits for it before it judges the other end.

Heartbeats are most of what control costs a node, so they are sent only when
nothing else was: any message is a sign of life. A connection that carries no
call beats seldom and is judged as seldom. Both ends know which calls are
open, and the first message of a call reaches the other end at once.
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
    "IDLE_TICKS",
    "PEER_KEY_HEADER",
    "PeerConnection",
    "PeerConnectionError",
    "count_idle_heartbeat_ticks",
    "log_connection_error",
)

PEER_KEY_HEADER: typing.Final = "Gentianpoint-Peer-Key"
"""Header of the websocket handshake that carries the shared key."""
IDLE_TICKS: typing.Final = 5
"""Times longer than with calls that a connection without any may be quiet."""
_LONGEST_BEAT_TICKS: typing.Final = 10


def count_idle_heartbeat_ticks(allowed_ticks: int) -> int:
    """Return the ticks between heartbeats of a connection without calls.

    Two thirds of what the other end allows: nothing on the way loses a
    heartbeat without losing the connection too, so one within that time is
    enough, and the last third is for a process that is slow. An agent whose
    reports come within that time needs no heartbeats at all.

    >>> count_idle_heartbeat_ticks(allowed_ticks=3)
    10
    >>> count_idle_heartbeat_ticks(allowed_ticks=2)
    6
    """
    allowed = allowed_ticks * IDLE_TICKS
    return min(_LONGEST_BEAT_TICKS, allowed * 2 // 3)


class PeerConnectionError(Exception):
    """The connection is closed, reset, silent, or brought no message."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        """Make the error for the step during which it was noticed."""
        self.step: typing.Final = step
        self.peer: typing.Final = peer
        self.reason: typing.Final = reason
        super().__init__(f"{step} with {peer}: {reason}")


def log_connection_error(error: BaseException) -> None:
    """Log why a connection ended; raises what is no such error."""
    if not isinstance(error, PeerConnectionError):
        raise error
    refused = error.step == "decode message"
    logs.log_event(
        events.MESSAGE_REFUSED if refused else events.CONNECTION_LOST,
        step=error.step,
        peer=error.peer,
        reason=error.reason,
    )


class PeerConnection:
    """One connection to a peer, seen from either end."""

    def __init__(
        self,
        websocket: websockets.trio.connection.Connection,
        peer: str,
        heartbeat_ms: int,
        silence_ms: int,
    ) -> None:
        """Wrap ``websocket``.

        ``silence_ms`` milliseconds without a message, counted in heartbeats
        of ``heartbeat_ms``, make the connection lost.
        """
        self.peer = peer
        self._websocket: typing.Final = websocket
        self._heartbeat_s: typing.Final = heartbeat_ms / 1000
        self._silence_s: typing.Final = silence_ms / 1000
        self._allowed_ticks: typing.Final = max(2, silence_ms // heartbeat_ms)
        self._idle_beat_ticks: typing.Final = count_idle_heartbeat_ticks(
            self._allowed_ticks
        )
        self._quiet_ticks = 0
        self._unsent_ticks = 0
        self._sent_in_tick = False
        self._highest_received = 0

    async def send(self, message: abc.Mapping[str, typing.Any]) -> None:
        """Send a message; raises :class:`PeerConnectionError`.

        A peer that reads nothing lets the send block; it is given up after
        the silence time, since half a frame can't be taken back.
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
                "send message", self.peer, "the peer reads nothing"
            )

    async def receive(self) -> codec.MessageMap:
        """Return the next message that is no heartbeat.

        Raises :class:`PeerConnectionError` at the end, and when the bytes are
        no message: a peer that sends such bytes can't be followed any more.
        """
        while True:
            try:
                data = await self._websocket.recv()
            except websockets.exceptions.ConnectionClosed as error:
                raise PeerConnectionError(
                    "receive message", self.peer, str(error)
                ) from error
            self._quiet_ticks = 0
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
        """Send heartbeats for ever; raises when the peer is silent.

        ``is_busy`` tells whether the connection carries calls.
        """
        number = 0
        was_busy = True
        while True:
            await trio.sleep(self._heartbeat_s)
            busy = is_busy()
            if busy and not was_busy:
                # The quiet before the first call was allowed to be longer.
                self._quiet_ticks = 0
            was_busy = busy
            self._judge_silence(
                self._allowed_ticks * (1 if busy else IDLE_TICKS)
            )
            if not self._is_beat_due(1 if busy else self._idle_beat_ticks):
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

    def _judge_silence(self, allowed_ticks: int) -> None:
        self._quiet_ticks += 1
        if self._quiet_ticks > allowed_ticks:
            raise PeerConnectionError(
                "keep connection alive", self.peer, "the peer is silent"
            )

    def _is_beat_due(self, ticks: int) -> bool:
        """Tell whether nothing was sent for ``ticks`` of our ticks."""
        self._unsent_ticks = 0 if self._sent_in_tick else self._unsent_ticks
        self._unsent_ticks += not self._sent_in_tick
        self._sent_in_tick = False
        if self._unsent_ticks < ticks:
            return False
        self._unsent_ticks = 0
        return True

"""Tells the entries about the engine that an agent finds when it starts.

Every few seconds an engine is replaced by a new one. While the log is
unavailable, the host list doesn't name the new ones, and the engines that
entries know become full and are stopped one after the other. With the list
available, an announcement brings an engine into use only some tenths of a
second earlier. Entries that it doesn't reach find the engine on the list.
"""

from collections import abc
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import peer_connections
from gentianpoint_core import peer_sockets
from gentianpoint_core import ports
from gentianpoint_core.generated import events

__all__ = ("EngineAnnouncer", "EngineLocation")

_IDENTITY_RETRY_S: typing.Final = 0.25
"""Pause before an engine that isn't healthy yet is asked for its identifier
again, in seconds."""
_IDENTITY_ATTEMPTS: typing.Final = 6
"""Number of times that it is asked, since each request may be charged for;
after that the list names the engine."""
_SEND_ATTEMPTS: typing.Final = 3
"""Number of times that an entry is tried: the list soon names the engine."""
_SEND_RETRY_S: typing.Final = 0.3
"""Pause between two attempts to reach an entry, seconds."""
_CONFIRM_TIMEOUT_S: typing.Final = 1.0
"""Time in which an entry that received the message closes the connection, in
seconds."""


class EngineLocation(typing.NamedTuple):
    """Where an engine is, according to its agent's settings."""

    service: str
    """Service that it belongs to."""
    address: str
    """Address on which it listens, IP:PORT."""
    data_centre: str
    """Its data centre."""


def _ignore_identity(identity: str) -> None:
    """Do nothing with an engine's identifier."""


class EngineAnnouncer:
    """Announces an engine to some entries, which pass it on to the others."""

    def __init__(
        self,
        location: EngineLocation,
        source: ports.EngineStatusSource,
        entries: abc.Sequence[str],
        note_identity: abc.Callable[[str], None] = _ignore_identity,
    ) -> None:
        """Announce to ``entries``, addresses that may be out of date.

        ``note_identity`` is given the engine's identifier.
        """
        self._note_identity: typing.Final = note_identity
        self._location: typing.Final = location
        self._source: typing.Final = source
        self._entries: typing.Final = tuple(entries)
        self._has_started: typing.Final = trio.Event()
        self._started_ms = 0

    def note_start(self, started_ms: int) -> None:
        """Record that the engine answers.

        ``started_ms`` is the Unix time of its start in milliseconds, 0 if
        that is unknown.

        Only the first call counts. If an engine is gone and another one
        answers at its address, that one may belong to another service, which
        only the list tells.
        """
        if not self._has_started.is_set():
            self._started_ms = started_ms
            self._has_started.set()

    async def run(self) -> None:
        """Announce the engine that this agent finds at its own start."""
        await self._has_started.wait()
        target = await self._find_identity()
        if target:
            self._note_identity(target)
            await self._announce(target, self._started_ms)

    async def _find_identity(self) -> str:
        """Return the engine's identifier; empty if it provides none."""
        for number in range(_IDENTITY_ATTEMPTS):
            try:
                return await self._source.read_identity()
            except ports.PortError as error:
                if number == _IDENTITY_ATTEMPTS - 1:
                    logs.log_event(
                        events.ENGINE_UNAVAILABLE,
                        step=error.step,
                        peer=error.peer,
                        reason=error.reason,
                    )
            await trio.sleep(_IDENTITY_RETRY_S)
        return ""

    async def _announce(self, target: str, started_ms: int) -> None:
        message = {
            "type": "engine_here",
            "target": target,
            "born_ms": started_ms,
            "passed_on": False,
            **self._location._asdict(),
        }
        reached: list[str] = []
        async with trio.open_nursery() as nursery:
            for address in self._entries:
                nursery.start_soon(self._send, address, message, reached)
        logs.log_event(
            events.ENGINE_ANNOUNCED, target=target, entries=len(reached)
        )

    @staticmethod
    async def _send(
        address: str,
        message: abc.Mapping[str, typing.Any],
        reached: list[str],
    ) -> None:
        for _ in range(_SEND_ATTEMPTS):
            try:
                async with peer_sockets.open_connection(address) as connection:
                    await connection.send(message)
                    await _wait_until_closed(connection)
                    reached.append(address)
                    return
            except peer_connections.PeerConnectionError as error:
                # The address may be out of date; another entry passes the
                # message on.
                peer_connections.log_connection_error(error)
            await trio.sleep(_SEND_RETRY_S)


async def _wait_until_closed(
    connection: peer_connections.PeerConnection,
) -> None:
    """Return once the entry has read the message and closed the connection.

    A lost connection can't be told from that; the list then names the engine.
    """
    with trio.move_on_after(_CONFIRM_TIMEOUT_S):
        try:
            while True:
                await connection.receive()
        except peer_connections.PeerConnectionError:
            return
    raise peer_connections.PeerConnectionError(
        "announce the engine",
        connection.peer,
        "the entry did not close the connection in time",
    )

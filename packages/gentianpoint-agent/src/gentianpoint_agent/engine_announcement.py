"""Tells entries of the engine that an agent finds at its own start.

The load it answers: engines are taken away every few seconds while the log is
away, so the list names none of those that come instead, and the known ones
fill and leave one by one. Beside a list at hand what an agent tells brings an
engine's use forward by some tenths of a second only; entries that it does not
reach find the engine on the list.
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

_ASK_S: typing.Final = 0.25
"""Pause before an engine that is not well yet is asked for its name again."""
_ASKS: typing.Final = 6
"""Times that it is asked; after that the list names it. Each of them may be
charged for."""
_TELLS: typing.Final = 3
"""Times that an entry is tried: the list names the engine soon."""
_TELL_AGAIN_S: typing.Final = 0.3
_TAKEN_S: typing.Final = 1.0
"""Time in which an entry that takes the message closes the connection."""


class EngineLocation(typing.NamedTuple):
    """Where an engine is, as its agent's settings say."""

    service: str
    """Service that it belongs to."""
    address: str
    """Where it listens, IP:PORT."""
    data_centre: str
    """Its data centre."""


class EngineAnnouncer:
    """Tells some entries, which pass it on to the others."""

    def __init__(
        self,
        place: EngineLocation,
        source: ports.EngineStatusSource,
        entries: abc.Sequence[str],
    ) -> None:
        """Tell ``entries``, addresses that may be old, of what is there."""
        self._place: typing.Final = place
        self._source: typing.Final = source
        self._entries: typing.Final = tuple(entries)
        self._has_started: typing.Final = trio.Event()
        self._born_ms = 0

    def note_start(self, born_ms: int) -> None:
        """Learn that the engine answers; 0 for a start at a time not known.

        Only the first one counts. Where an engine is gone and another one
        answers at its address, that may belong to another service, which
        only the list tells.
        """
        if not self._has_started.is_set():
            self._born_ms = born_ms
            self._has_started.set()

    async def run(self) -> None:
        """Announce the engine that this agent found at its own start."""
        await self._has_started.wait()
        target = await self._find_identity()
        if target:
            await self._announce(target, self._born_ms)

    async def _find_identity(self) -> str:
        """Return the engine's identifier, empty if it gives none."""
        for number in range(_ASKS):
            try:
                return await self._source.read_identity()
            except ports.PortError as error:
                if number == _ASKS - 1:
                    logs.log_event(
                        events.ENGINE_UNAVAILABLE,
                        step=error.step,
                        peer=error.peer,
                        reason=error.reason,
                    )
            await trio.sleep(_ASK_S)
        return ""

    async def _announce(self, target: str, born_ms: int) -> None:
        message = {
            "type": "engine_here",
            "target": target,
            "born_ms": born_ms,
            "passed_on": False,
            **self._place._asdict(),
        }
        taken: list[str] = []
        async with trio.open_nursery() as nursery:
            for address in self._entries:
                nursery.start_soon(self._tell, address, message, taken)
        logs.log_event(
            events.ENGINE_ANNOUNCED, target=target, entries=len(taken)
        )

    @staticmethod
    async def _tell(
        address: str,
        message: abc.Mapping[str, typing.Any],
        taken: list[str],
    ) -> None:
        for _ in range(_TELLS):
            try:
                async with peer_sockets.open_connection(address) as connection:
                    await connection.send(message)
                    await _wait_until_closed(connection)
                    taken.append(address)
                    return
            except peer_connections.PeerConnectionError as error:
                # Seeds may be old; another entry passes the message on.
                peer_connections.log_connection_error(error)
            await trio.sleep(_TELL_AGAIN_S)


async def _wait_until_closed(
    connection: peer_connections.PeerConnection,
) -> None:
    """Return once the entry has closed the connection, having read it.

    A connection that is lost looks the same; the list names the engine then.
    """
    with trio.move_on_after(_TAKEN_S):
        try:
            while True:
                await connection.receive()
        except peer_connections.PeerConnectionError:
            return
    raise peer_connections.PeerConnectionError(
        "announce the engine", connection.peer, "not taken in time"
    )

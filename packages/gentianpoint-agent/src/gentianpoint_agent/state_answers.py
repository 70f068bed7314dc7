"""Answers entries that ask for the present status of the engine.

An entry asks a few agents before it sends a generation, and chooses by their
answers. It is connected to few of them, so it asks by datagrams, which need no
connection. A lost one costs it a few milliseconds.
"""

from collections import abc
import typing

import trio

from gentianpoint_core import codec
from gentianpoint_core import datagram_socket
from gentianpoint_core import logs
from gentianpoint_core import option_types
from gentianpoint_core.generated import events

__all__ = ("StateAnswers",)

_MAX_DATAGRAM_BYTES: typing.Final = 1024
"""Longest request that is read."""
_MAX_PENDING: typing.Final = 64
"""Requests that are answered at the same time; others are dropped. That many
come only from a faulty sender."""

ReadState = abc.Callable[
    [], abc.Awaitable[typing.Optional[abc.Mapping[str, typing.Any]]]
]
"""Returns the message with the engine's status, None if there is none."""


class StateAnswers:
    """Answers datagrams at one address."""

    def __init__(
        self,
        address: str,
        read_state: ReadState,
        get_identity: abc.Callable[[], str],
    ) -> None:
        """Listen at ``address``, and answer what ``read_state`` returns.

        ``get_identity`` returns the identifier of the engine's start, empty
        if it is not known.
        """
        self._get_identity: typing.Final = get_identity
        # The port is the one that was bound, once that was done.
        self.address: tuple[str, int] = option_types.split_address(address)
        self._read_state: typing.Final = read_state
        self._pending = 0

    async def run(self) -> None:
        """Answer until cancelled."""
        with datagram_socket.DatagramSocket(
            self.address, _MAX_DATAGRAM_BYTES
        ) as socket:
            self.address = socket.address
            async with trio.open_nursery() as nursery:
                while True:
                    for data, sender in await socket.receive():
                        if self._pending < _MAX_PENDING:
                            self._pending += 1
                            nursery.start_soon(
                                self._answer, socket, data, sender
                            )

    async def _answer(
        self,
        socket: datagram_socket.DatagramSocket,
        data: bytes,
        sender: tuple[str, int],
    ) -> None:
        try:
            decoded = codec.decode_message(data, sender[0])
            # Anyone can send datagrams here, so a log line for each invalid
            # one would drown the others.
            if decoded.is_error() or decoded.ok["type"] != "state_wanted":
                return
            state = await self._read_state()
            if state is not None:
                answer: dict[str, typing.Any] = {
                    "type": "state_found",
                    "probe": decoded.ok["probe"],
                    "state": state,
                }
                if self._get_identity():
                    answer["target"] = self._get_identity()
                socket.send(codec.encode_message(answer), sender)
        except OSError as error:
            logs.log_event(
                events.CONNECTION_REFUSED,
                step="answer with state",
                peer=sender[0],
                reason=str(error),
            )
        finally:
            self._pending -= 1

"""Answers what entries ask by datagrams.

They ask for the engine's present status, claim room, and let the agent keep
where streams began.

An entry asks a few agents before it sends a generation, and chooses by their
answers; where room is controlled it claims room at the one that it chose. It
is connected to few of them, so it asks by datagrams, which need no
connection. A lost one costs it a few milliseconds.
"""

import abc
from collections import abc as collections_abc
import typing

import trio

from gentianpoint_agent import kept_origins
from gentianpoint_agent import room_claims
from gentianpoint_core import codec
from gentianpoint_core import datagram_socket
from gentianpoint_core import logs
from gentianpoint_core import option_types
from gentianpoint_core.decisions import room_book
from gentianpoint_core.generated import events

__all__ = ("RoomSource", "StateAnswers")

_MAX_DATAGRAM_BYTES: typing.Final = 2048
"""Longest request that is read. The longest ones tell of several streams."""
_MAX_PENDING: typing.Final = 64
"""Requests that are answered at the same time; others are dropped. That many
come only from a faulty sender."""

ReadState = collections_abc.Callable[
    [],
    collections_abc.Awaitable[
        typing.Optional[collections_abc.Mapping[str, typing.Any]]
    ],
]
"""Returns the message with the engine's status, None if there is none."""


class RoomSource(abc.ABC):
    """Gives room at the engine, and takes it back."""

    @abc.abstractmethod
    async def claim_room(
        self, claim: room_book.RoomClaim
    ) -> typing.Optional[room_claims.RoomReply]:
        """Grant or refuse a claim; None if the engine is not known yet."""

    @abc.abstractmethod
    def give_room_back(self, request_id: str) -> None:
        """End the lease of a request that its entry does not send."""


class StateAnswers:
    """Answers datagrams at one address."""

    def __init__(
        self,
        address: str,
        read_state: ReadState,
        get_identity: collections_abc.Callable[[], str],
        rooms: RoomSource,
    ) -> None:
        """Listen at ``address``, and answer what ``read_state`` returns.

        ``get_identity`` returns the identifier of the engine's start, empty
        if it is not known. Claims of room go to ``rooms``.
        """
        self._rooms: typing.Final = rooms
        self._get_identity: typing.Final = get_identity
        # The port is the one that was bound, once that was done.
        self.address: tuple[str, int] = option_types.split_address(address)
        self._read_state: typing.Final = read_state
        self._origins: typing.Final = kept_origins.KeptOrigins(address)
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
            if decoded.is_error():
                return
            answer = await self._find_answer(decoded.ok)
            if answer is not None:
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

    async def _find_answer(
        self, message: codec.MessageMap
    ) -> typing.Optional[codec.MessageMap]:
        match message["type"]:
            case "state_wanted":
                state = await self._read_state()
                if state is None:
                    return None
                answer: dict[str, typing.Any] = {
                    "type": "state_found",
                    "probe": message["probe"],
                    "state": state,
                }
                if self._get_identity():
                    answer["target"] = self._get_identity()
                return answer
            case "room_wanted":
                reply = await self._rooms.claim_room(
                    room_claims.make_claim(message)
                )
                if reply is None:
                    return None
                return room_claims.make_message(
                    message["claim"], reply, self._get_identity()
                )
            case "room_returned":
                self._rooms.give_room_back(message["request"])
            case "origins_told":
                self._origins.keep(message)
            case "origin_wanted":
                return self._origins.answer(message)
        return None

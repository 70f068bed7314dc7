"""Datagrams to other processes, for questions that can't wait.

An entry is connected to a few processes only. What it has to ask of any other
one goes by datagram, which needs no connection; a lost one is asked again, or
done without.
"""

import abc
from collections import abc as collections_abc
import typing

from gentianpoint_core import codec
from gentianpoint_core import datagram_socket
from gentianpoint_core import logs
from gentianpoint_core import option_types
from gentianpoint_core.generated import events

__all__ = ("HandleDatagram", "PeerDatagrams", "UdpDatagrams")

_MAX_DATAGRAM_BYTES: typing.Final = 2048
"""Longest datagram that is read."""
_Message = collections_abc.Mapping[str, typing.Any]

HandleDatagram = collections_abc.Callable[
    [_Message, tuple[str, int]], collections_abc.Awaitable[None]
]
"""Called with a message and the address of its sender."""


class PeerDatagrams(abc.ABC):
    """Sends messages, and passes on those that come."""

    def __init__(self) -> None:
        """Start without handlers."""
        self._handlers: typing.Final[dict[str, HandleDatagram]] = {}

    def add_handler(self, kind: str, handle: HandleDatagram) -> None:
        """Pass messages of the type ``kind`` to ``handle``."""
        self._handlers[kind] = handle

    async def handle(self, message: _Message, sender: tuple[str, int]) -> None:
        """Pass a message to its handler; others are ignored."""
        handler = self._handlers.get(message["type"])
        if handler is not None:
            await handler(message, sender)

    @abc.abstractmethod
    async def send(self, address: tuple[str, int], message: _Message) -> None:
        """Send a message, which may be lost. Never raises."""


class UdpDatagrams(PeerDatagrams):
    """Datagrams of one socket."""

    def __init__(self, address: str) -> None:
        """Use the address ``address``, IP:PORT."""
        super().__init__()
        # The port is the one that was bound, once that was done.
        self.address: tuple[str, int] = option_types.split_address(address)
        self._socket: typing.Optional[datagram_socket.DatagramSocket] = None

    @property
    def is_open(self) -> bool:
        """True while messages can be sent."""
        return self._socket is not None

    async def run(self) -> None:
        """Receive messages until cancelled."""
        with datagram_socket.DatagramSocket(
            self.address, _MAX_DATAGRAM_BYTES
        ) as socket:
            self.address = socket.address
            self._socket = socket
            while True:
                try:
                    received = await socket.receive()
                except OSError as error:
                    # A host has refused an earlier datagram.
                    _log_error("receive datagram", "", error)
                    continue
                for data, sender in received:
                    decoded = codec.decode_message(data, sender[0])
                    # Anyone can send datagrams here, so a log line for each
                    # invalid one would drown the others.
                    if decoded.is_ok():
                        await self.handle(decoded.ok, sender)

    async def send(self, address: tuple[str, int], message: _Message) -> None:
        """Send a message; see the base class."""
        self.post(address, message)

    def post(self, address: tuple[str, int], message: _Message) -> None:
        """Send a message without a checkpoint, also while cancelled."""
        if self._socket is None:
            return
        try:
            self._socket.send(codec.encode_message(message), address)
        except OSError as error:
            _log_error("send datagram", address[0], error)


def _log_error(step: str, peer: str, error: OSError) -> None:
    logs.log_event(
        events.CONNECTION_REFUSED, step=step, peer=peer, reason=str(error)
    )

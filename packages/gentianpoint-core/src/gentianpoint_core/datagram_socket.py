"""A socket for datagrams that reads all that have come in one turn.

A process that reads one datagram for each turn of the scheduler is late by as
many turns as datagrams wait, and a turn of a busy process is long.
"""

from collections import abc
import socket
import typing

import trio

__all__ = ("Datagram", "DatagramSocket")

_MAX_AT_ONCE: typing.Final = 64
"""Most datagrams that are read before other tasks run."""


class Datagram(typing.NamedTuple):
    """A datagram that has come."""

    data: bytes
    """Its content."""
    sender: tuple[str, int]
    """IP address and port of its sender."""


class DatagramSocket:
    """A socket that is bound to one address."""

    def __init__(self, address: tuple[str, int], most_bytes: int) -> None:
        """Bind ``address``; datagrams are read up to ``most_bytes``."""
        self._most_bytes: typing.Final = most_bytes
        self._socket: typing.Final = socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        )
        try:
            self._socket.setblocking(False)
            self._socket.bind(address)
        except BaseException:
            self._socket.close()
            raise
        # The port is the one that was bound, if ``address`` had none.
        self.address: typing.Final[tuple[str, int]] = (
            self._socket.getsockname()
        )

    def __enter__(self) -> "DatagramSocket":
        """Return the open socket."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the socket."""
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()

    async def receive(self) -> abc.Sequence[Datagram]:
        """Wait for datagrams, and return those that have come.

        Raises :class:`OSError` if a host has refused an earlier datagram.
        """
        await trio.lowlevel.wait_readable(self._socket)
        received: list[Datagram] = []
        while len(received) < _MAX_AT_ONCE:
            try:
                received.append(
                    Datagram(*self._socket.recvfrom(self._most_bytes))
                )
            except BlockingIOError:
                break
            except OSError:
                if not received:
                    raise
                break
        return received

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, or raise :class:`OSError`.

        One for which there is no room is lost, like any other may be.
        """
        self._socket.sendto(data, address)

"""Accepts the connections that wait at a port, all of them at once.

A listener that accepts one connection for each turn of the scheduler is late
by as many turns as connections wait. While an entry is busy a turn takes tens
of milliseconds, so that callers would have given up before they are read.
"""

from collections import abc
import select
import socket
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import option_types
from gentianpoint_core.generated import events

__all__ = ("ConnectionListener", "has_left")

_BACKLOG: typing.Final = 1024
"""New connections that the kernel queues until they are accepted. When the
queue is full, a SYN packet is dropped and only sent again after a second."""
_MAX_AT_ONCE: typing.Final = 128
"""Most connections that are accepted before other tasks run."""
_RECEIVE_BUFFER_BYTES: typing.Final = 32768
"""Size of a connection's buffer in the kernel, which holds what a caller has
sent and nobody has read. It allows 5 MB/s at a round trip of 6 ms."""
_EXHAUSTED_WAIT_S: typing.Final = 0.1
"""Seconds before the next try when descriptors or memory are lacking."""


class ConnectionListener:
    """A listening socket of this entry."""

    def __init__(
        self,
        address: str,
        serve: abc.Callable[[trio.SocketStream], abc.Awaitable[None]],
        takes_connection: abc.Callable[[], bool] = lambda: True,
    ) -> None:
        """Listen at ``address``, IP:PORT, and serve each connection.

        ``takes_connection`` is called for each new one, which is closed
        unread if it returns False.
        """
        self._serve: typing.Final = serve
        self._takes_connection: typing.Final = takes_connection
        self._socket: typing.Final = _open_socket(address)

    async def run(self) -> None:
        """Accept connections until cancelled, and close the socket."""
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    await trio.lowlevel.wait_readable(self._socket)
                    await self._accept_all(nursery)
        finally:
            self._socket.close()

    async def _accept_all(self, nursery: trio.Nursery) -> None:
        for _ in range(_MAX_AT_ONCE):
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                # The caller has left; others may wait.
                continue
            except OSError as error:
                logs.log_event(
                    events.CONNECTION_REFUSED,
                    step="accept connection",
                    peer="",
                    reason=str(error),
                )
                await trio.sleep(_EXHAUSTED_WAIT_S)
                return
            if not self._takes_connection() or has_left(accepted.fileno()):
                accepted.close()
                continue
            accepted.setblocking(False)
            stream = trio.SocketStream(
                trio.socket.from_stdlib_socket(accepted)
            )
            nursery.start_soon(self._serve_one, stream)

    async def _serve_one(self, stream: trio.SocketStream) -> None:
        try:
            await self._serve(stream)
        except Exception as error:
            # A bug in serving one connection must not end the others.
            logs.log_event(events.REQUEST_CRASHED, exc_info=error)
        finally:
            stream.socket.close()


def has_left(descriptor: int) -> bool:
    """Tell whether the other end of a connection has closed it."""
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


def _open_socket(address: str) -> socket.socket:
    host, port = option_types.split_address(address)
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted sockets inherit it.
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        listening.setblocking(False)
        listening.bind((host, port))
        listening.listen(_BACKLOG)
    except BaseException:
        listening.close()
        raise
    return listening

"""Opens and serves the connections between the system's processes.

Both ends get a :class:`peer_connections.PeerConnection`, whose heartbeats
show a connection that has gone silent for good.
"""

from collections import abc
import contextlib
import functools
import typing

import trio
import websockets.exceptions
import websockets.trio.client
import websockets.trio.server

from gentianpoint_core import option_types
from gentianpoint_core import peer_connections

__all__ = ("ServePeer", "open_connection", "serve_connections")

HEARTBEAT_MS: typing.Final = 400
"""Time between heartbeats of a connection on which nothing else is sent."""
SILENCE_MS: typing.Final = 1200
"""Silence after which a connection is lost. What these connections carry is
of no use when it is older than that."""
_OPEN_S: typing.Final = 0.8
_CLOSE_S: typing.Final = 0.2
_MOST_MESSAGE_BYTES: typing.Final = 8 << 20
"""A configuration with some thousands of routes takes a few megabytes."""

ServePeer = abc.Callable[
    [peer_connections.PeerConnection], abc.Awaitable[None]
]
"""Serves one connection to its end."""


@contextlib.asynccontextmanager
async def open_connection(
    address: str,
) -> abc.AsyncIterator[peer_connections.PeerConnection]:
    """Connect to a peer at IP:PORT.

    Raises :class:`peer_connections.PeerConnectionError` when the peer can't
    be reached.
    """
    async with contextlib.AsyncExitStack() as stack:
        try:
            websocket = await stack.enter_async_context(
                websockets.trio.client.connect(
                    f"ws://{address}/",
                    compression=None,
                    ping_interval=None,
                    proxy=None,
                    open_timeout=_OPEN_S,
                    close_timeout=_CLOSE_S,
                    max_size=_MOST_MESSAGE_BYTES,
                )
            )
        except (
            OSError,
            trio.TooSlowError,
            TimeoutError,
            websockets.exceptions.WebSocketException,
        ) as error:
            raise peer_connections.PeerConnectionError(
                "connect", address, repr(error)
            ) from error
        yield peer_connections.PeerConnection(
            websocket, address, HEARTBEAT_MS, SILENCE_MS
        )


async def serve_connections(address: str, serve_peer: ServePeer) -> None:
    """Serve all who connect to IP:PORT, until cancelled."""
    host, port = option_types.split_address(address)
    await websockets.trio.server.serve(
        functools.partial(_serve_connection, serve_peer),
        port,
        host=host,
        compression=None,
        ping_interval=None,
        close_timeout=_CLOSE_S,
        max_size=_MOST_MESSAGE_BYTES,
    )


async def _serve_connection(
    serve_peer: ServePeer,
    websocket: websockets.trio.server.ServerConnection,
) -> None:
    peer = str(websocket.remote_address[0])
    connection = peer_connections.PeerConnection(
        websocket, peer, HEARTBEAT_MS, SILENCE_MS
    )
    try:
        await serve_peer(connection)
    except* peer_connections.PeerConnectionError as group:
        peer_connections.log_loss(group.exceptions[0])

"""Client and server ends of the connections between processes.

Both ends get a :class:`peer_connections.PeerConnection`, whose heartbeats
detect a connection that no longer delivers data.
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

__all__ = (
    "FREQUENT_HEARTBEATS",
    "INFREQUENT_HEARTBEATS",
    "HeartbeatTiming",
    "ServePeer",
    "open_connection",
    "serve_connections",
)


class HeartbeatTiming(typing.NamedTuple):
    """Heartbeat settings of a connection; both ends must use the same."""

    heartbeat_ms: int
    """Time between heartbeats while nothing else is sent, milliseconds."""
    silence_ms: int
    """Silence after which the connection is lost, milliseconds."""


FREQUENT_HEARTBEATS: typing.Final = HeartbeatTiming(400, 1200)
"""For a connection whose data has no other path and is useless once it is
older than the silence timeout."""
INFREQUENT_HEARTBEATS: typing.Final = HeartbeatTiming(1000, 3000)
"""For one of several connections that deliver the same data."""
_OPEN_TIMEOUT_S: typing.Final = 0.8
"""Time for the TCP connection and the websocket handshake, seconds."""
_CLOSE_TIMEOUT_S: typing.Final = 0.2
"""Time for the closing handshake of the websocket, seconds."""
_MAX_MESSAGE_BYTES: typing.Final = 8 << 20
"""Largest message in bytes. A configuration with some thousands of routes
takes a few megabytes."""

ServePeer = abc.Callable[
    [peer_connections.PeerConnection], abc.Awaitable[None]
]
"""Function that serves one connection until it closes."""


@contextlib.asynccontextmanager
async def open_connection(
    address: str, timing: HeartbeatTiming = FREQUENT_HEARTBEATS
) -> abc.AsyncIterator[peer_connections.PeerConnection]:
    """Connect to the peer at ``address`` (IP:PORT).

    Raises :class:`peer_connections.PeerConnectionError` if the peer can't be
    reached.
    """
    async with contextlib.AsyncExitStack() as stack:
        try:
            option_types.split_address(address)
            websocket = await stack.enter_async_context(
                websockets.trio.client.connect(
                    f"ws://{address}/",
                    compression=None,
                    ping_interval=None,
                    proxy=None,
                    open_timeout=_OPEN_TIMEOUT_S,
                    close_timeout=_CLOSE_TIMEOUT_S,
                    max_size=_MAX_MESSAGE_BYTES,
                )
            )
        except (
            OSError,
            ValueError,
            trio.TooSlowError,
            TimeoutError,
            websockets.exceptions.WebSocketException,
        ) as error:
            raise peer_connections.PeerConnectionError(
                "connect", address, repr(error)
            ) from error
        yield peer_connections.PeerConnection(
            websocket, address, timing.heartbeat_ms, timing.silence_ms
        )


async def serve_connections(
    address: str,
    serve_peer: ServePeer,
    timing: HeartbeatTiming = FREQUENT_HEARTBEATS,
) -> None:
    """Accept and serve connections on IP:PORT until cancelled."""
    host, port = option_types.split_address(address)
    await websockets.trio.server.serve(
        functools.partial(_serve_connection, serve_peer, timing),
        port,
        host=host,
        compression=None,
        ping_interval=None,
        close_timeout=_CLOSE_TIMEOUT_S,
        max_size=_MAX_MESSAGE_BYTES,
    )


async def _serve_connection(
    serve_peer: ServePeer,
    timing: HeartbeatTiming,
    websocket: websockets.trio.server.ServerConnection,
) -> None:
    peer = str(websocket.remote_address[0])
    connection = peer_connections.PeerConnection(
        websocket, peer, timing.heartbeat_ms, timing.silence_ms
    )
    try:
        await serve_peer(connection)
    except* peer_connections.PeerConnectionError as group:
        peer_connections.log_connection_error(group.exceptions[0])

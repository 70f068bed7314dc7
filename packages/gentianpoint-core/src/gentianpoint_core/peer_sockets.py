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

__all__ = (
    "FREQUENT_HEARTBEATS",
    "INFREQUENT_HEARTBEATS",
    "HeartbeatTiming",
    "ServePeer",
    "open_connection",
    "serve_connections",
)


class HeartbeatTiming(typing.NamedTuple):
    """How a silent connection is noticed; both ends need the same."""

    heartbeat_ms: int
    """Time between heartbeats while nothing else is sent."""
    silence_ms: int
    """Silence after which the connection is lost."""


FREQUENT_HEARTBEATS: typing.Final = HeartbeatTiming(400, 1200)
"""For a connection that is the only way for what it carries, which is of no
use when it is older than that."""
INFREQUENT_HEARTBEATS: typing.Final = HeartbeatTiming(1000, 3000)
"""For one of several connections that bring the same."""
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
    address: str, pace: HeartbeatTiming = FREQUENT_HEARTBEATS
) -> abc.AsyncIterator[peer_connections.PeerConnection]:
    """Connect to a peer at IP:PORT.

    Raises :class:`peer_connections.PeerConnectionError` when the peer can't
    be reached.
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
                    open_timeout=_OPEN_S,
                    close_timeout=_CLOSE_S,
                    max_size=_MOST_MESSAGE_BYTES,
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
            websocket, address, pace.heartbeat_ms, pace.silence_ms
        )


async def serve_connections(
    address: str,
    serve_peer: ServePeer,
    pace: HeartbeatTiming = FREQUENT_HEARTBEATS,
) -> None:
    """Serve all who connect to IP:PORT, until cancelled."""
    host, port = option_types.split_address(address)
    await websockets.trio.server.serve(
        functools.partial(_serve_connection, serve_peer, pace),
        port,
        host=host,
        compression=None,
        ping_interval=None,
        close_timeout=_CLOSE_S,
        max_size=_MOST_MESSAGE_BYTES,
    )


async def _serve_connection(
    serve_peer: ServePeer,
    pace: HeartbeatTiming,
    websocket: websockets.trio.server.ServerConnection,
) -> None:
    peer = str(websocket.remote_address[0])
    connection = peer_connections.PeerConnection(
        websocket, peer, pace.heartbeat_ms, pace.silence_ms
    )
    try:
        await serve_peer(connection)
    except* peer_connections.PeerConnectionError as group:
        peer_connections.log_connection_error(group.exceptions[0])

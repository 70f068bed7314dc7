"""HTTP servers of the stand-ins, light enough for hundreds of programs.

One process serves the log and all targets, so what a request costs here
bounds how many programs a soak can have.
"""

import json
import typing

import trio

from gentianpoint_core import option_types
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import caller_connections
from gentianpoint_entry.forwarding import routes

__all__ = ("answer_json", "drop_reply", "open_server", "read_headers")

_LIMITS: typing.Final = routes.CallerLimits(
    header_bytes=65536, body_bytes=1 << 20, header_ms=60e3, idle_ms=600e3
)
_BACKLOG: typing.Final = 1024


async def open_server(
    nursery: trio.Nursery, address: str, handler: caller_connections.Handler
) -> None:
    """Serve at ``address`` in ``nursery``; requests may come at once."""
    connections = caller_connections.CallerConnections(
        handler, lambda: _LIMITS
    )
    host, port = option_types.split_address(address)
    listeners = await trio.open_tcp_listeners(
        port, host=host, backlog=_BACKLOG
    )
    nursery.start_soon(trio.serve_listeners, connections.serve, listeners)


def read_headers(raw: caller_connections.RawRequest) -> dict[str, str]:
    """Return the headers of a request by their names in lower case."""
    return {name.decode(): value.decode() for name, value in raw.headers}


async def answer_json(
    answer: caller_answers.CallerAnswer,
    fields: typing.Mapping[str, typing.Any],
    status: int = 200,
    *headers: tuple[bytes, bytes],
) -> None:
    """Answer with ``fields`` as JSON."""
    await answer.send_whole(status, headers, json.dumps(fields).encode())


async def drop_reply(answer: caller_answers.CallerAnswer) -> None:
    """Break an answer off after its first byte.

    The client sees a connection that ends before the answer is whole, as
    when a host between the two goes away, and can't tell what took effect.
    """
    await answer.start(200, [(b"content-length", b"1000")])
    await answer.send(b"{")

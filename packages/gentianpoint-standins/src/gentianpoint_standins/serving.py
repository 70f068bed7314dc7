"""How a stand-in serves HTTP.

Each stand-in is a quart application on hypercorn under trio. When it
listens it prints one line of JSON on standard output, from which whoever
started it learns the port that the system chose:
``{"event": "listening", "kind": "log", "url": "http://127.0.0.1:41000",
"pid": 4711}``.
"""

from collections import abc
import functools
import os
import sys
import typing

import hypercorn.config
import hypercorn.trio
import msgspec
import quart
import quart_trio
import trio
import typer

from gentianpoint_core import option_types

__all__ = (
    "ANY_PORT",
    "DroppedConnectionError",
    "Listen",
    "Task",
    "announce",
    "answer_json",
    "answer_refusal",
    "drop_reply",
    "make_app",
    "open_app",
    "read_body",
    "serve_app",
)

Task: typing.TypeAlias = abc.Callable[[], abc.Awaitable[None]]
"""A background task of a stand-in, such as an engine's steps."""

_KEEP_ALIVE_S: typing.Final = 600.0
_MAX_BODY_BYTES: typing.Final = 64 * 1024 * 1024


class DroppedConnectionError(Exception):
    """Ends an answer in the middle, so that the connection is closed."""


def make_app(name: str) -> quart_trio.QuartTrio:
    """Make the application of the stand-in called ``name``.

    Answers have no time limit, since streams run for minutes. A body that
    can't be understood is answered with 400 and the reason.
    """
    app = quart_trio.QuartTrio(name)
    app.config["RESPONSE_TIMEOUT"] = None
    app.config["BODY_TIMEOUT"] = None
    app.config["MAX_CONTENT_LENGTH"] = _MAX_BODY_BYTES

    @app.errorhandler(msgspec.MsgspecError)
    async def refuse_body(error: Exception) -> quart.Response:
        return answer_refusal(400, str(error))

    return app


def answer_json(content: typing.Any, status: int = 200) -> quart.Response:
    """Return an answer whose body is ``content`` as JSON."""
    return quart.Response(
        msgspec.json.encode(content),
        status=status,
        content_type="application/json",
    )


def answer_refusal(status: int, error: str) -> quart.Response:
    """Return a refusal with the reason under ``error``."""
    return answer_json({"error": error}, status)


def drop_reply() -> quart.Response:
    """Return an answer that breaks off after its first byte.

    The client sees a connection that closes before the answer is whole, as
    when a host between the two goes away, and can't tell what took effect.
    """

    async def break_off() -> abc.AsyncIterator[bytes]:
        yield b"{"
        raise DroppedConnectionError("reply dropped by a fault")

    return quart.Response(break_off(), headers={"Content-Length": "1000"})


async def read_body() -> bytes:
    """Return the body of the call being served."""
    return typing.cast(bytes, await quart.request.get_data(as_text=False))


def _parse_address(address: str) -> str:
    option_types.split_address(address)
    return address


Listen: typing.TypeAlias = typing.Annotated[
    str,
    typer.Option(
        parser=_parse_address,
        metavar="ADDRESS",
        help="IP number and port; port 0 takes a free one.",
    ),
]
"""Type of ``--listen`` options."""

ANY_PORT: typing.Final = "127.0.0.1:0"
"""Default of ``--listen`` options."""


async def open_app(
    nursery: trio.Nursery, app: quart_trio.QuartTrio, listen: str
) -> str:
    """Serve ``app`` at ``listen`` in ``nursery``; return its base URL."""
    config = hypercorn.config.Config()
    config.bind = [listen]
    config.errorlog = None
    config.keep_alive_timeout = _KEEP_ALIVE_S
    serve = functools.partial(
        hypercorn.trio.serve, typing.cast(typing.Any, app), config
    )
    return str((await nursery.start(serve))[0])


def announce(kind: str, url: str, control_url: str = "") -> None:
    """Print the line that tells where a stand-in listens."""
    line = {
        "event": "listening",
        "kind": kind,
        "url": url,
        "control_url": control_url,
        "pid": os.getpid(),
    }
    sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
    sys.stdout.flush()


async def serve_app(
    app: quart_trio.QuartTrio, kind: str, listen: str, *tasks: Task
) -> None:
    """Serve ``app`` at ``listen`` beside its ``tasks`` until killed."""
    async with trio.open_nursery() as nursery:
        for task in tasks:
            nursery.start_soon(task)
        announce(kind, await open_app(nursery, app, listen))

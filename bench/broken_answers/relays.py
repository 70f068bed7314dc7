"""A relay before a target that answers some requests itself, and badly."""

import collections
from collections import abc
import re
import socket
import typing

import trio

from bench.broken_answers import answers
from gentianpoint_core import option_types
from gentianpoint_standins import relay_links

__all__ = ("AnsweringRelay", "make_mark")

_MARK: typing.Final = re.compile(rb"answered by ([^;]+);")
_CONNECTION_FIELD: typing.Final = re.compile(
    rb"\r\nconnection:[^\r]*", re.IGNORECASE
)
_HEAD_END: typing.Final = b"\r\n\r\n"
_READ_BYTES: typing.Final = 65536
_READ_HEAD_BYTES: typing.Final = 4096
"""Largest read, in bytes, until the head of a request has come. The rest of a
long request is left unread."""
_RECEIVE_BUFFER_BYTES: typing.Final = 16384
"""Buffer in the kernel, so small that a long request is still being sent
while its answer comes."""

MakeFields = abc.Callable[[bytes], abc.Sequence[bytes]]
"""Returns the first lines of the answer to a request with this head."""


def make_mark(name: str) -> str:
    """Return what a request says that is to get this answer."""
    return f"answered by {name};"


class AnsweringRelay:
    """Passes requests on to a target, and answers those that are marked."""

    def __init__(self, to: str, make_fields: MakeFields) -> None:
        """Pass requests on to the address ``to``."""
        self._to: typing.Final = option_types.split_address(to)
        self._make_fields: typing.Final = make_fields
        self.sent: typing.Final[collections.Counter[str]] = (
            collections.Counter()
        )
        """How often each answer was sent."""

    async def open(self, nursery: trio.Nursery, address: str) -> None:
        """Take connections at an address in ``nursery``."""
        host, port = option_types.split_address(address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        for listener in listeners:
            listener.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def _serve(self, near: trio.SocketStream) -> None:
        """Serve one request; the connection ends with it."""
        try:
            began = await _receive_head(near)
            head, _, body = began.partition(_HEAD_END)
            mark = _MARK.search(head)
            if mark is not None:
                name = mark[1].decode()
                await self._answer(near, head, name)
            elif head:
                await self._pass_on(near, head, body)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # The other side is gone, as it may be at any time.
            return
        finally:
            near.socket.close()

    async def _answer(
        self, near: trio.SocketStream, head: bytes, name: str
    ) -> None:
        answer = answers.ANSWERS[name]
        await near.send_all(answer.encode(self._make_fields(head)))
        self.sent[name] += 1
        match answer.ending:
            case answers.Ending.RESET:
                await trio.sleep(answer.ends_after_s)
                relay_links.reset_connection(near)
            case answers.Ending.CLOSE:
                await trio.sleep(answer.ends_after_s)
                near.socket.close()
            case answers.Ending.SHUTDOWN_THEN_RESET:
                await near.send_eof()
                await trio.sleep(answer.ends_after_s)
                relay_links.reset_connection(near)
            case answers.Ending.SHUTDOWN_THEN_READ:
                await near.send_eof()
                await _receive_all(near)
            case answers.Ending.STAY:
                await _receive_all(near)

    async def _pass_on(
        self, near: trio.SocketStream, head: bytes, body: bytes
    ) -> None:
        """Pass one request on, and its answer back."""
        head = _CONNECTION_FIELD.sub(b"", head) + b"\r\nConnection: close"
        far = await trio.open_tcp_stream(*self._to)
        async with far, trio.open_nursery() as nursery:
            await far.send_all(head + _HEAD_END + body)
            nursery.start_soon(_copy, near, far)
            while data := await far.receive_some(_READ_BYTES):
                await near.send_all(data)
            nursery.cancel_scope.cancel()


async def _receive_head(near: trio.SocketStream) -> bytes:
    """Return the head of a request and what came with it, empty if none."""
    began = b""
    while _HEAD_END not in began:
        data = await near.receive_some(_READ_HEAD_BYTES)
        if not data:
            return b""
        began += data
    return began


async def _copy(near: trio.SocketStream, far: trio.SocketStream) -> None:
    """Pass the rest of a request on."""
    while data := await near.receive_some(_READ_BYTES):
        await far.send_all(data)


async def _receive_all(near: trio.SocketStream) -> None:
    """Read until the other side has ended."""
    while await near.receive_some(_READ_BYTES):
        pass

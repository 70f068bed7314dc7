"""A target that sends bytes without an end."""

from collections import abc
import itertools
import typing

import trio

__all__ = ("EndlessTarget",)

_PIECE: typing.Final = b"x" * 4096
_HEAD: typing.Final = b"HTTP/1.1 200 OK\r\n"
_LENGTH: typing.Final = b"Content-Length: 100000000000\r\n"
_CHUNKED: typing.Final = b"Transfer-Encoding: chunked\r\n"
_OTHER: typing.Final = b"x-request: 7\r\n"
_EXPECTED: typing.Final = b"x-request: 1\r\n"
_SCRIPTS: typing.Final[abc.Mapping[str, tuple[bytes, bytes]]] = {
    "header lines": (_HEAD, b"x-line: " + _PIECE + b"\r\n"),
    "a header": (_HEAD + b"x-line: ", _PIECE),
    "bytes that are no HTTP": (b"", _PIECE),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "a body with a length": (_HEAD + _EXPECTED + _LENGTH + b"\r\n", _PIECE),
    "a body in chunks": (
        _HEAD + _EXPECTED + _CHUNKED + b"\r\n",
        b"1000\r\n" + _PIECE + b"\r\n",
    ),
    "one chunk": (
        _HEAD + _EXPECTED + _CHUNKED + b"\r\nfffffffff\r\n",
        _PIECE,
    ),
    "a chunk's length": (_HEAD + _EXPECTED + _CHUNKED + b"\r\n", b"1" * 4096),
    "a body without framing": (_HEAD + _EXPECTED + b"\r\n", _PIECE),
    "the body of another request": (
        _HEAD + _OTHER + _CHUNKED + b"\r\n",
        b"1000\r\n" + _PIECE + b"\r\n",
    ),
    "the slow body of another request": (
        _HEAD + _OTHER + _CHUNKED + b"\r\n",
        b"1\r\nx\r\n",
    ),
}
_SLOW_S: typing.Final = 0.05
"""Pause before each piece of a slow body."""
_GOOD: typing.Final = _HEAD + _EXPECTED + b"Content-Length: 2\r\n\r\n{}"


class EndlessTarget:
    """Sends bytes without an end on its first connection, then answers."""

    def __init__(self, words: str) -> None:
        """Send what ``words`` names, such as ``a body in chunks``."""
        self._is_slow: typing.Final = "slow" in words
        self._script: typing.Final = _SCRIPTS[words]
        self._connections: typing.Final = itertools.count()
        # What it could send on its first connection, in bytes.
        self.sent_bytes = 0
        self.was_closed = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        is_first = next(self._connections) == 0
        try:
            while await stream.receive_some(65536):
                if is_first:
                    await self._send_all(stream)
                await stream.send_all(_GOOD)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.was_closed.set()

    async def _send_all(self, stream: trio.SocketStream) -> None:
        first, again = self._script
        await stream.send_all(first)
        while True:
            await stream.send_all(again)
            self.sent_bytes += len(again)
            if self._is_slow:
                await trio.sleep(_SLOW_S)

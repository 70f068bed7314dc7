"""Writes answers to callers in the framing of HTTP/1.1 or HTTP/1.0."""

from collections import abc
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import request_heads

__all__ = ("FramedAnswer",)

_WRITE_TIMEOUT_MS: typing.Final = 5000.0
"""Milliseconds after which a write fails because the caller reads nothing."""
_JOINED_BYTES: typing.Final = 16384
"""Longest body, in bytes, that is sent together with the head."""
_CONTENT_LENGTH: typing.Final = b"content-length"
_BODILESS_STATUSES: typing.Final = frozenset((204, 304))
_NO_CONTENT: typing.Final = 204


class FramedAnswer(caller_answers.CallerAnswer):
    """The answer to one request on a connection."""

    def __init__(
        self,
        stream: trio.SocketStream,
        head: typing.Optional[request_heads.RequestHead],
        *,
        is_closing: abc.Callable[[], bool],
        get_write_deadline: abc.Callable[[], float],
    ) -> None:
        """Answer the request with ``head``, None if it could not be read.

        ``is_closing`` tells whether the connection closes after the answer.
        Writes end at the time that ``get_write_deadline`` returns.
        """
        self.is_started = False
        self.is_finished = False
        self.closes_connection = head is None or not head.keeps_connection
        self._stream: typing.Final = stream
        self._is_http_1_0: typing.Final = head is not None and head.is_http_1_0
        self._is_head: typing.Final = (
            head is not None and head.method == b"HEAD"
        )
        self._is_closing: typing.Final = is_closing
        self._get_write_deadline: typing.Final = get_write_deadline
        self._has_body = True
        self._is_chunked = False
        # Bytes that the announced length still lacks; None without a length.
        self._left: typing.Optional[int] = None

    async def send_whole(
        self,
        status: int,
        headers: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send a complete answer; see the base class."""
        self.is_started = True
        self.status = status
        head = [item for item in headers if item[0] != _CONTENT_LENGTH]
        if status != _NO_CONTENT:
            head.append((_CONTENT_LENGTH, str(len(body)).encode()))
        data = self._frame_head(status, head)
        parts = [data, body] if self._has_body else [data]
        if len(body) <= _JOINED_BYTES:
            parts = [b"".join(parts)]
        # The answer is ready, so it is delivered even if the request's
        # deadline passes now; the writes have a time limit of their own.
        with trio.CancelScope(shield=True):
            for part in parts:
                await self._write(part)
        self.is_finished = True

    async def start(
        self, status: int, headers: abc.Sequence[tuple[bytes, bytes]]
    ) -> None:
        """Send the status and headers; see the base class."""
        # If the request is cancelled here, nothing has been sent yet, and
        # the caller can still get a different answer.
        await trio.lowlevel.checkpoint_if_cancelled()
        self.is_started = True
        self.status = status
        await self._write(self._frame_head(status, headers))

    async def send(self, data: bytes) -> None:
        """Send a part of the body; see the base class."""
        if not data or not self._has_body:
            return
        if self._left is not None:
            if len(data) > self._left:
                raise ValueError("the body is longer than announced")
            self._left -= len(data)
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        await self._write(data)

    async def finish(self) -> None:
        """End the answer as complete; see the base class."""
        if self._left:
            raise ValueError("the body is shorter than announced")
        if self._is_chunked:
            await self._write(b"0\r\n\r\n")
        self.is_finished = True

    def _frame_head(
        self, status: int, headers: abc.Sequence[tuple[bytes, bytes]]
    ) -> bytes:
        """Return the head of an answer, and note how its body is framed."""
        lines = [b"HTTP/1.1 %d " % status]
        lines += [b"%b: %b" % item for item in headers]
        length = next((v for n, v in headers if n == _CONTENT_LENGTH), None)
        self._has_body = not self._is_head and (
            status not in _BODILESS_STATUSES
        )
        if self._has_body and length is not None:
            self._left = int(length)
        elif self._has_body and self._is_http_1_0:
            self.closes_connection = True
        elif self._has_body:
            self._is_chunked = True
            lines.append(b"Transfer-Encoding: chunked")
        if self._is_closing():
            self.closes_connection = True
        if self.closes_connection:
            lines.append(b"Connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    async def _write(self, data: bytes) -> None:
        limit = deadlines.make_deadline(_WRITE_TIMEOUT_MS)
        limit = limit.earlier(deadlines.Deadline(self._get_write_deadline()))
        with trio.CancelScope(deadline=limit.at) as scope:
            try:
                await self._stream.send_all(data)
            except (trio.BrokenResourceError, OSError) as error:
                raise caller_answers.CallerGoneError(str(error)) from error
        if scope.cancelled_caught:
            raise caller_answers.CallerGoneError("write timed out")

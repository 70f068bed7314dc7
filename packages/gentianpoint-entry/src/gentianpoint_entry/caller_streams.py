"""Callers' connections between the sockets and the own interface's server.

The server's parser spends many times more on a header field or a chunk than on
the bytes of a body, and the server reads whatever comes. So requests are
framed here, by the same modules as those that are forwarded: a head waits for
memory, and for a turn if it is unusual; a body in chunks is passed on in
longer ones; the next request waits for the answer to the one before.
"""

import contextlib
import re
import time
import typing

import trio

from gentianpoint_core import caller_resources
from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_entry import body_memory
from gentianpoint_entry import error_answers
from gentianpoint_entry import waiting_connections
from gentianpoint_entry.forwarding import chunked_bodies
from gentianpoint_entry.forwarding import connection_listener
from gentianpoint_entry.forwarding import request_heads

__all__ = ("CallerStream",)

_READ_BYTES: typing.Final = 16384
"""Most bytes that one read returns, and most of later requests that are
buffered while one is served."""
_CHUNKS_READ_BYTES: typing.Final = 65536
"""Most bytes of a body in chunks that one read returns."""
_CHUNKS_TURN_BYTES: typing.Final = 8192
"""Most bytes of a body in chunks that are decoded before other tasks run."""
_MAX_HEAD_BYTES: typing.Final = 65536
"""Longest head of a request."""
_REQUEST_BYTES: typing.Final = 32768
"""Memory of a request in the server and the application, besides its head."""
_FIELD_BYTES: typing.Final = 1024
"""Memory of one header field there, besides its bytes."""
_MANY_FIELDS: typing.Final = 100
"""Fields from which on a head takes a turn of the processor."""
_SERVING_FACTOR: typing.Final = 20.0
"""Processor time that the server and the application spend on a head with
many fields, as a multiple of that for parsing it here."""
_REQUEST_READS: typing.Final = 10
"""Processor time of serving a request, as a number of reads."""
_LOOK_S: typing.Final = 0.1
"""Seconds between looks whether a caller has left that sends ahead."""
_HEAD_END: typing.Final = b"\r\n\r\n"
_LINE_END: typing.Final = b"\r\n"
_LAST_CHUNK: typing.Final = b"0\r\n\r\n"
_UPGRADE_FIELD: typing.Final = re.compile(rb"\r\nupgrade:[^\r]*", re.I)
"""A wish for another protocol, which servers may pass over: HTTP/2 would
multiply the requests of one connection."""


class CallerStream:
    """One caller's connection; the server reads from it and writes to it."""

    def __init__(
        self,
        stream: trio.SocketStream,
        resources: caller_resources.CallerResources,
        waiting: waiting_connections.WaitingConnections,
    ) -> None:
        """Read from ``stream`` what ``resources`` have room for.

        While the caller is waited for, the connection is among ``waiting``.
        """
        self.socket: typing.Final = stream.socket
        self._stream: typing.Final = stream
        self._resources: typing.Final = resources
        self._waiting: typing.Final = waiting
        self._lease = resources.open_lease()
        self._buffer: typing.Final = bytearray()
        # What the body of the present request still lacks.
        self._body_left = 0
        self._decoder: typing.Optional[chunked_bodies.ChunkDecoder] = None
        self._is_used = False
        # Set while no request is served.
        self._idle = trio.Event()
        self._idle.set()
        # The read in progress, if the caller may be waited for.
        self._read_scope: typing.Optional[trio.CancelScope] = None
        self._is_ended = False

    def note_idle(self, *, is_idle: bool) -> None:
        """Note that a request is served from now on, or none any more."""
        if not is_idle:
            self._is_used = True
            self._idle = trio.Event()
            return
        self._lease.close()
        self._lease = self._resources.open_lease()
        self._idle.set()
        scope, self._read_scope = self._read_scope, None
        if scope is not None:
            # The read begins anew, among those that may end for others.
            scope.cancel()

    async def send_all(self, data: bytes) -> None:
        """Write ``data``; see :class:`trio.SocketStream`."""
        await self._stream.send_all(data)

    async def send_eof(self) -> None:
        """End the answers; see :class:`trio.SocketStream`."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection, and give back what it holds."""
        self._lease.close()
        await self._stream.aclose()

    async def receive_some(self, _: int = 0) -> bytes:
        """Return the next part of a request; nothing at the end."""
        if self._is_ended:
            return b""
        if self._decoder is not None:
            return await self._receive_chunks(self._decoder)
        if self._body_left:
            return await self._receive_body()
        return await self._receive_head()

    async def _receive_body(self) -> bytes:
        if not self._buffer and not await self._read_more():
            return b""
        data = self._take(min(self._body_left, _READ_BYTES))
        self._body_left -= len(data)
        return data

    async def _receive_chunks(
        self, decoder: chunked_bodies.ChunkDecoder
    ) -> bytes:
        """Return what has come of a body in chunks, as one chunk."""
        decoded = bytearray()
        while not decoded and not decoder.is_done:
            if not self._buffer and not await self._read_more(
                _CHUNKS_READ_BYTES
            ):
                return b""
            try:
                await self._decode_buffer(decoder, decoded)
            except request_heads.InvalidRequestError:
                # The server refuses a body that has no end.
                self._end()
                return b""
        data = b""
        if decoded:
            data = b"%x\r\n%b\r\n" % (len(decoded), bytes(decoded))
        if decoder.is_done:
            self._buffer[:0] = decoder.rest
            self._decoder = None
            data += _LAST_CHUNK
        return data

    async def _decode_buffer(
        self, decoder: chunked_bodies.ChunkDecoder, decoded: bytearray
    ) -> None:
        while self._buffer and not decoder.is_done:
            part = self._take(_CHUNKS_TURN_BYTES)
            began = time.perf_counter()
            decoded += decoder.decode(part)
            self._resources.time.charge(time.perf_counter() - began)
            if len(part) == _CHUNKS_TURN_BYTES:
                await self._resources.time.take_turn()

    async def _receive_head(self) -> bytes:
        """Return the head of the next request, once it may be served."""
        was_sent_ahead = await self._wait_until_idle()
        try:
            while (end := self._find_head_end()) < 0:
                if not await self._read_more():
                    return b""
            data = self._take(end + len(_HEAD_END))
            head = await self._admit_head(data[:end], was_sent_ahead)
        except request_heads.InvalidRequestError as error:
            return await self._refuse(
                errors.CallError(
                    errors.INVALID_REQUEST, str(error), step="take request"
                ),
                error.status,
            )
        except errors.CallError as error:
            return await self._refuse(error, error.status)
        if head.body_bytes is None:
            self._decoder = chunked_bodies.ChunkDecoder()
        else:
            self._body_left = head.body_bytes
        return _UPGRADE_FIELD.sub(b"", data)

    async def _wait_until_idle(self) -> bool:
        """Wait for the answer before; tell whether a request follows it."""
        while not self._idle.is_set() and not self._is_ended:
            if not self._buffer:
                await self._read_more()
            elif self._has_left():
                self._end()
            else:
                with trio.move_on_after(_LOOK_S):
                    await self._idle.wait()
        return bool(self._buffer)

    def _find_head_end(self) -> int:
        """Return the length of the head in the buffer, -1 if it goes on."""
        while self._buffer.startswith(_LINE_END):
            # An empty line before a request is ignored.
            del self._buffer[: len(_LINE_END)]
        end = self._buffer.find(_HEAD_END)
        if (end if end >= 0 else len(self._buffer)) > _MAX_HEAD_BYTES:
            raise request_heads.InvalidRequestError(431, "a long head")
        return end

    async def _admit_head(
        self, data: bytes, was_sent_ahead: bool
    ) -> request_heads.RequestHead:
        """Parse a head once there are time and memory for its request.

        Raises :class:`errors.CallError` if there is no memory.
        """
        time_account = self._resources.time
        fields = data.count(_LINE_END)
        is_long = fields > _MANY_FIELDS
        if was_sent_ahead:
            # Callers that wait for answers go first.
            await time_account.take_turn(_REQUEST_READS)
        if is_long:
            await time_account.take_turn()
            if self._has_left():
                # The head waited for so long that its caller has given up.
                raise trio.BrokenResourceError("the caller has left")
        began = time.perf_counter()
        head = request_heads.parse_head(data)
        if is_long:
            spent_s = time.perf_counter() - began
            time_account.charge(spent_s * _SERVING_FACTOR)
        if await self._lease.take(
            _REQUEST_BYTES + len(data) + fields * _FIELD_BYTES,
            is_large=is_long,
            wait_until=deadlines.make_deadline(body_memory.WAIT_MS),
        ):
            return head
        self._resources.note_limit("memory")
        raise body_memory.make_error(
            body_memory.decode_headers(head.headers),
            "no memory for the request",
        )

    async def _refuse(self, error: errors.CallError, status: int) -> bytes:
        """Answer a request that the server does not get; end the rest."""
        self._end()
        headers, body = error_answers.frame_error(error)
        lines = [b"HTTP/1.1 %d " % status]
        lines += [b"%b: %b" % field for field in headers]
        await self.send_all(_LINE_END.join(lines) + _HEAD_END + body)
        return b""

    async def _read_more(self, most_bytes: int = _READ_BYTES) -> bool:
        """Read once; return False at the end of the connection.

        It ends without bytes when the request before gets its answer.
        """
        if self._is_ended:
            return False
        with self._open_read() as scope:
            self._read_scope = scope
            data = await self._stream.receive_some(most_bytes)
            self._buffer.extend(data)
            if not data:
                self._end()
        if scope.cancelled_caught and self._read_scope is scope:
            # It is closed in favour of another connection.
            self._end()
        self._read_scope = None
        return not self._is_ended

    def _open_read(
        self,
    ) -> contextlib.AbstractContextManager[trio.CancelScope]:
        """Return the scope of a read, which may end for other callers."""
        if not self._idle.is_set():
            return trio.CancelScope()
        stage = waiting_connections.Stage.UNUSED
        if self._buffer:
            stage = waiting_connections.Stage.HEAD
        elif self._is_used:
            stage = waiting_connections.Stage.IDLE
        return self._waiting.wait(stage, deadlines.NO_DEADLINE)

    def _has_left(self) -> bool:
        """Tell whether the caller or the server has closed the connection."""
        descriptor = self.socket.fileno()
        return descriptor < 0 or connection_listener.has_left(descriptor)

    def _take(self, count: int) -> bytes:
        """Return the first bytes of the buffer, ``count`` at most."""
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return data

    def _end(self) -> None:
        """Read nothing more."""
        self._is_ended = True
        self._buffer.clear()

"""HTTP/1.1 connections from callers, each served by a task of its own.

Forwarding needs three things that web frameworks hide: the exact bytes of a
request's target, the moment at which a caller disconnects, and a way to abort
a response so that it can't be taken for a complete one.

Callers are strangers. Whatever they make this process hold is taken from
:class:`caller_resources.CallerResources` before it is read, and what the head
of a request tells is answered without its body.
"""

from collections import abc
import contextlib
import enum
import math
import socket
import struct
import time
import typing

import trio

from gentianpoint_core import caller_resources
from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core.generated import events
from gentianpoint_entry import waiting_connections
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import chunked_bodies
from gentianpoint_entry.forwarding import connection_listener
from gentianpoint_entry.forwarding import framed_answers
from gentianpoint_entry.forwarding import head_checks
from gentianpoint_entry.forwarding import raw_requests
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import request_heads
from gentianpoint_entry.forwarding import routes

__all__ = ("CallerConnections", "Handler")

_READ_BYTES: typing.Final = 16384
"""Most bytes that one read returns, and most of later requests that are
buffered while one is served."""
_BODY_READ_BYTES: typing.Final = 65536
"""Most bytes that one read of a long body returns."""
_CHUNKS_READ_BYTES: typing.Final = 8192
"""Most bytes of a body in chunks that are decoded before other tasks run."""
_SMALL_BODY_BYTES: typing.Final = 65536
"""Longest body, in bytes, that counts as small."""
_REQUEST_BYTES: typing.Final = 24576
"""Memory of a request that is served, besides its head and body."""
_FIELD_BYTES: typing.Final = 200
"""Memory of one header field, besides its bytes."""
_MANY_FIELDS: typing.Final = 100
"""Fields from which on a head takes a turn of the processor."""
_HEAD_SLACK_BYTES: typing.Final = 2048
"""Bytes of a request line that the limit for headers does not count."""
_REQUEST_READS: typing.Final = 10
"""Processor time of serving a request, as a number of reads."""
_REFUSAL_READS: typing.Final = 3
"""Processor time of accepting and refusing a request, as a number of reads."""
_SERVING_FACTOR: typing.Final = 3.0
"""Processor time of a head with many fields as a multiple of that for
parsing it: the fields are also filtered and sent on."""
_TIMEOUT_SLACK: typing.Final = 1.25
"""Factor by which the server waits longer than the idle and header limits, so
that a request that a caller sends within a limit does not cross the server's
close."""
_FIRST_REQUEST_S: typing.Final = 1.0
"""Seconds for which a new connection counts as busy, because its first
request may still be in transit."""
_MEMORY_WAIT_MS: typing.Final = 500.0
"""Milliseconds for which a request waits for memory. Callers give up one that
is not read within a second."""
_MEMORY_RETRY_MS: typing.Final = 1000.0
"""Milliseconds after which callers are told to come back without memory."""
_CLOSE_WITHIN_MS: typing.Final = 500.0
"""Milliseconds for which a caller may take the end of its last answer."""
_LOOK_S: typing.Final = 0.1
"""Seconds between looks whether a caller has left that sends ahead more than
is read."""
_HEAD_END: typing.Final = b"\r\n\r\n"
_LINE_END: typing.Final = b"\r\n"
_CONTINUE: typing.Final = b"HTTP/1.1 100 \r\n\r\n"
_FIRST_PRINTABLE: typing.Final = 0x21

Handler = abc.Callable[
    [raw_requests.RawRequest, caller_answers.CallerAnswer],
    abc.Awaitable[None],
]
"""Serves one request; if it leaves its answer unfinished, the connection is
reset."""


class _ConnectionEnd(enum.Enum):
    """The state in which a connection ends, which decides how to close it."""

    IDLE = "idle"
    """No request or answer is in progress."""
    ANSWERED = "answered"
    """A complete answer has just been sent."""
    BROKEN = "broken"
    """An answer is missing or incomplete."""


class _Connection:
    """A caller's connection, with what was read and not used yet."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream: typing.Final = stream
        self.buffer = bytearray()

    async def read_more(self, most_bytes: int = _READ_BYTES) -> bool:
        """Read once; return False at the end of the connection."""
        data = await self.stream.receive_some(most_bytes)
        self.buffer += data
        return bool(data)

    def take(self, count: int) -> bytes:
        """Return the first bytes of the buffer, ``count`` at most."""
        data = bytes(self.buffer[:count])
        del self.buffer[:count]
        return data

    def has_body(self, head: request_heads.RequestHead) -> bool:
        """Tell whether the whole body has been read already."""
        length = head.body_bytes
        return length is not None and length <= len(self.buffer)

    def skip_body(self, head: request_heads.RequestHead) -> bool:
        """Skip a body if all of it has been read; tell whether it was."""
        if not self.has_body(head):
            return False
        del self.buffer[: head.body_bytes]
        return True


class CallerConnections:
    """Serves callers on any number of connections."""

    def __init__(
        self,
        handler: Handler,
        read_limits: abc.Callable[[], routes.CallerLimits],
        note_abandoned: abc.Callable[[], None] = lambda: None,
        *,
        head_check: typing.Optional[head_checks.HeadCheck] = None,
        resources: typing.Optional[caller_resources.CallerResources] = None,
        reads_bodies: bool = True,
    ) -> None:
        """Serve with ``handler`` under the limits in force.

        ``note_abandoned`` is called for each request whose caller had left
        before it was read. ``head_check`` decides on heads, and all pass
        without one. Without ``resources`` callers may use as much as they
        like. Without ``reads_bodies`` requests are served by their heads.
        """
        self._note_abandoned: typing.Final = note_abandoned
        self._handler: typing.Final = handler
        self._read_limits: typing.Final = read_limits
        self._head_check: typing.Final = head_check or head_checks.OpenCheck()
        self._resources: typing.Final = (
            resources or caller_resources.make_unlimited()
        )
        self._reads_bodies: typing.Final = reads_bodies
        self._waiting: typing.Final = waiting_connections.WaitingConnections()
        # New connections, and until when their first request may arrive.
        self._new_until: typing.Final[dict[trio.SocketStream, float]] = {}
        self._receiving: typing.Final[set[trio.SocketStream]] = set()
        # Connections whose last request has its whole answer.
        self._answered: typing.Final[set[trio.SocketStream]] = set()
        self.is_shutting_down = False
        self.write_deadline = math.inf
        self.active_requests = 0

    def is_busy(self) -> bool:
        """Tell whether requests are served, received or about to arrive."""
        if self.active_requests or self._receiving:
            return True
        now = trio.current_time()
        return any(until > now for until in self._new_until.values())

    def close_idle(self) -> None:
        """Close connections that are kept alive after an answer, and idle."""
        self._waiting.close_idle()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        if not self._resources.take_connection(self._waiting.close_least):
            # Nothing was read, so its caller may send its request elsewhere.
            stream.socket.close()
            return
        connection = _Connection(stream)
        end = _ConnectionEnd.BROKEN
        self._new_until[stream] = trio.current_time() + _FIRST_REQUEST_S
        try:
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            end = await self._serve_requests(connection)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # The caller has disconnected, so there is nobody to answer. The
            # request in progress was cancelled when this was noticed.
            end = _ConnectionEnd.BROKEN
        finally:
            self._new_until.pop(stream, None)
            self._receiving.discard(stream)
            if end is _ConnectionEnd.BROKEN and stream in self._answered:
                # The entry's end came between the answer and its delivery.
                end = _ConnectionEnd.ANSWERED
            self._answered.discard(stream)
            try:
                await self._close(connection, end)
            finally:
                self._resources.give_connection_back()

    async def _close(
        self, connection: _Connection, end: _ConnectionEnd
    ) -> None:
        """Close a connection as its last answer requires."""
        if end is _ConnectionEnd.ANSWERED:
            await self._close_after_answer(connection)
        elif end is _ConnectionEnd.IDLE:
            # Nothing more is read: a caller whose request crosses the close
            # may only retry it if it was not read.
            connection.stream.socket.close()
        else:
            _reset(connection.stream)

    async def _serve_requests(self, connection: _Connection) -> _ConnectionEnd:
        """Serve one request after another until the connection ends."""
        stream = connection.stream
        while True:
            lease = self._resources.open_lease()
            try:
                head = await self._read_head(connection, lease)
                if head is None:
                    return _ConnectionEnd.IDLE
                end = await self._serve_head(connection, head, lease)
            except request_heads.InvalidRequestError as error:
                return await self._refuse_unreadable(connection, error)
            finally:
                lease.close()
                self._receiving.discard(stream)
            if end is not None:
                return end

    async def _serve_head(
        self,
        connection: _Connection,
        head: request_heads.RequestHead,
        lease: caller_resources.MemoryLease,
    ) -> typing.Optional[_ConnectionEnd]:
        """Serve the request with ``head``; return None if others may come."""
        stream = connection.stream
        answer = self._make_answer(connection, head)
        request, refusal = await self._read_rest(connection, head, lease)
        if refusal is not None or not self._reads_bodies:
            answer.closes_connection |= not connection.skip_body(head)
        self._receiving.discard(stream)
        self._new_until.pop(stream, None)
        self._answered.discard(stream)
        if connection_listener.has_left(stream.socket.fileno()):
            # It was read so late that its caller has given up.
            self._note_abandoned()
            return _ConnectionEnd.BROKEN
        self.active_requests += 1
        try:
            if refusal is not None:
                with contextlib.suppress(caller_answers.CallerGoneError):
                    await self._head_check.refuse(request, answer, refusal)
            else:
                await self._serve_request(connection, request, answer)
        finally:
            self.active_requests -= 1
            if answer.is_finished:
                self._answered.add(stream)
        if not answer.is_finished:
            return _ConnectionEnd.BROKEN
        return _ConnectionEnd.ANSWERED if answer.closes_connection else None

    async def _read_rest(
        self,
        connection: _Connection,
        head: request_heads.RequestHead,
        lease: caller_resources.MemoryLease,
    ) -> tuple[raw_requests.RawRequest, typing.Optional[refusals.Refusal]]:
        """Return the request with ``head``, and its refusal if it gets one.

        A request that is refused has no body, nor one that is served by its
        head.
        """
        request = raw_requests.RawRequest(
            head.method, head.target, head.headers, b"", trio.current_time()
        )
        if not self._reads_bodies:
            return request, None
        verdict = head_checks.HeadVerdict()
        if not connection.has_body(head):
            verdict = self._head_check.check(request)
        if (head.body_bytes or 0) > _SMALL_BODY_BYTES:
            # A crowd that comes again as soon as it is refused would keep
            # ordinary callers waiting.
            await self._resources.time.take_turn(_REFUSAL_READS)
        refusal = verdict.refusal or self._check_length(head)
        if refusal is not None:
            return request, refusal
        try:
            body = await self._read_body(
                connection, head, verdict.read_by, lease
            )
        except _NoMemoryError:
            self._resources.note_limit("memory")
            return request, refusals.refuse_not_run(
                "no memory for the request", _MEMORY_RETRY_MS
            )
        return request._replace(body=body), None

    def _check_length(
        self, head: request_heads.RequestHead
    ) -> typing.Optional[refusals.Refusal]:
        """Refuse a body that is announced as too long."""
        length = head.body_bytes
        if length is None or length <= self._read_limits().body_bytes:
            return None
        self._resources.note_limit("long_body")
        return refusals.Refusal(413, "the body is too long", 0)

    def _make_answer(
        self,
        connection: _Connection,
        head: typing.Optional[request_heads.RequestHead],
    ) -> framed_answers.FramedAnswer:
        return framed_answers.FramedAnswer(
            connection.stream,
            head,
            is_closing=lambda: self.is_shutting_down,
            get_write_deadline=lambda: self.write_deadline,
        )

    async def _refuse_unreadable(
        self, connection: _Connection, error: request_heads.InvalidRequestError
    ) -> _ConnectionEnd:
        answer = self._make_answer(connection, None)
        refusal = refusals.Refusal(
            error.status, str(error), error.retry_after_ms
        )
        try:
            await self._head_check.refuse(None, answer, refusal)
        except caller_answers.CallerGoneError:
            return _ConnectionEnd.BROKEN
        return _ConnectionEnd.ANSWERED

    async def _read_head(
        self, connection: _Connection, lease: caller_resources.MemoryLease
    ) -> typing.Optional[request_heads.RequestHead]:
        """Return the next request's head; None if the connection may end."""
        limits = self._read_limits()
        if connection.buffer and connection.stream not in self._new_until:
            # It was sent ahead; callers that wait for answers go first.
            await self._resources.time.take_turn(_REQUEST_READS)
        if not connection.buffer:
            await self._wait_for_head(connection, limits)
            if not connection.buffer:
                return None
        self._receiving.add(connection.stream)
        deadline = deadlines.make_deadline(limits.header_ms * _TIMEOUT_SLACK)
        with self._waiting.wait(
            waiting_connections.Stage.HEAD, deadline
        ) as scope:
            data = await _read_head_bytes(connection, limits)
        if scope.cancelled_caught:
            self._resources.note_limit("slow_head")
            raise request_heads.InvalidRequestError(
                408, "the head does not arrive"
            )
        return None if data is None else await self._parse_head(data, lease)

    async def _wait_for_head(
        self, connection: _Connection, limits: routes.CallerLimits
    ) -> None:
        """Read the first bytes of the next request, if any come."""
        deadline = deadlines.make_deadline(limits.idle_ms * _TIMEOUT_SLACK)
        is_unused = connection.stream in self._new_until
        with self._waiting.wait(
            waiting_connections.Stage.UNUSED
            if is_unused
            else waiting_connections.Stage.IDLE,
            deadline,
        ):
            await connection.read_more()

    async def _parse_head(
        self, data: bytes, lease: caller_resources.MemoryLease
    ) -> request_heads.RequestHead:
        """Parse a head once there is memory for it."""
        fields = data.count(_LINE_END)
        size = _REQUEST_BYTES + len(data) + fields * _FIELD_BYTES
        if not await lease.take(
            size,
            is_large=size > _SMALL_BODY_BYTES,
            wait_until=deadlines.make_deadline(_MEMORY_WAIT_MS),
        ):
            self._resources.note_limit("memory")
            raise request_heads.InvalidRequestError(
                refusals.NOT_RUN,
                "no memory for the request",
                _MEMORY_RETRY_MS,
            )
        if fields <= _MANY_FIELDS:
            return request_heads.parse_head(data)
        await self._resources.time.take_turn()
        began = time.perf_counter()
        head = request_heads.parse_head(data)
        spent_s = time.perf_counter() - began
        self._resources.time.charge(spent_s * _SERVING_FACTOR)
        return head

    async def _read_body(
        self,
        connection: _Connection,
        head: request_heads.RequestHead,
        read_by: deadlines.Deadline,
        lease: caller_resources.MemoryLease,
    ) -> bytes:
        """Return the whole body, for which memory is taken first."""
        length = head.body_bytes
        if length == 0:
            return b""
        is_large = length is not None and length > _SMALL_BODY_BYTES
        await _take_memory(lease, length or _SMALL_BODY_BYTES, is_large)
        if head.expects_continue and not connection.buffer:
            await connection.stream.send_all(_CONTINUE)
        with trio.CancelScope(deadline=read_by.at) as scope:
            if is_large:
                lease.begin_reading(scope.cancel, length or 0)
            if length is None:
                body = await self._read_chunks(connection, lease, scope)
            elif is_large:
                body = await self._read_long_body(connection, length)
            else:
                while len(connection.buffer) < length:
                    await self._read_more(connection)
                body = connection.take(length)
            lease.end_reading()
        if scope.cancelled_caught:
            self._resources.note_limit("slow_body")
            reason = "the body does not arrive in time"
            if lease.was_evicted:
                reason = "the body comes too slowly while others wait"
            raise request_heads.InvalidRequestError(408, reason)
        return body

    async def _read_more(
        self, connection: _Connection, most_bytes: int = _READ_BYTES
    ) -> None:
        """Read a part of a body; raises if none comes."""
        with trio.move_on_after(self._find_pause_s()) as scope:
            if not await connection.read_more(most_bytes):
                raise trio.BrokenResourceError("the body has no end")
        if scope.cancelled_caught:
            raise _make_pause_error()

    def _find_pause_s(self) -> float:
        """Return for how long a body may pause."""
        limits = self._read_limits()
        return max(limits.header_ms, limits.idle_ms) / 1000

    async def _read_long_body(
        self, connection: _Connection, length: int
    ) -> bytes:
        """Read a long body straight to where it stays."""
        body = bytearray(length)
        start = connection.take(length)
        have = len(start)
        body[:have] = start
        pause_s = self._find_pause_s()
        with memoryview(body) as view:
            while have < length:
                with trio.move_on_after(pause_s) as scope:
                    await trio.lowlevel.wait_readable(connection.stream.socket)
                if scope.cancelled_caught:
                    raise _make_pause_error()
                await self._resources.time.take_turn()
                count = await connection.stream.socket.recv_into(
                    view[have : have + _BODY_READ_BYTES]
                )
                if not count:
                    raise trio.BrokenResourceError("the body has no end")
                have += count
        # Not copied: nothing changes it any more.
        return typing.cast("bytes", body)

    async def _read_chunks(
        self,
        connection: _Connection,
        lease: caller_resources.MemoryLease,
        scope: trio.CancelScope,
    ) -> bytes:
        """Read a body in chunks, whose length is not known before its end."""
        most_bytes = self._read_limits().body_bytes
        decoder = chunked_bodies.ChunkDecoder()
        body = bytearray()
        is_large = False
        taken_bytes = 0
        while True:
            data = connection.take(_CHUNKS_READ_BYTES)
            taken_bytes += len(data)
            body += self._decode(decoder, data)
            if len(body) > most_bytes:
                self._resources.note_limit("long_body")
                raise request_heads.InvalidRequestError(
                    413, "the body is too long"
                )
            if decoder.is_done:
                break
            if len(body) > _SMALL_BODY_BYTES and not is_large:
                # It may become as long as any, and has to have an end then.
                is_large = True
                await _take_memory(lease, most_bytes, is_large)
                lease.begin_reading(scope.cancel, most_bytes)
            reads = 0
            if not connection.buffer:
                await self._read_more(connection, _BODY_READ_BYTES)
                reads = 1
            if taken_bytes >= _CHUNKS_READ_BYTES:
                await self._resources.time.take_turn(reads)
        connection.buffer[:0] = decoder.rest
        return typing.cast("bytes", body)

    def _decode(
        self, decoder: chunked_bodies.ChunkDecoder, data: bytes
    ) -> bytes:
        began = time.perf_counter()
        decoded = decoder.decode(data)
        self._resources.time.charge(time.perf_counter() - began)
        return decoded

    async def _serve_request(
        self,
        connection: _Connection,
        request: raw_requests.RawRequest,
        answer: framed_answers.FramedAnswer,
    ) -> None:
        """Run the handler until it returns or the caller disconnects."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_caller, connection, nursery.cancel_scope)
            try:
                await self._handler(request, answer)
            except caller_answers.CallerGoneError:
                # The handler has logged this; the task that serves the
                # connection resets it.
                pass
            except Exception as error:
                # A bug in serving one request must not end the others.
                logs.log_event(events.REQUEST_CRASHED, exc_info=error)
                await _answer_crash(answer)
            nursery.cancel_scope.cancel()

    async def _close_after_answer(self, connection: _Connection) -> None:
        """Close the connection so that the answer still arrives.

        Closing a socket with unread bytes resets the connection, and the
        reset may overtake the answer. So the sending side is shut down first,
        and what the caller still sends is read and dropped for a moment, also
        while the entry ends, until ``write_deadline``.
        """
        connection.buffer.clear()
        stream = connection.stream
        limit = deadlines.make_deadline(_CLOSE_WITHIN_MS)
        limit = limit.earlier(deadlines.Deadline(self.write_deadline))
        with self._waiting.wait(
            waiting_connections.Stage.CLOSING, limit, shield=True
        ):
            try:
                await stream.send_eof()
                while await stream.receive_some(_READ_BYTES):
                    await self._resources.time.take_turn()
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                OSError,
            ):
                # The caller closed the connection first.
                pass
        stream.socket.close()


class _NoMemoryError(Exception):
    """There is no memory for a request in time."""


async def _take_memory(
    lease: caller_resources.MemoryLease, size: int, is_large: bool
) -> None:
    wait_until = deadlines.make_deadline(_MEMORY_WAIT_MS)
    if not await lease.take(size, is_large=is_large, wait_until=wait_until):
        raise _NoMemoryError


async def _read_head_bytes(
    connection: _Connection, limits: routes.CallerLimits
) -> typing.Optional[bytes]:
    """Read to the end of a head; None if the connection ends before it."""
    buffer = connection.buffer
    most_bytes = limits.header_bytes + _HEAD_SLACK_BYTES
    searched = 0
    while True:
        if buffer[:2] == _LINE_END:
            # An empty line before a request is ignored.
            del buffer[:2]
        if buffer and buffer[0] < _FIRST_PRINTABLE and buffer != b"\r":
            raise request_heads.InvalidRequestError(400, "no request line")
        end = buffer.find(_HEAD_END, searched, most_bytes)
        if end >= 0:
            head = connection.take(end + len(_HEAD_END))
            return head[:end]
        if len(buffer) >= most_bytes:
            raise request_heads.InvalidRequestError(431, "a long head")
        searched = max(0, len(buffer) - len(_HEAD_END) + 1)
        if not await connection.read_more():
            return None


async def _answer_crash(answer: framed_answers.FramedAnswer) -> None:
    """Answer a request whose handler has raised an unexpected error.

    The request may have run, so the status must not say that it did not.
    """
    if answer.is_started:
        return
    with contextlib.suppress(caller_answers.CallerGoneError):
        await answer.send_whole(refusals.BAD_GATEWAY, (), b"")


async def _watch_caller(
    connection: _Connection, scope: trio.CancelScope
) -> None:
    """Cancel ``scope`` when the caller closes its connection.

    Otherwise a target would go on working for a caller that has left.
    """
    while True:
        if len(connection.buffer) >= _READ_BYTES:
            # No more is read, so the end has to be looked for.
            if connection_listener.has_left(connection.stream.socket.fileno()):
                scope.cancel()
                return
            await trio.sleep(_LOOK_S)
            continue
        try:
            is_open = await connection.read_more()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            is_open = False
        if not is_open:
            scope.cancel()
            return


def _make_pause_error() -> request_heads.InvalidRequestError:
    return request_heads.InvalidRequestError(408, "the body does not arrive")


def _reset(stream: trio.SocketStream) -> None:
    """Reset the connection, so that no answer on it looks complete."""
    # A socket that is already closed can't be reset any more.
    with contextlib.suppress(OSError):
        stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    stream.socket.close()

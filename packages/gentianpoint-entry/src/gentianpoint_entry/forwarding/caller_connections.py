"""HTTP/1.1 connections from callers, each served by a task of its own.

Forwarding needs three things that web frameworks hide: the exact bytes of a
request's target, the moment at which a caller disconnects, and a way to abort
a response so that it can't be taken for a complete one. ``h11`` does the
parsing and framing.
"""

from collections import abc
import contextlib
import enum
import math
import socket
import struct
import typing

import h11
import trio

from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import connection_listener
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import routes

__all__ = ("CallerConnections", "Handler", "RawRequest")

_READ_BYTES: typing.Final = 65536
"""Most bytes that one read of a socket returns."""
_MAX_PIPELINED_BYTES: typing.Final = 65536
"""Bytes of later requests that are buffered while one is served."""
_TIMEOUT_SLACK: typing.Final = 1.25
"""Factor by which the server waits longer than the idle and header limits, so
that a request that a caller sends within a limit does not cross the server's
close."""
_FIRST_REQUEST_S: typing.Final = 1.0
"""Seconds for which a new connection counts as busy, because its first
request may still be in transit."""
_CLOSE_WITHIN_MS: typing.Final = 500.0
"""Milliseconds for which a caller may take the end of its last answer."""
_WRITE_TIMEOUT_MS: typing.Final = 5000.0
"""Milliseconds after which a write fails because the caller reads nothing."""


class RawRequest(typing.NamedTuple):
    """A request as it was read from a caller's connection."""

    method: bytes
    """HTTP method."""
    target: bytes
    """Path and query, byte for byte as received."""
    headers: abc.Sequence[tuple[bytes, bytes]]
    """Headers; names in lower case."""
    body: bytes
    """The complete body, without transfer encoding."""
    received_at: float
    """Trio time in seconds at which the request's head had been read."""


Handler = abc.Callable[
    [RawRequest, caller_answers.CallerAnswer], abc.Awaitable[None]
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


class _UnreadableRequestError(Exception):
    """The request can't be read: send an error and close the connection."""

    def __init__(self, status: int, reason: str) -> None:
        self.status: typing.Final = status
        super().__init__(reason)


class _Answer(caller_answers.CallerAnswer):
    """Writes the answer to one request on a connection."""

    def __init__(
        self,
        protocol: h11.Connection,
        stream: trio.SocketStream,
        *,
        is_closing: abc.Callable[[], bool],
        get_write_deadline: abc.Callable[[], float],
    ) -> None:
        self.is_started = False
        self.is_finished = False
        self._protocol: typing.Final = protocol
        self._stream: typing.Final = stream
        self._is_closing: typing.Final = is_closing
        self._get_write_deadline: typing.Final = get_write_deadline

    async def send_whole(
        self,
        status: int,
        headers: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        self.is_started = True
        self.status = status
        head = [item for item in headers if item[0] != b"content-length"]
        head.append((b"content-length", str(len(body)).encode()))
        data = self._frame_head(status, head)
        if body:
            data += self._protocol.send(h11.Data(data=body)) or b""
        data += self._protocol.send(h11.EndOfMessage()) or b""
        # The answer is ready, so it is delivered even if the request's
        # deadline passes now; the write has a time limit of its own.
        with trio.CancelScope(shield=True):
            await self._write(data)
        self.is_finished = True

    async def start(
        self, status: int, headers: abc.Sequence[tuple[bytes, bytes]]
    ) -> None:
        # If the request is cancelled here, nothing has been sent yet, and
        # the caller can still get a different answer.
        await trio.lowlevel.checkpoint_if_cancelled()
        self.is_started = True
        self.status = status
        await self._write(self._frame_head(status, headers))

    async def send(self, data: bytes) -> None:
        await self._write(self._protocol.send(h11.Data(data=data)) or b"")

    async def finish(self) -> None:
        await self._write(self._protocol.send(h11.EndOfMessage()) or b"")
        self.is_finished = True

    def _frame_head(
        self, status: int, headers: abc.Sequence[tuple[bytes, bytes]]
    ) -> bytes:
        head = list(headers)
        if self._is_closing():
            head.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=head)
        return self._protocol.send(response) or b""

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


class CallerConnections:
    """Serves callers on any number of connections."""

    def __init__(
        self,
        handler: Handler,
        read_limits: abc.Callable[[], routes.CallerLimits],
        note_abandoned: abc.Callable[[], None] = lambda: None,
    ) -> None:
        """Serve with ``handler`` under the limits in force.

        ``note_abandoned`` is called for each request whose caller had left
        before it was read.
        """
        self._note_abandoned: typing.Final = note_abandoned
        self._handler: typing.Final = handler
        self._read_limits: typing.Final = read_limits
        # Scopes of reads on kept-alive connections without a request.
        self._idle_reads: typing.Final[set[trio.CancelScope]] = set()
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
        """Close connections that are kept alive after an answer, and idle.

        A new connection stays open: its caller has a request for it.
        """
        for scope in list(self._idle_reads):
            scope.cancel()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        protocol = h11.Connection(
            h11.SERVER, self._read_limits().header_bytes + _READ_BYTES
        )
        end = _ConnectionEnd.BROKEN
        self._new_until[stream] = trio.current_time() + _FIRST_REQUEST_S
        try:
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            end = await self._serve_requests(stream, protocol)
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
            if end is _ConnectionEnd.ANSWERED:
                await _close_after_answer(stream, self.write_deadline)
            elif end is _ConnectionEnd.IDLE:
                # Nothing more is read: a caller whose request crosses the
                # close may only retry it if it was not read.
                stream.socket.close()
            else:
                _reset(stream)

    async def _serve_requests(
        self, stream: trio.SocketStream, protocol: h11.Connection
    ) -> _ConnectionEnd:
        """Serve one request after another until the connection ends."""
        while True:
            try:
                request = await self._read_request(stream, protocol)
                self._receiving.discard(stream)
            except h11.RemoteProtocolError as error:
                refusal = _UnreadableRequestError(
                    error.error_status_hint, str(error)
                )
                return await self._refuse(stream, protocol, refusal)
            except _UnreadableRequestError as refusal:
                return await self._refuse(stream, protocol, refusal)
            if request is None:
                return _ConnectionEnd.IDLE
            self._new_until.pop(stream, None)
            self._answered.discard(stream)
            if connection_listener.has_left(stream.socket.fileno()):
                # It was read so late that its caller has given up.
                self._note_abandoned()
                return _ConnectionEnd.BROKEN
            answer = _Answer(
                protocol,
                stream,
                is_closing=lambda: self.is_shutting_down,
                get_write_deadline=lambda: self.write_deadline,
            )
            self.active_requests += 1
            try:
                await self._serve_request(stream, protocol, request, answer)
            finally:
                self.active_requests -= 1
                if answer.is_finished:
                    self._answered.add(stream)
            if not answer.is_finished:
                return _ConnectionEnd.BROKEN
            if protocol.our_state is not h11.DONE:
                return _ConnectionEnd.ANSWERED
            if protocol.their_state is not h11.DONE:
                return _ConnectionEnd.ANSWERED
            protocol.start_next_cycle()

    async def _refuse(
        self,
        stream: trio.SocketStream,
        protocol: h11.Connection,
        refusal: _UnreadableRequestError,
    ) -> _ConnectionEnd:
        if protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return _ConnectionEnd.BROKEN
        answer = _Answer(
            protocol,
            stream,
            is_closing=lambda: True,
            get_write_deadline=lambda: self.write_deadline,
        )
        try:
            text = str(refusal).encode(errors="replace")[:200]
            await answer.send_whole(refusal.status, (), text)
        except caller_answers.CallerGoneError:
            return _ConnectionEnd.BROKEN
        return _ConnectionEnd.ANSWERED

    async def _read_request(
        self, stream: trio.SocketStream, protocol: h11.Connection
    ) -> typing.Optional[RawRequest]:
        limits = self._read_limits()
        head = await self._read_head(stream, protocol, limits)
        if head is None:
            return None
        received_at = trio.current_time()
        if protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await stream.send_all(protocol.send(interim) or b"")
        body = bytearray()
        timeout_ms = max(limits.header_ms, limits.idle_ms)
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                with trio.move_on_after(timeout_ms / 1000) as scope:
                    protocol.receive_data(
                        await stream.receive_some(_READ_BYTES)
                    )
                if scope.cancelled_caught:
                    raise _UnreadableRequestError(
                        408, "the body does not arrive"
                    )
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    raise _UnreadableRequestError(413, "the body is too long")
            elif isinstance(event, h11.EndOfMessage):
                return RawRequest(
                    head.method,
                    head.target,
                    tuple(head.headers),
                    bytes(body),
                    received_at,
                )
            else:
                return None

    async def _read_head(
        self,
        stream: trio.SocketStream,
        protocol: h11.Connection,
        limits: routes.CallerLimits,
    ) -> typing.Optional[h11.Request]:
        """Return the next request's head; None if the connection may end."""
        timeout_s = limits.idle_ms * _TIMEOUT_SLACK / 1000
        is_kept_alive = stream not in self._new_until
        has_begun = bool(protocol.trailing_data[0])
        if has_begun:
            self._receiving.add(stream)
        while True:
            event = protocol.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            if has_begun:
                timeout_s = limits.header_ms * _TIMEOUT_SLACK / 1000
            with trio.move_on_after(timeout_s) as scope:
                if is_kept_alive and not has_begun:
                    self._idle_reads.add(scope)
                try:
                    data = await stream.receive_some(_READ_BYTES)
                finally:
                    self._idle_reads.discard(scope)
                protocol.receive_data(data)
                has_begun = True
                self._receiving.add(stream)
            if scope.cancelled_caught:
                if has_begun:
                    raise _UnreadableRequestError(
                        408, "the head does not arrive"
                    )
                return None

    async def _serve_request(
        self,
        stream: trio.SocketStream,
        protocol: h11.Connection,
        request: RawRequest,
        answer: _Answer,
    ) -> None:
        """Run the handler until it returns or the caller disconnects."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _watch_caller, stream, protocol, nursery.cancel_scope
            )
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


async def _answer_crash(answer: _Answer) -> None:
    """Answer a request whose handler has raised an unexpected error.

    The request may have run, so the status must not say that it did not.
    """
    if answer.is_started:
        return
    with contextlib.suppress(caller_answers.CallerGoneError):
        await answer.send_whole(refusals.BAD_GATEWAY, (), b"")


async def _watch_caller(
    stream: trio.SocketStream,
    protocol: h11.Connection,
    scope: trio.CancelScope,
) -> None:
    """Cancel ``scope`` when the caller closes its connection.

    Otherwise a target would go on working for a caller that has left.
    """
    buffered = 0
    while buffered < _MAX_PIPELINED_BYTES:
        try:
            data = await stream.receive_some(_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b""
        if not data:
            scope.cancel()
            return
        buffered += len(data)
        protocol.receive_data(data)


async def _close_after_answer(
    stream: trio.SocketStream, write_deadline: float
) -> None:
    """Close the connection so that the answer still arrives.

    Closing a socket with unread bytes resets the connection, and the reset
    may overtake the answer. So the sending side is shut down first, and what
    the caller still sends is read and dropped for a moment, also while the
    entry ends, until ``write_deadline``.
    """
    limit = deadlines.make_deadline(_CLOSE_WITHIN_MS)
    limit = limit.earlier(deadlines.Deadline(write_deadline))
    with trio.CancelScope(deadline=limit.at, shield=True):
        try:
            await stream.send_eof()
            while await stream.receive_some(_READ_BYTES):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # The caller closed the connection first.
            pass
    stream.socket.close()


def _reset(stream: trio.SocketStream) -> None:
    """Reset the connection, so that no answer on it looks complete."""
    # A socket that is already closed can't be reset any more.
    with contextlib.suppress(OSError):
        stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    stream.socket.close()

"""Callers' connections: HTTP/1.1, one task each.

Forwarding needs what a web framework hides: the target of a request byte by
byte, the moment at which a caller leaves, and an end that can't be taken for
a complete answer. The parser is ``h11``.
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
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import routes

__all__ = ("CallerConnections", "Handler", "RawRequest")

_READ_BYTES: typing.Final = 65536
_MOST_STASHED_BYTES: typing.Final = 65536
"""Bytes of later requests that are taken while one is served."""
_IDLE_SLACK: typing.Final = 1.25
"""Connections are kept this much longer than the limit for idling, so that a
request of a caller that keeps to the limit does not cross our closing."""
_FIRST_REQUEST_S: typing.Final = 1.0
"""Time for which the first request of a new connection is on its way."""
_WRITE_STALL_MS: typing.Final = 5000.0
"""Time for which a caller may take nothing of its answer."""


class RawRequest(typing.NamedTuple):
    """A request as it was read from a caller."""

    method: bytes
    """HTTP method."""
    target: bytes
    """Path and query, byte by byte."""
    headers: abc.Sequence[tuple[bytes, bytes]]
    """Headers; names in lower case."""
    body: bytes
    """The whole body, without framing."""
    received_at: float
    """Time on trio's clock at which its head was read."""


Handler = abc.Callable[
    [RawRequest, caller_answers.CallerAnswer], abc.Awaitable[None]
]
"""Serves one request; an answer left unfinished is reset."""


class _End(enum.Enum):
    """How a connection comes to its end."""

    IDLE = "idle"
    """No request is under way, and no answer either."""
    ANSWERED = "answered"
    """An answer has just been sent."""
    BROKEN = "broken"
    """An answer is missing or incomplete."""


class _RefusedError(Exception):
    """The request can't be read; the connection ends after an answer."""

    def __init__(self, status: int, reason: str) -> None:
        self.status: typing.Final = status
        super().__init__(reason)


class _Answer(caller_answers.CallerAnswer):
    """The answer to one request on a connection."""

    def __init__(
        self,
        state: h11.Connection,
        stream: trio.SocketStream,
        *,
        closes: abc.Callable[[], bool],
        find_write_end: abc.Callable[[], float],
    ) -> None:
        self.is_started = False
        self.is_finished = False
        self._state: typing.Final = state
        self._stream: typing.Final = stream
        self._closes: typing.Final = closes
        self._find_write_end: typing.Final = find_write_end

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
            data += self._state.send(h11.Data(data=body)) or b""
        data += self._state.send(h11.EndOfMessage()) or b""
        # The answer's own deadline may pass right now: it is ready, so it
        # is delivered, in the bounded time of a write.
        with trio.CancelScope(shield=True):
            await self._write(data)
        self.is_finished = True

    async def start(
        self, status: int, headers: abc.Sequence[tuple[bytes, bytes]]
    ) -> None:
        # Cancelled here, the answer may still be another one.
        await trio.lowlevel.checkpoint_if_cancelled()
        self.is_started = True
        self.status = status
        await self._write(self._frame_head(status, headers))

    async def send(self, data: bytes) -> None:
        await self._write(self._state.send(h11.Data(data=data)) or b"")

    async def finish(self) -> None:
        await self._write(self._state.send(h11.EndOfMessage()) or b"")
        self.is_finished = True

    def _frame_head(
        self, status: int, headers: abc.Sequence[tuple[bytes, bytes]]
    ) -> bytes:
        head = list(headers)
        if self._closes():
            head.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=head)
        return self._state.send(response) or b""

    async def _write(self, data: bytes) -> None:
        limit = deadlines.make_deadline(_WRITE_STALL_MS)
        limit = limit.earlier(deadlines.Deadline(self._find_write_end()))
        with trio.CancelScope(deadline=limit.at) as scope:
            try:
                await self._stream.send_all(data)
            except (trio.BrokenResourceError, OSError) as error:
                raise caller_answers.CallerGoneError(str(error)) from error
        if scope.cancelled_caught:
            raise caller_answers.CallerGoneError("the caller reads nothing")


class CallerConnections:
    """Serves callers on any number of connections."""

    def __init__(
        self,
        handler: Handler,
        read_limits: abc.Callable[[], routes.CallerLimits],
    ) -> None:
        """Serve with ``handler`` under the limits in force."""
        self._handler: typing.Final = handler
        self._read_limits: typing.Final = read_limits
        self._idle: typing.Final[set[trio.CancelScope]] = set()
        self._first_until: typing.Final[dict[trio.SocketStream, float]] = {}
        self._reading: typing.Final[set[trio.SocketStream]] = set()
        self.is_leaving = False
        self.write_until = math.inf
        self.busy_count = 0

    def is_busy(self) -> bool:
        """Tell whether requests are served, or are on their way."""
        if self.busy_count or self._reading:
            return True
        now = trio.current_time()
        return any(until > now for until in self._first_until.values())

    def close_idle(self) -> None:
        """Close connections that are kept after an answer, and idle.

        A new connection stays open: its caller has a request for it.
        """
        for scope in list(self._idle):
            scope.cancel()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection to its end."""
        state = h11.Connection(
            h11.SERVER, self._read_limits().header_bytes + _READ_BYTES
        )
        end = _End.BROKEN
        self._first_until[stream] = trio.current_time() + _FIRST_REQUEST_S
        try:
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            end = await self._serve_requests(stream, state)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # The caller is gone: there is nobody to tell, and the request
            # under way has been cancelled where it was noticed.
            end = _End.BROKEN
        finally:
            self._first_until.pop(stream, None)
            self._reading.discard(stream)
            if end is _End.ANSWERED:
                await _close_after_answer(stream)
            elif end is _End.IDLE:
                # Nothing more is read: a caller whose request crosses this
                # may send it again only if it was not.
                stream.socket.close()
            else:
                _reset(stream)

    async def _serve_requests(
        self, stream: trio.SocketStream, state: h11.Connection
    ) -> _End:
        """Serve request after request."""
        while True:
            try:
                request = await self._read_request(stream, state)
                self._reading.discard(stream)
            except h11.RemoteProtocolError as error:
                refusal = _RefusedError(error.error_status_hint, str(error))
                return await self._refuse(stream, state, refusal)
            except _RefusedError as refusal:
                return await self._refuse(stream, state, refusal)
            if request is None:
                return _End.IDLE
            self._first_until.pop(stream, None)
            answer = _Answer(
                state,
                stream,
                closes=lambda: self.is_leaving,
                find_write_end=lambda: self.write_until,
            )
            self.busy_count += 1
            try:
                await self._serve_one(stream, state, request, answer)
            finally:
                self.busy_count -= 1
            if not answer.is_finished:
                return _End.BROKEN
            if state.our_state is not h11.DONE:
                return _End.ANSWERED
            if state.their_state is not h11.DONE:
                return _End.ANSWERED
            state.start_next_cycle()

    async def _refuse(
        self,
        stream: trio.SocketStream,
        state: h11.Connection,
        refusal: _RefusedError,
    ) -> _End:
        if state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return _End.BROKEN
        answer = _Answer(
            state,
            stream,
            closes=lambda: True,
            find_write_end=lambda: self.write_until,
        )
        try:
            text = str(refusal).encode(errors="replace")[:200]
            await answer.send_whole(refusal.status, (), text)
        except caller_answers.CallerGoneError:
            return _End.BROKEN
        return _End.ANSWERED

    async def _read_request(
        self, stream: trio.SocketStream, state: h11.Connection
    ) -> typing.Optional[RawRequest]:
        limits = self._read_limits()
        head = await self._read_head(stream, state, limits)
        if head is None:
            return None
        received_at = trio.current_time()
        if state.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await stream.send_all(state.send(go_on) or b"")
        body = bytearray()
        quiet_ms = max(limits.header_ms, limits.idle_ms)
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                with trio.move_on_after(quiet_ms / 1000) as scope:
                    state.receive_data(await stream.receive_some(_READ_BYTES))
                if scope.cancelled_caught:
                    raise _RefusedError(408, "the body does not arrive")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    raise _RefusedError(413, "the body is too long")
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
        state: h11.Connection,
        limits: routes.CallerLimits,
    ) -> typing.Optional[h11.Request]:
        """Return the next head; None when the connection may end."""
        wait_s = limits.idle_ms * _IDLE_SLACK / 1000
        is_kept = stream not in self._first_until
        is_begun = bool(state.trailing_data[0])
        if is_begun:
            self._reading.add(stream)
        while True:
            event = state.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            if is_begun:
                wait_s = limits.header_ms * _IDLE_SLACK / 1000
            with trio.move_on_after(wait_s) as scope:
                if is_kept and not is_begun:
                    self._idle.add(scope)
                try:
                    data = await stream.receive_some(_READ_BYTES)
                finally:
                    self._idle.discard(scope)
                state.receive_data(data)
                is_begun = True
                self._reading.add(stream)
            if scope.cancelled_caught:
                if is_begun:
                    raise _RefusedError(408, "the head does not arrive")
                return None

    async def _serve_one(
        self,
        stream: trio.SocketStream,
        state: h11.Connection,
        request: RawRequest,
        answer: _Answer,
    ) -> None:
        """Run the handler until it is done or the caller has left."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _watch_caller, stream, state, nursery.cancel_scope
            )
            try:
                await self._handler(request, answer)
            except caller_answers.CallerGoneError:
                # The handler's own log line tells it; the connection is
                # reset by its serving task.
                pass
            except Exception as error:
                # A fault in serving one request must not end the others.
                logs.log_event(events.REQUEST_CRASHED, exc_info=error)
                await _answer_crash(answer)
            nursery.cancel_scope.cancel()


async def _answer_crash(answer: _Answer) -> None:
    """Give a request that a fault has ended its final answer.

    The request may have run, so the status promises nothing.
    """
    if answer.is_started:
        return
    with contextlib.suppress(caller_answers.CallerGoneError):
        await answer.send_whole(refusals.BAD_GATEWAY, (), b"")


async def _watch_caller(
    stream: trio.SocketStream, state: h11.Connection, scope: trio.CancelScope
) -> None:
    """Cancel ``scope`` when the caller closes its connection.

    Without this a target would work on for a caller that has left.
    """
    stashed = 0
    while stashed < _MOST_STASHED_BYTES:
        try:
            data = await stream.receive_some(_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b""
        if not data:
            scope.cancel()
            return
        stashed += len(data)
        state.receive_data(data)


async def _close_after_answer(stream: trio.SocketStream) -> None:
    """Close so that what was sent still arrives.

    Closing with unread bytes resets the connection, and the reset may
    overtake the answer: so the end is announced, and what still comes is
    read for a moment.
    """
    limit = deadlines.make_deadline(500)
    with trio.CancelScope(deadline=limit.at):
        try:
            await stream.send_eof()
            while await stream.receive_some(_READ_BYTES):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # The caller closed first, which is as good.
            pass
    stream.socket.close()


def _reset(stream: trio.SocketStream) -> None:
    """End a connection so that nothing on it looks complete."""
    # A socket that is closed already has nothing left to reset.
    with contextlib.suppress(OSError):
        stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    stream.socket.close()

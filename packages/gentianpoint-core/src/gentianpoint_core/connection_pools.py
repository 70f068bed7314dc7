"""HTTP/1.1 client with a connection pool that reports what was sent.

A request may be retried only if no byte of it has left this process, and a
response counts only if it identifies the request. HTTP clients with a hidden
connection pool expose neither, so this one is built directly on ``h11``, the
protocol library beneath this project's other HTTP libraries. Its
:class:`ports.PortError` tells whether the request had been sent, and it skips
responses that belong to an earlier request on the same connection.
"""

from collections import abc
import contextlib
import math
import re
import select
import socket
import typing

import h11
import trio

from gentianpoint_core import answer_bodies
from gentianpoint_core import connection_resets
from gentianpoint_core import deadlines
from gentianpoint_core import option_types
from gentianpoint_core import ports
from gentianpoint_core.decisions import answer_ends

__all__ = ("ConnectionPool", "Exchange", "ExchangeRequest", "accept_next")

_CONTROL_CHARACTER: typing.Final = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_CONTINUED_LINE: typing.Final = re.compile(rb"\n[ \t]")
"""Start of a line that continues the field before it (RFC 9112, section
5.2)."""
_READ_BYTES: typing.Final = 65536
"""Largest read from a socket, in bytes."""
_FORWARDED_READ_BYTES: typing.Final = 8192
"""Largest read of an answer that may be passed on slowly, in bytes."""
_SHORT_BODY_BYTES: typing.Final = 16384
"""Longest body, in bytes, that is sent together with the head."""
_RECEIVE_BUFFER_BYTES: typing.Final = 16384
"""Size of a connection's buffer in the kernel towards peers whose answers may
be passed on slowly. What it holds counts as memory of this process."""
_MAX_SKIPPED_RESPONSES: typing.Final = 3
"""Largest number of responses to other requests that are skipped before the
connection is closed. More than one or two come only from a target that
matches responses to requests wrongly."""
_MAX_SKIPPED_BYTES: typing.Final = 262144
"""Most bytes of the bodies of such responses that are read."""
_MAX_SKIP_S: typing.Final = 0.5
"""Most seconds for which they are read. They had been sent before the response
that is waited for."""
_MAX_INTERIM_RESPONSES: typing.Final = 8
"""Most interim responses (1xx) that may precede a response."""
_MAX_WHOLE_BODY_BYTES: typing.Final = 8 << 20
"""Longest body that is held in memory as a whole."""
_IDLE_TIMEOUT_MS: typing.Final = 4000.0
"""Idle timeout of a connection, in milliseconds, unless the server announces a
shorter one. With a longer timeout a request is more likely to be sent while
the server closes the connection."""
_MAX_TIMEOUT_DIGITS: typing.Final = 9
"""Largest number of digits accepted in a ``Keep-Alive`` timeout in seconds.
Longer values are ignored: converting them to a number can fail."""
_IDLE_MARGIN_MS: typing.Final = 1000.0
"""Time, in milliseconds, by which a connection is dropped before the timeout
that the server announced in whole seconds, so that no request is sent while
the server closes the connection."""
_USER_TIMEOUT_MS: typing.Final = 1500
"""TCP user timeout, in milliseconds: the kernel closes a connection whose data
stays unacknowledged for longer. Several round trips and one retransmission
fit in."""
_PAUSED_USER_TIMEOUT_MS: typing.Final = 8000
"""TCP user timeout, in milliseconds, towards peers that are waited for while
their host is paused, which lasts seconds."""
_PROBE_INTERVAL_S: typing.Final = 1
"""Idle time before the first keep-alive probe and between probes, seconds."""
_MAX_PROBES: typing.Final = 2
"""Number of unanswered keep-alive probes after which a connection is lost."""


class ExchangeRequest(typing.NamedTuple):
    """A request to send."""

    method: bytes
    """HTTP method."""
    path: bytes
    """Path and query, sent unchanged."""
    headers: abc.Sequence[tuple[bytes, bytes]]
    """Headers, without those that frame the body."""
    body: bytes
    """Complete body; may be empty."""


class _Connection(typing.NamedTuple):
    stream: trio.SocketStream
    opened_at: float
    """When it was opened, on trio's clock."""
    expires_at: deadlines.Deadline


class Exchange:
    """One request and its response on a connection."""

    def __init__(
        self,
        stream: trio.SocketStream,
        peer: str,
        request: ExchangeRequest,
        ask_sender: answer_bodies.AskSender,
        read_bytes: int = _READ_BYTES,
    ) -> None:
        """Prepare the exchange on ``stream`` without sending anything.

        ``ask_sender`` finds out whether the process at ``peer`` goes on. One
        read returns ``read_bytes`` at most.
        """
        self._read_bytes: typing.Final = read_bytes
        self.status = 0
        self.headers: abc.Sequence[tuple[bytes, bytes]] = ()
        # False if the body ends with the connection, as without a length and
        # chunks.
        self.is_delimited = True
        self._stream: typing.Final = stream
        self._peer: typing.Final = peer
        self._request: typing.Final = request
        self._ask_sender: typing.Final = ask_sender
        self._expect_response()
        self._is_complete = False
        self._is_disconnected = False
        # True if the server did not take the whole request.
        self._is_cut_short = False

    async def send(self) -> None:
        """Send the request; after an error it may still have run.

        A server may answer and close before it has read a long body. Then
        there is an answer although the body could not be sent.
        """
        head = self._encode_head()
        body = self._request.body
        if len(body) <= _SHORT_BODY_BYTES:
            await self._stream.send_all(head + body)
            return
        await self._stream.send_all(head)
        try:
            await self._stream.send_all(body)
        except trio.BrokenResourceError:
            self._is_cut_short = True
            if not _is_readable(self._stream):
                raise

    async def receive_head(
        self, is_answer: abc.Callable[["Exchange"], bool]
    ) -> None:
        """Receive response heads until ``is_answer`` accepts one.

        Skips the responses that it rejects, bodies included.
        """
        for _ in range(_MAX_SKIPPED_RESPONSES):
            await self._receive_next_head()
            if is_answer(self):
                return
            if not self.is_delimited:
                # No response can follow one that ends with its connection.
                break
            await self._skip_body()
            remaining_data, _ = self._state.trailing_data
            self._expect_response()
            self._is_complete = False
            if remaining_data:
                self._state.receive_data(remaining_data)
        raise self._make_error(
            "receive head", "responses belong to other requests"
        )

    async def _skip_body(self) -> None:
        """Read the body of a response to another request, if it is short."""
        skipped = 0
        with trio.move_on_after(_MAX_SKIP_S):
            async for chunk in self.receive_body():
                skipped += len(chunk)
                if skipped > _MAX_SKIPPED_BYTES:
                    break
            else:
                return
        raise self._make_error(
            "receive head", "a response to another request does not end"
        )

    async def receive_whole_body(self) -> bytes:
        """Return the body once it is complete.

        Raises if it breaks off, or exceeds 8 MiB.
        """
        chunks = answer_bodies.receive_complete(
            self.receive_body(),
            is_delimited=self.is_delimited,
            ask_sender=self._ask_sender,
            peer=self._peer,
            was_reset=self.was_reset,
        )
        body = bytearray()
        async for chunk in chunks:
            body += chunk
            if len(body) > _MAX_WHOLE_BODY_BYTES:
                raise self._make_error("receive body", "the body is too long")
        return bytes(body)

    async def receive_body(self) -> abc.AsyncIterator[bytes]:
        """Yield the body as it arrives, all that was read at once together.

        Raises if a length or chunks are not met. The end of a body without
        either is for :mod:`answer_bodies` to judge, by :meth:`was_reset`.
        """
        step = "receive body"
        while True:
            event = await self._receive_event(step)
            data = bytearray()
            failure = None
            while isinstance(event, h11.Data):
                data += event.data
                try:
                    event = self._take_event(step)
                except ports.PortError as error:
                    # What came before is part of the body.
                    failure = error
                    break
            if data:
                yield bytes(data)
            if failure is not None:
                raise failure
            if isinstance(event, h11.EndOfMessage):
                self._is_complete = True
                return

    def was_reset(self) -> bool:
        """Tell whether the connection was reset, as far as it is known.

        A write of the request that failed tells it, and so does the state of
        the connection.
        """
        return self._is_cut_short or connection_resets.was_reset(
            self._stream.socket
        )

    def find_header(self, name: bytes) -> bytes:
        """Return the value of a header by its lower-case name, or ``b""``."""
        for candidate, value in self.headers:
            if candidate == name:
                return value
        return b""

    def find_expiry(self) -> typing.Optional[deadlines.Deadline]:
        """Return when the connection expires; None if it can't be reused."""
        is_done = self._state.our_state is h11.DONE
        is_done = is_done and self._state.their_state is h11.DONE
        if not self._is_complete or not is_done or self._is_cut_short:
            return None
        if self._state.trailing_data[0] or self._state.trailing_data[1]:
            return None
        idle_timeout_ms = _parse_idle_timeout_ms(
            self.find_header(b"keep-alive")
        )
        return (
            deadlines.make_deadline(idle_timeout_ms)
            if idle_timeout_ms > 0
            else None
        )

    def _encode_head(self) -> bytes:
        """Return the head of the request in the order of its headers.

        Raises :class:`ports.PortError` if it would not be a valid head.
        """
        request = self._request
        fields = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD"):
            length = str(len(request.body)).encode()
            fields.append((b"Content-Length", length))
        lines = [b"%b %b HTTP/1.1" % (request.method, request.path)]
        lines += [b"%b: %b" % field for field in fields]
        if _CONTROL_CHARACTER.search(b"".join(lines)):
            raise ports.PortError(
                "send request",
                self._peer,
                "a header contains a control character",
                took_effect=False,
            )
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _expect_response(self) -> None:
        """Let the parser expect a response to the request's method.

        The request is framed here, at a cost that its length bounds.
        """
        self._state = h11.Connection(h11.CLIENT)
        head = h11.Request(
            method=self._request.method, target=b"/", headers=[(b"Host", b"")]
        )
        self._state.send(head)
        self._state.send(h11.EndOfMessage())

    async def _receive_next_head(self) -> None:
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = await self._receive_event("receive head")
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = tuple(event.headers)
                self.is_delimited = answer_bodies.has_framing(
                    self._request.method,
                    self.status,
                    [name for name, _ in self.headers],
                )
                return
        raise self._make_error("receive head", "interim responses do not end")

    async def _receive_event(self, step: str) -> typing.Any:
        """Return the next part of a response, which is read if need be."""
        while True:
            event = self._take_event(step)
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive_some(self._read_bytes)
            except (trio.BrokenResourceError, OSError) as error:
                self._is_disconnected = True
                raise self._make_error(
                    step, f"connection lost: {error}"
                ) from error
            except trio.ClosedResourceError as error:
                # Another task of this process has ended the exchange.
                raise self._make_error(step, "closed by this side") from error
            self._is_disconnected = not data
            try:
                self._state.receive_data(data)
            except h11.RemoteProtocolError as error:
                raise self._make_protocol_error(step, error) from error

    def _take_event(self, step: str) -> typing.Any:
        """Return the next part of a response, NEED_DATA if it was not read."""
        unread = b""
        if self._state.their_state is h11.SEND_RESPONSE:
            unread, _ = self._state.trailing_data
        try:
            event = self._state.next_event()
        except h11.RemoteProtocolError as error:
            raise self._make_protocol_error(step, error) from error
        if isinstance(event, (h11.InformationalResponse, h11.Response)):
            self._check_lines(step, unread)
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise self._make_error(step, "connection closed")
        return event

    def _check_lines(self, step: str, unread: bytes) -> None:
        """Raise if a line of the head that was just read continues a field.

        The parser joins the two, and the field, which may be the target's
        seal, would be passed on with another line in it. ``unread`` is what
        the parser held before.
        """
        left, _ = self._state.trailing_data
        head = unread[: len(unread) - len(left)]
        if _CONTINUED_LINE.search(head):
            raise self._make_error(
                step, "not an HTTP response: a field is continued"
            )

    def _make_protocol_error(
        self, step: str, error: h11.RemoteProtocolError
    ) -> ports.PortError:
        return self._make_error(step, f"not an HTTP response: {error}")

    def _make_error(self, step: str, reason: str) -> ports.PortError:
        return ports.PortError(
            step,
            self._peer,
            reason,
            took_effect=True,
            disconnected=self._is_disconnected,
        )


def accept_next(exchange: Exchange) -> bool:
    """Take the next response for the answer, whatever it is.

    For peers that send one response to each request.
    """
    return True


class ConnectionPool:
    """Connections to one address; idle ones are reused."""

    def __init__(
        self,
        address: str,
        connect_ms: float,
        *,
        tolerates_pauses: bool = False,
        find_most_idle: abc.Callable[[], float] = lambda: math.inf,
    ) -> None:
        """Create a pool for ``address`` (IP:PORT).

        Each connection must be established within ``connect_ms``
        milliseconds. At most ``find_most_idle()`` are kept after their
        request.

        The kernel drops a connection whose other end acknowledges nothing
        for some seconds. With ``tolerates_pauses`` it waits longer, for peers
        whose host may be paused and then continue the request.
        """
        self.address: typing.Final = address
        self._socket_address: typing.Final = option_types.split_address(
            address
        )
        self._connect_ms: typing.Final = connect_ms
        self._tolerates_pauses: typing.Final = tolerates_pauses
        self._find_most_idle: typing.Final = find_most_idle
        self._idle: typing.Final[list[_Connection]] = []
        self.open_count = 0

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        request: ExchangeRequest,
        is_answer: typing.Optional[abc.Callable[[Exchange], bool]] = None,
    ) -> abc.AsyncIterator[Exchange]:
        """Send a request and yield the exchange once the head has arrived.

        ``is_answer`` tells whether a response belongs to this request. On a
        connection that has carried another request, a second response to that
        one may come first. Without ``is_answer`` nothing tells them apart, so
        the request gets a connection that carries no other one, before or
        after.

        Raises :class:`ports.PortError`, whose ``took_effect`` is False only
        if no byte was sent. Leaving the context early closes the connection,
        which tells the server to stop.
        """
        may_share = is_answer is not None
        connection = self._take_idle() if may_share else None
        if connection is None:
            connection = await self._connect()
        stream = connection.stream
        self.open_count += 1
        expires_at = None
        try:
            exchange = Exchange(
                stream,
                self.address,
                request,
                self.check_sender,
                _FORWARDED_READ_BYTES
                if self._tolerates_pauses
                else _READ_BYTES,
            )
            try:
                await exchange.send()
            except (trio.BrokenResourceError, OSError) as error:
                raise ports.PortError(
                    "send request",
                    self.address,
                    str(error),
                    took_effect=True,
                    disconnected=True,
                ) from error
            await exchange.receive_head(is_answer or accept_next)
            yield exchange
            expires_at = exchange.find_expiry() if may_share else None
        finally:
            self.open_count -= 1
            if expires_at is None:
                _close_now(stream)
            else:
                self._keep(connection._replace(expires_at=expires_at))

    async def check_sender(self, alive_at: float) -> answer_ends.Sender:
        """Find out whether the process goes on that was there at a time.

        A process that ends closes all its connections. So it goes on if one
        is open that was opened by then, ``alive_at`` on trio's clock.
        """
        self._close_unusable()
        if any(item.opened_at <= alive_at for item in self._idle):
            return answer_ends.Sender.GOES_ON
        return answer_bodies.name_sender(await self.check_listening())

    async def check_listening(self) -> typing.Optional[bool]:
        """Tell whether a process listens; None if nothing answers.

        An idle connection that the other end has not closed is enough to tell
        that one does. A connection that can be opened is kept for the next
        request.
        """
        try:
            connection = self._take_idle() or await self._open()
        except ConnectionRefusedError:
            return False
        except (OSError, trio.TooSlowError):
            return None
        self._keep(connection)
        return True

    def _keep(self, connection: _Connection) -> None:
        """Keep a connection for the next request, if one more may be kept."""
        if len(self._idle) < self._find_most_idle():
            self._idle.append(connection)
        else:
            _close_now(connection.stream)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            _close_now(self._idle.pop().stream)

    def _take_idle(self) -> typing.Optional[_Connection]:
        while self._idle:
            connection = self._idle.pop()
            if _is_usable(connection):
                return connection
            _close_now(connection.stream)
        return None

    def _close_unusable(self) -> None:
        """Close the idle connections that can't be used any more."""
        kept = []
        for connection in self._idle:
            if _is_usable(connection):
                kept.append(connection)
            else:
                _close_now(connection.stream)
        self._idle[:] = kept

    async def _connect(self) -> _Connection:
        try:
            return await self._open()
        except (OSError, trio.TooSlowError) as error:
            raise ports.PortError(
                "connect", self.address, str(error), took_effect=False
            ) from error

    async def _open(self) -> _Connection:
        """Open a connection; raises as :meth:`_open_stream` does."""
        stream = await self._open_stream()
        return _Connection(
            stream,
            trio.current_time(),
            deadlines.make_deadline(_IDLE_TIMEOUT_MS),
        )

    async def _open_stream(self) -> trio.SocketStream:
        """Open a connection; raises as sockets do, or if it takes too long."""
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._enable_dead_peer_detection(sock)
            if self._tolerates_pauses:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
                )
            with trio.fail_after(self._connect_ms / 1000):
                await sock.connect(self._socket_address)
        except BaseException:
            sock.close()
            raise
        return trio.SocketStream(sock)

    def _enable_dead_peer_detection(
        self, sock: trio.socket.SocketType
    ) -> None:
        """Let the kernel close the connection if its peer stops responding."""
        user_timeout_ms = (
            _PAUSED_USER_TIMEOUT_MS
            if self._tolerates_pauses
            else _USER_TIMEOUT_MS
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
        )
        if not self._tolerates_pauses:
            _enable_keep_alive(sock)


def _enable_keep_alive(sock: trio.socket.SocketType) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _MAX_PROBES)


def _parse_idle_timeout_ms(keep_alive: bytes) -> float:
    """Return the idle timeout that a ``Keep-Alive`` header allows."""
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() != b"timeout" or not value.isdigit():
            continue
        if len(value) <= _MAX_TIMEOUT_DIGITS:
            return min(_IDLE_TIMEOUT_MS, int(value) * 1000 - _IDLE_MARGIN_MS)
    return _IDLE_TIMEOUT_MS


def _is_usable(connection: _Connection) -> bool:
    """Tell whether an idle connection can be used for a request.

    It is readable if the server has closed it, or has sent bytes that belong
    to no request.
    """
    if connection.expires_at.is_past():
        return False
    return not _is_readable(connection.stream)


def _is_readable(stream: trio.SocketStream) -> bool:
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _close_now(stream: trio.SocketStream) -> None:
    """Close a connection without waiting for the server."""
    stream.socket.close()

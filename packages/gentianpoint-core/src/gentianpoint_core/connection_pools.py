"""HTTP/1.1 exchanges on kept connections, with a clear line at sending.

Whether a request may be sent once more depends on whether a byte of it has
left this process, and an answer is only the answer when it names the request.
A client that hides its pool can tell neither, so this one is built on
``h11``, the library under the other HTTP libraries of this project: it gives
out a connection, says in :class:`ports.PortError` whether the request had
been sent, and skips answers that belong to an earlier request.
"""

from collections import abc
import contextlib
import select
import socket
import typing

import h11
import trio

from gentianpoint_core import deadlines
from gentianpoint_core import option_types
from gentianpoint_core import ports

__all__ = ("Exchange", "ExchangeRequest", "ConnectionPool")

_READ_BYTES: typing.Final = 65536
_MOST_FOREIGN_ANSWERS: typing.Final = 3
"""Answers to other requests that are skipped before the connection is given
up; more than one or two come only from a target that has lost count."""
_IDLE_MS: typing.Final = 4000.0
"""Time for which a connection is kept when its other end says nothing. Longer
keeping risks a request on a connection that is being closed."""
_MOST_IDLE_DIGITS: typing.Final = 9
"""Digits of the longest time, in seconds, that another end is taken to have
announced; longer ones can't all be counted with."""
_IDLE_MARGIN_MS: typing.Final = 1000.0
"""A connection is dropped this much before the time its other end announced,
so that no request crosses the closing; announced times are whole seconds."""
_UNACKED_MS: typing.Final = 1500
"""Time after which the kernel gives up on bytes that nobody acknowledges.
Several round trips and one repeated packet fit in."""
_PATIENT_UNACKED_MS: typing.Final = 8000
"""The same towards peers that are waited for while their host stands still,
which it does for seconds."""


_PROBE_S: typing.Final = 1
"""Pause, in seconds, before and between the probes of a quiet connection."""
_MOST_PROBES: typing.Final = 2
"""Probes without an answer after which a connection is lost."""


class ExchangeRequest(typing.NamedTuple):
    """One request as it goes out."""

    method: bytes
    """HTTP method."""
    path: bytes
    """Path and query, unchanged."""
    headers: abc.Sequence[tuple[bytes, bytes]]
    """Headers without those of the framing."""
    body: bytes
    """Whole body; may be empty."""


class _Connection(typing.NamedTuple):
    stream: trio.SocketStream
    usable_until: deadlines.Deadline


class Exchange:
    """One request and its answer on a connection."""

    def __init__(
        self, stream: trio.SocketStream, peer: str, request: ExchangeRequest
    ) -> None:
        """Start on ``stream``; nothing is sent yet."""
        self.status = 0
        self.headers: abc.Sequence[tuple[bytes, bytes]] = ()
        self._stream: typing.Final = stream
        self._peer: typing.Final = peer
        self._request: typing.Final = request
        self._state = h11.Connection(h11.CLIENT)
        self._is_whole = False

    async def send(self) -> None:
        """Send the request; an error leaves open whether it has run."""
        await self._stream.send_all(self._frame_request())

    async def receive_head(
        self, is_answer: abc.Callable[["Exchange"], bool]
    ) -> None:
        """Receive the head of the answer that ``is_answer`` accepts."""
        for _ in range(_MOST_FOREIGN_ANSWERS):
            await self._receive_any_head()
            if is_answer(self):
                return
            async for _ in self.receive_body():
                pass
            rest, _ = self._state.trailing_data
            self._state = h11.Connection(h11.CLIENT)
            self._frame_request()
            self._is_whole = False
            if rest:
                self._state.receive_data(rest)
        raise self._fail("receive head", "answers belong to other requests")

    async def receive_body(self) -> abc.AsyncIterator[bytes]:
        """Yield the body as it arrives; raises when it breaks off."""
        while True:
            event = await self._receive_event("receive body")
            if isinstance(event, h11.EndOfMessage):
                self._is_whole = True
                return
            if isinstance(event, h11.Data):
                yield bytes(event.data)

    def find_header(self, name: bytes) -> bytes:
        """Return the value of a header by its lower-case name, or nothing."""
        for candidate, value in self.headers:
            if candidate == name:
                return value
        return b""

    def keep_until(self) -> typing.Optional[deadlines.Deadline]:
        """Return until when the connection may carry another request."""
        is_done = self._state.our_state is h11.DONE
        is_done = is_done and self._state.their_state is h11.DONE
        if not self._is_whole or not is_done:
            return None
        if self._state.trailing_data[0] or self._state.trailing_data[1]:
            return None
        idle_ms = _read_idle_ms(self.find_header(b"keep-alive"))
        return deadlines.make_deadline(idle_ms) if idle_ms > 0 else None

    def _frame_request(self) -> bytes:
        request = self._request
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD"):
            length = str(len(request.body)).encode()
            headers.append((b"Content-Length", length))
        head = h11.Request(
            method=request.method, target=request.path, headers=headers
        )
        data = self._state.send(head) or b""
        if request.body:
            data += self._state.send(h11.Data(data=request.body)) or b""
        return data + (self._state.send(h11.EndOfMessage()) or b"")

    async def _receive_any_head(self) -> None:
        while True:
            event = await self._receive_event("receive head")
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = tuple(event.headers)
                return

    async def _receive_event(self, step: str) -> typing.Any:
        while True:
            try:
                event = self._state.next_event()
                if event is h11.NEED_DATA:
                    data = await self._stream.receive_some(_READ_BYTES)
                    self._state.receive_data(data)
                    continue
            except h11.RemoteProtocolError as error:
                raise self._fail(step, f"not an answer: {error}") from error
            except (trio.BrokenResourceError, OSError) as error:
                raise self._fail(step, f"connection lost: {error}") from error
            if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise self._fail(step, "connection closed")
            return event

    def _fail(self, step: str, reason: str) -> ports.PortError:
        return ports.PortError(step, self._peer, reason, took_effect=True)


class ConnectionPool:
    """Connections to one address, of which idle ones are used again."""

    def __init__(
        self,
        address: str,
        connect_ms: float,
        *,
        tolerates_pauses: bool = False,
    ) -> None:
        """Connect to ``address`` (IP:PORT), within ``connect_ms`` each.

        The kernel drops a connection whose other end acknowledges nothing
        for some seconds. With ``tolerates_pauses`` it waits longer, for peers
        whose host may be paused and then continue the request.
        """
        self.address: typing.Final = address
        self._place: typing.Final = option_types.split_address(address)
        self._connect_ms: typing.Final = connect_ms
        self._tolerates_pauses: typing.Final = tolerates_pauses
        self._idle: typing.Final[list[_Connection]] = []
        self.open_count = 0

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        request: ExchangeRequest,
        is_answer: abc.Callable[[Exchange], bool] = lambda _: True,
    ) -> abc.AsyncIterator[Exchange]:
        """Send a request and give out the exchange once its head is there.

        Raises :class:`ports.PortError`, whose ``took_effect`` is False only
        when no byte was sent. Leaving the context early closes the
        connection, which tells the other end to stop.
        """
        stream = self._take_idle()
        if stream is None:
            stream = await self._connect()
        self.open_count += 1
        kept_until = None
        try:
            exchange = Exchange(stream, self.address, request)
            try:
                await exchange.send()
            except (trio.BrokenResourceError, OSError) as error:
                raise ports.PortError(
                    "send request", self.address, str(error), took_effect=True
                ) from error
            await exchange.receive_head(is_answer)
            yield exchange
            kept_until = exchange.keep_until()
        finally:
            self.open_count -= 1
            if kept_until is None:
                _close_now(stream)
            else:
                self._idle.append(_Connection(stream, kept_until))

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            _close_now(self._idle.pop().stream)

    def _take_idle(self) -> typing.Optional[trio.SocketStream]:
        while self._idle:
            connection = self._idle.pop()
            is_late = connection.usable_until.is_past()
            if not is_late and not _is_readable(connection.stream):
                return connection.stream
            # Readable while idle means that the other end closed it, or sent
            # bytes that belong to no request of ours.
            _close_now(connection.stream)
        return None

    async def _connect(self) -> trio.SocketStream:
        link = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._bound_silence(link)
            with trio.fail_after(self._connect_ms / 1000):
                await link.connect(self._place)
        except (OSError, trio.TooSlowError) as error:
            link.close()
            raise ports.PortError(
                "connect", self.address, str(error), took_effect=False
            ) from error
        except BaseException:
            link.close()
            raise
        return trio.SocketStream(link)

    def _bound_silence(self, link: trio.socket.SocketType) -> None:
        """Let the kernel find connections that have gone silent for good."""
        unacked_ms = (
            _PATIENT_UNACKED_MS if self._tolerates_pauses else _UNACKED_MS
        )
        link.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_ms
        )
        if not self._tolerates_pauses:
            _probe_when_idle(link)


def _probe_when_idle(link: trio.socket.SocketType) -> None:
    link.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    link.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_S)
    link.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_S)
    link.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _MOST_PROBES)


def _read_idle_ms(keep_alive: bytes) -> float:
    """Return how long a connection may idle by a ``Keep-Alive`` header."""
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() != b"timeout" or not value.isdigit():
            continue
        if len(value) <= _MOST_IDLE_DIGITS:
            return min(_IDLE_MS, int(value) * 1000 - _IDLE_MARGIN_MS)
    return _IDLE_MS


def _is_readable(stream: trio.SocketStream) -> bool:
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _close_now(stream: trio.SocketStream) -> None:
    """Close without waiting for the other end."""
    stream.socket.close()

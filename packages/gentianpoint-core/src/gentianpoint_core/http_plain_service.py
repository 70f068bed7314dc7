"""Adapter to a plain HTTP service, which runs no model engine."""

from collections import abc
import contextlib
import typing

import httpx
import trio

from gentianpoint_core import answer_bodies
from gentianpoint_core import connection_resets
from gentianpoint_core import http_clients
from gentianpoint_core import named_limits
from gentianpoint_core import ports
from gentianpoint_core.decisions import answer_ends

__all__ = ("HttpPlainService",)

_CONNECT_TIMEOUT_S: typing.Final = 3.0
"""Timeout for connecting, in seconds."""


class HttpPlainService(ports.PlainService):
    """The plain HTTP service at a base URL."""

    def __init__(
        self,
        url: str,
        client: httpx.AsyncClient,
        silence_ms: int,
        check_listening: abc.Callable[
            [], abc.Awaitable[typing.Optional[bool]]
        ],
        handle_limit: named_limits.HandleLimit = named_limits.ignore_limit,
    ) -> None:
        """Use ``client`` for the service at ``url``.

        A call fails with an unknown outcome if no data arrives for
        ``silence_ms`` milliseconds. ``check_listening`` tells whether the
        service listens, None if nothing answers. ``handle_limit`` is told of
        the limit that each answer names.
        """
        self._check_listening: typing.Final = check_listening
        self._handle_limit: typing.Final = handle_limit
        self._url: typing.Final = url
        self._client: typing.Final = client
        self._timeout: typing.Final = httpx.Timeout(
            silence_ms / 1000, connect=_CONNECT_TIMEOUT_S
        )

    @contextlib.asynccontextmanager
    async def send_call(
        self,
        method: str,
        path: str,
        headers: abc.Sequence[tuple[str, str]],
        body: bytes,
    ) -> abc.AsyncIterator[ports.PlainAnswer]:
        """Send a call; see :meth:`ports.PlainService.send_call`."""
        step = "send call"
        request = self._build_request(method, path, headers, body)
        asked_at = trio.current_time()
        try:
            response = await self._client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise ports.PortError(
                step, self._url, repr(error), took_effect=False
            ) from error
        except httpx.HTTPError as error:
            raise ports.PortError(
                step, self._url, repr(error), took_effect=True
            ) from error
        named = named_limits.read_header_limit(response.headers.raw)
        if named.is_named or response.is_success:
            self._handle_limit(named, asked_at)
        try:
            yield ports.PlainAnswer(
                response.status_code,
                tuple(response.headers.multi_items()),
                self._receive_chunks(request.method, response),
            )
        finally:
            await response.aclose()

    def _build_request(
        self,
        method: str,
        path: str,
        headers: abc.Sequence[tuple[str, str]],
        body: bytes,
    ) -> httpx.Request:
        """Return the request; raises :class:`ports.PortError` if invalid.

        Callers can put arbitrary bytes into paths and headers. Any other
        exception of the client library would end the agent process and with
        it the calls of all other customers.
        """
        try:
            return self._client.build_request(
                method,
                self._url + path,
                headers=[
                    *(
                        (name.encode("latin-1"), value.encode("latin-1"))
                        for name, value in headers
                    ),
                    http_clients.CLOSE_AFTERWARDS,
                ],
                content=body,
                timeout=self._timeout,
            )
        except (httpx.InvalidURL, ValueError) as error:
            raise ports.PortError(
                "build call", self._url, repr(error), took_effect=False
            ) from error

    def _receive_chunks(
        self, method: str, response: httpx.Response
    ) -> abc.AsyncIterator[bytes]:
        return answer_bodies.receive_complete(
            self._iterate_chunks(response),
            is_delimited=answer_bodies.has_framing(
                method.encode(),
                response.status_code,
                [name.lower() for name, _ in response.headers.raw],
            ),
            ask_sender=self._ask_sender,
            peer=self._url,
            was_reset=lambda: _was_reset(response),
        )

    async def _ask_sender(self, alive_at: float) -> answer_ends.Sender:
        """Find out whether a process listens; which one can't be told."""
        return answer_bodies.name_sender(await self._check_listening())

    async def _iterate_chunks(
        self, response: httpx.Response
    ) -> abc.AsyncIterator[bytes]:
        # Unlike the response's own iterators, its stream leaves the connection
        # open at the end, so that its state can be read.
        stream = response.stream
        assert isinstance(stream, httpx.AsyncByteStream)
        try:
            async for chunk in stream:
                yield chunk
        except httpx.HTTPError as error:
            raise ports.PortError(
                "read answer", self._url, repr(error), took_effect=True
            ) from error


def _was_reset(response: httpx.Response) -> bool:
    """Tell whether a response's connection was reset.

    The client passes over a write of the request that fails, and tells
    nobody, but the state of the connection does.
    """
    stream = response.extensions.get("network_stream")
    if stream is None:
        return False
    return connection_resets.was_reset(stream.get_extra_info("socket"))

"""Creation of the HTTP client for the platform's services and targets."""

from collections import abc
import ssl
import typing

import httpx
import trio

__all__ = ("CLOSE_AFTERWARDS", "make_client")

CLOSE_AFTERWARDS: typing.Final = (b"Connection", b"close")
"""Header of calls to targets, which lets each have a connection of its own.

A target may send a second answer late, and nothing in an answer tells to which
call it belongs.
"""
_MAX_WHOLE_BODY_BYTES: typing.Final = 16 << 20
"""Longest body, in bytes, that is held in memory as a whole."""
_MAX_WHOLE_BODY_S: typing.Final = 10.0
"""Seconds in which such a body must have come. The client's own time limits
are for the silence between two reads."""


class _BoundedBody(httpx.AsyncByteStream):
    """A body that fails if it is too long, or comes for too long."""

    def __init__(self, body: httpx.AsyncByteStream) -> None:
        self._body: typing.Final = body

    async def __aiter__(self) -> abc.AsyncIterator[bytes]:
        ends_at = trio.current_time() + _MAX_WHOLE_BODY_S
        received = 0
        async for chunk in self._body:
            received += len(chunk)
            if received > _MAX_WHOLE_BODY_BYTES:
                raise httpx.ReadError("the body is too long")
            if trio.current_time() > ends_at:
                raise httpx.ReadTimeout("the body does not end in time")
            yield chunk

    async def aclose(self) -> None:
        """Close the body that is bounded."""
        await self._body.aclose()


class _BoundedClient(httpx.AsyncClient):
    """A client that holds no body in memory which has no end."""

    async def send(
        self,
        request: httpx.Request,
        *,
        stream: bool = False,
        **options: typing.Any,
    ) -> httpx.Response:
        """Send a request; with ``stream`` the caller reads the body."""
        response = await super().send(request, stream=True, **options)
        if stream:
            return response
        body = response.stream
        assert isinstance(body, httpx.AsyncByteStream)
        response.stream = _BoundedBody(body)
        try:
            await response.aread()
        except BaseException:
            with trio.CancelScope(shield=True):
                await response.aclose()
            raise
        return response


def _make_tls_context(urls: abc.Iterable[str]) -> ssl.SSLContext:
    """Return a TLS context that loads CA certificates only if needed.

    Loading the certificates takes a tenth of a process's start-up CPU time,
    and most platforms are used without TLS. A context without certificates
    rejects every server, so nothing is trusted by mistake.
    """
    if any(url.startswith("https://") for url in urls):
        return httpx.create_ssl_context(trust_env=False)
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


def make_client(
    urls: abc.Iterable[str], limits: httpx.Limits
) -> httpx.AsyncClient:
    """Return a client for the services at the base URLs ``urls``."""
    return _BoundedClient(
        verify=_make_tls_context(urls), limits=limits, trust_env=False
    )

"""Adapter to a plain HTTP service."""

from collections import abc
import contextlib
import typing

import httpx

from gentianpoint_core import ports

__all__ = ("HttpPlainService",)

_CONNECT_TIMEOUT_S: typing.Final = 3.0


class HttpPlainService(ports.PlainService):
    """The plain service at a base URL."""

    def __init__(
        self, url: str, client: httpx.AsyncClient, silence_ms: int
    ) -> None:
        """Use ``client`` for the service at ``url``.

        A call whose answer brings nothing for ``silence_ms`` milliseconds
        fails with an unknown outcome.
        """
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
        """Send one call; see :meth:`ports.PlainService.send_call`."""
        step = "send call"
        request = self._build_request(method, path, headers, body)
        try:
            answer = await self._client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise ports.PortError(
                step, self._url, repr(error), took_effect=False
            ) from error
        except httpx.HTTPError as error:
            raise ports.PortError(
                step, self._url, repr(error), took_effect=True
            ) from error
        try:
            yield ports.PlainAnswer(
                answer.status_code,
                tuple(answer.headers.multi_items()),
                self._iterate_chunks(answer),
            )
        finally:
            await answer.aclose()

    def _build_request(
        self,
        method: str,
        path: str,
        headers: abc.Sequence[tuple[str, str]],
        body: bytes,
    ) -> httpx.Request:
        """Return the request, or raise if HTTP has no form for it.

        Callers write any bytes into paths and headers. An error of the
        client library that is no :class:`ports.PortError` would end the
        agent's process, and with it the calls of all other customers.
        """
        try:
            return self._client.build_request(
                method,
                self._url + path,
                headers=[
                    (name.encode("latin-1"), value.encode("latin-1"))
                    for name, value in headers
                ],
                content=body,
                timeout=self._timeout,
            )
        except (httpx.InvalidURL, ValueError) as error:
            raise ports.PortError(
                "build call", self._url, repr(error), took_effect=False
            ) from error

    async def _iterate_chunks(
        self, answer: httpx.Response
    ) -> abc.AsyncIterator[bytes]:
        try:
            async for chunk in answer.aiter_raw():
                yield chunk
        except httpx.HTTPError as error:
            raise ports.PortError(
                "read answer", self._url, repr(error), took_effect=True
            ) from error

"""Adapter to a model engine over HTTP that streams JSON lines."""

from collections import abc
import contextlib
import typing

import httpx
import msgspec
import trio

from gentianpoint_core import http_clients
from gentianpoint_core import named_limits
from gentianpoint_core import ports

__all__ = ("HttpEngine",)

_TIMEOUT_S: typing.Final = 5.0
"""Timeout of a request in seconds, not counting a requested wait."""
_MAX_LINE_BYTES: typing.Final = 1 << 20
"""Longest line of a stream, in bytes, that is held until its end."""
_SOFTWARE_HEADER: typing.Final = "software-version"
"""Header of answers with the version of the engine's software."""
_REFUSAL_STATUSES: typing.Final = (404, 409, 429)
"""HTTP statuses with which an engine refuses without any effect."""


class _Line(msgspec.Struct):
    """One line of a stream."""

    n: int = 0
    text: str = ""
    preempted: bool = False
    end: str = ""
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Load(msgspec.Struct):
    """Response to ``GET /load``."""

    boot: str
    age_ms: int
    blocks: int
    blocks_used: int
    block_tokens: int
    running: int
    waiting: int
    preemptions: int
    redone_tokens: int
    model: str
    adapter: str
    version: str
    role: str
    loading: bool
    reclaim_in_ms: typing.Optional[int] = None
    software: str = ""


_line_decoder: typing.Final = msgspec.json.Decoder(_Line)


def _decode_line(line: bytes) -> ports.StreamEvent:
    fields = _line_decoder.decode(line)
    return ports.StreamEvent(
        fields.n,
        fields.text,
        fields.preempted,
        fields.end,
        fields.prompt_tokens,
        fields.completion_tokens,
    )


async def _iterate_events(
    response: httpx.Response, step: str, peer: str
) -> abc.AsyncIterator[ports.StreamEvent]:
    software = response.headers.get(_SOFTWARE_HEADER, "")
    if software:
        yield ports.StreamEvent(0, "", False, "", 0, 0, software)
    partial = b""
    try:
        async for chunk in response.aiter_raw():
            lines = (partial + chunk).split(b"\n")
            partial = lines.pop()
            for line in lines:
                if line:
                    yield _decode_line(line)
            if len(partial) > _MAX_LINE_BYTES:
                raise ports.PortError(
                    step, peer, "a line does not end", took_effect=True
                )
    except (httpx.HTTPError, msgspec.DecodeError) as error:
        raise ports.PortError(
            step, peer, repr(error), took_effect=True
        ) from error


class HttpEngine(ports.Engine):
    """The engine at a base URL."""

    def __init__(
        self,
        url: str,
        client: httpx.AsyncClient,
        silence_ms: int,
        handle_limit: named_limits.HandleLimit = named_limits.ignore_limit,
    ) -> None:
        """Use ``client`` for the engine at ``url``.

        A stream fails if no data arrives for ``silence_ms`` milliseconds,
        since nothing else shows that a connection has stopped delivering.
        ``handle_limit`` is told of the limit that each answer to a start
        names.
        """
        self._handle_limit: typing.Final = handle_limit
        self._url: typing.Final = url
        self._client: typing.Final = client
        self._stream_timeout: typing.Final = httpx.Timeout(
            _TIMEOUT_S, read=silence_ms / 1000
        )

    @contextlib.asynccontextmanager
    async def _open_stream(
        self,
        step: str,
        request: httpx.Request,
        handle_limit: named_limits.HandleLimit,
    ) -> abc.AsyncIterator[abc.AsyncIterator[ports.StreamEvent]]:
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
        if named.is_named or response.status_code == 200:
            handle_limit(named, asked_at)
        try:
            if response.status_code != 200:
                raise ports.PortError(
                    step,
                    self._url,
                    f"status {response.status_code}",
                    took_effect=response.status_code not in _REFUSAL_STATUSES,
                )
            yield _iterate_events(response, step, self._url)
        finally:
            await response.aclose()

    def start_stream(
        self, request: ports.StreamRequest
    ) -> typing.AsyncContextManager[abc.AsyncIterator[ports.StreamEvent]]:
        """Start a stream; see :meth:`ports.Engine.start_stream`."""
        body = request._asdict()
        body["id"] = body.pop("identifier")
        return self._open_stream(
            "start stream",
            self._client.build_request(
                "POST",
                f"{self._url}/streams",
                headers=[http_clients.CLOSE_AFTERWARDS],
                json=body,
                timeout=self._stream_timeout,
            ),
            self._handle_limit,
        )

    def resume_stream(
        self, identifier: str, after: int
    ) -> typing.AsyncContextManager[abc.AsyncIterator[ports.StreamEvent]]:
        """Resume a stream; see :meth:`ports.Engine.resume_stream`."""
        return self._open_stream(
            "resume stream",
            self._client.build_request(
                "GET",
                f"{self._url}/streams/{identifier}",
                headers=[http_clients.CLOSE_AFTERWARDS],
                params={"after": after},
                timeout=self._stream_timeout,
            ),
            # A stream that is resumed started earlier, and its answer may
            # name no limit for that.
            named_limits.ignore_limit,
        )

    async def _send_request(
        self, step: str, method: str, path: str, **options: typing.Any
    ) -> bytes:
        try:
            response = await self._client.request(
                method,
                self._url + path,
                headers=[http_clients.CLOSE_AFTERWARDS],
                timeout=options.pop("timeout", _TIMEOUT_S),
                **options,
            )
        except httpx.HTTPError as error:
            raise ports.PortError(
                step,
                self._url,
                repr(error),
                took_effect=not isinstance(error, httpx.ConnectError),
            ) from error
        if response.status_code not in (200, 202):
            raise ports.PortError(
                step,
                self._url,
                f"status {response.status_code}: {response.text[:200]}",
                took_effect=response.status_code not in _REFUSAL_STATUSES,
            )
        return response.content

    async def cancel_stream(self, identifier: str) -> bool:
        """Cancel a stream; see :meth:`ports.Engine.cancel_stream`."""
        body = await self._send_request(
            "cancel stream", "DELETE", f"/streams/{identifier}"
        )
        return bool(msgspec.json.decode(body)["known"])

    async def list_streams(self) -> abc.Sequence[str]:
        """List streams; see :meth:`ports.Engine.list_streams`."""
        body = await self._send_request("list streams", "GET", "/streams")
        return [row["id"] for row in msgspec.json.decode(body)["streams"]]

    async def read_load(self) -> ports.EngineLoad:
        """Read the load; see :meth:`ports.Engine.read_load`."""
        step = "read load"
        body = await self._send_request(step, "GET", "/load")
        try:
            load = msgspec.json.decode(body, type=_Load)
        except msgspec.DecodeError as error:
            raise ports.PortError(
                step, self._url, str(error), took_effect=False
            ) from error
        return ports.EngineLoad(**msgspec.structs.asdict(load))

    async def read_cache_events(
        self, after: int, wait_ms: int
    ) -> ports.CacheEvents:
        """Read cache events; see :meth:`ports.Engine.read_cache_events`."""
        body = await self._send_request(
            "read cache events",
            "GET",
            "/cache-events",
            params={"after": after, "wait_ms": wait_ms},
            timeout=_TIMEOUT_S + wait_ms / 1000,
        )
        decoded = msgspec.json.decode(body)
        return ports.CacheEvents(
            tuple(
                ports.CacheEvent(
                    row["sequence"], tuple(row["added"]), tuple(row["removed"])
                )
                for row in decoded["events"]
            ),
            decoded["last"],
        )

    async def send_order(self, order: ports.EngineOrder) -> None:
        """Send an order; see :meth:`ports.Engine.send_order`."""
        await self._send_request(
            "send order", "POST", "/orders", json=order._asdict()
        )

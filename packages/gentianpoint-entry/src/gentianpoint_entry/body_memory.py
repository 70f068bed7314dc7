"""Memory for the bodies of requests, which is taken before they are read.

The framework reads a body as soon as the application sees its request. The
middleware holds it back until there is memory for it, which a hook of the
application waits for, so that a refusal has the application's format.
"""

from collections import abc
import typing

import hypercorn.typing
import quart
import trio
from werkzeug import datastructures

from gentianpoint_core import caller_resources
from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_entry import error_answers
from gentianpoint_entry import request_options

__all__ = (
    "COPIES",
    "WAIT_MS",
    "BodyMiddleware",
    "decode_headers",
    "make_error",
    "take_body_memory",
)

_SCOPE_KEY: typing.Final = "gentianpoint.body_memory"
COPIES: typing.Final = 4
"""Copies of a body: as it is read, whole, decoded, and in the message to an
agent."""
_SMALL_BYTES: typing.Final = 65536
"""Memory of a body up to which it counts as small."""
_FREE_BYTES: typing.Final = 65536
"""Bytes of a body that are read without a turn of the processor."""
WAIT_MS: typing.Final = 500.0
"""Milliseconds for which a request waits for memory."""
_RETRY_MS: typing.Final = 1000
"""Retry-After of a request that gets none, milliseconds."""

_App: typing.TypeAlias = abc.Callable[
    [
        hypercorn.typing.Scope,
        hypercorn.typing.ASGIReceiveCallable,
        hypercorn.typing.ASGISendCallable,
    ],
    abc.Coroutine[typing.Any, typing.Any, None],
]


class _BodyMemory:
    """The memory of one request's body."""

    def __init__(
        self,
        resources: caller_resources.CallerResources,
        receive: hypercorn.typing.ASGIReceiveCallable,
        size: int,
    ) -> None:
        """Take ``size`` bytes before ``receive`` is called."""
        self._resources: typing.Final = resources
        self._receive: typing.Final = receive
        self._size: typing.Final = size
        self._lease: typing.Final = resources.open_lease()
        self._is_taken: typing.Final = trio.Event()
        # Scope of the read in progress.
        self._reading = trio.CancelScope()
        # True if the caller has sent too slowly while others waited.
        self.is_stopped = False
        self._received_bytes = 0

    async def take(self) -> bool:
        """Take the memory; return False if there is none in time."""
        is_large = self._size > _SMALL_BYTES
        if not await self._lease.take(
            self._size,
            is_large=is_large,
            wait_until=deadlines.make_deadline(WAIT_MS),
        ):
            self._resources.note_limit("memory")
            return False
        if is_large:
            self._lease.begin_reading(self._stop, self._size // COPIES)
        self._is_taken.set()
        return True

    async def receive(self) -> typing.Any:
        """Return the next event of the connection.

        That is its end for a caller that sends too slowly while others wait.
        """
        await self._is_taken.wait()
        with trio.CancelScope() as self._reading:
            if not self.is_stopped:
                return await self._receive_part()
        self._resources.note_limit("slow_body")
        return {"type": "http.disconnect"}

    async def _receive_part(self) -> typing.Any:
        if self._received_bytes >= _FREE_BYTES:
            # Long bodies leave time to other requests.
            await self._resources.time.take_turn()
        event = await self._receive()
        self._received_bytes += len(typing.cast(bytes, event.get("body", b"")))
        if not event.get("more_body", False):
            self._lease.end_reading()
        return event

    def _stop(self) -> None:
        """End the connection, whose caller sends too slowly."""
        self.is_stopped = True
        self._reading.cancel()

    def close(self) -> None:
        """Give the memory back."""
        self._lease.close()


class BodyMiddleware:
    """ASGI middleware that holds bodies back until they have memory."""

    def __init__(
        self,
        app: _App,
        resources: caller_resources.CallerResources,
        max_body_bytes: int,
    ) -> None:
        """Wrap ``app``, which refuses bodies over ``max_body_bytes``."""
        self._app: typing.Final = app
        self._resources: typing.Final = resources
        self._max_body_bytes: typing.Final = max_body_bytes

    async def __call__(
        self,
        scope: hypercorn.typing.Scope,
        receive: hypercorn.typing.ASGIReceiveCallable,
        send: hypercorn.typing.ASGISendCallable,
    ) -> None:
        """Serve one request, and give its memory back at its end."""
        size = 0
        fields: abc.Iterable[tuple[bytes, bytes]] = ()
        if scope["type"] == "http":
            fields = scope["headers"]
            size = self._find_size(dict(fields))
        if not size:
            await self._app(scope, receive, send)
            return
        memory = _BodyMemory(self._resources, receive, size)
        typing.cast(dict[str, typing.Any], scope)[_SCOPE_KEY] = memory
        has_answer = False

        async def note_answer(event: hypercorn.typing.ASGISendEvent) -> None:
            nonlocal has_answer
            has_answer = True
            await send(event)

        try:
            await self._app(scope, memory.receive, note_answer)
        finally:
            memory.close()
        if memory.is_stopped and not has_answer:
            error = make_error(
                decode_headers(fields),
                "the body comes too slowly while others wait",
            )
            await _send_error(error, send)

    def _find_size(self, headers: abc.Mapping[bytes, bytes]) -> int:
        """Return the memory of a request's body, 0 if it is not read."""
        length = self._max_body_bytes
        if b"transfer-encoding" not in headers:
            text = headers.get(b"content-length", b"0")
            length = int(text) if text.isdigit() else 0
        # The application refuses longer ones by their heads.
        return length * COPIES if length <= self._max_body_bytes else 0


async def take_body_memory() -> None:
    """Take the memory of the current request's body.

    Raises :class:`errors.CallError` if there is none.
    """
    scope = typing.cast(dict[str, typing.Any], quart.request.scope)
    memory = scope.get(_SCOPE_KEY)
    if memory is None or await memory.take():
        return
    raise make_error(quart.request.headers, "no memory for the request")


async def _send_error(
    error: errors.CallError, send: hypercorn.typing.ASGISendCallable
) -> None:
    headers, body = error_answers.frame_error(error)
    await send(
        {
            "type": "http.response.start",
            "status": error.status,
            "headers": headers,
            "trailers": False,
        }
    )
    await send(
        {"type": "http.response.body", "body": body, "more_body": False}
    )


def decode_headers(
    headers: abc.Iterable[tuple[bytes, bytes]],
) -> datastructures.Headers:
    """Return the headers of a request as the framework has them."""
    return datastructures.Headers(
        [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in headers
        ]
    )


def make_error(
    headers: datastructures.Headers, reason: str
) -> errors.CallError:
    """Return the error of a request with ``headers`` that is not read."""
    may_have_run = request_options.may_have_run(headers)
    return errors.CallError(
        errors.OUTCOME_UNKNOWN if may_have_run else errors.NOT_RUN,
        reason,
        step="take request",
        retry_after_ms=_RETRY_MS,
    )

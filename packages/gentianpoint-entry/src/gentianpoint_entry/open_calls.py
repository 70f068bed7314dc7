"""Calls of an HTTP request, which are closed when the request ends.

A streamed response closes its call in the ``finally`` of its generator. The
generator never runs if the caller disconnects before the first write or if
the response headers are invalid. The call would then stay open until its
link is lost: the agent would keep the generation for a reader that is gone,
and the shutdown of the entry would wait for the call.
"""

from collections import abc
import typing

import hypercorn.typing
import quart

from gentianpoint_entry import calls

__all__ = ("ClosingMiddleware", "close_after_request")

_SCOPE_KEY: typing.Final = "gentianpoint.calls"

_App: typing.TypeAlias = abc.Callable[
    [
        hypercorn.typing.Scope,
        hypercorn.typing.ASGIReceiveCallable,
        hypercorn.typing.ASGISendCallable,
    ],
    abc.Coroutine[typing.Any, typing.Any, None],
]


def close_after_request(call: calls.Call) -> calls.Call:
    """Close ``call`` at the latest when the current request ends."""
    _get_calls(quart.request.scope).append(call)
    return call


def _get_calls(scope: hypercorn.typing.Scope) -> list[calls.Call]:
    kept = typing.cast(dict[str, list[calls.Call]], scope)
    return kept.setdefault(_SCOPE_KEY, [])


class ClosingMiddleware:
    """ASGI middleware that closes the calls of each request."""

    def __init__(self, app: _App) -> None:
        """Wrap ``app``, which gets all requests."""
        self._app: typing.Final = app

    async def __call__(
        self,
        scope: hypercorn.typing.Scope,
        receive: hypercorn.typing.ASGIReceiveCallable,
        send: hypercorn.typing.ASGISendCallable,
    ) -> None:
        """Serve one request and close its calls, even after an error."""
        try:
            await self._app(scope, receive, send)
        finally:
            for call in _get_calls(scope):
                await call.close()

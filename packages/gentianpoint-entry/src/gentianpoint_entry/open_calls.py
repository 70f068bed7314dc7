"""Calls that belong to an HTTP request, closed when the request is over.

A streamed answer closes its call in the ``finally`` of its generator. One
that is never begun, since its caller went away before the first write or its
head could not be made, never comes to that. Its call would stay open until
its link ends: the agent would hold the generation for a reader that is gone,
and an entry that is told to stop would wait for it.
"""

from collections import abc
import typing

import hypercorn.typing
import quart

from gentianpoint_entry import calls

__all__ = ("ClosingMiddleware", "keep_call")

_SCOPE_KEY: typing.Final = "gentianpoint.calls"

_App: typing.TypeAlias = abc.Callable[
    [
        hypercorn.typing.Scope,
        hypercorn.typing.ASGIReceiveCallable,
        hypercorn.typing.ASGISendCallable,
    ],
    abc.Coroutine[typing.Any, typing.Any, None],
]


def keep_call(call: calls.Call) -> calls.Call:
    """Have ``call`` closed at the end of the current request, at latest."""
    _list_calls(quart.request.scope).append(call)
    return call


def _list_calls(scope: hypercorn.typing.Scope) -> list[calls.Call]:
    kept = typing.cast(dict[str, list[calls.Call]], scope)
    return kept.setdefault(_SCOPE_KEY, [])


class ClosingMiddleware:
    """An ASGI application around another that closes what requests keep."""

    def __init__(self, app: _App) -> None:
        """Pass all requests on to ``app``."""
        self._app: typing.Final = app

    async def __call__(
        self,
        scope: hypercorn.typing.Scope,
        receive: hypercorn.typing.ASGIReceiveCallable,
        send: hypercorn.typing.ASGISendCallable,
    ) -> None:
        """Serve one request and close its calls, however it ends."""
        try:
            await self._app(scope, receive, send)
        finally:
            for call in _list_calls(scope):
                await call.close()

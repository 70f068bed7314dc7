"""Routes of plain services, whose requests are forwarded unchanged."""

from collections import abc
import typing
from urllib import parse

import cbor2
import quart

from gentianpoint_core import errors
from gentianpoint_core.generated import messages
from gentianpoint_entry import authentication
from gentianpoint_entry import calls
from gentianpoint_entry import entry_state
from gentianpoint_entry import error_answers
from gentianpoint_entry import open_calls
from gentianpoint_entry import prepared_generations
from gentianpoint_entry import request_options

__all__ = ("make_plain_routes",)

_METHODS: typing.Final = (
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "PATCH",
    "DELETE",
    "OPTIONS",
)
_IDEMPOTENT_METHODS: typing.Final = frozenset(
    ("GET", "HEAD", "PUT", "DELETE", "OPTIONS")
)
_PREFIX: typing.Final = "/services/"
_HTTP_1_0: typing.Final = "1.0"
# Hop-by-hop headers, which must not be forwarded (RFC 9110), and headers that
# the entry itself consumes.
_UNFORWARDED_HEADERS: typing.Final = frozenset(
    (
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def _is_forwarded(name: str) -> bool:
    lower = name.lower()
    return lower not in _UNFORWARDED_HEADERS and not lower.startswith(
        "gentianpoint-"
    )


def _list_forwarded_headers() -> abc.Sequence[abc.Sequence[str]]:
    """Return the caller's original headers without hop-by-hop ones.

    They come from the ASGI scope, since the framework adds a header with the
    caller's address to its own list.
    """
    named = quart.request.headers.get("Connection", "").lower().split(",")
    connection_headers = {name.strip() for name in named}
    return [
        [name, value.decode("latin-1")]
        for raw_name, value in quart.request.scope["headers"]
        if _is_forwarded(name := raw_name.decode("latin-1"))
        and name.lower() not in connection_headers
    ]


def _read_request_target(service: str) -> str:
    """Return the original path below the service, with the query.

    Decoding and encoding the path again could change it: an encoded question
    mark would become the start of the query, and the service would get a
    different request from the one that the caller sent.
    """
    raw = quart.request.scope["raw_path"].decode("latin-1")
    before, _, path = raw.removeprefix(_PREFIX).partition("/")
    if not raw.startswith(_PREFIX) or parse.unquote(before) != service:
        raise errors.CallError(
            errors.INVALID_REQUEST,
            "a slash before the path of the service is encoded",
            step="read path",
        )
    query = quart.request.query_string.decode("latin-1")
    return f"/{path}?{query}" if query else f"/{path}"


def _make_request(service: str, body: bytes) -> messages.Request:
    return {
        "kind": "plain",
        "prompt": "",
        "max_tokens": 0,
        "method": quart.request.method,
        "path": _read_request_target(service),
        "headers": _list_forwarded_headers(),
        "body": body,
    }


async def _make_response(call: calls.Call) -> quart.Response:
    try:
        part = await call.receive()
        body: bytes | abc.AsyncGenerator[bytes, None]
        body = _stream_chunks(call, part.chunks[1:])
        if quart.request.http_version == _HTTP_1_0:
            # A caller that reads no chunks takes the end of the connection
            # for the end of the body, so it gets a length.
            body = b"".join([chunk async for chunk in body])
    except BaseException as error:
        await call.close()
        if isinstance(error, errors.CallError):
            return error_answers.make_error_response(error, call.generation)
        raise
    status, headers = cbor2.loads(part.chunks[0])
    response = quart.Response(body, status=status)
    response.timeout = None
    response.headers.clear()
    for name, value in headers:
        if _is_forwarded(name) or name.lower() == "content-length":
            response.headers.add(name, value)
    # An answer to HEAD names the length of a body that it does not have.
    if isinstance(body, bytes) and body:
        response.headers["Content-Length"] = str(len(body))
    response.headers["Gentianpoint-Generation"] = call.generation
    return response


async def _stream_chunks(
    call: calls.Call, chunks: abc.Sequence[bytes]
) -> abc.AsyncGenerator[bytes, None]:
    # After an error the connection closes without the last chunk, by which
    # HTTP clients detect that the body is incomplete.
    try:
        while True:
            for chunk in chunks:
                yield chunk
            part = await call.receive()
            if part.finish_reason:
                return
            chunks = part.chunks
    finally:
        await call.close()


def make_plain_routes(state: entry_state.EntryState) -> quart.Blueprint:
    """Return the routes under ``/services``."""
    routes = quart.Blueprint("plain", __name__, url_prefix="/services")

    @routes.route("/<service>/", methods=_METHODS, defaults={"path": ""})
    @routes.route("/<service>/<path:path>", methods=_METHODS)
    async def pass_call(service: str, path: str) -> quart.Response:
        header = quart.request.headers.get("Authorization", "")
        customer = authentication.authenticate_customer(
            header, state.tail.state
        )
        body = await request_options.read_body()
        options = request_options.read_options(quart.request.headers)
        request = state.make_call_request(
            service,
            customer,
            _make_request(service, body),
            options,
            quart.request.method in _IDEMPOTENT_METHODS,
        )
        if request_options.wants_prepare(quart.request.headers):
            prepared = await prepared_generations.prepare_generation(
                state.dispatcher, request
            )
            return quart.Response(
                "", headers={"Gentianpoint-Generation": prepared}
            )
        if options.key:
            request = await state.keys.bind(request, options.key)
        call = open_calls.close_after_request(
            calls.Call(state.dispatcher, request)
        )
        return await _make_response(call)

    return routes

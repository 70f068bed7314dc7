"""Routes for plain services: calls are passed through whole."""

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
# Headers of one connection, which must not travel to the next (RFC 9110),
# and those that are this system's own.
_OWN_HEADERS: typing.Final = frozenset(
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


def _is_passed(name: str) -> bool:
    lower = name.lower()
    return lower not in _OWN_HEADERS and not lower.startswith("gentianpoint-")


def _list_passed_headers() -> abc.Sequence[abc.Sequence[str]]:
    """Return the caller's headers as they came, but for those of one hop.

    The framework's own list would have one more, with the caller's address.
    """
    named = quart.request.headers.get("Connection", "").lower().split(",")
    one_hop = {name.strip() for name in named}
    return [
        [name, value.decode("latin-1")]
        for raw_name, value in quart.request.scope["headers"]
        if _is_passed(name := raw_name.decode("latin-1"))
        and name.lower() not in one_hop
    ]


def _read_target(service: str) -> str:
    """Return the path below the service, and the query, as they came.

    A decoded path can't be encoded again as it was: an encoded question
    mark in it would start the query, and the service would see another
    call than the caller made.
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
        "path": _read_target(service),
        "headers": _list_passed_headers(),
        "body": body,
    }


async def _answer(call: calls.Call) -> quart.Response:
    try:
        part = await call.receive()
    except BaseException as error:
        await call.close()
        if isinstance(error, errors.CallError):
            return error_answers.make_error_response(error, call.generation)
        raise
    status, headers = cbor2.loads(part.chunks[0])
    answer = quart.Response(_pass_chunks(call, part.chunks[1:]), status=status)
    answer.timeout = None
    answer.headers.clear()
    for name, value in headers:
        if _is_passed(name) or name.lower() == "content-length":
            answer.headers.add(name, value)
    answer.headers["Gentianpoint-Generation"] = call.generation
    return answer


async def _pass_chunks(
    call: calls.Call, chunks: abc.Sequence[bytes]
) -> abc.AsyncGenerator[bytes, None]:
    # An error in the middle ends the connection without the closing chunk,
    # by which every HTTP client sees that the body is not whole.
    try:
        while True:
            for chunk in chunks:
                yield chunk
            part = await call.receive()
            if part.end:
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
        call = open_calls.keep_call(calls.Call(state.dispatcher, request))
        return await _answer(call)

    return routes

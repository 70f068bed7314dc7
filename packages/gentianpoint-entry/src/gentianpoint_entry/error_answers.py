"""Error answers in the form that callers' tools know."""

import math
import typing

import msgspec
import quart
from werkzeug import exceptions

from gentianpoint_core import errors

__all__ = ("describe_error", "make_error_response", "make_http_error_response")

_MS_IN_S: typing.Final = 1000
_TYPES: typing.Final = {
    errors.INVALID_REQUEST: "invalid_request_error",
    errors.UNAUTHORIZED: "authentication_error",
    errors.UNKNOWN_SERVICE: "not_found_error",
    errors.UNKNOWN_GENERATION: "not_found_error",
}


def describe_error(error: errors.CallError, generation: str = "") -> bytes:
    """Return the JSON body of an error."""
    inner: dict[str, typing.Any] = {
        "message": error.reason,
        "type": _TYPES.get(error.code, "server_error"),
        "code": error.code,
        "param": None,
        "step": error.step,
        "peer": error.peer,
    }
    if generation:
        inner["generation"] = generation
    if error.retry_after_ms:
        inner["retry_after_ms"] = error.retry_after_ms
    return msgspec.json.encode({"error": inner})


def make_error_response(
    error: errors.CallError, generation: str = ""
) -> quart.Response:
    """Return the HTTP answer, with Retry-After in whole seconds."""
    answer = quart.Response(
        describe_error(error, generation),
        status=error.status,
        content_type="application/json",
    )
    if error.retry_after_ms:
        seconds = math.ceil(error.retry_after_ms / _MS_IN_S)
        answer.headers["Retry-After"] = str(max(1, seconds))
    if generation:
        answer.headers["Gentianpoint-Generation"] = generation
    return answer


def make_http_error_response(
    error: exceptions.HTTPException,
) -> quart.Response:
    """Return an error of the HTTP server in the form of all others.

    Callers' tools read the code from JSON; they could tell nothing from the
    page that the server would write. Headers that belong to the status, such
    as ``Allow``, stay.
    """
    answer = quart.Response(
        describe_error(
            errors.CallError(
                errors.INVALID_REQUEST,
                error.description or error.name,
                step="take request",
            )
        ),
        status=error.code,
    )
    for name, value in error.get_headers():
        if name.lower() != "content-type":
            answer.headers.add(name, value)
    answer.content_type = "application/json"
    return answer

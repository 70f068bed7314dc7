"""HTTP error responses in the format of the completion API."""

from collections import abc
import math
import typing

import msgspec
import quart
from werkzeug import exceptions

from gentianpoint_core import errors

__all__ = (
    "encode_error",
    "frame_error",
    "make_error_response",
    "make_http_error_response",
)

_MS_IN_S: typing.Final = 1000
_TYPES: typing.Final = {
    errors.INVALID_REQUEST: "invalid_request_error",
    errors.UNAUTHORIZED: "authentication_error",
    errors.UNKNOWN_SERVICE: "not_found_error",
    errors.UNKNOWN_GENERATION: "not_found_error",
}


def encode_error(error: errors.CallError, generation: str = "") -> bytes:
    """Return the JSON body of an error response."""
    details: dict[str, typing.Any] = {
        "message": error.reason,
        "type": _TYPES.get(error.code, "server_error"),
        "code": error.code,
        "param": None,
        "step": error.step,
        "peer": error.peer,
    }
    if generation:
        details["generation"] = generation
    if error.retry_after_ms:
        details["retry_after_ms"] = error.retry_after_ms
    return msgspec.json.encode({"error": details})


def frame_error(
    error: errors.CallError,
) -> tuple[abc.Sequence[tuple[bytes, bytes]], bytes]:
    """Return headers and body of an error, for answers without framework."""
    body = encode_error(error)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        (b"connection", b"close"),
    ]
    if error.retry_after_ms:
        headers.append((b"retry-after", _find_retry_after(error).encode()))
    return headers, body


def _find_retry_after(error: errors.CallError) -> str:
    """Return when to come back, in whole seconds."""
    return str(max(1, math.ceil(error.retry_after_ms / _MS_IN_S)))


def make_error_response(
    error: errors.CallError, generation: str = ""
) -> quart.Response:
    """Return the HTTP response, with ``Retry-After`` in whole seconds."""
    response = quart.Response(
        encode_error(error, generation),
        status=error.status,
        content_type="application/json",
    )
    if error.retry_after_ms:
        response.headers["Retry-After"] = _find_retry_after(error)
    if generation:
        response.headers["Gentianpoint-Generation"] = generation
    return response


def make_http_error_response(
    error: exceptions.HTTPException,
) -> quart.Response:
    """Return the response for an error that the HTTP framework raised.

    It has the same JSON body as other errors, since client libraries can't
    read the code from the framework's HTML page. Headers that belong to the
    status, such as ``Allow``, are kept.
    """
    response = quart.Response(
        encode_error(
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
            response.headers.add(name, value)
    response.content_type = "application/json"
    return response

"""Headers and arguments by which callers say more than their tools know."""

import typing

import quart
from werkzeug import datastructures

from gentianpoint_core import errors
from gentianpoint_entry import entry_state

__all__ = (
    "may_have_run",
    "read_after",
    "read_body",
    "read_limit",
    "read_options",
    "wants_prepare",
    "wants_stream",
)

_TRUE: typing.Final = "true"
_FALSE: typing.Final = "false"
_KEY_HEADER: typing.Final = "Idempotency-Key"
_GENERATION_HEADER: typing.Final = "Gentianpoint-Generation"
_MOST_KEY_CHARACTERS: typing.Final = 255


def _refuse(field: str, reason: str) -> errors.CallError:
    return errors.CallError(
        errors.INVALID_REQUEST, f"{field}: {reason}", step="read headers"
    )


def _read_flag(
    headers: datastructures.Headers, name: str
) -> typing.Optional[bool]:
    value = headers.get(name, "").lower()
    if value not in ("", _TRUE, _FALSE):
        raise _refuse(name, "neither true nor false")
    return None if not value else value == _TRUE


def _read_number(name: str, value: str) -> int:
    if not (value.isascii() and value.isdecimal()) or len(value) > 12:
        raise _refuse(name, "no whole number")
    return int(value)


async def read_body() -> bytes:
    """Return the whole body of the current request."""
    body = await quart.request.get_data(as_text=False)
    assert isinstance(body, bytes)
    return body


def _read_key(headers: datastructures.Headers) -> str:
    """Return the idempotency key; empty for none.

    An empty or odd key is refused: passed over, its request would run twice
    although its caller counts on the key.
    """
    values = headers.getlist(_KEY_HEADER)
    if not values:
        return ""
    key = values[0]
    if len(values) > 1:
        raise _refuse(_KEY_HEADER, "given twice")
    if not 1 <= len(key) <= _MOST_KEY_CHARACTERS or not key.isascii():
        raise _refuse(
            _KEY_HEADER, f"not of 1 to {_MOST_KEY_CHARACTERS} ASCII characters"
        )
    if _GENERATION_HEADER in headers or wants_prepare(headers):
        raise _refuse(
            _KEY_HEADER, "a key and a prepared identifier exclude each other"
        )
    return key


def may_have_run(headers: datastructures.Headers) -> bool:
    """Tell whether an earlier try of the request may have run it.

    An entry that knows nothing of such a try must not say that the request
    did not run.
    """
    return _KEY_HEADER in headers or _GENERATION_HEADER in headers


def read_options(headers: datastructures.Headers) -> entry_state.CallOptions:
    """Return what a request's headers say."""
    within = headers.get("Gentianpoint-Deadline-Ms", "0")
    return entry_state.CallOptions(
        _read_flag(headers, "Gentianpoint-Repeatable"),
        _read_number("Gentianpoint-Deadline-Ms", within),
        headers.get(_GENERATION_HEADER, ""),
        _read_key(headers),
    )


def wants_prepare(headers: datastructures.Headers) -> bool:
    """Tell whether the caller asks for an identifier only."""
    return bool(_read_flag(headers, "Gentianpoint-Prepare"))


def wants_stream(
    headers: datastructures.Headers,
    arguments: datastructures.MultiDict[str, str],
) -> bool:
    """Tell whether a resumed answer shall be streamed."""
    accept = headers.get("Accept", "")
    return "text/event-stream" in accept or arguments.get("stream") == _TRUE


def read_after(arguments: datastructures.MultiDict[str, str]) -> int:
    """Return the number of the last item that the caller has."""
    return _read_number("after", arguments.get("after", "0"))


def read_limit(
    arguments: datastructures.MultiDict[str, str], most: int
) -> int:
    """Return how many rows of a list are wanted, from 1 to ``most``."""
    wanted = _read_number("limit", arguments.get("limit", str(most)))
    if not 1 <= wanted <= most:
        raise _refuse("limit", f"not between 1 and {most}")
    return wanted

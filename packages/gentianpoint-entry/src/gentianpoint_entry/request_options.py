"""Headers and arguments by which callers say more than their tools know."""

import typing

import quart
from werkzeug import datastructures

from gentianpoint_core import errors
from gentianpoint_entry import entry_state

__all__ = (
    "read_after",
    "read_body",
    "read_limit",
    "read_options",
    "wants_prepare",
    "wants_stream",
)

_TRUE: typing.Final = "true"
_FALSE: typing.Final = "false"


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


def read_options(headers: datastructures.Headers) -> entry_state.CallOptions:
    """Return what a request's headers say.

    A caller that sends an idempotency key counts on it: taken silently, its
    second try would run a billed report twice. So the header is refused.
    """
    if "Idempotency-Key" in headers:
        raise _refuse(
            "Idempotency-Key",
            "not served; prepare the request and start its identifier",
        )
    within = headers.get("Gentianpoint-Deadline-Ms", "0")
    return entry_state.CallOptions(
        _read_flag(headers, "Gentianpoint-Repeatable"),
        _read_number("Gentianpoint-Deadline-Ms", within),
        headers.get("Gentianpoint-Generation", ""),
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

"""Reads the limit on requests that a target names in its answers."""

from collections import abc
import re
import typing

__all__ = (
    "HEADER",
    "UNNAMED",
    "UNREADABLE",
    "HandleLimit",
    "NamedLimit",
    "ignore_limit",
    "read_header_limit",
    "read_named_limit",
)

HEADER: typing.Final = b"max-requests-per-second"
"""Header in which targets of the project's own interface name a limit."""
_DECIMAL_PATTERN: typing.Final = re.compile(rb"\d{1,9}(\.\d{0,9})?")


class NamedLimit(typing.NamedTuple):
    """What the head of one answer says of its target's limit."""

    is_named: bool
    """False when the answer names no limit."""
    per_s: typing.Optional[float]
    """Requests a second that the target takes from all entries together; None
    when no limit is named, or none that can be read."""


UNNAMED: typing.Final = NamedLimit(False, None)
"""The answer names no limit, so the target has none."""
UNREADABLE: typing.Final = NamedLimit(True, None)
"""The answer names something that is no limit, which says nothing."""


def read_named_limit(values: abc.Sequence[bytes]) -> NamedLimit:
    """Return the limit in the values of an answer's header.

    Of several values the lowest counts, as any of them may be meant.

    >>> read_named_limit([b"2.5, 4"])
    NamedLimit(is_named=True, per_s=2.5)
    >>> read_named_limit([b"inf"]) == UNREADABLE
    True
    """
    if not values:
        return UNNAMED
    readable = [
        float(part)
        for part in (item.strip() for item in b",".join(values).split(b","))
        if _DECIMAL_PATTERN.fullmatch(part)
    ]
    return NamedLimit(True, min(readable)) if readable else UNREADABLE


HandleLimit = abc.Callable[[NamedLimit, float], None]
"""Called with what an answer names, and the time on trio's clock at which its
request was sent."""


def ignore_limit(named: NamedLimit, asked_at: float) -> None:
    """Do nothing with a limit."""


def read_header_limit(
    headers: abc.Iterable[tuple[bytes, bytes]],
) -> NamedLimit:
    """Return the limit in an answer of the own interface."""
    return read_named_limit(
        [value for name, value in headers if name.lower() == HEADER]
    )

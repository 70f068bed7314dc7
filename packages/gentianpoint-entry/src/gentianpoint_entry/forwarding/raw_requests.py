"""A caller's request as it was read from its connection."""

from collections import abc
import typing

__all__ = ("RawRequest",)


class RawRequest(typing.NamedTuple):
    """A request as it was read from a caller's connection."""

    method: bytes
    """HTTP method."""
    target: bytes
    """Path and query, byte for byte as received."""
    headers: abc.Sequence[tuple[bytes, bytes]]
    """Headers; names in lower case."""
    body: bytes
    """The complete body, without transfer encoding."""
    received_at: float
    """Trio time in seconds at which the request's head had been read."""

"""Decides whether a target may go on with a stream that has events already.

Targets of several software versions may serve side by side, and what two
versions write does not fit together. So a stream goes on only at the version
that brought its first event. A version that is not known is no version: such
a target goes on with nothing but the streams that it began itself.

Every way by which a stream goes on asks :func:`may_go_on`: a second try, a
copy of its memory, a planned move, and a caller that takes it up.
"""

import typing

__all__ = ("StreamOrigin", "may_go_on")


class StreamOrigin(typing.NamedTuple):
    """The start of a target that began a stream, or that may go on with it."""

    service: str
    """Service of the target."""
    start: str
    """Identifies the start; empty if only the version is known."""
    software: str
    """Version of its software; empty if it is not known."""


def may_go_on(
    origin: typing.Optional[StreamOrigin], here: StreamOrigin
) -> bool:
    """Tell whether the start ``here`` may go on with a stream.

    ``origin`` began it, None for a stream that has no event yet.

    >>> first = StreamOrigin("service", "a/1", "v1")
    >>> may_go_on(first, StreamOrigin("service", "b/1", "v1"))
    True
    >>> may_go_on(first, StreamOrigin("service", "a/1", "v2"))
    False
    """
    if origin is None:
        return True
    if origin.service != here.service:
        return False
    if origin.software and here.software:
        return origin.software == here.software
    return bool(origin.start) and origin.start == here.start

"""The kinds of request that a soak's callers send."""

import typing
import zlib

__all__ = (
    "ENGINES",
    "HOST",
    "KINDS",
    "PLAIN",
    "RequestKind",
    "compute_exit_status",
    "count_events",
    "find_fatal_content",
    "find_kind",
    "find_most_events",
    "is_part_content",
    "make_fatal_id",
    "make_part_content",
)

HOST: typing.Final = "soak.example"
ENGINES: typing.Final = "engines"
"""Service whose targets generate streams."""
PLAIN: typing.Final = "plain"
"""Service whose targets answer plain calls."""
_FATAL: typing.Final = "fatal"
_PART: typing.Final = "part."
_FATAL_EVENTS: typing.Final = 20
_FIRST_STATUS: typing.Final = 20
_STATUSES: typing.Final = 200


class RequestKind(typing.NamedTuple):
    """A kind of request, and the route that it has."""

    name: str
    """Name, which is also the first part of its path."""
    service: str
    """Service that answers."""
    wire_kind: str
    """Kind as the platform's configuration spells it."""
    may_run_again: bool
    """True when it may run more than once."""
    is_stream: bool
    """True when its answer is a stream of events."""
    deadline_ms: int
    """Time that its caller waits."""
    max_attempts: int
    """Targets that one request may be sent to."""
    most_events: tuple[int, ...] = (1,)
    """Bounds on the events of its streams, of which each has one."""


KINDS: typing.Final = (
    RequestKind(
        "report", ENGINES, "streaming", False, True, 12000, 1, (20, 60, 200)
    ),
    RequestKind("tag", ENGINES, "streaming", True, True, 6000, 2, (20, 60)),
    RequestKind("lookup", PLAIN, "non_idempotent", False, False, 1500, 2),
    RequestKind("status", PLAIN, "idempotent", True, False, 1500, 2),
)


def find_kind(request_id: str) -> typing.Optional[RequestKind]:
    """Return the kind of a request, by its identifier; None for probes."""
    name = request_id.partition("-")[0]
    return next((kind for kind in KINDS if kind.name == name), None)


def find_most_events(request_id: str) -> int:
    """Return the bound on a stream's events that its caller gives."""
    return int(request_id.split("-")[1])


def count_events(request_id: str) -> int:
    """Return the events of a stream, which follow from its identifier.

    >>> count_events("tag-20-a") == count_events("tag-20-a")
    True
    """
    return 1 + zlib.crc32(request_id.encode()) % find_most_events(request_id)


def make_fatal_id(kind: RequestKind, content: str, attempt: str) -> str:
    """Return the identifier of a request that ends each target that runs it.

    Attempts at the same ``content`` differ in their identifiers only.
    """
    return f"{kind.name}-{_FATAL_EVENTS}-{_FATAL}-{content}-{attempt}"


def make_part_content(name: str) -> str:
    """Return the content of requests that share a part which ends targets.

    No two of these requests are alike otherwise.
    """
    return f"{_PART}{name}"


def is_part_content(content: str) -> bool:
    """Tell whether requests of this content share only a part.

    >>> is_part_content(find_fatal_content("tag-20-fatal-part.3-a"))
    True
    """
    return _PART in content


def find_fatal_content(request_id: str) -> str:
    """Return the content of such a request, empty for all others.

    >>> find_fatal_content("tag-20-fatal-3-a")
    'tag-3'
    """
    parts = request_id.split("-")
    if len(parts) < 4 or parts[2] != _FATAL:
        return ""
    return f"{parts[0]}-{parts[3]}"


def compute_exit_status(content: str) -> int:
    """Return the exit status of a target that ended under ``content``."""
    return _FIRST_STATUS + zlib.crc32(content.encode()) % _STATUSES

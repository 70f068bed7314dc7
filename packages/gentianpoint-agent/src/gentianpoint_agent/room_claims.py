"""Reads claims of room from datagrams, and makes and logs the replies.

What is granted is decided in ``room_book``.
"""

import collections
from collections import abc
import math
import typing

from gentianpoint_core import codec
from gentianpoint_core import logs
from gentianpoint_core.decisions import room_book
from gentianpoint_core.generated import events

__all__ = (
    "UNKNOWN_MS",
    "RoomLog",
    "RoomReply",
    "find_delay_ms",
    "make_claim",
    "make_message",
)

UNKNOWN_MS: typing.Final = -1
"""Stands in replies for a time that is not known."""
_MAX_NUMBER: typing.Final = 1 << 32
"""Largest number of a claim; anyone can send datagrams, and arithmetic with
larger ones can fail."""
_CLAIM_LOG_INTERVAL_S: typing.Final = 1.0
"""Least time between two log lines on claims that were refused, in seconds.
Under load an engine may refuse some hundred claims a second."""
_LEASE_LOG_INTERVAL_S: typing.Final = 10.0
"""Least time between two log lines on leases that expired, in seconds."""


class RoomReply(typing.NamedTuple):
    """Reply to a claim of room."""

    is_granted: bool
    """True if the room is leased to the request."""
    opens_in_ms: int
    """Time until room is expected, in milliseconds; -1 if not known."""
    state: codec.MessageMap
    """Message with the engine's status."""


def find_delay_ms(at: typing.Optional[float], now: float) -> int:
    """Return the milliseconds until a time in seconds; -1 for None.

    >>> find_delay_ms(10.25, 10.0), find_delay_ms(None, 10.0)
    (250, -1)
    """
    return UNKNOWN_MS if at is None else max(0, round((at - now) * 1000))


def make_claim(message: codec.MessageMap) -> room_book.RoomClaim:
    """Return the claim in a message ``room_wanted``."""
    return room_book.RoomClaim(
        message["request"],
        min(message["prompt_tokens"], _MAX_NUMBER),
        min(message["most_tokens"], _MAX_NUMBER),
        min(message["event_tokens"], _MAX_NUMBER),
        min(message["slots"], _MAX_NUMBER),
        message["urgency"],
    )


def make_message(
    claim: int, reply: RoomReply, target: str
) -> abc.Mapping[str, typing.Any]:
    """Return the message ``room_found`` for a claim's number.

    ``target`` is the identifier of the engine's start, empty if unknown.
    """
    message: dict[str, typing.Any] = {
        "type": "room_found",
        "claim": claim,
        "granted": reply.is_granted,
        "opens_in_ms": reply.opens_in_ms,
        "state": reply.state,
    }
    if target:
        message["target"] = target
    return message


class RoomLog:
    """Counts claims and leases, and logs the counts from time to time."""

    def __init__(self, book: room_book.RoomBook) -> None:
        """Log the counts of ``book``."""
        self._book: typing.Final = book
        self._granted = 0
        self._refused: collections.Counter[str] = collections.Counter()
        self._expired = 0
        self._opens_in_ms = UNKNOWN_MS
        self._claims_logged_at = -math.inf
        self._leases_logged_at = -math.inf

    def note_refused(self, opens_in_ms: int) -> None:
        """Keep when the last claim that was refused expects room."""
        self._opens_in_ms = opens_in_ms

    def write_due(self, now: float) -> None:
        """Log what has come together, unless that was done a moment ago."""
        counts = self._book.take_counts()
        self._granted += counts.granted
        self._refused.update(counts.refused)
        self._expired += counts.expired
        if self._refused and now >= (
            self._claims_logged_at + _CLAIM_LOG_INTERVAL_S
        ):
            logs.log_event(
                events.ROOM_CLAIMS_REFUSED,
                refused=dict(self._refused),
                granted=self._granted,
                leases=self._book.count_leases(),
                forecast_tokens=self._book.find_peak(),
                opens_in_ms=self._opens_in_ms,
            )
            self._claims_logged_at = now
            self._refused.clear()
            self._granted = 0
        if self._expired and now >= (
            self._leases_logged_at + _LEASE_LOG_INTERVAL_S
        ):
            logs.log_event(events.ROOM_LEASES_EXPIRED, count=self._expired)
            self._leases_logged_at = now
            self._expired = 0

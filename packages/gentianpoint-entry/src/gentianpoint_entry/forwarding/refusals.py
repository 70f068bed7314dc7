"""Final answers that the system gives itself.

Each is given as soon as it is known. Only what surely has not run, and never
will, is answered with a status that says so, and then with the time to come
back; what may have run is answered with one that promises nothing.
"""

import random
import typing

__all__ = (
    "BAD_GATEWAY",
    "UNAUTHORIZED",
    "GATEWAY_TIMEOUT",
    "NOT_FOUND",
    "NOT_RUN",
    "Refusal",
    "choose_retry_after_ms",
    "refuse_not_run",
    "refuse_outcome_unknown",
    "refuse_timeout",
)

NOT_RUN: typing.Final = 503
BAD_GATEWAY: typing.Final = 502
GATEWAY_TIMEOUT: typing.Final = 504
NOT_FOUND: typing.Final = 404
UNAUTHORIZED: typing.Final = 401

_SHORTEST_RETRY_MS: typing.Final = 150.0
"""Callers that come back sooner meet what refused them."""
_LONGEST_RETRY_MS: typing.Final = 2500.0
"""Load and faults change within seconds; later than this nobody knows,
unless a refusal says so."""
_SPREAD: typing.Final = 0.5
"""Share by which the times given out differ, so that callers that were
refused together do not come back together."""


class Refusal(typing.NamedTuple):
    """A final answer without a target's."""

    status: int
    """HTTP status."""
    reason: str
    """Sentence for people."""
    retry_after_ms: float
    """When to come back; 0 for nothing said."""
    longest_retry_ms: float = _LONGEST_RETRY_MS
    """Most by which the time to come back may be put off."""


def choose_retry_after_ms(
    refusal: Refusal, left_ms: float, source: random.Random
) -> float:
    """Return when a caller may come back with a chance.

    ``left_ms`` is what the caller has left: callers follow the time only up
    to a third of that.
    """
    base = max(refusal.retry_after_ms, _SHORTEST_RETRY_MS)
    base = min(base, refusal.longest_retry_ms)
    base *= 1 + _SPREAD * source.random()
    return min(base, max(1.0, left_ms / 3))


def refuse_not_run(reason: str, retry_after_ms: float) -> Refusal:
    """Refuse what has not run and never will."""
    return Refusal(NOT_RUN, reason, retry_after_ms)


def refuse_outcome_unknown(reason: str) -> Refusal:
    """Give up what may have run."""
    return Refusal(BAD_GATEWAY, reason, 0)


def refuse_timeout(reason: str) -> Refusal:
    """Give up what got no answer in its time and may have run."""
    return Refusal(GATEWAY_TIMEOUT, reason, 0)

"""Final answers that the entry gives itself, in place of a target.

Each is given as soon as it is known. Only a request that has certainly not
run, and never will, is answered with a status that says so, and with the time
to come back. One that may have run is answered with a status that promises
nothing.
"""

import random
import typing

__all__ = (
    "BAD_GATEWAY",
    "GATEWAY_TIMEOUT",
    "NOT_FOUND",
    "NOT_RUN",
    "Refusal",
    "UNAUTHORIZED",
    "choose_retry_after_ms",
    "refuse_for_good",
    "refuse_not_run",
    "refuse_outcome_unknown",
    "refuse_timeout",
)

NOT_RUN: typing.Final = 503
"""Status for a request that has not run and never will."""
BAD_GATEWAY: typing.Final = 502
"""Status for a request that may have run and whose answer was lost."""
GATEWAY_TIMEOUT: typing.Final = 504
"""Status for a request that got no answer in time and may have run."""
NOT_FOUND: typing.Final = 404
UNAUTHORIZED: typing.Final = 401

_MIN_RETRY_MS: typing.Final = 150.0
"""Least time, in milliseconds, after which callers are told to come back.
Sooner, they would be refused for the same reason."""
_MAX_RETRY_MS: typing.Final = 2500.0
"""Longest time, in milliseconds, after which callers are told to come back,
unless a refusal says otherwise. Load and faults change within seconds and
cannot be predicted for longer."""
_JITTER: typing.Final = 0.5
"""Share by which the times given out differ, so that callers that were refused
together do not come back together."""


class Refusal(typing.NamedTuple):
    """A final answer that no target gave."""

    status: int
    """HTTP status."""
    reason: str
    """Explanation for people."""
    retry_after_ms: float
    """Milliseconds after which to come back; 0 if not said."""
    max_retry_after_ms: float = _MAX_RETRY_MS
    """Longest time, in milliseconds, after which the caller may be told to
    come back, before jitter."""


def choose_retry_after_ms(
    refusal: Refusal, left_ms: float, rng: random.Random
) -> float:
    """Return in how many milliseconds a caller should come back.

    ``left_ms`` is the time that the caller has left; callers wait for up to a
    third of that.
    """
    base = max(refusal.retry_after_ms, _MIN_RETRY_MS)
    base = min(base, refusal.max_retry_after_ms)
    base *= 1 + _JITTER * rng.random()
    return min(base, max(1.0, left_ms / 3))


def refuse_not_run(reason: str, retry_after_ms: float) -> Refusal:
    """Refuse a request that has not run and never will."""
    return Refusal(NOT_RUN, reason, retry_after_ms)


def refuse_for_good(reason: str) -> Refusal:
    """Refuse a request that has not run, and need not come back."""
    return Refusal(NOT_RUN, reason, 0, max_retry_after_ms=0.0)


def refuse_outcome_unknown(reason: str) -> Refusal:
    """Give up a request that may have run."""
    return Refusal(BAD_GATEWAY, reason, 0)


def refuse_timeout(reason: str) -> Refusal:
    """Give up a request that got no answer in time and may have run."""
    return Refusal(GATEWAY_TIMEOUT, reason, 0)

"""How long a waiting call will wait, and when a refused one may return."""

import math
import typing

__all__ = ("DrainRate",)

_FIRST_HOLD_MS: typing.Final = 1000.0
_SHARE: typing.Final = 0.05
_FEWEST_CALLS: typing.Final = 4
_REMEMBERED_MS: typing.Final = 10_000.0
_LEAST_RETRY_MS: typing.Final = 100
_LONGEST_RETRY_MS: typing.Final = 60_000


class DrainRate:
    """The rate at which running calls make room for others.

    By Little's law, places become free every mean holding time divided by
    the number of running calls. Unlike the time between two releases, this
    doesn't take a quiet hour for a slow engine.

    How many run right now says little: admission starts with a few, and
    stops starting for a moment after a preemption. Taken alone it predicts
    waits that are several times too long, and calls are refused that would
    have been served in time; callers notice refusals while targets have
    room. So the number that usually runs counts as well, and the first few
    calls tell nothing.
    """

    def __init__(self) -> None:
        """Expect calls to run for a second."""
        self._hold_ms = _FIRST_HOLD_MS
        self._calls = 0
        self._running = 0
        self._usual_running = 0.0
        self._changed_ms = 0.0

    def note_release(self, held_ms: float) -> None:
        """Learn from a call that ran for ``held_ms`` milliseconds."""
        self._calls += 1
        share = max(_SHARE, 1 / self._calls)
        self._hold_ms += share * (held_ms - self._hold_ms)

    def note_running(self, running: int, now_ms: float) -> None:
        """Learn how many calls run from now on."""
        lasted_ms = now_ms - self._changed_ms
        share = -math.expm1(-lasted_ms / _REMEMBERED_MS)
        self._usual_running += share * (self._running - self._usual_running)
        self._running = running
        self._changed_ms = now_ms

    def is_known(self) -> bool:
        """Tell whether enough calls have ended to refuse others by it."""
        return self._calls >= _FEWEST_CALLS

    def predict_wait_ms(self, ahead: int) -> float:
        """Return the wait of a call with ``ahead`` calls before it.

        A long answer alone in the engine makes few calls run for a moment.
        Taken for the usual, they would have the rest of the queue refused,
        and told to come back after minutes, just before it moves on.
        """
        running = max(1.0, self._running, self._usual_running)
        return (ahead + 1) * self._hold_ms / running

    def find_retry_after_ms(self, excess_ms: float) -> int:
        """Return when to come back if the wait is too long by so much."""
        rounded = math.ceil(excess_ms)
        return min(max(rounded, _LEAST_RETRY_MS), _LONGEST_RETRY_MS)

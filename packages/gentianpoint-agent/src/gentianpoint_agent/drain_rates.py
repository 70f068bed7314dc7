"""Predicts how long a waiting call waits, and sets retry delays."""

import math
import typing

__all__ = ("DrainRate",)

_INITIAL_HOLD_MS: typing.Final = 1000.0
"""Assumed time that a call holds its slot at first, milliseconds."""
_MIN_SMOOTHING: typing.Final = 0.05
"""Minimum weight of a new call in the mean holding time."""
_MIN_CALLS: typing.Final = 4
"""Number of ended calls from which on predictions are used for refusals."""
_RUNNING_TIME_CONSTANT_MS: typing.Final = 10_000.0
"""Time constant of the average number of running calls, milliseconds."""
_MIN_RETRY_MS: typing.Final = 100
"""Shortest retry delay, milliseconds."""
_MAX_RETRY_MS: typing.Final = 60_000
"""Longest retry delay, milliseconds."""


class DrainRate:
    """The rate at which running calls release slots.

    By Little's law, a slot is released every mean holding time divided by
    the number of running calls. Unlike the time between two releases, this
    doesn't mistake a period with few calls for a slow engine.

    The number of calls running right now is not enough: admission starts a
    few at first, and none for a moment after a preemption. Alone it would
    predict waits that are several times too long, and calls that could have
    been served in time would be refused although the target has room. So the
    average number of running calls counts as well, and nothing is predicted
    from the first few calls.
    """

    def __init__(self) -> None:
        """Assume that calls run for a second."""
        self._hold_ms = _INITIAL_HOLD_MS
        self._calls = 0
        self._running = 0
        self._average_running = 0.0
        self._changed_ms = 0.0

    def note_release(self, held_ms: float) -> None:
        """Learn from a call that ran for ``held_ms`` milliseconds."""
        self._calls += 1
        share = max(_MIN_SMOOTHING, 1 / self._calls)
        self._hold_ms += share * (held_ms - self._hold_ms)

    def note_running(self, running: int, now_ms: float) -> None:
        """Record the number of calls running from now on."""
        elapsed_ms = now_ms - self._changed_ms
        share = -math.expm1(-elapsed_ms / _RUNNING_TIME_CONSTANT_MS)
        self._average_running += share * (
            self._running - self._average_running
        )
        self._running = running
        self._changed_ms = now_ms

    def is_known(self) -> bool:
        """Return whether enough calls have ended to refuse others by it."""
        return self._calls >= _MIN_CALLS

    def predict_wait_ms(self, ahead: int) -> float:
        """Return the wait of a call with ``ahead`` calls before it.

        While a long answer has the engine to itself, few calls run for a
        moment. Taken as the usual number, they would have the rest of the
        queue refused with retry delays of minutes, just before it moves on.
        """
        running = max(1.0, self._running, self._average_running)
        return (ahead + 1) * self._hold_ms / running

    def find_retry_after_ms(self, excess_ms: float) -> int:
        """Return the retry delay if the wait is too long by ``excess_ms``."""
        rounded = math.ceil(excess_ms)
        return min(max(rounded, _MIN_RETRY_MS), _MAX_RETRY_MS)

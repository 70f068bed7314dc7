"""How long a waiting call will wait, and when a refused one may return."""

import math
import typing

__all__ = ("DrainRate",)

_FIRST_HOLD_MS: typing.Final = 1000.0
_SHARE: typing.Final = 0.05
_LEAST_RETRY_MS: typing.Final = 100
_LONGEST_RETRY_MS: typing.Final = 60_000


class DrainRate:
    """The rate at which running calls make room for others.

    By Little's law, places become free every mean holding time divided by
    the number of running calls. Unlike the time between two releases, this
    doesn't take a quiet hour for a slow engine.
    """

    def __init__(self) -> None:
        """Expect calls to run for a second."""
        self._hold_ms = _FIRST_HOLD_MS
        self._calls = 0

    def note_release(self, held_ms: float) -> None:
        """Learn from a call that ran for ``held_ms`` milliseconds."""
        self._calls += 1
        share = max(_SHARE, 1 / self._calls)
        self._hold_ms += share * (held_ms - self._hold_ms)

    def is_known(self) -> bool:
        """Tell whether any call has ended yet."""
        return self._calls > 0

    def predict_wait_ms(self, ahead: int, running: int) -> float:
        """Return the wait of a call with ``ahead`` calls before it."""
        return (ahead + 1) * self._hold_ms / max(1, running)

    def find_retry_after_ms(self, excess_ms: float) -> int:
        """Return when to come back if the wait is too long by so much."""
        rounded = math.ceil(excess_ms)
        return min(max(rounded, _LEAST_RETRY_MS), _LONGEST_RETRY_MS)

"""Tells whether more connections come to an entry than usually do.

A load balancer that prefers an entry brings it many times the connections that
it had. Where all entries are short of time, each gets about what it had.
"""

import math
import typing

__all__ = ("ConnectionRates",)

_RECENT_S: typing.Final = 1.0
"""Seconds over which the present rate is taken."""
_USUAL_S: typing.Final = 30.0
"""Seconds over which the usual rate is taken."""
_LEAST_AGE_S: typing.Final = 5.0
"""Seconds after the first connection from which a usual rate is known."""
_PRESSED_FACTOR: typing.Final = 3.0
"""Multiple of the usual rate from which on more come than usually do."""


class ConnectionRates:
    """The rates at which connections come, recent ones weighing more."""

    def __init__(self) -> None:
        """Start without a connection."""
        self._first_at: typing.Optional[float] = None
        self._last_at = 0.0
        # Connections, each weighing less the longer it is ago.
        self._recent = 0.0
        self._usual = 0.0

    def note_connection(self, now: float) -> None:
        """Count a connection that comes at ``now``, in seconds."""
        if self._first_at is None:
            self._first_at = self._last_at = now
        passed_s = now - self._last_at
        self._recent = self._recent * math.exp(-passed_s / _RECENT_S) + 1
        self._usual = self._usual * math.exp(-passed_s / _USUAL_S) + 1
        self._last_at = now

    def are_raised(self) -> bool:
        """Tell whether several times more connections come than usually do.

        Not until it is known how many usually do.
        """
        if self._first_at is None:
            return False
        age_s = self._last_at - self._first_at
        if age_s < _LEAST_AGE_S:
            return False
        covered_s = _USUAL_S * (1 - math.exp(-age_s / _USUAL_S))
        usual_per_s = self._usual / covered_s
        return self._recent / _RECENT_S >= _PRESSED_FACTOR * usual_per_s

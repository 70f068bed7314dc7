"""Tells whether more connections come to an entry than usually do.

A load balancer that prefers an entry brings it many times the connections that
it had. Where all entries are short of time, each gets about what it had.
"""

import collections
import typing

__all__ = ("ConnectionRates",)

_RECENT_S: typing.Final = 5
"""Seconds whose connections are not taken for usual ones yet."""
_USUAL_S: typing.Final = 30
"""Seconds before those over which the usual rate is taken."""
_LEAST_KNOWN_S: typing.Final = 3
"""Seconds from which on a usual rate is known."""
_RAISED_FACTOR: typing.Final = 2.5
"""Multiple of the usual rate from which on more come than usually do."""


class ConnectionRates:
    """Counts the connections of each second."""

    def __init__(self) -> None:
        """Start without a connection."""
        self._first_second: typing.Optional[int] = None
        self._counts: typing.Final[dict[int, int]] = collections.defaultdict(
            int
        )

    def note_connection(self, now: float) -> None:
        """Count a connection that comes at ``now``, in seconds."""
        second = int(now)
        if self._first_second is None:
            self._first_second = second
        if second not in self._counts:
            self._forget_before(second - _RECENT_S - _USUAL_S)
        self._counts[second] += 1

    def are_raised(self, now: float) -> bool:
        """Tell whether several times more connections come than usually do.

        Not until it is known how many usually do.
        """
        if self._first_second is None:
            return False
        second = int(now)
        ends = second - _RECENT_S
        begins = max(self._first_second, ends - _USUAL_S)
        if ends - begins < _LEAST_KNOWN_S:
            return False
        usual = sum(self._counts.get(at, 0) for at in range(begins, ends))
        # The present second has just begun at times.
        recent = max(
            self._counts.get(second, 0), self._counts.get(second - 1, 0)
        )
        return recent >= _RAISED_FACTOR * usual / (ends - begins)

    def _forget_before(self, second: int) -> None:
        for at in [at for at in self._counts if at < second]:
            del self._counts[at]

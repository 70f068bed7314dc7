"""Deadlines: points in time on the monotonic clock of this process.

Hosts' clocks differ, so messages never carry a point in time. The sender
sends the remaining time in milliseconds, and the receiver converts it to a
deadline on arrival. The clock is trio's, which never jumps. It continues
while the process is stopped, so deadlines expire during a pause too.
"""

import math
import typing

import trio

__all__ = (
    "NEVER",
    "NO_DEADLINE",
    "Deadline",
    "make_deadline",
    "measure_ms_since",
    "read_clock_ms",
)


class Deadline(typing.NamedTuple):
    """A point in time on trio's clock."""

    at: float
    """Seconds on the clock of :func:`trio.current_time`."""

    def is_past(self) -> bool:
        """Return whether the deadline has been reached."""
        return trio.current_time() >= self.at

    def remaining_ms(self) -> int:
        """Return the milliseconds left, or 0 if the deadline has passed.

        Also returns 0 for a deadline at infinity, since 0 stands for no limit
        in messages; check :meth:`is_limited` first.
        """
        if math.isinf(self.at):
            return 0
        return max(0, int((self.at - trio.current_time()) * 1000))

    def is_limited(self) -> bool:
        """Return whether the deadline is finite."""
        return not math.isinf(self.at)

    def earlier(self, other: "Deadline") -> "Deadline":
        """Return the earlier of two deadlines."""
        return self if self.at <= other.at else other


NEVER: typing.Final = -math.inf
"""Time on trio's clock that stands for an event that has not occurred."""
NO_DEADLINE: typing.Final = Deadline(math.inf)
"""A deadline that never expires."""


def make_deadline(within_ms: float) -> Deadline:
    """Return the deadline ``within_ms`` milliseconds from now."""
    return Deadline(trio.current_time() + within_ms / 1000)


def read_clock_ms() -> float:
    """Return the current time of the deadline clock in milliseconds."""
    return trio.current_time() * 1000


def measure_ms_since(moment: float) -> int:
    """Return the milliseconds since ``moment``, -1 for :data:`NEVER`."""
    if math.isinf(moment):
        return -1
    return round((trio.current_time() - moment) * 1000)

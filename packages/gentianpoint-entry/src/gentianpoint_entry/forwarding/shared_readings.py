"""Decides which entry polls a topic of the log next.

Calls to the log are priced and limited, and if every entry polled it, they
would grow with the number of entries. One poll is enough for all if entries
pass on what it returned. So each entry postpones its next poll for as long as
it hears, in time, how far the topic was read. The entry of the lowest rank
polls without waiting. Those of higher ranks wait a little longer each, and
take over once they hear nothing, whatever the reason: the reader stopped, is
frozen or cut off, or is rejected by the log. This needs no lease, since a
second poll does no harm, and an entry that hears nothing polls for itself.
"""

from collections import abc
import typing

from gentianpoint_core import deadlines

__all__ = ("PollSchedule", "get_sole_rank")

_RANK_STEP_SHARE: typing.Final = 0.03
"""Part of the maximum lag by which an entry waits longer than the one ranked
before it. This is far more than gossip takes between two entries."""
_MAX_RANK_DELAY_SHARE: typing.Final = 0.15
"""Part of the maximum lag by which an entry waits, at most, longer than the
first. Of the entries that reach this limit, the one that wakes first polls."""


def get_sole_rank() -> int:
    """Return the rank of an entry that polls for itself alone."""
    return 0


class PollSchedule:
    """When this entry has to poll a topic itself."""

    def __init__(
        self,
        max_lag_s: float,
        cycle_s: float,
        get_rank: abc.Callable[[], int] = get_sole_rank,
    ) -> None:
        """Expect to hear of a poll of the topic every ``cycle_s`` seconds.

        A record must be here ``max_lag_s`` seconds after it was written;
        ``get_rank`` returns the number of entries whose turn comes before
        this one's.
        """
        self._rank_step_s: typing.Final = max_lag_s * _RANK_STEP_SHARE
        self._max_delay_s: typing.Final = max_lag_s * _MAX_RANK_DELAY_SHARE
        self._cycle_s: typing.Final = cycle_s
        self._get_rank: typing.Final = get_rank
        self.confirmed_at = deadlines.NEVER

    def is_primary_reader(self) -> bool:
        """Tell whether this entry polls without waiting for others."""
        return self._get_rank() == 0

    def confirm(self, at: float) -> None:
        """Note that this entry's copy of the topic was complete at ``at``."""
        self.confirmed_at = max(self.confirmed_at, at)

    def find_next_poll(self) -> deadlines.Deadline:
        """Return when this entry has to poll; the past for the first one."""
        rank = self._get_rank()
        if rank == 0:
            return deadlines.Deadline(deadlines.NEVER)
        delay_s = min(self._max_delay_s, rank * self._rank_step_s)
        return deadlines.Deadline(self.confirmed_at + self._cycle_s + delay_s)

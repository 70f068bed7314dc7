"""Rate limit on an entry's appends of key claims to the log."""

import typing

from gentianpoint_core import deadlines
from gentianpoint_entry import live_hosts

__all__ = ("ClaimRateLimiter",)

_APPENDS_PER_S: typing.Final = 200
"""Claims that all entries together append per second."""
_BURST_APPENDS: typing.Final = 20
"""Capacity of an entry's token bucket, in claims."""
_MS_IN_S: typing.Final = 1000


class ClaimRateLimiter:
    """Token bucket that keeps key claims from using up the log's rate limit.

    Without it, a customer who sends a key with every call could make the log
    refuse operators' changes, which would then be applied too late. All
    entries together append 200 claims per second, plus short bursts.
    """

    def __init__(self, hosts: live_hosts.LiveHosts) -> None:
        """Divide the rate among the live entries of ``hosts``."""
        self._hosts: typing.Final = hosts
        self._tokens = float(_BURST_APPENDS)
        self._refilled_at_ms = deadlines.read_clock_ms()

    def try_acquire(self) -> bool:
        """Use up one append; False when the limit is reached."""
        now_ms = deadlines.read_clock_ms()
        refill = (
            (now_ms - self._refilled_at_ms) / _MS_IN_S * self._compute_rate()
        )
        self._tokens = min(_BURST_APPENDS, self._tokens + refill)
        self._refilled_at_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _compute_rate(self) -> float:
        return _APPENDS_PER_S / self._hosts.count_entries()

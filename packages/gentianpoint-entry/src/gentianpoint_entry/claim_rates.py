"""An entry's share of the log's rate for claims on keys."""

import typing

from gentianpoint_core import deadlines
from gentianpoint_entry import live_hosts

__all__ = ("ClaimRateLimiter",)

_APPENDS_PER_S: typing.Final = 200
_MOST_SAVED: typing.Final = 20
_MS_IN_S: typing.Final = 1000


class ClaimRateLimiter:
    """Bounds claims, so that keyed calls can't use up the log's rate.

    Without it a customer who sends a key with every call would have the log
    refuse operators' changes, which would no longer take hold in time. All
    entries together append 200 claims a second, and short bursts beyond.
    """

    def __init__(self, hosts: live_hosts.LiveHosts) -> None:
        """Share the rate among the entries of ``hosts``."""
        self._hosts: typing.Final = hosts
        self._saved = float(_MOST_SAVED)
        self._filled_at = deadlines.read_clock_ms()

    def take(self) -> bool:
        """Take one append if there is one, and tell whether there was."""
        now = deadlines.read_clock_ms()
        gained = (now - self._filled_at) / _MS_IN_S * self._read_share()
        self._saved = min(_MOST_SAVED, self._saved + gained)
        self._filled_at = now
        if self._saved < 1:
            return False
        self._saved -= 1
        return True

    def _read_share(self) -> float:
        return _APPENDS_PER_S / self._hosts.count_entries()

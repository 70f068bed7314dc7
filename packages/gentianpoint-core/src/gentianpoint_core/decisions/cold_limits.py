"""Decides which entry may send a request to a target that is cold.

The load: the targets of a data centre come back together, or one is added, and
all entries see an empty target at the same moment. A cold target bears a few
requests a second from all entries together and ends under many more. Entries
can't ask each other before each request, so the limit is divided: every entry
computes the same shares from the members that it knows, by a hash of the
target and the member. The shares are whole requests in any second and add up
to the limit. An entry without a share leaves the target to others while it is
cold; as the hash differs between targets, each entry has a share of some.
"""

import collections
from collections import abc
import math
import typing

from gentianpoint_core.decisions import ranking

__all__ = ("ColdLimits", "compute_share")

_WINDOW_S: typing.Final = 1.0
"""Length in seconds of the sliding window that the limit holds for."""
_MAX_KEPT_SHARES: typing.Final = 4096
"""Computed shares that are kept."""


def compute_share(
    key: str, own: str, members: abc.Collection[str], limit_per_s: float
) -> int:
    """Return how many requests of each second are this member's.

    Over all ``members`` the shares add up to ``limit_per_s``, rounded down,
    but to at least one. 0 if ``own`` is not among them.

    >>> [compute_share("t", name, ("a", "b"), 5.0) for name in ("a", "b")]
    [2, 3]
    """
    if own not in members:
        return 0
    whole = max(1, math.floor(limit_per_s))
    share, rest = divmod(whole, len(members))
    if not rest:
        return share
    rank = ranking.rank_members(key, members).index(own)
    return share + (rank < rest)


class ColdLimits:
    """What this entry has sent to cold targets, and may still send."""

    def __init__(
        self, own: str, list_members: abc.Callable[[], frozenset[str]]
    ) -> None:
        """Share as ``own`` among what ``list_members()`` returns.

        That is empty while this entry does not know the others yet. Then it
        sends nothing to cold targets, as what it may send depends on them.
        """
        self._own: typing.Final = own
        self._list_members: typing.Final = list_members
        self._sent: typing.Final[dict[str, collections.deque[float]]] = {}
        self._members: frozenset[str] = frozenset()
        self._shares: typing.Final[dict[tuple[str, float], int]] = {}

    def note_sent(self, target: str, now: float) -> None:
        """Count a request to a target, cold or not."""
        times = self._sent.setdefault(target, collections.deque())
        _drop_old(times, now)
        times.append(now)

    def find_permitted_at(
        self, target: str, limit_per_s: float, now: float
    ) -> float:
        """Return from when on a request may be sent to a cold target.

        That is ``now`` or earlier if it may be sent at once, and infinity if
        this entry has no share.
        """
        share = self._find_share(target, limit_per_s)
        if not share:
            return math.inf
        times = self._sent.get(target)
        if times is None:
            return now
        _drop_old(times, now)
        if len(times) < share:
            return now
        return times[len(times) - share] + _WINDOW_S

    def forget_idle(self, now: float) -> None:
        """Forget targets to which nothing was sent lately."""
        for target, times in list(self._sent.items()):
            _drop_old(times, now)
            if not times:
                del self._sent[target]

    def _find_share(self, target: str, limit_per_s: float) -> int:
        members = self._list_members()
        if members != self._members or len(self._shares) > _MAX_KEPT_SHARES:
            self._members = members
            self._shares.clear()
        key = (target, limit_per_s)
        if key not in self._shares:
            self._shares[key] = compute_share(
                target, self._own, members, limit_per_s
            )
        return self._shares[key]


def _drop_old(times: collections.deque[float], now: float) -> None:
    while times and times[0] <= now - _WINDOW_S:
        times.popleft()

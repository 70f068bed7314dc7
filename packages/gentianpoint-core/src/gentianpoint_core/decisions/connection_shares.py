"""Decides how many idle connections to a target a process may keep.

The load: a target accepts a limited number of connections from all processes
together, and resets what comes beyond it. In a fleet with more processes than
that, one kept connection each is too many, and requests fail that come on a
new one. So the limit, less what requests in progress need, is divided into
whole connections by a hash of target and process. A process without a share
still opens connections, and closes them after their request.
"""

from collections import abc
import typing

from gentianpoint_core.decisions import ranking

__all__ = ("ConnectionShares",)

_IN_USE_PER_SLOT: typing.Final = 2
"""Connections for each slot that are left to requests in progress: one that
runs, and one that is refused or waits."""


class ConnectionShares:
    """One process's shares of the connections to targets."""

    def __init__(
        self, own: str, list_members: abc.Callable[[], frozenset[str]]
    ) -> None:
        """Share as ``own`` with the others that ``list_members`` names."""
        self._ranks: typing.Final = ranking.RankTable(own, list_members)

    def find_most_idle(self, key: str, limit: int, slots: int) -> int:
        """Return how many idle connections to a target may be kept.

        The target ``key`` accepts ``limit`` connections of all processes and
        runs ``slots`` requests at once. 0 while the others aren't known.
        """
        rank = self._ranks.find_rank(key)
        if rank is None:
            return 0
        kept = max(0, limit - _IN_USE_PER_SLOT * slots)
        share, rest = divmod(kept, self._ranks.count())
        return share + (rank < rest)

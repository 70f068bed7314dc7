"""Rendezvous hashing: agrees without messages on who does a shared task.

Every entry ranks all entries for a key by a hash of both. From the same
members all compute the same order, so the first few can do the task that the
key stands for, and the others leave it to them. Where it does no harm if one
more entry does the task, neither a lease nor an election is needed. A member
that joins or leaves does not change the order of the others.
"""

from collections import abc
import hashlib
import typing

__all__ = (
    "RankTable",
    "compute_weight",
    "hash_text",
    "is_among_first",
    "rank_members",
)

_DIGEST_BYTES: typing.Final = 8
_MAX_KEPT_RANKS: typing.Final = 4096
"""Ranks that are kept."""
_MAX_KEPT_ORDERS: typing.Final = 32
"""Orders of all members that are kept."""


def compute_weight(key: str, member: str) -> int:
    """Return the weight of a member for a key; the lowest ranks first."""
    return hash_text(f"{key}|{member}")


def hash_text(text: str) -> int:
    """Return a hash that is the same in all processes."""
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


def rank_members(key: str, members: abc.Iterable[str]) -> list[str]:
    """Return the members in the order of their ranks for ``key``.

    >>> rank_members("topic", ["10.0.0.1:80"])
    ['10.0.0.1:80']
    """
    return sorted(members, key=lambda member: compute_weight(key, member))


def is_among_first(
    member: str, key: str, members: abc.Iterable[str], count: int
) -> bool:
    """Tell whether a member is one of the first ``count`` for a key."""
    return member in rank_members(key, members)[:count]


class RankTable:
    """The ranks of one member, computed once for each key."""

    def __init__(
        self, own: str, list_members: abc.Callable[[], frozenset[str]]
    ) -> None:
        """Rank ``own`` among the members that ``list_members`` names."""
        self._own: typing.Final = own
        self._list_members: typing.Final = list_members
        self._members: frozenset[str] = frozenset()
        self._ranks: typing.Final[dict[str, int]] = {}
        self._orders: typing.Final[dict[str, abc.Sequence[str]]] = {}

    def find_rank(self, key: str) -> typing.Optional[int]:
        """Return the own rank for a key, None if it is not a member."""
        members = self._list_members()
        is_same = members is self._members or members == self._members
        if not is_same or len(self._ranks) > _MAX_KEPT_RANKS:
            self._members = members
            self._ranks.clear()
            self._orders.clear()
        if self._own not in members:
            return None
        if key not in self._ranks:
            order = rank_members(key, members)
            self._ranks[key] = order.index(self._own)
        return self._ranks[key]

    def list_order(self, key: str) -> abc.Sequence[str]:
        """Return the members in the order of a key's ranks, as last found."""
        if key not in self._orders:
            if len(self._orders) >= _MAX_KEPT_ORDERS:
                self._orders.clear()
            self._orders[key] = rank_members(key, self._members)
        return self._orders[key]

    def count(self) -> int:
        """Return how many members there were when a rank was last found."""
        return len(self._members)

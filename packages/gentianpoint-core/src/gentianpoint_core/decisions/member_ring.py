"""Consistent hashing: which members keep what belongs to a key.

Each member has some points on a ring, and a key belongs to the members that
follow it there. A member that joins or leaves changes the keys next to its
points only, so entries that know different members still find most of what
others keep.
"""

import bisect
from collections import abc
import typing

from gentianpoint_core.decisions import ranking

__all__ = ("MemberRing",)

_POINTS: typing.Final = 8
"""Points of each member; with more of them the shares are more even."""


class MemberRing:
    """The members on the ring.

    >>> MemberRing(["a"]).list_members("key", 3)
    ['a']
    """

    def __init__(self, members: abc.Iterable[str]) -> None:
        """Put ``members`` on the ring."""
        self._points: typing.Final = sorted(
            (ranking.compute_weight(str(number), member), member)
            for member in members
            for number in range(_POINTS)
        )

    def list_members(self, key: str, count: int) -> abc.Sequence[str]:
        """Return the first ``count`` members for a key, or all."""
        begin = bisect.bisect(self._points, (ranking.hash_text(key), ""))
        found: dict[str, None] = {}
        for number in range(len(self._points)):
            _, member = self._points[(begin + number) % len(self._points)]
            found[member] = None
            if len(found) == count:
                break
        return list(found)

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

__all__ = ("compute_weight", "rank_members")

_DIGEST_BYTES: typing.Final = 8


def compute_weight(key: str, member: str) -> int:
    """Return the weight of a member for a key; the lowest ranks first."""
    digest = hashlib.blake2b(
        f"{key}|{member}".encode(), digest_size=_DIGEST_BYTES
    )
    return int.from_bytes(digest.digest(), "big")


def rank_members(key: str, members: abc.Iterable[str]) -> list[str]:
    """Return the members in the order of their ranks for ``key``.

    >>> rank_members("topic", ["10.0.0.1:80"])
    ['10.0.0.1:80']
    """
    return sorted(members, key=lambda member: compute_weight(key, member))

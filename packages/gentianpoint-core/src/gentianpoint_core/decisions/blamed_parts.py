"""Decides which parts of prompts are to blame for the ends of targets.

When a target ends, parts of all prompts that it ran are there, and all but one
are there by chance. So the part that was there at most ends is blamed, and
what it explains no longer counts against the others.
"""

import collections
from collections import abc
import typing

__all__ = ("BlamedParts", "blame_parts")


class BlamedParts(typing.NamedTuple):
    """Parts that were there at the same ends, so that nothing tells them
    apart.

    A prompt is blamed if it has all of them: one that has only some is either
    harmless, or its run shows which of them is not.
    """

    parts: frozenset[str]
    """Digests of the parts."""
    targets: frozenset[str]
    """Targets whose ends they explain."""


def blame_parts(
    ends: abc.Mapping[str, abc.Set[str]], min_ends: int
) -> abc.Sequence[BlamedParts]:
    """Return the parts that explain ``min_ends`` ends of targets or more.

    ``ends`` has the targets that ended, by the parts that they ran.

    >>> [blamed] = blame_parts({"a": {"1", "2", "3"}, "b": {"1", "2"}}, 2)
    >>> sorted(blamed.parts)
    ['a']
    """
    unexplained = dict(ends)
    blamed: list[BlamedParts] = []
    while True:
        most = max(map(len, unexplained.values()), default=0)
        if most < min_ends:
            return blamed
        parts_by_targets = collections.defaultdict(list)
        for part, targets in unexplained.items():
            if len(targets) == most:
                parts_by_targets[frozenset(targets)].append(part)
        # Any order will do, as long as all entries choose the same.
        explained = min(parts_by_targets, key=lambda item: sorted(item))
        parts = frozenset(parts_by_targets[explained])
        blamed.append(BlamedParts(parts, explained))
        unexplained = {
            part: targets - explained for part, targets in unexplained.items()
        }

"""Decides which of its own turns a member lends, and to which others.

The load: most requests come to a few members, which have a small part of the
turns at targets with limits, while the others can't use theirs. A member that
lacks turns asks their owners for those of the next moment. An owner keeps the
share that its own requests of the last second need. The rest is divided among
those that ask, by how much they lack, so that none takes all.

What one lends and to whom follows from the turn's number by a hash, so that it
does not matter in which order they ask. Loans end by themselves, as a turn is
lent only shortly before it begins: when the requests come to others again, so
do the turns.
"""

import typing

from gentianpoint_core.decisions import ranking

__all__ = ("TurnLending", "find_kept_share")

_RESERVE: typing.Final = 1.25
"""Turns that an owner keeps for each of its own requests, which don't come
evenly."""
_ASKED_KEPT_S: typing.Final = 1.0
"""Seconds for which a member that has asked counts as one that lacks turns."""
_HASH_SIZE: typing.Final = 2**64
_MIN_PER_S: typing.Final = 0.1
"""Turns a second that a member that asks lacks at least."""


class _Asker(typing.NamedTuple):
    """A member that has asked for turns."""

    per_s: float
    """Turns a second that it lacks."""
    at: float
    """When it asked."""


def find_kept_share(wanted_per_s: float, own_per_s: float) -> float:
    """Return the share of its turns that an owner keeps for itself.

    >>> find_kept_share(2.0, 10.0)
    0.25
    >>> find_kept_share(20.0, 10.0)
    1.0
    """
    if wanted_per_s <= 0 or own_per_s <= 0:
        return 0.0
    return min(1.0, wanted_per_s * _RESERVE / own_per_s)


class TurnLending:
    """Those that have asked a member for turns, by group of targets."""

    def __init__(self) -> None:
        """Start with none."""
        self._askers: typing.Final[dict[str, dict[str, _Asker]]] = {}

    def note_asked(
        self, group: str, member: str, per_s: float, now: float
    ) -> None:
        """Record that a member lacks ``per_s`` turns a second."""
        askers = self._askers.setdefault(group, {})
        askers[member] = _Asker(max(per_s, _MIN_PER_S), now)
        for name, asker in list(askers.items()):
            if now - asker.at > _ASKED_KEPT_S:
                del askers[name]

    def may_lend(
        self, group: str, key: str, turn: int, member: str, kept_share: float
    ) -> bool:
        """Tell whether an own turn goes to a member that has asked."""
        point = ranking.hash_text(f"{key}|{turn}") / _HASH_SIZE
        if point < kept_share:
            return False
        askers = self._askers[group]
        lacking = sum(asker.per_s for asker in askers.values())
        part = (point - kept_share) / (1 - kept_share) * lacking
        for name, asker in sorted(askers.items()):
            part -= asker.per_s
            if part < 0:
                return name == member
        return False

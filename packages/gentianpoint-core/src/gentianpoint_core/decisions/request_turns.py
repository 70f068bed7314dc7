"""Decides which process may send a request to a target with a limit.

The load: a target takes only a few requests a second from all processes
together, since it is cold or in need, and all of them know it. They can't ask
each other before each request, and there may be more of them than requests a
second. So time is divided into turns, each as long as one request takes at the
limit's rate, and the turns go to the members one after the other, in an order
that all of them compute. A member that has nothing to send in its turn may use
it until the next turn begins, or a little later. Then it is lost, since turns
saved by many members could all be used at once.

Each member gets a turn in the end, however low the limit is. In any window the
target gets what its limit allows, and at most a quarter more or one request
more, as long as the members agree on who they are and when the turns began.
Each member that does not adds at most one request: besides, it keeps to its
part of what the limit allows in the window, rounded up.
"""

import collections
from collections import abc
import math
import typing

from gentianpoint_core.decisions import ranking

__all__ = ("RequestTurns", "TurnClock", "WINDOW_SHARE")

WINDOW_SHARE: typing.Final = 0.25
"""Share of its window for which an unused turn of a limit can be used, if the
next turn begins earlier."""
_ROUNDING_S: typing.Final = 1e-6
"""Seconds by which sums of times may be wrong."""


class TurnClock(typing.NamedTuple):
    """A limit, and the turns into which it divides the time."""

    per_s: float
    """Requests a second from all members together; more than 0."""
    window_s: float
    """Seconds over which the target counts them."""
    turn: int
    """Number of the turn in which the limit began to be what it is."""
    turn_at: float
    """When that turn began, in seconds of the own clock."""

    def find_turn(self, now: float) -> int:
        """Return the number of the turn at a time.

        >>> TurnClock(2.0, 4.0, 10, 100.0).find_turn(101.2)
        12
        """
        return self.turn + math.floor((now - self.turn_at) * self.per_s)

    def find_start(self, turn: int) -> float:
        """Return when a turn begins."""
        return self.turn_at + (turn - self.turn) / self.per_s

    def find_origin(self) -> float:
        """Return when the turn with the number 0 would have begun."""
        return self.find_start(0)

    def change_rate(self, per_s: float, now: float) -> "TurnClock":
        """Return the clock that goes on at another rate.

        The turn of the moment goes on, so that changes in quick succession
        add no turns, and it is not the same member's turn after each.
        """
        turn = self.find_turn(now)
        share = (now - self.find_start(turn)) * self.per_s
        return self._replace(
            per_s=per_s, turn=turn, turn_at=now - share / per_s
        )


class _UsedTurns:
    """The turns that a member has used at one target."""

    def __init__(self) -> None:
        # Numbers of turns, until they could not be used any more anyway.
        self.numbers: typing.Final[set[int]] = set()
        # When they were used, in order; a window's worth.
        self.times: typing.Final[collections.deque[float]] = (
            collections.deque()
        )

    def drop_before(self, at: float) -> None:
        while self.times and self.times[0] <= at:
            self.times.popleft()


class RequestTurns:
    """The turns of one member, and which of them it has used."""

    def __init__(
        self, own: str, list_members: abc.Callable[[], frozenset[str]]
    ) -> None:
        """Take turns as ``own`` with the others that ``list_members`` names.

        While that is empty, as long as the others are not known, there are no
        turns.
        """
        self._ranks: typing.Final = ranking.RankTable(own, list_members)
        self._used: typing.Final[dict[str, _UsedTurns]] = {}

    def find_permitted_at(
        self, key: str, clock: TurnClock, now: float, ahead: int = 0
    ) -> float:
        """Return from when on a request may be sent to the target ``key``.

        That is ``now`` if it may be sent at once, and infinity if this member
        has no turns. ``ahead`` other requests are sent before it.
        """
        rank = self._ranks.find_rank(key)
        if rank is None:
            return math.inf
        count = self._ranks.count()
        unused = self._list_unused(key, clock, now, rank)
        if ahead < len(unused):
            turn_at = now
        else:
            turn = _find_next_own(clock.find_turn(now) + 1, rank, count)
            # Rounding may place the start of a later turn at or before now.
            turn_at = max(
                clock.find_start(turn + (ahead - len(unused)) * count),
                math.nextafter(now, math.inf),
            )
        return max(turn_at, self._find_room_at(key, clock, now, ahead))

    def take(
        self, key: str, clock: TurnClock, now: float
    ) -> typing.Optional[int]:
        """Use the oldest turn that is left; return it, None if none is."""
        if self.find_permitted_at(key, clock, now) > now:
            return None
        rank = self._ranks.find_rank(key)
        assert rank is not None
        turn = self._list_unused(key, clock, now, rank)[0]
        used = self._used.setdefault(key, _UsedTurns())
        used.numbers.add(turn)
        used.times.append(now)
        return turn

    def give_back(self, key: str, turn: int) -> None:
        """Return the turn taken last, with which nothing was sent."""
        used = self._used.get(key)
        if used is not None and turn in used.numbers:
            used.numbers.remove(turn)
            # After a window its time is forgotten.
            if used.times:
                used.times.pop()

    def forget(self, keys: abc.Container[str]) -> None:
        """Forget the turns used at all targets but ``keys``."""
        for key in list(self._used):
            if key not in keys:
                del self._used[key]

    def _list_unused(
        self, key: str, clock: TurnClock, now: float, rank: int
    ) -> abc.Sequence[int]:
        """Return the own turns that may still be used, the oldest first."""
        last = clock.find_turn(now)
        valid_s = max(clock.window_s * WINDOW_SHARE, 1 / clock.per_s)
        # Turns before a change of the limit were of another length.
        first = max(clock.find_turn(now - valid_s) + 1, clock.turn)
        used = self._used.get(key)
        numbers = used.numbers if used else set[int]()
        for turn in [item for item in numbers if not first <= item <= last]:
            numbers.remove(turn)
        own = range(
            _find_next_own(first, rank, self._ranks.count()),
            last + 1,
            self._ranks.count(),
        )
        return [turn for turn in own if turn not in numbers]

    def _find_room_at(
        self, key: str, clock: TurnClock, now: float, ahead: int
    ) -> float:
        """Return when this member's part of a window has room again."""
        window_s = clock.window_s + _ROUNDING_S
        times: collections.deque[float] = collections.deque()
        if key in self._used:
            times = self._used[key].times
            self._used[key].drop_before(now - window_s)
        part = clock.per_s * clock.window_s / self._ranks.count()
        allowed = max(1, math.ceil(part))
        # So many whole windows pass before it.
        windows, rest = divmod(ahead, allowed)
        over = len(times) + rest - allowed
        room_at = now if over < 0 else times[over] + window_s
        return room_at + windows * window_s


def _find_next_own(turn: int, rank: int, count: int) -> int:
    """Return the first turn from ``turn`` on of the member with a rank.

    >>> _find_next_own(7, 2, 5)
    7
    >>> _find_next_own(8, 2, 5)
    12
    """
    return turn + (rank - turn) % count

"""Decides which process may send a request to a target with a limit.

The load: a target takes only a few requests a second from all processes
together, since it is cold or in need, and all of them know it. They can't ask
each other before each request, and there may be more of them than requests a
second. So time is divided into turns, each as long as one request takes at the
limit's rate, and the turns go to the members one after the other, in an order
that all of them compute. A member that has nothing to send in its turn may use
it until the next turn begins, or a little later. Then it is lost, since turns
saved by many members could all be used at once.

Where few members have most to send, they borrow turns from the others. A turn
has one owner, who lends it to one other at most, so that no message that is
late or lost lets two members use the same turn.

Each member gets a turn in the end, however low the limit is. In any window the
target gets what its limit allows, and at most a quarter more or one request
more, as long as the members agree on who they are and when the turns began.
Each member that does not adds at most one request: besides, it keeps to its
part of what the limit allows in the window, rounded up.
"""

from collections import abc
import math
import typing

from gentianpoint_core.decisions import ranking
from gentianpoint_core.decisions import turn_book

__all__ = ("OwnedTurn", "RequestTurns", "TurnClock", "WINDOW_SHARE")

WINDOW_SHARE: typing.Final = 0.25
"""Share of its window for which an unused turn of a limit can be used, if the
next turn begins earlier."""
LENT_AHEAD_S: typing.Final = 1.0
"""Seconds before a turn begins from which on it may be lent. What a member
lends it lacks until then, however much it has to send meanwhile."""
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


class OwnedTurn(typing.NamedTuple):
    """A turn and the member that it belongs to."""

    turn: int
    """Its number."""
    owner: str
    """The member."""


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
        self._books: typing.Final[dict[str, turn_book.TurnBook]] = {}

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
        book = self._open_book(key, clock, now)
        own = _OwnTurns(book, clock, now, rank, self._ranks.count())
        borrowed = [clock.find_start(turn) for turn in book.borrowed]

        def find_at(count: int) -> float:
            """Return when it is sent if ``count`` borrowed turns are used."""
            at = now
            if count:
                at = max(at, borrowed[count - 1])
            if count <= ahead:
                at = max(at, own.find_at(ahead - count))
            return at

        # The more borrowed turns are used, the later is the last of them,
        # and the earlier the last own one.
        low, high = 0, min(len(borrowed), ahead + 1)
        while low < high:
            middle = (low + high) // 2
            if borrowed[middle] <= own.find_at(ahead - middle):
                low = middle + 1
            else:
                high = middle
        return find_at(low)

    def take(
        self, key: str, clock: TurnClock, now: float
    ) -> typing.Optional[int]:
        """Use the oldest turn that is left; return it, None if none is."""
        if self.find_permitted_at(key, clock, now) > now:
            return None
        rank = self._ranks.find_rank(key)
        assert rank is not None
        book = self._books[key]
        own = _OwnTurns(book, clock, now, rank, self._ranks.count())
        turns = own.list_usable()
        if book.borrowed and (not turns or book.borrowed[0] < turns[0]):
            return book.borrowed.pop(0)
        book.spend(turns[0], now)
        return turns[0]

    def give_back(self, key: str, turn: int) -> None:
        """Return the turn taken last, with which nothing was sent."""
        if key in self._books:
            self._books[key].give_back(turn)

    def list_others(
        self, key: str, clock: TurnClock, now: float, until: float
    ) -> abc.Sequence[OwnedTurn]:
        """Return the turns of others that begin by a time, in order.

        Only those are left out that can't be used any more, or not lent yet.
        """
        rank = self._ranks.find_rank(key)
        if rank is None:
            return []
        order = self._ranks.list_order(key)
        last = clock.find_turn(min(until, now + LENT_AHEAD_S))
        return [
            OwnedTurn(turn, order[turn % len(order)])
            for turn in range(_find_first_usable(clock, now), last + 1)
            if turn % len(order) != rank
        ]

    def count_soon(
        self, key: str, clock: TurnClock, now: float, until: float
    ) -> int:
        """Return how many turns this member can use until a later time."""
        rank = self._ranks.find_rank(key)
        if rank is None:
            return 0
        book = self._open_book(key, clock, now)
        own = _OwnTurns(book, clock, now, rank, self._ranks.count())
        last = clock.find_turn(until)
        borrowed = sum(turn <= last for turn in book.borrowed)
        return borrowed + own.count_until(last)

    def lend(self, key: str, clock: TurnClock, turn: int, now: float) -> bool:
        """Give an own turn to another member; False if that can't be."""
        rank = self._ranks.find_rank(key)
        if rank is None or turn % self._ranks.count() != rank:
            return False
        book = self._open_book(key, clock, now)
        if turn < _find_first_usable(clock, now) or book.is_spent(turn):
            return False
        starts_at = clock.find_start(turn)
        own = _OwnTurns(book, clock, now, rank, self._ranks.count())
        used_at = max(now, starts_at)
        if used_at > now + LENT_AHEAD_S or not own.has_room_at(used_at):
            return False
        book.spend(turn, used_at)
        return True

    def borrow(self, key: str, turn: int) -> None:
        """Add a turn that its owner has lent to this member."""
        self._books.setdefault(key, turn_book.TurnBook()).borrow(turn)

    def measure_own_per_s(self, key: str, clock: TurnClock) -> float:
        """Return how many own turns a second this member has at a target."""
        rank = self._ranks.find_rank(key)
        return 0.0 if rank is None else clock.per_s / self._ranks.count()

    def forget(self, keys: abc.Container[str]) -> None:
        """Forget the turns used at all targets but ``keys``."""
        for key in list(self._books):
            if key not in keys:
                del self._books[key]

    def _open_book(
        self, key: str, clock: TurnClock, now: float
    ) -> turn_book.TurnBook:
        book = self._books.setdefault(key, turn_book.TurnBook())
        book.drop_before(_find_first_usable(clock, now))
        return book


class _OwnTurns:
    """The own turns of a member at one target, from a moment on."""

    def __init__(
        self,
        book: turn_book.TurnBook,
        clock: TurnClock,
        now: float,
        rank: int,
        count: int,
    ) -> None:
        self._book: typing.Final = book
        self._clock: typing.Final = clock
        self._now: typing.Final = now
        self._rank: typing.Final = rank
        self._count: typing.Final = count
        self._last: typing.Final = clock.find_turn(now)
        first = _find_first_usable(clock, now)
        self._unused: typing.Final = [
            turn
            for turn in range(
                _find_next_own(first, rank, count), self._last + 1, count
            )
            if not book.is_spent(turn)
        ]

    def list_usable(self) -> abc.Sequence[int]:
        """Return the turns that can be used at once, the oldest first."""
        return self._unused if self._find_room_at(0) <= self._now else []

    def has_room_at(self, at: float) -> bool:
        """Tell whether the window that ends at a time has room."""
        since = at - self._clock.window_s - _ROUNDING_S
        used = self._book.count_times(since, at)
        return used < self._count_allowed()

    def find_at(self, number: int) -> float:
        """Return when the turn after ``number`` others can be used."""
        turn_at = self._now
        later = number - len(self._unused)
        if later >= 0:
            turn = _find_next_own(self._last + 1, self._rank, self._count)
            turn += later * self._count
            for lent in self._book.list_spent_after(self._last):
                turn += self._count * (lent <= turn)
            # Rounding may place the start of a later turn at or before now.
            turn_at = max(
                self._clock.find_start(turn),
                math.nextafter(self._now, math.inf),
            )
        return max(turn_at, self._find_room_at(number))

    def count_until(self, last: int) -> int:
        """Return how many turns up to the turn ``last`` can be used."""
        first = _find_next_own(self._last + 1, self._rank, self._count)
        later = range(first, last + 1, self._count)
        lent = sum(
            turn <= last for turn in self._book.list_spent_after(self._last)
        )
        since = self._now - self._clock.window_s
        used = self._book.count_times(since, self._now)
        room = max(0, self._count_allowed() - used)
        return min(room, len(self._unused) + len(later) - lent)

    def _find_room_at(self, number: int) -> float:
        """Return when this member's part of a window has room again."""
        window_s = self._clock.window_s + _ROUNDING_S
        times = self._book.list_times(self._now - window_s, self._now)
        allowed = self._count_allowed()
        # So many whole windows pass before it.
        windows, rest = divmod(number, allowed)
        over = len(times) + rest - allowed
        room_at = self._now if over < 0 else times[over] + window_s
        return room_at + windows * window_s

    def _count_allowed(self) -> int:
        """Return how many requests of a window are this member's part."""
        part = self._clock.per_s * self._clock.window_s / self._count
        return max(1, math.ceil(part))


def _find_first_usable(clock: TurnClock, now: float) -> int:
    """Return the first turn that can still be used."""
    valid_s = max(clock.window_s * WINDOW_SHARE, 1 / clock.per_s)
    # Turns before a change of the limit were of another length.
    return max(clock.find_turn(now - valid_s) + 1, clock.turn)


def _find_next_own(turn: int, rank: int, count: int) -> int:
    """Return the first turn from ``turn`` on of the member with a rank.

    >>> _find_next_own(7, 2, 5)
    7
    >>> _find_next_own(8, 2, 5)
    12
    """
    return turn + (rank - turn) % count

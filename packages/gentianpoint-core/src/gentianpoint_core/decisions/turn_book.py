"""What one member has done with the turns at one target.

Turns are named by their numbers. The member uses its own turns or lends them
to others, and uses those that it has borrowed.
"""

import bisect
from collections import abc
import typing

__all__ = ("TurnBook",)


class TurnBook:
    """The turns at one target that a member has used, lent or borrowed.

    >>> book = TurnBook()
    >>> book.spend(7, 1.5)
    >>> book.is_spent(7)
    True
    """

    def __init__(self) -> None:
        """Start with none."""
        # Own turns that were used or lent, and when they count as used.
        self._spent: typing.Final[dict[int, float]] = {}
        self._times: typing.Final[list[float]] = []
        # Turns of others that may be used, sorted.
        self.borrowed: typing.Final[list[int]] = []
        # Those, and those already used: the news of a loan may come twice.
        self._loans: typing.Final[set[int]] = set()

    def is_spent(self, turn: int) -> bool:
        """Tell whether an own turn was used or lent."""
        return turn in self._spent

    def spend(self, turn: int, at: float) -> None:
        """Use an own turn now, or lend one that counts as used at ``at``."""
        self._spent[turn] = at
        bisect.insort(self._times, at)

    def borrow(self, turn: int) -> None:
        """Add a turn of another member, once."""
        if turn not in self._loans:
            self._loans.add(turn)
            bisect.insort(self.borrowed, turn)

    def give_back(self, turn: int) -> None:
        """Return a turn with which nothing was sent."""
        if turn in self._loans:
            bisect.insort(self.borrowed, turn)
            return
        at = self._spent.pop(turn, None)
        if at is None:
            return
        place = bisect.bisect_left(self._times, at)
        # After a window its time is forgotten.
        if self._times[place : place + 1] == [at]:
            del self._times[place]

    def list_spent_after(self, turn: int) -> abc.Sequence[int]:
        """Return the own turns after ``turn`` that were lent, sorted."""
        return sorted(number for number in self._spent if number > turn)

    def list_times(self, since: float, until: float) -> abc.Sequence[float]:
        """Return when own turns were used in a span; forget those before."""
        del self._times[: bisect.bisect_right(self._times, since)]
        return self._times[: bisect.bisect_right(self._times, until)]

    def count_times(self, since: float, until: float) -> int:
        """Return how many own turns were used in a span."""
        before = bisect.bisect_right(self._times, since)
        return bisect.bisect_right(self._times, until) - before

    def drop_before(self, turn: int) -> None:
        """Forget turns before ``turn``, which can't be used any more."""
        for number in [item for item in self._spent if item < turn]:
            del self._spent[number]
        del self.borrowed[: bisect.bisect_left(self.borrowed, turn)]
        for number in [item for item in self._loans if item < turn]:
            self._loans.remove(number)

"""Decides in which order waiting requests get the next permits.

The load: targets take less than callers ask for, so that requests wait at each
entry for its next turn. The most urgent ones go first. Among equally urgent
ones customers take turns, so that one that sends many requests at once does
not delay all others, and a customer's own requests go in the order in which
they came.

Callers that were refused come back at the time that they were told. Until then
they count as if they waited, so that nobody else is told the same time.
"""

import bisect
import heapq
import itertools
import typing

__all__ = ("Place", "WaitingOrder")

_MAX_PROMISES: typing.Final = 4096
"""Callers told to come back that are counted."""


class Place(typing.NamedTuple):
    """The place of a request among those that wait; the lowest goes first."""

    priority: int
    """Priority; 0 is the most urgent."""
    round: int
    """Requests of the same customer and priority that waited before it."""
    number: int
    """Counts the requests in the order in which they came."""
    customer: str = ""
    """Customer, which does not matter to the order."""


class WaitingOrder:
    """The requests for one service that wait at this entry.

    >>> order = WaitingOrder()
    >>> first = order.join(1, "a")
    >>> second = order.join(1, "a")
    >>> other = order.join(1, "b")
    >>> [order.count_ahead(item) for item in (first, second, other)]
    [0, 2, 1]
    """

    def __init__(self) -> None:
        """Start with none."""
        self._places: typing.Final[list[Place]] = []
        self._waiting: typing.Final[dict[tuple[int, str], int]] = {}
        self._numbers: typing.Final = itertools.count()
        # When callers were told to come back, and their priority.
        self._promises: typing.Final[list[tuple[float, int]]] = []

    def join(self, priority: int, customer: str) -> Place:
        """Add a request, and return its place."""
        group = (priority, customer)
        place = Place(
            priority,
            self._waiting.get(group, 0),
            next(self._numbers),
            customer,
        )
        self._waiting[group] = place.round + 1
        bisect.insort(self._places, place)
        return place

    def leave(self, place: Place) -> None:
        """Remove a request that waits no longer."""
        self._places.remove(place)
        group = (place.priority, place.customer)
        self._waiting[group] -= 1
        if not self._waiting[group]:
            del self._waiting[group]

    def count(self) -> int:
        """Return how many requests wait."""
        return len(self._places)

    def count_ahead(self, place: Place) -> int:
        """Return how many others go before a request that waits."""
        return bisect.bisect_left(self._places, place)

    def promise(self, priority: int, at: float) -> None:
        """Count a caller that was told to come back at a time."""
        if len(self._promises) < _MAX_PROMISES:
            heapq.heappush(self._promises, (at, priority))

    def count_expected(self, priority: int, now: float) -> int:
        """Return how many requests at least as urgent wait or will return."""
        while self._promises and self._promises[0][0] <= now:
            heapq.heappop(self._promises)
        waiting = bisect.bisect_left(self._places, Place(priority + 1, 0, 0))
        return waiting + sum(item <= priority for _, item in self._promises)

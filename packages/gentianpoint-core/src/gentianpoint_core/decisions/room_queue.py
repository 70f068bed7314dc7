"""Decides which of the requests that wait for room is tried next.

The load: long generations hold the memory of all engines while a burst of
short urgent ones comes. Urgent requests go first. Among equally urgent ones,
those that were refused before go first, then those of the customer that uses
least for its weight, then the oldest. Requests that can't be on time any more
go behind all that can.

Where the first one fits nowhere, a smaller one behind it may be tried, or the
room that is there would stay unused. Each request is passed a limited number
of times, so that a large one does not wait behind an endless stream of small
ones.
"""

from collections import abc
import heapq
import itertools
import typing

from gentianpoint_core.decisions import wait_limits

__all__ = ("MAX_OVERTAKES", "RoomQueue", "WaitingRequest")

MAX_OVERTAKES: typing.Final = 32
"""Times that a request is passed by a smaller one behind it."""
_MAX_PROMISES: typing.Final = 4096
"""Callers told to come back that are counted."""


class WaitingRequest:
    """A request that waits for room."""

    def __init__(
        self,
        urgency: int,
        tokens: int,
        limits: wait_limits.WaitLimits,
        customer: str = "",
        *,
        is_retry: bool = False,
    ) -> None:
        """Describe a request that needs room for ``tokens``.

        The lowest ``urgency`` goes first.
        """
        self.urgency: typing.Final = urgency
        self.tokens: typing.Final = tokens
        # Replaced when the load of the targets changes.
        self.limits = limits
        self.customer: typing.Final = customer
        self.is_retry: typing.Final = is_retry
        # Times that a smaller one behind it was sent first.
        self.overtaken = 0
        # Counts the requests in the order in which they came.
        self.number = 0


class RoomQueue:
    """The requests for one service that wait for room at this entry.

    >>> queue = RoomQueue()
    >>> never = wait_limits.WaitLimits(9.0, 9.0)
    >>> long = WaitingRequest(1, 3000, never)
    >>> short = WaitingRequest(0, 500, never)
    >>> queue.join(long)
    >>> queue.join(short)
    >>> queue.find_first(0.0) is short
    True
    """

    def __init__(
        self,
        find_usage: abc.Callable[[str], float] = lambda customer: 0.0,
    ) -> None:
        """Start with none.

        ``find_usage`` returns a customer's usage over its weight.
        """
        self._find_usage: typing.Final = find_usage
        self._waiting: typing.Final[list[WaitingRequest]] = []
        self._numbers: typing.Final = itertools.count()
        # When callers were told to come back, and their urgency.
        self._promises: typing.Final[list[tuple[float, int]]] = []

    def join(self, request: WaitingRequest) -> None:
        """Add a request."""
        request.number = next(self._numbers)
        self._waiting.append(request)

    def leave(self, request: WaitingRequest) -> None:
        """Remove a request that waits no longer."""
        self._waiting.remove(request)

    def count(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def list_waiting(self) -> abc.Sequence[WaitingRequest]:
        """Return the requests that wait, in no certain order."""
        return self._waiting

    def find_first(self, now: float) -> typing.Optional[WaitingRequest]:
        """Return the request that is tried first, None if none waits."""
        rank = self._make_rank(now)
        return min(self._waiting, key=rank, default=None)

    def count_ahead(self, request: WaitingRequest, now: float) -> int:
        """Return how many others go before one that waits."""
        rank = self._make_rank(now)
        own = rank(request)
        return sum(rank(other) < own for other in self._waiting)

    def find_next(
        self, tried: WaitingRequest, now: float
    ) -> typing.Optional[WaitingRequest]:
        """Return the one to try after ``tried`` was found to fit nowhere.

        It is the first smaller one behind it that passes none which has been
        passed too often already; None if there is none.
        """
        rank = self._make_rank(now)
        own = rank(tried)
        behind = []
        for other in self._waiting:
            other_rank = rank(other)
            if other_rank > own:
                behind.append((other_rank, other))
            elif _is_spent(other):
                return None
        # A request that may not be passed any more ends the search.
        stops_at = min(
            (item for item, other in behind if _is_spent(other)),
            default=None,
        )
        found = [
            (item, other)
            for item, other in behind
            if other.tokens < tried.tokens
            and (stops_at is None or item <= stops_at)
        ]
        return min(found, key=lambda pair: pair[0])[1] if found else None

    def note_sent(self, request: WaitingRequest, now: float) -> None:
        """Remove a request that is sent, and count whom it has passed."""
        rank = self._make_rank(now)
        own = rank(request)
        for other in self._waiting:
            if other is not request and rank(other) < own:
                other.overtaken += 1
        self.leave(request)

    def promise(self, urgency: int, at: float) -> None:
        """Count a caller that was told to come back at a time."""
        if len(self._promises) < _MAX_PROMISES:
            heapq.heappush(self._promises, (at, urgency))

    def count_promised(self, urgency: int, now: float) -> int:
        """Return how many at least as urgent callers will come back."""
        while self._promises and self._promises[0][0] <= now:
            heapq.heappop(self._promises)
        return sum(item <= urgency for _, item in self._promises)

    def _make_rank(
        self, now: float
    ) -> abc.Callable[[WaitingRequest], tuple[typing.Any, ...]]:
        """Return a function whose lowest result goes first.

        Usage changes all the time, so it is looked up once for each customer
        and decision.
        """
        usage: dict[str, float] = {}

        def rank(request: WaitingRequest) -> tuple[typing.Any, ...]:
            customer = request.customer
            if customer not in usage:
                usage[customer] = self._find_usage(customer)
            return (
                request.limits.is_late(now),
                request.urgency,
                not request.is_retry,
                usage[customer],
                request.number,
            )

        return rank


def _is_spent(request: WaitingRequest) -> bool:
    """Tell whether a request may not be passed any more."""
    return request.overtaken >= MAX_OVERTAKES

"""The queue in front of a target: ageing priorities and weighted fairness.

Calls of one priority form a band. The most urgent band is served first, but
a band gains one level of priority for every half second in which none of its
calls started. So a lower band always gets a small share, and a flood of
calls in it can't gain more than that.

Within a band customers share by weight, with start-time fair queueing. Each
customer has a finish tag on a virtual clock: the tokens charged for its
calls, divided by its weight. A call's start tag is its customer's finish tag,
or the virtual time of its arrival if that is later, and the call with the
lowest start tag is served. A call is charged its estimated cost when it
starts, corrected to the actual cost when it ends. A customer's short calls
have a queue of their own, so that they can overtake its long ones.
"""

import collections
from collections import abc
import typing

import trio

from gentianpoint_agent import admission_policy
from gentianpoint_core import deadlines
from gentianpoint_core import errors

__all__ = ("FairQueue", "Ticket")

_AGEING_MS: typing.Final = 500.0
"""Time without service that raises a band's priority by 1, milliseconds."""
_MAX_CUSTOMERS: typing.Final = 4096
"""Number of finish tags beyond which those of idle customers are evicted."""
_MIN_WEIGHT: typing.Final = 1e-3
"""Lowest weight of a customer."""


class Ticket:
    """A waiting call and the decision on it.

    ``number`` is its place in the order of arrival, ``overtaken`` the number
    of calls that started although this one was next.
    """

    def __init__(
        self,
        profile: admission_policy.CallProfile,
        estimate: admission_policy.CallEstimate,
        arrived_ms: float,
        wait_deadline: deadlines.Deadline,
    ) -> None:
        """Create the ticket of a call that waits until ``wait_deadline``."""
        self.profile: typing.Final = profile
        self.estimate: typing.Final = estimate
        self.arrived_ms: typing.Final = arrived_ms
        self.wait_deadline: typing.Final = wait_deadline
        self.number = 0
        self.virtual_arrival = 0.0
        self.overtaken = 0
        self.slot: typing.Optional[admission_policy.Slot] = None
        self.refusal: typing.Optional[errors.CallError] = None
        self.decided: typing.Final = trio.Event()

    def find_weight(self) -> float:
        """Return the customer's weight, which is always positive."""
        return max(self.profile.weight, _MIN_WEIGHT)


class _Band:
    """The waiting calls of one priority, by customer and shortness."""

    def __init__(self, priority: int) -> None:
        self.priority: typing.Final = priority
        self.last_served_ms = 0.0
        self.queues: typing.Final[
            dict[tuple[str, bool], collections.deque[Ticket]]
        ] = {}

    def add(self, ticket: Ticket) -> None:
        key = (ticket.profile.customer, ticket.estimate.is_short)
        self.queues.setdefault(key, collections.deque()).append(ticket)

    def remove(self, ticket: Ticket) -> None:
        key = (ticket.profile.customer, ticket.estimate.is_short)
        queue = self.queues[key]
        queue.remove(ticket)
        if not queue:
            del self.queues[key]

    def list_heads(
        self, allow: abc.Callable[[Ticket], bool]
    ) -> abc.Sequence[Ticket]:
        heads = (queue[0] for queue in self.queues.values())
        return [head for head in heads if allow(head)]

    def find_urgency(
        self, heads: abc.Sequence[Ticket], now_ms: float
    ) -> float:
        oldest_ms = min(head.arrived_ms for head in heads)
        waiting_since_ms = max(self.last_served_ms, oldest_ms)
        return self.priority + (now_ms - waiting_since_ms) / _AGEING_MS


class FairQueue:
    """All waiting calls of a target; its user bounds their number."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._bands: typing.Final[dict[int, _Band]] = {}
        self._tickets: typing.Final[dict[str, dict[Ticket, None]]] = {}
        self._finish_tags: typing.Final[dict[str, float]] = {}
        self._virtual_time = 0.0
        self._count = 0
        self._last_number = 0

    def count(self) -> int:
        """Return the number of waiting calls."""
        return self._count

    def list_all(self) -> abc.Sequence[Ticket]:
        """Return all waiting calls."""
        return [
            ticket for tickets in self._tickets.values() for ticket in tickets
        ]

    def count_customers(self) -> int:
        """Return the number of customers that have a finish tag."""
        return len(self._finish_tags)

    def add(self, ticket: Ticket) -> None:
        """Append a call to its customer's queue."""
        self._last_number += 1
        ticket.number = self._last_number
        ticket.virtual_arrival = self._virtual_time
        priority = ticket.profile.priority
        band = self._bands.setdefault(priority, _Band(priority))
        band.add(ticket)
        customer = ticket.profile.customer
        self._tickets.setdefault(customer, {})[ticket] = None
        self._count += 1

    def _find_start_tag(self, ticket: Ticket) -> float:
        finish_tag = self._finish_tags.get(ticket.profile.customer, 0.0)
        return max(finish_tag, ticket.virtual_arrival)

    def _evict_idle(self) -> None:
        """Drop the finish tags of idle customers when there are too many.

        A customer whose finish tag lies in the virtual past starts at the
        current virtual time, with or without a tag. The lowest tags are
        dropped first; a customer gains at most the cost of its recent calls.
        """
        if len(self._finish_tags) <= _MAX_CUSTOMERS:
            return
        by_tag = sorted(self._finish_tags, key=self._finish_tags.__getitem__)
        for customer in by_tag[: _MAX_CUSTOMERS // 2]:
            if customer not in self._tickets:
                del self._finish_tags[customer]

    def remove(self, ticket: Ticket) -> bool:
        """Remove a call that won't run; False if it was not queued."""
        tickets = self._tickets.get(ticket.profile.customer, {})
        if ticket not in tickets:
            return False
        self._dequeue(ticket)
        return True

    def _dequeue(self, ticket: Ticket) -> None:
        customer = ticket.profile.customer
        tickets = self._tickets[customer]
        del tickets[ticket]
        if not tickets:
            del self._tickets[customer]
        self._bands[ticket.profile.priority].remove(ticket)
        self._count -= 1

    def start(self, ticket: Ticket, now_ms: float) -> None:
        """Remove a call that starts, and charge its estimated cost."""
        start_tag = self._find_start_tag(ticket)
        self._dequeue(ticket)
        self._virtual_time = max(self._virtual_time, start_tag)
        self._finish_tags[ticket.profile.customer] = (
            start_tag + ticket.estimate.cost / ticket.find_weight()
        )
        self._evict_idle()
        self._bands[ticket.profile.priority].last_served_ms = now_ms

    def charge_actual_cost(self, ticket: Ticket, cost: float) -> None:
        """Replace the charge for a call by its actual cost."""
        customer = ticket.profile.customer
        finish_tag = self._finish_tags.get(customer)
        if finish_tag is not None:
            excess = (cost - ticket.estimate.cost) / ticket.find_weight()
            self._finish_tags[customer] = max(0.0, finish_tag + excess)

    def find_next(
        self, now_ms: float, allow: abc.Callable[[Ticket], bool]
    ) -> typing.Optional[Ticket]:
        """Return the next call to serve among those that ``allow`` admits."""
        best: typing.Optional[Ticket] = None
        best_urgency = 0.0
        for band in self._bands.values():
            heads = band.list_heads(allow)
            if not heads:
                continue
            urgency = band.find_urgency(heads, now_ms)
            if best is None or urgency > best_urgency:
                best = min(
                    heads,
                    key=lambda head: (self._find_start_tag(head), head.number),
                )
                best_urgency = urgency
        return best

    def count_ahead(self, ticket: Ticket) -> int:
        """Return the approximate number of calls served before a call.

        These are all calls of higher bands, and those of its own band that
        have a lower start tag if each call costs what is estimated.
        """
        ahead = 0
        for band in self._bands.values():
            if band.priority > ticket.profile.priority:
                ahead += sum(len(queue) for queue in band.queues.values())
        band = self._bands[ticket.profile.priority]
        tags = dict(self._predict_start_tags(band))
        own = (tags[ticket], ticket.number)
        return ahead + sum(
            (tag, other.number) < own for other, tag in tags.items()
        )

    def _predict_start_tags(
        self, band: _Band
    ) -> abc.Iterator[tuple[Ticket, float]]:
        finish_tags: dict[str, float] = {}
        for queue in band.queues.values():
            for ticket in queue:
                customer = ticket.profile.customer
                tag = finish_tags.get(customer, self._find_start_tag(ticket))
                yield ticket, tag
                finish_tags[customer] = (
                    tag + ticket.estimate.cost / ticket.find_weight()
                )

    def find_victim(self, newcomer: Ticket) -> Ticket:
        """Return the call to refuse when the queue is too long.

        It has the lowest priority, belongs to the customer with the most
        waiting calls of that priority for its weight, and is the customer's
        last one: a customer that fills the queue displaces its own calls.
        """
        lowest = min(
            band.priority for band in self._bands.values() if band.queues
        )
        waiting: dict[str, list[Ticket]] = {}
        for (customer, _), queue in self._bands[lowest].queues.items():
            waiting.setdefault(customer, []).extend(queue)

        def rank(customer: str) -> tuple[float, bool]:
            tickets = waiting[customer]
            share = len(tickets) / tickets[0].find_weight()
            return share, customer == newcomer.profile.customer

        largest = max(waiting, key=rank)
        return max(waiting[largest], key=lambda ticket: ticket.number)

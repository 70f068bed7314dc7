"""The queue before a target: priorities with ageing, fair between customers.

Calls of one priority form a band. The most urgent band is served first, but
a band gains a priority for each half second in which nothing of it was
served: a lower band always gets a small share, and a flood in it can't gain
more than that.

In a band customers share by weight, by start-time fair queueing. On a virtual
clock each customer has the point up to which its calls were charged, tokens
over weight; a call's tag is that point, or the clock at its arrival if that
is later, and the lowest tag is served. What a call really cost is charged
when it ends. A customer's short answers have a line of their own, so that
they can pass its reports.
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
_CUSTOMERS_REMEMBERED: typing.Final = 4096
_LEAST_WEIGHT: typing.Final = 1e-3


class Ticket:
    """A call that waits."""

    def __init__(
        self,
        profile: admission_policy.CallProfile,
        estimate: admission_policy.CallEstimate,
        arrived_ms: float,
        give_up: deadlines.Deadline,
    ) -> None:
        """Make the ticket of a call that arrives."""
        self.profile: typing.Final = profile
        self.estimate: typing.Final = estimate
        self.arrived_ms: typing.Final = arrived_ms
        self.give_up: typing.Final = give_up
        self.number = 0
        self.arrival = 0.0
        self.passed = 0
        self.slot: typing.Optional[admission_policy.Slot] = None
        self.refusal: typing.Optional[errors.CallError] = None
        self.decided: typing.Final = trio.Event()

    def find_weight(self) -> float:
        """Return the customer's weight, never nothing."""
        return max(self.profile.weight, _LEAST_WEIGHT)


class _Band:
    """The waiting calls of one priority, by customer and kind."""

    def __init__(self, priority: int) -> None:
        self.priority: typing.Final = priority
        self.served_ms = 0.0
        self.lines: typing.Final[
            dict[tuple[str, bool], collections.deque[Ticket]]
        ] = {}

    def add(self, ticket: Ticket) -> None:
        key = (ticket.profile.customer, ticket.estimate.is_short)
        self.lines.setdefault(key, collections.deque()).append(ticket)

    def remove(self, ticket: Ticket) -> None:
        key = (ticket.profile.customer, ticket.estimate.is_short)
        line = self.lines[key]
        line.remove(ticket)
        if not line:
            del self.lines[key]

    def list_heads(
        self, allow: abc.Callable[[Ticket], bool]
    ) -> abc.Sequence[Ticket]:
        heads = (line[0] for line in self.lines.values())
        return [head for head in heads if allow(head)]

    def find_urgency(
        self, heads: abc.Sequence[Ticket], now_ms: float
    ) -> float:
        oldest_ms = min(head.arrived_ms for head in heads)
        since_ms = max(self.served_ms, oldest_ms)
        return self.priority + (now_ms - since_ms) / _AGEING_MS


class FairQueue:
    """All waiting calls of a target; bounded by who adds to it."""

    def __init__(self) -> None:
        """Make an empty queue."""
        self._bands: typing.Final[dict[int, _Band]] = {}
        self._tickets: typing.Final[dict[str, dict[Ticket, None]]] = {}
        self._finishes: typing.Final[dict[str, float]] = {}
        self._clock = 0.0
        self._count = 0
        self._last_number = 0

    def count(self) -> int:
        """Return the number of waiting calls."""
        return self._count

    def count_customers(self) -> int:
        """Return the number of customers of whom something is kept."""
        return len(self._finishes)

    def add(self, ticket: Ticket) -> None:
        """Add a call at the end of its customer's line."""
        self._last_number += 1
        ticket.number = self._last_number
        ticket.arrival = self._clock
        priority = ticket.profile.priority
        band = self._bands.setdefault(priority, _Band(priority))
        band.add(ticket)
        customer = ticket.profile.customer
        self._tickets.setdefault(customer, {})[ticket] = None
        self._count += 1

    def _find_tag(self, ticket: Ticket) -> float:
        charged = self._finishes.get(ticket.profile.customer, 0.0)
        return max(charged, ticket.arrival)

    def _forget_idle(self) -> None:
        """Forget customers whose past no longer matters.

        A customer whose last call ended in the virtual past starts at the
        clock, known or not. Beyond the bound the ones that used least go;
        they gain no more than what they used of late.
        """
        if len(self._finishes) <= _CUSTOMERS_REMEMBERED:
            return
        by_finish = sorted(self._finishes, key=self._finishes.__getitem__)
        for customer in by_finish[: _CUSTOMERS_REMEMBERED // 2]:
            if customer not in self._tickets:
                del self._finishes[customer]

    def remove(self, ticket: Ticket) -> bool:
        """Take out a call that will not run; False if it was out already."""
        tickets = self._tickets.get(ticket.profile.customer, {})
        if ticket not in tickets:
            return False
        self._take_out(ticket)
        return True

    def _take_out(self, ticket: Ticket) -> None:
        customer = ticket.profile.customer
        tickets = self._tickets[customer]
        del tickets[ticket]
        if not tickets:
            del self._tickets[customer]
        self._bands[ticket.profile.priority].remove(ticket)
        self._count -= 1

    def serve(self, ticket: Ticket, now_ms: float) -> None:
        """Take out a call that starts; charge what it is expected to cost."""
        tag = self._find_tag(ticket)
        self._take_out(ticket)
        self._clock = max(self._clock, tag)
        self._finishes[ticket.profile.customer] = (
            tag + ticket.estimate.cost / ticket.find_weight()
        )
        self._forget_idle()
        self._bands[ticket.profile.priority].served_ms = now_ms

    def settle(self, ticket: Ticket, cost: float) -> None:
        """Charge what a call really cost instead of what was expected."""
        customer = ticket.profile.customer
        finish = self._finishes.get(customer)
        if finish is not None:
            excess = (cost - ticket.estimate.cost) / ticket.find_weight()
            self._finishes[customer] = max(0.0, finish + excess)

    def find_next(
        self, now_ms: float, allow: abc.Callable[[Ticket], bool]
    ) -> typing.Optional[Ticket]:
        """Return the call whose turn it is among those allowed."""
        best: typing.Optional[Ticket] = None
        best_urgency = 0.0
        for band in self._bands.values():
            heads = band.list_heads(allow)
            if not heads:
                continue
            urgency = band.find_urgency(heads, now_ms)
            if best is None or urgency > best_urgency:
                best = min(
                    heads, key=lambda head: (self._find_tag(head), head.number)
                )
                best_urgency = urgency
        return best

    def count_ahead(self, ticket: Ticket) -> int:
        """Return how many waiting calls come before a call, about.

        All of higher bands do, and those of its band that would be served
        by tags before it if each costs what is expected.
        """
        ahead = 0
        for band in self._bands.values():
            if band.priority > ticket.profile.priority:
                ahead += sum(len(line) for line in band.lines.values())
        band = self._bands[ticket.profile.priority]
        tags = dict(self._predict_tags(band))
        own = (tags[ticket], ticket.number)
        return ahead + sum(
            (tag, row.number) < own for row, tag in tags.items()
        )

    def _predict_tags(self, band: _Band) -> abc.Iterator[tuple[Ticket, float]]:
        finishes: dict[str, float] = {}
        for line in band.lines.values():
            for row in line:
                customer = row.profile.customer
                tag = finishes.get(customer, self._find_tag(row))
                yield row, tag
                finishes[customer] = (
                    tag + row.estimate.cost / row.find_weight()
                )

    def find_victim(self, newcomer: Ticket) -> Ticket:
        """Return the call to refuse when one too many waits.

        It is one of the lowest priority, of the customer who has the most
        waiting there for its weight, and the one that came last: a customer
        who fills the queue displaces itself, not the others.
        """
        lowest = min(
            band.priority for band in self._bands.values() if band.lines
        )
        rows: dict[str, list[Ticket]] = {}
        for (customer, _), line in self._bands[lowest].lines.items():
            rows.setdefault(customer, []).extend(line)

        def rank(customer: str) -> tuple[float, bool]:
            waiting = rows[customer]
            share = len(waiting) / waiting[0].find_weight()
            return share, customer == newcomer.profile.customer

        greediest = max(rows, key=rank)
        return max(rows[greediest], key=lambda row: row.number)

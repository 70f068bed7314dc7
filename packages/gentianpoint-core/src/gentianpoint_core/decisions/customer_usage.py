"""Measures what each customer uses of the engines' memory in the whole fleet.

The load: more generations than the engines' memory holds, from customers of
very different size, through many entries. An entry that ordered its waiting
requests by its own customers' usage alone would favour a customer that sends
a little through each of many entries. So entries tell each other what their
own customers use, and each adds up what it hears.

Usage is counted in token-seconds of memory, of which half is forgotten within
5 s. A customer whose generations hold the same memory for a long time has
about 7.2 times that many token-seconds.
"""

from collections import abc
import heapq
import math
import typing

from gentianpoint_core import change_log
from gentianpoint_core import deadlines

__all__ = ("CustomerUsage", "MemberRow")

_HALF_LIFE_S: typing.Final = 5.0
"""Seconds after which memory that was used counts half."""
_MEAN_LIFE_S: typing.Final = _HALF_LIFE_S / math.log(2)
"""Token-seconds that each token counts which is held for a long time."""
_TELL_INTERVAL_S: typing.Final = 1.0
"""Seconds, at least, between two rows of this entry."""
_KEPT_S: typing.Final = 4.0
"""Seconds after which a member's row is dropped unless a newer one comes."""
_PASSED_ON_S: typing.Final = 1.0
"""Seconds for which a row is passed on. A row carries no age, so one passed
on later would count for too long at its receiver, and a newer one is due."""
_MAX_TOLD: typing.Final = 8
"""Customers in a row of this entry, those that use most."""
_MAX_HEARD: typing.Final = 64
"""Customers, at most, in a row of another entry. A later version may tell
more than this one does."""
_MAX_MEMBERS: typing.Final = 4096
"""Members whose rows are kept."""
_MAX_NAME_LENGTH: typing.Final = 256
"""Longest name of a member or customer that another entry may tell."""
_MAX_SCALED_S: typing.Final = 500.0
"""Seconds after which sums are scaled to a later time. Floats hold the scale
of ten times as long."""
_MAX_COUNT: typing.Final = 2**52
"""Highest usage and number that another entry may tell; floats hold it."""


class MemberRow(typing.NamedTuple):
    """What the customers of one entry use, as that entry told it."""

    member: str
    """Address of the entry."""
    number: int
    """Counts the entry's rows; the highest one counts."""
    customers: abc.Mapping[str, int]
    """Token-seconds by customer, of those that use most."""


class _Part(typing.NamedTuple):
    """The last row of a member."""

    row: MemberRow
    heard_at: float
    """When it arrived, from which on its usage is forgotten by halves."""
    ends_at: float
    """When it is dropped."""


class _OwnUsage(typing.NamedTuple):
    """Usage of one customer through this entry."""

    usage: float
    """Token-seconds at ``at``."""
    at: float
    """Time to which ``usage`` applies, in seconds of the own clock."""
    running: int
    """Running generations."""
    tokens: int
    """Tokens held by the running generations."""

    def measure(self, now: float) -> float:
        """Return the token-seconds at a time not before ``at``."""
        left = _compute_left(self.at, now)
        return self.usage * left + self.tokens * _MEAN_LIFE_S * (1 - left)


class _Sum(typing.NamedTuple):
    """Usage of one customer through other entries."""

    usage: float
    """Token-seconds, scaled to a time that all sums share. As they all halve
    together, a sum changes only when a row comes or is dropped."""
    members: int
    """Members whose rows have the customer."""


def _is_never_wanted() -> bool:
    return False


class CustomerUsage:
    """The usage of all customers, through this entry and others.

    >>> usage = CustomerUsage("10.0.0.1:80", {"b": 2.0})
    >>> usage.begin("b", 1000, 0.0)
    >>> usage.end("b", 1000, 5.0)
    >>> round(usage.find_usage("b", 5.0))
    1803
    >>> usage.merge(MemberRow("10.0.0.2:80", 1, {"b": 400}), 5.0, 5.0)
    True
    >>> round(usage.find_usage("b", 5.0))
    2003
    """

    def __init__(
        self,
        own: str = "",
        weights: typing.Optional[abc.Mapping[str, float]] = None,
    ) -> None:
        """Count as the member at the address ``own``, with no usage.

        A customer that is not in ``weights`` has the weight 1.
        """
        self._own_address: typing.Final = own
        self._weights: typing.Final = dict(weights or {})
        self._own: typing.Final[dict[str, _OwnUsage]] = {}
        self._others: typing.Final[dict[str, _Sum]] = {}
        # Time to which the sums are scaled.
        self._scaled_to = 0.0
        self._parts: typing.Final = change_log.ChangeLog[_Part]()
        self._number = 0
        self._told_at = deadlines.NEVER
        # No row ends before this.
        self._prune_at = math.inf
        # Tells whether requests wait for room, by default never; usage is
        # told to other entries only then.
        self.is_wanted: abc.Callable[[], bool] = _is_never_wanted

    def begin(self, customer: str, tokens: int, now: float) -> None:
        """Count a generation that holds ``tokens`` of memory from now on.

        One that holds none, as a request to a plain service, is not counted.
        """
        self._count(customer, 1, tokens, now)

    def end(self, customer: str, tokens: int, now: float) -> None:
        """Count a generation no longer that began with as many tokens."""
        self._count(customer, -1, -tokens, now)

    def _count(
        self, customer: str, count: int, tokens: int, now: float
    ) -> None:
        if not tokens:
            return
        known = self._own.get(customer, _OwnUsage(0.0, now, 0, 0))
        self._own[customer] = _OwnUsage(
            known.measure(now),
            now,
            known.running + count,
            known.tokens + tokens,
        )

    def find_usage(self, customer: str, now: float) -> float:
        """Return a customer's usage over its weight, in token-seconds."""
        self.prune(now)
        usage = 0.0
        if customer in self._own:
            usage += self._own[customer].measure(now)
        if customer in self._others:
            left = _compute_left(self._scaled_to, now)
            usage += self._others[customer].usage * left
        return usage / self._weights.get(customer, 1.0)

    def list_largest(self, now: float) -> abc.Sequence[tuple[str, float]]:
        """Return the customers with most usage over weight, and it."""
        self.prune(now)
        found = [
            (customer, self.find_usage(customer, now))
            for customer in self._own.keys() | self._others.keys()
        ]
        return heapq.nlargest(_MAX_TOLD, found, key=lambda item: item[1])

    def count_others(self) -> int:
        """Return how many other members have told their usage."""
        tells = self._parts.find(self._own_address) is not None
        return len(self._parts) - tells

    def tell(self, now: float) -> bool:
        """Make a row of this entry's usage if one is due; True if so.

        Must be called several times a second.
        """
        self.prune(now)
        if now - self._told_at < _TELL_INTERVAL_S or not self.is_wanted():
            return False
        self._told_at = now
        used = {
            customer: own.measure(now) for customer, own in self._own.items()
        }
        for customer, usage in used.items():
            if usage < 1 and not self._own[customer].running:
                del self._own[customer]
        largest = heapq.nlargest(_MAX_TOLD, used, key=used.__getitem__)
        customers = {
            customer: round(used[customer])
            for customer in largest
            if used[customer] >= 1
        }
        if not customers:
            return False
        self._number += 1
        self._put(MemberRow(self._own_address, self._number, customers), now)
        return True

    @property
    def changes(self) -> int:
        """Number of rows made or adopted so far."""
        return self._parts.changes

    def list_since(self, seen: int, now: float) -> abc.Sequence[MemberRow]:
        """Return the rows to pass on of those after the first ``seen``."""
        return [
            part.row
            for _, part in self._parts.list_since(seen)
            if now - part.heard_at <= _PASSED_ON_S
        ]

    def merge(self, row: MemberRow, heard_at: float, now: float) -> bool:
        """Apply another member's row; False if it is not adopted.

        ``heard_at`` is when it arrived, or would have without a delay.
        """
        self.prune(now)
        if not _is_sound(row) or not now - _KEPT_S < heard_at <= now:
            return False
        if row.member == self._own_address:
            # A row of an earlier run of this entry. Others ignore this run
            # until its number is higher.
            self._number = max(self._number, row.number)
            return False
        known = self._parts.find(row.member)
        if known is None and len(self._parts) >= _MAX_MEMBERS:
            return False
        if known is not None and row.number <= known.row.number:
            return False
        if known is not None:
            self._subtract(known)
        self._put(row, heard_at)
        if now - self._scaled_to > _MAX_SCALED_S:
            self._rescale(now)
        scale = _compute_left(self._scaled_to, heard_at)
        for customer, usage in row.customers.items():
            others = self._others.get(customer, _Sum(0.0, 0))
            self._others[customer] = _Sum(
                others.usage + usage / scale, others.members + 1
            )
        return True

    def prune(self, now: float) -> None:
        """Drop the rows of members that have told nothing for 4 s."""
        if now < self._prune_at:
            return
        parts = self._parts.list_all()
        dropped = [item for item in parts if now >= item[1].ends_at]
        self._prune_at = min(
            (part.ends_at for _, part in parts if now < part.ends_at),
            default=math.inf,
        )
        for member, _ in dropped:
            self._parts.drop(member)
        if not self.count_others():
            # Subtracting each row took 9 ms where 380 members are lost at
            # once, as to an entry that was paused.
            self._others.clear()
            return
        for member, part in dropped:
            if member != self._own_address:
                self._subtract(part)

    def _put(self, row: MemberRow, heard_at: float) -> None:
        part = _Part(row, heard_at, heard_at + _KEPT_S)
        self._parts.put(row.member, part)
        self._prune_at = min(self._prune_at, part.ends_at)

    def _subtract(self, part: _Part) -> None:
        """Take the usage of a row out of the sums."""
        scale = _compute_left(self._scaled_to, part.heard_at)
        for customer, usage in part.row.customers.items():
            others = self._others[customer]
            if others.members == 1:
                # Rounding errors do not outlast the last row.
                del self._others[customer]
                continue
            rest = max(0.0, others.usage - usage / scale)
            self._others[customer] = _Sum(rest, others.members - 1)

    def _rescale(self, now: float) -> None:
        """Scale the sums to a time, so that they stay in a float's range."""
        left = _compute_left(self._scaled_to, now)
        for customer, others in self._others.items():
            self._others[customer] = others._replace(usage=others.usage * left)
        self._scaled_to = now


def _compute_left(start: float, now: float) -> float:
    """Return the share of usage at ``start`` that still counts."""
    return float(2.0 ** ((start - now) / _HALF_LIFE_S))


def _is_sound(row: MemberRow) -> bool:
    """Tell whether a row of another entry can be used."""
    return (
        len(row.member) <= _MAX_NAME_LENGTH
        and 0 <= row.number <= _MAX_COUNT
        and len(row.customers) <= _MAX_HEARD
        and all(
            len(name) <= _MAX_NAME_LENGTH and 0 <= usage <= _MAX_COUNT
            for name, usage in row.customers.items()
        )
    )

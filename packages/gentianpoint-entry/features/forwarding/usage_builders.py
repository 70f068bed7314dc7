"""A fleet of entries whose customers use engines' memory."""

import math
import typing

import fleet_builders
import trio

from gentianpoint_core.decisions import customer_usage
from gentianpoint_entry import crash_suspects
from gentianpoint_entry.forwarding import gossip_state
from gentianpoint_entry.forwarding import members

LARGE: typing.Final = "customer-0"
SMALL: typing.Final = tuple(f"customer-{number}" for number in range(1, 5))
FACTOR: typing.Final = 10
"""How often the large customer has the tokens of another one."""
_HALF_LIFE_S: typing.Final = 5.0
_USAGE_FIELD: typing.Final = b"usage"
_MOST_TOLD: typing.Final = 8


class UsageFleet(fleet_builders.Fleet):
    """Entries of which each sends for all customers, some for more."""

    def __init__(self, count: int) -> None:
        """Start without entries."""
        super().__init__(count)
        self.lost_directions: typing.Final[set[tuple[str, str]]] = set()
        self.told_at: typing.Final[list[float]] = []
        self.told_bytes = 0
        self.began_at = math.inf
        self.large_ended_at = math.inf

    def deliver(self, link: fleet_builders.Link, data: bytes) -> None:
        """Deliver a message unless its direction is cut."""
        if _USAGE_FIELD in data:
            self.told_at.append(trio.current_time())
            self.told_bytes += len(data)
        ends = (link.sender.address, link.receiver.address)
        if ends not in self.lost_directions:
            super().deliver(link, data)

    def begin_generations(self) -> None:
        """Begin the generations of all customers at all entries."""
        self.began_at = trio.current_time()
        for entry in self.entries.values():
            for customer in (LARGE, *SMALL):
                entry.gossip.usage.begin(
                    customer, _count_tokens(entry, customer), self.began_at
                )

    def end_large(self) -> None:
        """End the generations of the large customer at all entries."""
        self.large_ended_at = trio.current_time()
        for entry in self.entries.values():
            entry.gossip.usage.end(
                LARGE, _count_tokens(entry, LARGE), self.large_ended_at
            )

    def set_waiting(self, *, is_waiting: bool) -> None:
        """Let requests wait at all entries, or at none."""
        for entry in self.entries.values():
            entry.gossip.usage.is_wanted = lambda: is_waiting

    def find_greatest_error(self) -> float:
        """Return by which share an entry's sum is wrong, of the worst one."""
        now = trio.current_time()
        return max(
            abs(
                entry.gossip.usage.find_usage(customer, now)
                / self._compute_usage(customer, now)
                - 1
            )
            for entry in self.entries.values()
            for customer in (LARGE, *SMALL)
        )

    def _compute_usage(self, customer: str, now: float) -> float:
        """Return the token-seconds through all entries."""
        tokens = sum(
            _count_tokens(entry, customer) for entry in self.entries.values()
        )
        ended_at = now if customer != LARGE else min(now, self.large_ended_at)
        begun = 1 - _compute_left(self.began_at, ended_at)
        mean_life_s = _HALF_LIFE_S / math.log(2)
        return tokens * mean_life_s * begun * _compute_left(ended_at, now)


def _count_tokens(entry: fleet_builders.Entry, customer: str) -> int:
    tokens = 1000 + 100 * entry.number
    return tokens * FACTOR if customer == LARGE else tokens


def _compute_left(start: float, now: float) -> float:
    return 0.5 ** ((now - start) / _HALF_LIFE_S)


def make_gossip(count: int) -> gossip_state.GossipState:
    """Return an entry's gossip that has heard ``count`` members' usage.

    Names are as long as on the users' platform. To be called while trio runs.
    """
    gossip = gossip_state.GossipState(
        members.MemberTable("10.10.0.1:7201", "north"),
        crash_suspects.CrashSuspects(),
    )
    now = trio.current_time()
    for number in range(count):
        row = customer_usage.MemberRow(
            f"10.20.{number // 200}.{number % 200 + 20}:7201",
            1000 + number,
            {
                f"customer-{place:02}": 123456 + place
                for place in range(_MOST_TOLD)
            },
        )
        assert gossip.usage.merge(row, now, now)
    return gossip


class RecordedUsage(customer_usage.CustomerUsage):
    """Records the generations that are counted."""

    def __init__(self) -> None:
        """Start with none."""
        super().__init__()
        self.begun: typing.Final[list[tuple[str, int]]] = []
        self.ended: typing.Final[list[tuple[str, int]]] = []

    def begin(self, customer: str, tokens: int, now: float) -> None:
        """Count and record a generation."""
        super().begin(customer, tokens, now)
        self.begun.append((customer, tokens))

    def end(self, customer: str, tokens: int, now: float) -> None:
        """End and record a generation."""
        super().end(customer, tokens, now)
        self.ended.append((customer, tokens))

"""Entries that gossip, before targets that name limits on requests.

The entries gossip as in :mod:`fleet_builders` and share the targets. Callers
come at random entries, and come back once when they are told to.
"""

from collections import abc
import contextlib
import itertools
import math
import random
import typing

import fleet_builders
import forwarding_builders
import mail_builders
import trio

from gentianpoint_core import codec
from gentianpoint_core import named_limits
from gentianpoint_core import option_types
from gentianpoint_core.decisions import request_turns
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import request_permits
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_ends
from gentianpoint_entry.forwarding import targets
from gentianpoint_entry.forwarding import turn_loans
from gentianpoint_standins import windows

__all__ = (
    "LimitFleet",
    "LimitedTarget",
    "SentRequest",
    "ServedCall",
    "ToldTime",
    "count_most",
    "find_most_allowed",
)

WINDOW_S: typing.Final = 4.0
"""Seconds over which requests to a target are counted."""
MAX_OVERSHOOT: typing.Final = 1.5
"""Factor by which a target may get more than its limit allows."""
MAX_EXCESS: typing.Final = 5.0
"""Requests that it may get besides."""
_TRANSIT_S: typing.Final = 0.002
_WORK_S: typing.Final = 0.025
_DEADLINE_MS: typing.Final = 3000.0
_OBJECTIVE_MS: typing.Final = 200.0
_RETRY_SLACK: typing.Final = 58.0

ReadHeader = abc.Callable[[float], abc.Sequence[bytes]]
"""Returns the values of a target's header at a time of trio's clock."""


def name_nothing(now: float) -> abc.Sequence[bytes]:
    """Return no header, as targets without a limit do."""
    return ()


class SentRequest(typing.NamedTuple):
    """A request that reached a target, or its answer."""

    at: float
    """When it arrived or was answered, on trio's clock."""
    entry: int
    """Number of the entry that sent it."""
    request_id: str
    """Identifier of the attempt."""


class ServedCall(typing.NamedTuple):
    """What a caller got."""

    at: float
    """When it was sent, on trio's clock."""
    entry: int
    """Number of the entry that it came to."""
    priority: int
    """Its priority."""
    customer: str
    """Its customer."""
    status: int
    """Status of the last answer; 0 for none."""
    tries: int
    """How often the caller came."""
    took_s: float
    """Seconds to the end of the last answer."""
    last_took_s: float
    """Seconds that the last try took."""
    refusal: typing.Optional[refusals.Refusal]
    """The refusal that ended it, if one did."""


class ToldTime(typing.NamedTuple):
    """A caller was told to come back."""

    entry: int
    """Number of the entry that told it."""
    refusal_at: float
    """When it was told."""
    opens_at: float
    """When a target takes it, on trio's clock."""
    left_s: float
    """Seconds until its deadline; it waits for a third of that at most."""


class LimitedTarget:
    """One start of a target, and what reached it."""

    def __init__(self, name: str, read_header: ReadHeader) -> None:
        """Answer with the header that ``read_header`` returns."""
        self.entry: typing.Final = forwarding_builders.make_entry(name)
        self.read_header = read_header
        self.sent: typing.Final[list[SentRequest]] = []
        self.work_s = _WORK_S
        self.transit_s = _TRANSIT_S
        self.fails = False
        # From when on it says so.
        self.leaves_from = math.inf
        self.leaves_to = math.inf
        self.rests_from = math.inf
        self.rests_to = math.inf
        self.rest_s = 0.0
        self.rest_chance = 1.0
        self._rng: typing.Final = random.Random(name)
        # Answers that said one of the two.
        self.told: typing.Final[list[SentRequest]] = []

    def say_leaving(self, from_at: float, to_at: float = math.inf) -> None:
        """Let its answers say for some time that it leaves."""
        self.leaves_from = from_at
        self.leaves_to = to_at

    def ask_for_rest(
        self,
        from_at: float,
        rest_s: float,
        to_at: float = math.inf,
        chance: float = 1.0,
    ) -> None:
        """Let it refuse requests for some time, and ask for rest."""
        self.rests_from = from_at
        self.rests_to = to_at
        self.rest_s = rest_s
        self.rest_chance = chance

    def refuses(self) -> bool:
        """Tell whether it refuses the request that has come now."""
        now = trio.current_time()
        if not self.rests_from <= now < self.rests_to:
            return False
        return self._rng.random() < self.rest_chance

    def read_limit(self) -> named_limits.NamedLimit:
        """Return what its answers name now."""
        values = self.read_header(trio.current_time())
        return named_limits.read_named_limit(values)


class _LimitedCalls(forwarding_builders.ScriptedCalls):
    """One entry's calls to the targets."""

    def __init__(
        self, number: int, park: abc.Mapping[str, LimitedTarget]
    ) -> None:
        super().__init__()
        self._number: typing.Final = number
        self._park: typing.Final = park

    @contextlib.asynccontextmanager
    async def send_request(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> typing.Any:
        place = self._park[target.target_id]
        await trio.sleep(_TRANSIT_S)
        place.sent.append(
            SentRequest(trio.current_time(), self._number, request.request_id)
        )
        rests = place.refuses()
        await trio.sleep(0.0 if rests else place.work_s)
        limit = place.read_limit()
        now = trio.current_time()
        leaves = place.leaves_from <= now < place.leaves_to
        if rests or leaves:
            place.told.append(
                SentRequest(
                    trio.current_time(), self._number, request.request_id
                )
            )
        await trio.sleep(place.transit_s)
        words = "failure" if place.fails else "answer"
        words = "refuse" if rests else words
        answer = forwarding_builders.ScriptedAnswer(words, target)
        answer.limit = limit
        answer.is_leaving = leaves
        answer.retry_after_ms = place.rest_s * 1000 if rests else 0.0
        answer.rest_ms = answer.retry_after_ms
        yield answer


class _LimitEntry(forwarding_builders.ServingEntry):
    """An entry that serves requests."""

    def __init__(
        self,
        fleet: "LimitFleet",
        gossip: fleet_builders.Entry,
        park: abc.Mapping[str, LimitedTarget],
    ) -> None:
        self.mail: typing.Final = mail_builders.FleetMail(
            fleet.deliver, gossip.address
        )
        self.gossip: typing.Final = gossip
        self.registry: typing.Final = gossip.registry
        for place in park.values():
            self.registry.put_entry(place.entry, trio.current_time())
        calls = _LimitedCalls(gossip.number, park)
        turns = request_turns.RequestTurns(
            gossip.address, gossip.table.list_known
        )
        rng = random.Random(gossip.number)
        ends = target_ends.TargetEnds(
            gossip.suspects,
            gossip.address,
            calls.check_listening,
            lambda contents: None,
        )
        super().__init__(
            forwarding_builders.connect_forwarder(
                self.registry,
                calls,
                ends,
                retry_slack=_RETRY_SLACK,
                count_entries=gossip.table.count,
                seed=gossip.number,
                permits=request_permits.RequestPermits(
                    turns, gossip.gossip.limits
                ),
                loans=turn_loans.TurnLoans(
                    gossip.address,
                    turns,
                    gossip.gossip.limits,
                    self.mail,
                    option_types.split_address,
                    lambda service: request_permits.list_keys(
                        self.registry.list_by_service(service)
                    ),
                    rng,
                ),
                notices=gossip.gossip.notices,
            )
        )


class LimitFleet:
    """Entries, targets that name limits, and callers."""

    def __init__(
        self,
        nursery: trio.Nursery,
        entries: int,
        headers: abc.Mapping[str, ReadHeader],
        seed: int = 1,
    ) -> None:
        """Start entries before a target for each of ``headers``."""
        self.gossip: typing.Final = fleet_builders.Fleet(entries)
        self.gossip.start(nursery)
        self.gossip.run_all()
        self.park: typing.Final = {
            name: LimitedTarget(name, read_header)
            for name, read_header in headers.items()
        }
        self.calls: typing.Final[list[ServedCall]] = []
        self.told: typing.Final[list[ToldTime]] = []
        self.entries: typing.Final = [
            _LimitEntry(self, entry, self.park)
            for entry in self.gossip.entries.values()
        ]
        for entry in self.entries:
            nursery.start_soon(entry.forwarder.close_stale_connections)
        self._nursery: typing.Final = nursery
        self.may_repeat = False
        self._numbers: typing.Final = itertools.count(1)
        self._rng: typing.Final = random.Random(seed)

    def add_entry(self) -> int:
        """Start another entry, and return its number."""
        gossip = self.gossip.add(len(self.gossip.entries))
        self._nursery.start_soon(gossip.run)
        self.entries.append(_LimitEntry(self, gossip, self.park))
        return len(self.entries) - 1

    def deliver(
        self, address: tuple[str, int], data: bytes, sender: tuple[str, int]
    ) -> None:
        """Deliver a datagram, unless an end of its way is cut off or gone."""
        ends = {":".join(map(str, item)) for item in (address, sender)}
        if self.gossip.cut_off & ends or not ends <= set(self.gossip.entries):
            return
        entry = next(
            item
            for item in self.entries
            if option_types.split_address(item.gossip.address) == address
        )
        self._nursery.start_soon(_receive, entry, data, sender)

    def send_odd_datagrams(self) -> None:
        """Send each entry messages of the right form with odd values."""
        addresses = [
            option_types.split_address(entry.gossip.address)
            for entry in self.entries
        ]
        key = f"{next(iter(self.park))}/1"
        for value in (0, -1, 10**400, math.nan, math.inf):
            number = value if isinstance(value, int) else 0
            rows = [{"key": key, "turns": [number]}]
            common = {"question": abs(number), "member": "nobody"}
            wanted = {
                "type": "turns_wanted",
                "service": forwarding_builders.SERVICE,
                "per_s": value,
                "rows": rows,
                **common,
            }
            lent = {"type": "turns_lent", "rows": rows, **common}
            for address in addresses:
                for message in (wanted, lent):
                    data = codec.encode_message(message)
                    self.deliver(address, data, addresses[0])

    def count_datagrams(self) -> tuple[int, int]:
        """Return the datagrams of all entries, and their bytes."""
        return (
            sum(entry.mail.sent for entry in self.entries),
            sum(entry.mail.sent_bytes for entry in self.entries),
        )

    def restart_target(self, name: str, read_header: ReadHeader) -> str:
        """Replace a target by a later start of it; return its identifier."""
        old = self.park[name]
        place = LimitedTarget(f"{name}-again", read_header)
        self.park[place.entry.target_id] = place
        for entry in self.entries:
            entry.registry.drop(old.entry.target_id)
            entry.registry.put_entry(place.entry, trio.current_time())
        return place.entry.target_id

    async def send_load(
        self,
        per_s: float,
        seconds: float,
        choose: abc.Callable[[], int],
        priorities: abc.Sequence[int] = (0,),
        customers: abc.Sequence[str] = ("customer",),
    ) -> None:
        """Let callers come for some seconds, and wait for their answers."""
        async with trio.open_nursery() as nursery:
            until = trio.current_time() + seconds
            while True:
                await trio.sleep(self._rng.expovariate(per_s))
                if trio.current_time() >= until:
                    break
                nursery.start_soon(
                    self.call,
                    choose,
                    self._rng.choice(priorities),
                    self._rng.choice(customers),
                )

    def choose_entry(self) -> int:
        """Draw the entry that a caller comes to."""
        return self._rng.randrange(len(self.entries))

    def list_live(self) -> abc.Sequence[int]:
        """Return the numbers of the entries that were not killed."""
        return [
            number
            for number, entry in enumerate(self.entries)
            if not entry.gossip.is_stopped
        ]

    def draw(self) -> float:
        """Return a random number from 0 to 1."""
        return self._rng.random()

    def kill(self, number: int) -> None:
        """Kill an entry; callers come to it no longer."""
        self.gossip.stop(self.entries[number].gossip)

    async def call(
        self, choose: abc.Callable[[], int], priority: int, customer: str
    ) -> None:
        """Send a caller's request, and once more if it is told to."""
        began = trio.current_time()
        deadline = began + _DEADLINE_MS / 1000
        number = choose()
        for tries in (1, 2):
            entry = self.entries[number]
            answer = forwarding_builders.RecordedAnswer()
            asked_at = trio.current_time()
            await entry.handler.serve(
                self._make_request(deadline, priority, customer), answer
            )
            refusal = entry.refusals.pop(answer, None)
            now = trio.current_time()
            left_s = deadline - now
            if refusal is not None:
                opens_at = now + refusal.retry_after_ms / 1000
                self.told.append(ToldTime(number, now, opens_at, left_s))
            if refusal is None or tries == 2:
                break
            wait_s = refusal.retry_after_ms / 1000
            if wait_s > left_s / 3 + 0.001:
                break
            await trio.sleep(wait_s)
            number = choose()
        self.calls.append(
            ServedCall(
                began,
                number,
                priority,
                customer,
                answer.status,
                tries,
                trio.current_time() - began,
                trio.current_time() - asked_at,
                refusal,
            )
        )

    def _make_request(
        self, deadline: float, priority: int, customer: str
    ) -> requests.CallerRequest:
        kind = routes.RouteKind.ONCE
        if self.may_repeat:
            kind = routes.RouteKind.IDEMPOTENT
        route = forwarding_builders.make_route(kind, max_attempts=2)
        route = route._replace(objective_ms=_OBJECTIVE_MS, priority=priority)
        request = forwarding_builders.make_request(route, None)
        left = request.deadline._replace(at=deadline)
        return request._replace(
            request_id=f"request-{next(self._numbers)}",
            customer=routes.Customer(customer, None),
            caller_deadline=left,
            deadline=left,
            content=str(next(self._numbers)),
        )


async def _receive(
    entry: _LimitEntry, data: bytes, sender: tuple[str, int]
) -> None:
    await trio.sleep(_TRANSIT_S)
    message = codec.decode_message(data, sender[0])
    # Like the socket, which drops what can't be decoded.
    if message.is_ok():
        await entry.mail.handle(message.ok, sender)


def find_most_allowed(limit_per_s: float) -> int:
    """Return the most requests that a target may get in any window.

    >>> find_most_allowed(1.9)
    16
    """
    allowed = MAX_OVERSHOOT * WINDOW_S * limit_per_s + MAX_EXCESS
    return math.floor(allowed)


def count_most(times: abc.Sequence[float], from_s: float) -> int:
    """Return the most of the sorted times in any window from a time on."""
    return windows.count_most([at for at in times if at >= from_s], WINDOW_S)

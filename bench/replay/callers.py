"""Callers of a replay: what they send, and what they see of the answer."""

from collections import abc
import math
import random
import typing

import trio

from bench.replay import shapes
from gentianpoint_core import deadlines
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import request_handling
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes

__all__ = (
    "Caller",
    "Outcome",
    "draw_generations",
    "make_table",
    "send_refusal",
)

_RETRIES: typing.Final = 1
"""Times that a caller comes back."""
_HINT_SPREAD: typing.Final = 1.2
"""Spread of callers' guesses: the standard deviation of their logarithm."""


class Outcome(typing.NamedTuple):
    """What became of one generation, as its caller saw it."""

    generation: shapes.Generation
    """What was asked for."""
    end: str
    """``on time``, ``late``, ``refused``, ``broken`` or ``left``."""
    first_ms: float
    """Time to the first event; negative without one."""
    pauses_ms: abc.Sequence[float]
    """Times between events."""
    refused_after_ms: float
    """Time until the last refusal; 0 without one."""
    came_back: bool
    """True when it took more than one attempt."""


class _Answer(caller_answers.CallerAnswer):
    """What a caller has received, and when."""

    def __init__(self) -> None:
        self.times: typing.Final[list[float]] = []
        self.refusal: typing.Optional[refusals.Refusal] = None

    async def send_whole(
        self,
        status: int,
        headers: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        await self.start(status, headers)
        await self.finish()

    async def start(
        self, status: int, headers: abc.Sequence[tuple[bytes, bytes]]
    ) -> None:
        self.is_started = True
        self.status = status

    async def send(self, data: bytes) -> None:
        self.times.append(trio.current_time())

    async def finish(self) -> None:
        self.is_finished = True


async def send_refusal(
    answer: caller_answers.CallerAnswer, refusal: refusals.Refusal
) -> None:
    """Give a caller a refusal."""
    assert isinstance(answer, _Answer)
    answer.refusal = refusal
    await answer.send_whole(refusal.status, (), b"")


def draw_generations(
    load: shapes.Load, costs: shapes.EngineCosts, source: random.Random
) -> list[shapes.Generation]:
    """Draw arrivals and lengths; the same for all policies of one seed."""
    drawn: list[shapes.Generation] = []
    for kind in load.kinds:
        most = max([1.0, *(surge.factor for surge in load.surges)])
        most *= 1 + load.wave.depth
        at = source.expovariate(kind.per_s * most)
        while at < load.length_s:
            centre = 0
            if load.wave.is_apart:
                centre = source.randrange(load.data_centres)
            surge = _find_surge(load, kind, at)
            factor = surge.factor * _find_wave_factor(load, at, centre)
            if source.random() * most < factor:
                name = f"{kind.name}-{len(drawn)}"
                item = _draw(load, costs, kind, name, at, source)
                drawn.append(_place(load, item, surge, centre, source))
            at += source.expovariate(kind.per_s * most)
    drawn += _draw_fatal(load, costs, source)
    return sorted(drawn, key=lambda item: item.at)


def _draw_fatal(
    load: shapes.Load, costs: shapes.EngineCosts, source: random.Random
) -> list[shapes.Generation]:
    """Draw the requests that end engines, each sent again and again."""
    drawn: list[shapes.Generation] = []
    crashes = load.crashes
    for number in range(crashes.contents):
        kind = load.kinds[number % len(load.kinds)]
        at = source.uniform(0, crashes.every_s)
        while at < load.length_s:
            name = f"fatal-{number}-{len(drawn)}"
            generation = _draw(load, costs, kind, name, at, source)
            drawn.append(generation._replace(fatal_content=f"fatal-{number}"))
            at += crashes.every_s
    return drawn


_NO_SURGE: typing.Final = shapes.Surge(0.0, 0.0, 1.0)


def _find_surge(
    load: shapes.Load, kind: shapes.StreamKind, at: float
) -> shapes.Surge:
    """Return the strongest surge of a kind at a moment."""
    found = [
        surge
        for surge in load.surges
        if surge.at <= at < surge.at + surge.for_s
        and surge.kind in ("", kind.name)
    ]
    return max([_NO_SURGE, *found], key=lambda surge: surge.factor)


def _find_wave_factor(load: shapes.Load, at: float, centre: int) -> float:
    turns = at / load.wave.period_s
    if load.wave.is_apart:
        turns += centre / load.data_centres
    return 1 + load.wave.depth * math.sin(2 * math.pi * turns)


def _place(
    load: shapes.Load,
    item: shapes.Generation,
    surge: shapes.Surge,
    centre: int,
    source: random.Random,
) -> shapes.Generation:
    """Draw the customer, and an entry of the caller's data centre."""
    if load.wave.is_apart:
        near = range(centre, load.entries, load.data_centres)
        item = item._replace(entry=source.choice(near))
    if not load.customer_shares:
        return item
    numbers = range(len(load.customer_shares))
    [number] = source.choices(numbers, load.customer_shares)
    if surge.customer >= 0 and source.random() * surge.factor >= 1.0:
        number = surge.customer
    return item._replace(customer=f"customer-{number}")


def _draw(
    load: shapes.Load,
    costs: shapes.EngineCosts,
    kind: shapes.StreamKind,
    name: str,
    at: float,
    source: random.Random,
) -> shapes.Generation:
    prompt = _draw_length(kind.prompt_tokens, kind.prompt_spread, source)
    answer = _draw_length(kind.answer_events, kind.answer_spread, source)
    answer_events = max(1, min(kind.most_events, round(answer)))
    guess = answer_events * source.lognormvariate(0, _HINT_SPREAD)
    return shapes.Generation(
        request_id=name,
        at=at,
        kind=kind,
        prompt_tokens=max(16, min(6000, round(prompt))),
        answer_events=answer_events,
        hinted_tokens=round(min(kind.most_events, guess) * costs.event_tokens),
        entry=source.randrange(load.entries),
        is_impatient=source.random() < load.impatient_share,
    )


def _draw_length(mean: float, spread: float, source: random.Random) -> float:
    """Draw from a gamma distribution, given its mean and relative spread."""
    shape = 1 / spread**2
    return source.gammavariate(shape, mean / shape)


class Caller:
    """Sends one generation, and comes back once if that helps."""

    def __init__(
        self,
        generation: shapes.Generation,
        handlings: abc.Sequence[request_handling.RequestHandler],
        costs: shapes.EngineCosts,
        service: routes.Service,
        table: routes.RouteTable,
        source: random.Random,
        lost_at: float,
    ) -> None:
        """Send ``generation`` through one of the entries' ``handlings``.

        Engines are told the urgency that ``table`` finds. All entries are
        killed at ``lost_at``, on trio's clock.
        """
        self._lost_at: typing.Final = lost_at
        self._generation: typing.Final = generation
        self._handlings: typing.Final = handlings
        self._costs: typing.Final = costs
        self._service: typing.Final = service
        self._table: typing.Final = table
        self._source: typing.Final = source
        self._times: typing.Final[list[float]] = []
        self._refused_after_ms = 0.0
        self._comes_back = False

    async def call(self) -> Outcome:
        """Return what became of the generation."""
        kind = self._generation.kind
        began = trio.current_time()
        deadline = deadlines.make_deadline(kind.deadline_ms)
        end = ""
        attempt = 0
        for attempt in range(_RETRIES + 1):
            end = await self._try_once(attempt, began, deadline)
            if not self._comes_back:
                break
        return _judge(
            self._generation,
            end,
            began,
            self._times,
            self._refused_after_ms,
            attempt,
        )

    async def _try_once(
        self, attempt: int, began: float, deadline: deadlines.Deadline
    ) -> str:
        """Make one attempt and return its end."""
        generation = self._generation
        kind = generation.kind
        self._comes_back = False
        number = generation.entry
        if attempt:
            number = self._source.randrange(len(self._handlings))
        answer = _Answer()
        request = _make_request(
            generation,
            self._costs,
            self._service,
            self._table,
            deadline,
            len(self._times),
        )
        leave_at = min(deadline.at, self._lost_at)
        if generation.is_impatient:
            leave_at = min(leave_at, began + kind.objective_ms / 2000)
        with trio.CancelScope(deadline=leave_at) as scope:
            await self._handlings[number].serve(request, answer)
        self._times.extend(answer.times)
        if answer.is_finished and answer.refusal is None:
            return "on time"
        if scope.cancelled_caught:
            return "left" if generation.is_impatient else "broken"
        if answer.refusal is None:
            self._comes_back = kind.may_resume
            return "broken"
        return await self._take_refusal(answer.refusal, began)

    async def _take_refusal(
        self, refusal: refusals.Refusal, began: float
    ) -> str:
        """Wait as a refusal says, if coming back is allowed."""
        self._refused_after_ms = (trio.current_time() - began) * 1000
        may_have_run = refusal.status != refusals.NOT_RUN
        if may_have_run and not self._generation.kind.may_resume:
            return "broken"
        self._comes_back = True
        await trio.sleep(refusal.retry_after_ms / 1000)
        return "refused"


def _make_route(kind: shapes.StreamKind, service: str) -> routes.Route:
    return routes.Route(
        name=kind.name,
        host="host.example",
        path_prefix="/",
        shares=(routes.ServiceShare(service, 1.0),),
        kind=routes.RouteKind.STREAM,
        may_resume=kind.may_resume,
        timeout_ms=kind.deadline_ms,
        objective_ms=kind.objective_ms,
        gap_objective_ms=kind.pause_ms,
        max_attempts=kind.max_attempts,
        priority=kind.priority,
        is_public=True,
        is_generation=True,
    )


def make_table(
    kinds: abc.Sequence[shapes.StreamKind], service: routes.Service
) -> routes.RouteTable:
    """Return the configuration with one route for each kind."""
    return routes.RouteTable(
        1,
        [_make_route(kind, service.name) for kind in kinds],
        [service],
        {},
        routes.CallerLimits(0, 0, 0.0, 0.0),
        requires_keys=False,
    )


def _make_request(
    generation: shapes.Generation,
    costs: shapes.EngineCosts,
    service: routes.Service,
    table: routes.RouteTable,
    deadline: deadlines.Deadline,
    events: int,
) -> requests.CallerRequest:
    kind = generation.kind
    route = _make_route(kind, service.name)
    customer = None
    if generation.customer:
        customer = routes.Customer(generation.customer, None)
    return requests.CallerRequest(
        request_id=generation.request_id,
        method=b"POST",
        path=b"/",
        headers=(),
        body=b"",
        route=route,
        service=service,
        customer=customer,
        caller_deadline=deadline,
        deadline=deadline,
        prompt_tokens=generation.prompt_tokens,
        likely_output_tokens=generation.hinted_tokens,
        most_output_tokens=kind.most_events * costs.event_tokens,
        last_event_id=str(events) if events else "",
        content=generation.fatal_content or generation.request_id,
        urgency=table.find_urgency(route, service),
        received_at=trio.current_time(),
    )


def _judge(
    generation: shapes.Generation,
    end: str,
    began: float,
    times: abc.Sequence[float],
    refused_after_ms: float,
    attempt: int,
) -> Outcome:
    kind = generation.kind
    pauses = [
        (after - before) * 1000
        for before, after in zip(times, times[1:], strict=False)
    ]
    first_ms = (times[0] - began) * 1000 if times else -1.0
    is_late = first_ms > kind.objective_ms or max(pauses, default=0.0) > (
        kind.pause_ms
    )
    if end == "on time" and is_late:
        end = "late"
    return Outcome(
        generation, end, first_ms, pauses, refused_after_ms, attempt > 0
    )

"""Requests that arrive at an entry while it leaves."""

from collections import abc
import random
import typing

import forwarding_builders
import topic_builders
import trio

from gentianpoint_core import deadlines
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import leaving
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import request_handling
from gentianpoint_entry.forwarding import routes

_REQUEST_COUNT: typing.Final = 60
_ESTIMATE_SPREAD: typing.Final = 1.0
"""Standard deviation of the logarithm of estimate over length."""
ENGINE: typing.Final = forwarding_builders.ENGINE._replace(
    can_move=False, can_back_up=False, event_tokens=10
)


class Generation(typing.NamedTuple):
    """A generation, and the length that its caller states."""

    arrives_at: float
    """When it arrives, as a share of the time that the entry takes to
    leave."""
    events: int
    """Events of its answer, each of ten tokens and 100 ms."""
    likely_tokens: int
    """Its caller's estimate of the answer's tokens."""
    most_tokens: int
    """The most that its caller allows."""


def draw_generations(most_tokens: int, seed: int) -> list[Generation]:
    """Return generations whose estimates are right only at the median."""
    rng = random.Random(seed)
    drawn = []
    most_events = most_tokens // ENGINE.event_tokens
    for number in range(_REQUEST_COUNT):
        events = rng.randint(1, most_events)
        factor = rng.lognormvariate(0, _ESTIMATE_SPREAD)
        estimate = round(events * ENGINE.event_tokens * factor)
        likely_tokens = max(1, min(estimate, most_tokens))
        generation = Generation(
            number / _REQUEST_COUNT, events, likely_tokens, most_tokens
        )
        drawn.append(generation)
    return drawn


def serve_while_leaving(
    generations: abc.Sequence[Generation], leave_ms: int
) -> list[tuple[Generation, forwarding_builders.RecordedAnswer]]:
    """Serve each generation alone, and return what its caller received."""
    return [
        (
            generation,
            topic_builders.run_on_mock_clock(_serve, generation, leave_ms),
        )
        for generation in generations
    ]


async def _serve(
    generation: Generation, leave_ms: int
) -> forwarding_builders.RecordedAnswer:
    answer = forwarding_builders.RecordedAnswer()
    calls = forwarding_builders.ScriptedCalls()
    calls.scripts["a"] = [f"events 1-{generation.events} then end"]
    shared = forwarding_builders.make_forwarder(["a"], calls)
    route = forwarding_builders.make_route(routes.RouteKind.STREAM)
    ends_at = trio.current_time() + leave_ms / 1000
    handler = request_handling.RequestHandler(
        shared, forwarding_builders.send_refusal, lambda: ends_at
    )
    await trio.sleep(generation.arrives_at * leave_ms / 1000)
    request = forwarding_builders.make_request(route, ENGINE)
    request = request._replace(
        likely_output_tokens=generation.likely_tokens,
        most_output_tokens=generation.most_tokens,
    )
    with trio.CancelScope(deadline=ends_at):
        await handler.serve(request, answer)
    return answer


def draw_returns_ms(
    near: abc.Sequence[typing.Optional[float]],
    far: abc.Sequence[typing.Optional[float]],
    leave_ms: float,
    needed_ms: float,
) -> list[float]:
    """Return when callers that a leaving entry refuses should come back."""
    return [
        topic_builders.run_on_mock_clock(
            _refuse, near, far, leave_ms, needed_ms, seed
        )
        for seed in range(_REQUEST_COUNT)
    ]


async def _refuse(
    near: abc.Sequence[typing.Optional[float]],
    far: abc.Sequence[typing.Optional[float]],
    leave_ms: float,
    needed_ms: float,
    seed: int,
) -> float:
    delays_ms = []

    async def record_refusal(
        answer: caller_answers.CallerAnswer, refusal: refusals.Refusal
    ) -> None:
        delays_ms.append(refusal.retry_after_ms)

    shared = forwarding_builders.make_forwarder(
        [], forwarding_builders.ScriptedCalls()
    )
    shared.rng.seed(seed)
    handler = request_handling.RequestHandler(
        shared,
        record_refusal,
        trio.current_time,
        lambda _: leaving.find_retry_delay_ms(near, far, leave_ms, needed_ms),
    )
    request = forwarding_builders.make_request(
        forwarding_builders.make_route(routes.RouteKind.STREAM), ENGINE
    )
    long_deadline = deadlines.make_deadline(60000)
    request = request._replace(caller_deadline=long_deadline)
    await handler.serve(request, forwarding_builders.RecordedAnswer())
    (returns_ms,) = delays_ms
    return returns_ms

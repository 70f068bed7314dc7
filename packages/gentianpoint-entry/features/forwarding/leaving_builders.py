"""Requests that come to an entry while it leaves."""

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

_COUNT: typing.Final = 60
_ESTIMATE_SPREAD: typing.Final = 1.0
"""Standard deviation of the logarithm of estimate over length."""
ENGINE: typing.Final = forwarding_builders.ENGINE._replace(
    can_move=False, can_back_up=False, event_tokens=10
)


class Generation(typing.NamedTuple):
    """A generation and what its caller says of it."""

    comes_at: float
    """When it comes, as a share of the time that the entry leaves for."""
    events: int
    """Events of its answer, ten tokens and 100 ms each."""
    likely_tokens: int
    """Its caller's estimate of the answer's tokens."""
    most_tokens: int
    """The most that its caller allows."""


def draw_generations(most_tokens: int, seed: int) -> list[Generation]:
    """Return generations whose estimates are right at the median only."""
    source = random.Random(seed)
    drawn = []
    most_events = most_tokens // ENGINE.event_tokens
    for number in range(_COUNT):
        events = source.randint(1, most_events)
        factor = source.lognormvariate(0, _ESTIMATE_SPREAD)
        estimate = round(events * ENGINE.event_tokens * factor)
        likely_tokens = max(1, min(estimate, most_tokens))
        generation = Generation(
            number / _COUNT, events, likely_tokens, most_tokens
        )
        drawn.append(generation)
    return drawn


def serve_while_leaving(
    generations: abc.Sequence[Generation], leave_ms: int
) -> list[tuple[Generation, forwarding_builders.NotedAnswer]]:
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
) -> forwarding_builders.NotedAnswer:
    answer = forwarding_builders.NotedAnswer()
    calls = forwarding_builders.ScriptedCalls()
    calls.scripts["a"] = [f"events 1-{generation.events} then end"]
    shared = forwarding_builders.make_forwarder(["a"], calls)
    route = forwarding_builders.make_route(routes.RouteKind.STREAM)
    ends_at = trio.current_time() + leave_ms / 1000
    handling = request_handling.RequestHandler(
        shared, forwarding_builders.send_refusal, lambda: ends_at
    )
    await trio.sleep(generation.comes_at * leave_ms / 1000)
    request = forwarding_builders.make_request(route, ENGINE)
    request = request._replace(
        likely_output_tokens=generation.likely_tokens,
        most_output_tokens=generation.most_tokens,
    )
    with trio.CancelScope(deadline=ends_at):
        await handling.serve(request, answer)
    return answer


def draw_returns_ms(
    near: abc.Sequence[typing.Optional[float]],
    far: abc.Sequence[typing.Optional[float]],
    leave_ms: float,
    needed_ms: float,
) -> list[float]:
    """Return when callers that a leaving entry refuses are to come back."""
    return [
        topic_builders.run_on_mock_clock(
            _refuse, near, far, leave_ms, needed_ms, seed
        )
        for seed in range(_COUNT)
    ]


async def _refuse(
    near: abc.Sequence[typing.Optional[float]],
    far: abc.Sequence[typing.Optional[float]],
    leave_ms: float,
    needed_ms: float,
    seed: int,
) -> float:
    noted = []

    async def note(
        answer: caller_answers.CallerAnswer, refusal: refusals.Refusal
    ) -> None:
        noted.append(refusal.retry_after_ms)

    shared = forwarding_builders.make_forwarder(
        [], forwarding_builders.ScriptedCalls()
    )
    shared.rng.seed(seed)
    handling = request_handling.RequestHandler(
        shared,
        note,
        trio.current_time,
        lambda _: leaving.find_retry_delay_ms(near, far, leave_ms, needed_ms),
    )
    request = forwarding_builders.make_request(
        forwarding_builders.make_route(routes.RouteKind.STREAM), ENGINE
    )
    patient = deadlines.make_deadline(60000)
    request = request._replace(caller_deadline=patient)
    await handling.serve(request, forwarding_builders.NotedAnswer())
    (returns_ms,) = noted
    return returns_ms

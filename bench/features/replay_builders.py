"""Generations for the engine of replays."""

from collections import abc

import trio

from bench.replay import engine
from bench.replay import shapes

KIND = shapes.StreamKind(
    name="kind",
    per_s=1.0,
    prompt_tokens=1000,
    prompt_spread=0.0,
    answer_events=10,
    answer_spread=0.0,
    most_events=10,
    objective_ms=1500,
    pause_ms=180,
    deadline_ms=6000,
    worth=1.0,
    late_worth=0.0,
    may_resume=False,
    max_attempts=1,
)


def make_work(name: str, urgency: int) -> engine.Work:
    """Return a generation of 1,000 prompt tokens and ten events."""
    generation = shapes.Generation(name, 0.0, KIND, 1000, 10, 40, 0, False)
    return engine.Work(generation, 0, 0, urgency)


async def run_three(
    memory_tokens: int, names: abc.Sequence[str], urgency: int
) -> tuple[list[str], engine.Engine]:
    """Return the names in the order in which they end, and the engine.

    The last one has ``urgency``, the others the usual one.
    """
    costs = shapes.EngineCosts(memory_tokens=memory_tokens)
    here = engine.Engine("engine", "centre-0", costs)
    ended: list[str] = []

    async def wait_for(work: engine.Work) -> None:
        async for _ in work.received:
            pass
        ended.append(work.generation.request_id)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(here.run)
        with trio.fail_after(60):
            async with trio.open_nursery() as waiting:
                for name, level in zip(names, (5, 5, urgency), strict=True):
                    work = make_work(name, level)
                    here.add(work, is_first=False)
                    waiting.start_soon(wait_for, work)
                    await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    return ended, here

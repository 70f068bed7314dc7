"""Prompts that come at once to an engine on a virtual clock."""

from collections import abc
import random
import typing

from bench import admission_trials
from gentianpoint_standins import engine_lengths
from gentianpoint_standins import engine_scheduler

__all__ = ("count_preemptions",)

_LENGTH_SEED: typing.Final = 5


def count_preemptions(
    policy: str,
    count: int,
    blocks: int,
    spread_s: float,
    age_s: float,
    seed: int,
) -> int:
    """Return how often an engine preempted ``count`` streams.

    They come within ``spread_s`` seconds, in an order and at times drawn by
    ``seed``; reports of the engine are ``age_s`` seconds old.
    """
    variant = admission_trials.Variant(
        "burst",
        "fewest_preemptions",
        engine_scheduler.SchedulerLimits(
            blocks=blocks, step_ms=30.0, stream_ms=0.05, block_tokens=16
        ),
        age_s,
        calls_a_second=0.0,
        short_share=0.0,
        long_mean=0.0,
    )
    figures = admission_trials.run_callers(
        variant,
        policy,
        _draw_callers(count, spread_s, seed),
        {"queue_within_ms": 120_000, "max_queued": count},
    )
    return figures.preemptions


def _draw_callers(
    count: int, spread_s: float, seed: int
) -> abc.Sequence[admission_trials.Caller]:
    lengths = engine_lengths.LengthTable(
        _LENGTH_SEED, engine_lengths.DEFAULT_CLASSES, 0.0
    )
    source = random.Random(seed)
    numbers = source.sample(range(count), count)
    times = sorted(source.uniform(0, spread_s) for _ in numbers)
    prompts = [
        f"question {number} of the usual kind, to be answered"
        for number in numbers
    ]
    return [
        admission_trials.Caller(at, "one", prompt, lengths.draw(prompt, 0.0))
        for at, prompt in zip(times, prompts, strict=True)
    ]

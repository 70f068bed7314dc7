"""Arrivals: when which request is sent.

All is drawn before the first request is sent, so that the load does not
depend on how fast answers come (an open loop), and the same seed gives the
same requests whatever the system does.
"""

from collections import abc
import typing

import numpy

from gentianpoint_entry.load import scenarios

__all__ = ("Arrival", "draw_arrivals")

_WORDS: typing.Final = (
    "bobina",
    "ranura",
    "cobre",
    "praia",
    "bilhete",
    "farmacia",
    "estator",
    "caminho",
    "quadro",
    "polo",
)
_MEAN_WORD_CHARS: typing.Final = 8


class Arrival(typing.NamedTuple):
    """One request to be sent."""

    at_s: float
    """When, seconds from the start."""
    kind: scenarios.RequestKind
    """Its kind."""
    customer: str
    """Customer who asks."""
    prompt: str
    """Prompt text."""


def _find_factor(scenario: scenarios.Scenario, at_s: float) -> float:
    factors = [
        burst.factor
        for burst in scenario.bursts
        if burst.from_s <= at_s < burst.to_s
    ]
    return max(factors, default=1.0)


def _draw_words(source: numpy.random.Generator, chars: int) -> str:
    count = max(1, chars // _MEAN_WORD_CHARS)
    return " ".join(source.choice(_WORDS, count))


def _draw_prompt(
    source: numpy.random.Generator,
    kind: scenarios.RequestKind,
    prefixes: abc.Sequence[str],
    number: int,
) -> str:
    prefix = prefixes[int(source.integers(len(prefixes)))]
    own = _draw_words(source, int(source.exponential(kind.prompt_chars)) + 1)
    return f"{prefix} kind:{kind.name} request {number} {own}"


def _choose(
    source: numpy.random.Generator, shares: abc.Sequence[float]
) -> int:
    weights = numpy.asarray(shares) / sum(shares)
    return int(source.choice(len(weights), p=weights))


def draw_arrivals(
    scenario: scenarios.Scenario, seed: int
) -> abc.Sequence[Arrival]:
    """Return the requests of a scenario in the order of their times."""
    source = numpy.random.default_rng(seed)
    prefixes = [
        [
            _draw_words(source, kind.prefix_chars)[: kind.prefix_chars]
            for _ in range(kind.templates)
        ]
        for kind in scenario.kinds
    ]
    kind_shares = [kind.share for kind in scenario.kinds]
    customer_shares = [customer.share for customer in scenario.customers]
    arrivals: list[Arrival] = []
    at_s = 0.0
    while True:
        rate = scenario.rate * _find_factor(scenario, at_s)
        at_s += float(source.exponential(1.0 / rate))
        if at_s >= scenario.seconds:
            return arrivals
        chosen = _choose(source, kind_shares)
        kind = scenario.kinds[chosen]
        customer = scenario.customers[_choose(source, customer_shares)].name
        prompt = _draw_prompt(source, kind, prefixes[chosen], len(arrivals))
        arrivals.append(Arrival(at_s, kind, customer, prompt))

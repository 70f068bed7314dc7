"""Draws the times and contents of a load's requests.

All requests are drawn before the first is sent. So the load does not depend
on how fast answers come (an open loop), and the same seed gives the same
requests whatever the system does.
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
"""Words that prompts are made of."""
_CHARS_PER_WORD: typing.Final = 8
"""Approximate length of a word with the space after it, characters."""


class Arrival(typing.NamedTuple):
    """One request of the load."""

    at_s: float
    """Time at which it is sent, seconds from the start."""
    kind: scenarios.RequestKind
    """Kind of the request."""
    customer: str
    """Name of the customer that sends it."""
    prompt: str
    """Prompt text."""


def _find_burst_factor(scenario: scenarios.Scenario, at_s: float) -> float:
    factors = [
        burst.factor
        for burst in scenario.bursts
        if burst.from_s <= at_s < burst.to_s
    ]
    return max(factors, default=1.0)


def _draw_text(rng: numpy.random.Generator, chars: int) -> str:
    count = max(1, chars // _CHARS_PER_WORD)
    return " ".join(rng.choice(_WORDS, count))


def _draw_prompt(
    rng: numpy.random.Generator,
    kind: scenarios.RequestKind,
    prefixes: abc.Sequence[str],
    number: int,
) -> str:
    prefix = prefixes[int(rng.integers(len(prefixes)))]
    own = _draw_text(rng, int(rng.exponential(kind.prompt_chars)) + 1)
    return f"{prefix} kind:{kind.name} request {number} {own}"


def _draw_index(
    rng: numpy.random.Generator, shares: abc.Sequence[float]
) -> int:
    weights = numpy.asarray(shares) / sum(shares)
    return int(rng.choice(len(weights), p=weights))


def draw_arrivals(
    scenario: scenarios.Scenario, seed: int
) -> abc.Sequence[Arrival]:
    """Return the requests of a scenario, sorted by time."""
    rng = numpy.random.default_rng(seed)
    prefixes = [
        [
            _draw_text(rng, kind.prefix_chars)[: kind.prefix_chars]
            for _ in range(kind.templates)
        ]
        for kind in scenario.kinds
    ]
    kind_shares = [kind.share for kind in scenario.kinds]
    customer_shares = [customer.share for customer in scenario.customers]
    arrivals: list[Arrival] = []
    at_s = 0.0
    while True:
        rate = scenario.rate * _find_burst_factor(scenario, at_s)
        at_s += float(rng.exponential(1.0 / rate))
        if at_s >= scenario.seconds:
            return arrivals
        chosen = _draw_index(rng, kind_shares)
        kind = scenario.kinds[chosen]
        customer = scenario.customers[_draw_index(rng, customer_shares)].name
        prompt = _draw_prompt(rng, kind, prefixes[chosen], len(arrivals))
        arrivals.append(Arrival(at_s, kind, customer, prompt))

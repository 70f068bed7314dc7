"""Builders of scenarios and outcomes for the load tool's features."""

from collections import abc

from gentianpoint_entry.load import results
from gentianpoint_entry.load import scenarios


def make_scenario(
    rate: float,
    seconds: float,
    bursts: abc.Sequence[scenarios.Burst] = (),
) -> scenarios.Scenario:
    """Return a scenario of two kinds and two customers."""
    kinds = [
        scenarios.RequestKind("ticket", 0.7, prefix_chars=100),
        scenarios.RequestKind("report", 0.3, repeatable=False),
    ]
    customers = [
        scenarios.CustomerShare("large", 0.8),
        scenarios.CustomerShare("small", 0.2),
    ]
    return scenarios.Scenario(
        "built", "service", seconds, rate, kinds, customers, list(bursts)
    )


def make_outcome(
    customer: str = "large",
    outcome: str = results.OK,
    gaps_ms: abc.Sequence[float] = (),
) -> results.RequestOutcome:
    """Return an outcome with the given gaps."""
    tokens = len(gaps_ms) + 1
    total_ms = sum(gaps_ms)
    return results.RequestOutcome(
        "ticket", customer, outcome, 1.0, 5.0, gaps_ms, tokens, total_ms
    )

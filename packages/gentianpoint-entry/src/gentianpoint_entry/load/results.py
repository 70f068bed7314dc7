"""What callers saw, in sketches of bounded size.

A stream's expected pace is the median of its own gaps; the time by which a
gap exceeds twice of it is stall time. Times are milliseconds.
"""

from collections import abc
import statistics
import typing

import ddsketch

__all__ = ("LoadResults", "RequestOutcome")

_QUANTILES: typing.Final = (0.5, 0.95, 0.99)
_STALL_FACTOR: typing.Final = 2.0
_LEAST_S: typing.Final = 1.0
_MS_IN_S: typing.Final = 1000
_ACCURACY: typing.Final = 0.01
OK: typing.Final = "ok"


class RequestOutcome(typing.NamedTuple):
    """What became of one request."""

    kind: str
    """Kind of request."""
    customer: str
    """Customer who asked."""
    outcome: str
    """``ok`` or the error code; ``broken`` for a broken connection."""
    at_s: float
    """When it was sent, seconds from the start."""
    first_ms: float
    """Time to the first token; 0 when none came."""
    gaps_ms: abc.Sequence[float]
    """Times between tokens."""
    tokens: int
    """Tokens that came."""
    total_ms: float
    """Time to the final answer."""


def _measure_stall_ms(gaps_ms: abc.Sequence[float]) -> float:
    if len(gaps_ms) < 2:
        return 0.0
    pace_ms = max(1.0, statistics.median(gaps_ms))
    limit_ms = _STALL_FACTOR * pace_ms
    return sum(gap - pace_ms for gap in gaps_ms if gap > limit_ms)


class LoadResults:
    """Figures of one run, added up outcome by outcome."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.gaps: typing.Final = ddsketch.DDSketch(_ACCURACY)
        self.first: typing.Final = ddsketch.DDSketch(_ACCURACY)
        self.stalls: typing.Final = ddsketch.DDSketch(_ACCURACY)
        self.outcomes: typing.Final[dict[str, int]] = {}
        self.tokens_of: typing.Final[dict[str, int]] = {}
        self.requests_of: typing.Final[dict[str, int]] = {}
        self.ok_of: typing.Final[dict[str, int]] = {}
        self.last_end_s = 0.0
        self.stall_ms = 0.0
        self.good_tokens = 0
        self.lost_tokens = 0

    def add(self, outcome: RequestOutcome) -> None:
        """Add what became of one request."""
        name, customer = outcome.outcome, outcome.customer
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
        self.requests_of[customer] = self.requests_of.get(customer, 0) + 1
        ended_s = outcome.at_s + outcome.total_ms / _MS_IN_S
        self.last_end_s = max(self.last_end_s, ended_s)
        if outcome.first_ms:
            self.first.add(outcome.first_ms)
        for gap_ms in outcome.gaps_ms:
            self.gaps.add(gap_ms)
        stall_ms = _measure_stall_ms(outcome.gaps_ms)
        self.stall_ms += stall_ms
        if outcome.tokens > 1:
            self.stalls.add(stall_ms)
        if name != OK:
            self.lost_tokens += outcome.tokens
            return
        self.good_tokens += outcome.tokens
        self.ok_of[customer] = self.ok_of.get(customer, 0) + 1
        tokens = self.tokens_of.get(customer, 0) + outcome.tokens
        self.tokens_of[customer] = tokens

    def count_requests(self) -> int:
        """Return the number of requests."""
        return sum(self.outcomes.values())

    def find_least_share(self) -> float:
        """Return the worst customer's share of requests answered whole.

        It is divided by the share over all customers: 1 is what a fair
        system gives, under 0.5 somebody was starved.
        """
        answered = self.outcomes.get(OK, 0) / max(1, self.count_requests())
        if not answered:
            return 0.0
        return min(
            self.ok_of.get(customer, 0) / count / answered
            for customer, count in self.requests_of.items()
        )

    def summarize(self) -> dict[str, typing.Any]:
        """Return all figures as plain values for JSON.

        Goodput counts the tokens of whole answers over the time until the
        last answer, so that a backlog which is worked off after the load
        has ended is not taken for throughput.
        """
        requests = self.count_requests()
        return {
            "requests": requests,
            "outcomes": dict(sorted(self.outcomes.items())),
            "answered_share": self.outcomes.get(OK, 0) / max(1, requests),
            "goodput_tokens_per_s": self.good_tokens
            / max(_LEAST_S, self.last_end_s),
            "last_end_s": self.last_end_s,
            "lost_tokens": self.lost_tokens,
            "stall_ms_total": self.stall_ms,
            "stall_ms_per_request": self.stall_ms / max(1, requests),
            "stall_ms": _read_quantiles(self.stalls),
            "time_between_tokens_ms": _read_quantiles(self.gaps),
            "first_token_ms": _read_quantiles(self.first),
            "least_customer_share": self.find_least_share(),
            "tokens_by_customer": dict(sorted(self.tokens_of.items())),
        }


def _read_quantiles(sketch: ddsketch.DDSketch) -> dict[str, float]:
    return {
        f"p{round(quantile * 100)}": sketch.get_quantile_value(quantile) or 0.0
        for quantile in _QUANTILES
    }

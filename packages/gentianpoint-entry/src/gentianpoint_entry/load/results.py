"""Aggregates what the callers of a load measured.

Distributions are kept in quantile sketches of bounded size. The pace of a
stream is the median of the gaps between its tokens. A gap longer than twice
the pace is a stall, and its stall time is the gap minus the pace. Times are
in milliseconds unless a name ends in ``_s``.
"""

from collections import abc
import statistics
import typing

import ddsketch

__all__ = ("LoadResults", "RequestOutcome")

_QUANTILES: typing.Final = (0.5, 0.95, 0.99)
_STALL_FACTOR: typing.Final = 2.0
"""Multiple of a stream's pace above which a gap is a stall."""
_MIN_DURATION_S: typing.Final = 1.0
"""Shortest time that goodput is divided by, seconds."""
_MS_PER_S: typing.Final = 1000
_ACCURACY: typing.Final = 0.01
"""Relative error of a quantile."""
OK: typing.Final = "ok"
"""Outcome of a request that was answered completely."""


class RequestOutcome(typing.NamedTuple):
    """How one request ended."""

    kind: str
    """Name of the kind of request."""
    customer: str
    """Name of the customer that sent it."""
    outcome: str
    """``ok``, an error code, or ``broken`` if the answer has neither."""
    at_s: float
    """Time at which it was sent, seconds from the start."""
    first_ms: float
    """Time to the first token; 0 if none came."""
    gaps_ms: abc.Sequence[float]
    """Times between tokens."""
    tokens: int
    """Number of tokens received."""
    total_ms: float
    """Time until the request ended."""


def _measure_stall_ms(gaps_ms: abc.Sequence[float]) -> float:
    if len(gaps_ms) < 2:
        return 0.0
    pace_ms = max(1.0, statistics.median(gaps_ms))
    limit_ms = _STALL_FACTOR * pace_ms
    return sum(gap - pace_ms for gap in gaps_ms if gap > limit_ms)


class LoadResults:
    """Results of one run, accumulated request by request."""

    def __init__(self) -> None:
        """Start without requests."""
        self.token_gaps: typing.Final = ddsketch.DDSketch(_ACCURACY)
        self.first_token_times: typing.Final = ddsketch.DDSketch(_ACCURACY)
        self.stall_times: typing.Final = ddsketch.DDSketch(_ACCURACY)
        self.outcomes: typing.Final[dict[str, int]] = {}
        self.tokens_by_customer: typing.Final[dict[str, int]] = {}
        self.requests_by_customer: typing.Final[dict[str, int]] = {}
        self.completed_by_customer: typing.Final[dict[str, int]] = {}
        self.last_end_s = 0.0
        self.stall_ms = 0.0
        self.good_tokens = 0
        self.lost_tokens = 0

    def add(self, outcome: RequestOutcome) -> None:
        """Add the outcome of one request."""
        name, customer = outcome.outcome, outcome.customer
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
        self.requests_by_customer[customer] = (
            self.requests_by_customer.get(customer, 0) + 1
        )
        ended_s = outcome.at_s + outcome.total_ms / _MS_PER_S
        self.last_end_s = max(self.last_end_s, ended_s)
        if outcome.first_ms:
            self.first_token_times.add(outcome.first_ms)
        for gap_ms in outcome.gaps_ms:
            self.token_gaps.add(gap_ms)
        stall_ms = _measure_stall_ms(outcome.gaps_ms)
        self.stall_ms += stall_ms
        if outcome.tokens > 1:
            self.stall_times.add(stall_ms)
        if name != OK:
            self.lost_tokens += outcome.tokens
            return
        self.good_tokens += outcome.tokens
        self.completed_by_customer[customer] = (
            self.completed_by_customer.get(customer, 0) + 1
        )
        tokens = self.tokens_by_customer.get(customer, 0) + outcome.tokens
        self.tokens_by_customer[customer] = tokens

    def count_requests(self) -> int:
        """Return the number of requests."""
        return sum(self.outcomes.values())

    def compute_least_share(self) -> float:
        """Return the smallest share of answered requests of any customer.

        It is relative to the share over all customers: 1 means that all
        customers were treated alike, below 0.5 that one was starved.
        """
        answered = self.outcomes.get(OK, 0) / max(1, self.count_requests())
        if not answered:
            return 0.0
        return min(
            self.completed_by_customer.get(customer, 0) / count / answered
            for customer, count in self.requests_by_customer.items()
        )

    def summarize(self) -> dict[str, typing.Any]:
        """Return all results as plain values for JSON.

        Goodput is the tokens of complete answers per second until the last
        request ended. Dividing by the duration of the load instead would
        count a backlog that is answered after its end as throughput.
        """
        requests = self.count_requests()
        return {
            "requests": requests,
            "outcomes": dict(sorted(self.outcomes.items())),
            "answered_share": self.outcomes.get(OK, 0) / max(1, requests),
            "goodput_tokens_per_s": self.good_tokens
            / max(_MIN_DURATION_S, self.last_end_s),
            "last_end_s": self.last_end_s,
            "lost_tokens": self.lost_tokens,
            "stall_ms_total": self.stall_ms,
            "stall_ms_per_request": self.stall_ms / max(1, requests),
            "stall_ms": _read_quantiles(self.stall_times),
            "time_between_tokens_ms": _read_quantiles(self.token_gaps),
            "first_token_ms": _read_quantiles(self.first_token_times),
            "least_customer_share": self.compute_least_share(),
            "tokens_by_customer": dict(
                sorted(self.tokens_by_customer.items())
            ),
        }


def _read_quantiles(sketch: ddsketch.DDSketch) -> dict[str, float]:
    return {
        f"p{round(quantile * 100)}": sketch.get_quantile_value(quantile) or 0.0
        for quantile in _QUANTILES
    }

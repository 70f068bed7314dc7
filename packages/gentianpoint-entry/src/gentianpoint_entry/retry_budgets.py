"""Retry budgets, which keep retries from amplifying an overload.

Each new request of a service adds a fraction of one retry to the service's
budget, and each retry spends one. Even if every target refuses or fails, the
number of attempts stays below ``1 + share`` per request plus a small initial
budget.
"""

import typing

__all__ = ("DEFAULT_RETRY_SHARE", "RetryBudgets")

DEFAULT_RETRY_SHARE: typing.Final = 0.2
"""Retries as a share of new requests if the service sets none."""
_MAX_BUDGET: typing.Final = 10.0
"""Initial and largest budget of a service, in retries."""


class RetryBudgets:
    """The retry budgets of all services at one entry."""

    def __init__(self) -> None:
        """Start with a full budget for each service."""
        self._budgets: typing.Final[dict[str, float]] = {}

    def note_request(self, service: str, share: float) -> None:
        """Count a new request, which adds ``share`` of a retry."""
        budget = self._budgets.get(service, _MAX_BUDGET)
        self._budgets[service] = min(_MAX_BUDGET, budget + share)

    def has_retry(self, service: str) -> bool:
        """Tell whether at least one retry is left."""
        return self._budgets.get(service, _MAX_BUDGET) >= 1.0

    def take_retry(self, service: str) -> bool:
        """Spend one retry; False when the budget is exhausted."""
        budget = self._budgets.get(service, _MAX_BUDGET)
        if budget < 1.0:
            return False
        self._budgets[service] = budget - 1.0
        return True

"""Retry budgets: retries can't amplify an overload.

Each fresh request of a service adds a share of one retry to the service's
budget; each retry takes one. When all targets refuse or die, the attempts
stay under ``1 + share`` a request, plus a small reserve, however many
requests fail.
"""

import typing

__all__ = ("DEFAULT_RETRY_SHARE", "RetryBudgets")

DEFAULT_RETRY_SHARE: typing.Final = 0.2
"""Retries as a share of fresh requests where the service says nothing."""
_RESERVE: typing.Final = 10.0


class RetryBudgets:
    """The budgets of all services at one entry."""

    def __init__(self) -> None:
        """Start each service with a full reserve."""
        self._budgets: typing.Final[dict[str, float]] = {}

    def note_request(self, service: str, share: float) -> None:
        """Count a fresh request, which adds ``share`` of a retry."""
        budget = self._budgets.get(service, _RESERVE)
        self._budgets[service] = min(_RESERVE, budget + share)

    def has_retry(self, service: str) -> bool:
        """Tell whether a retry could be taken now."""
        return self._budgets.get(service, _RESERVE) >= 1.0

    def take_retry(self, service: str) -> bool:
        """Take one retry; False when the budget is spent."""
        budget = self._budgets.get(service, _RESERVE)
        if budget < 1.0:
            return False
        self._budgets[service] = budget - 1.0
        return True

"""What has been tried of one request, and what may still be."""

import typing

from gentianpoint_core import ports
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import targets

__all__ = ("Attempts",)


class Attempts:
    """Keeps count of one request's attempts at targets."""

    def __init__(
        self, shared: forwarder.Forwarder, request: requests.CallerRequest
    ) -> None:
        """Start with none."""
        self.tried: typing.Final[set[str]] = set()
        self.may_have_run = False
        self.runs = 0
        self._shared: typing.Final = shared
        self._request: typing.Final = request
        self._retry_after_ms = 0.0

    def note_run(self, *, is_same_run: bool = False) -> None:
        """Note that a target has, or may have, run the request.

        A request that goes on from a copy counts as the same run.
        """
        self.may_have_run = True
        self.runs += not is_same_run

    def note_error(
        self,
        target: targets.Target,
        error: ports.PortError,
        *,
        is_same_run: bool = False,
    ) -> None:
        """Note an attempt that got no answer."""
        self._shared.note_failure(target, error)
        if error.took_effect:
            self.note_run(is_same_run=is_same_run)

    def note_refusal(
        self, target: targets.Target, answer: target_calls.TargetAnswer
    ) -> None:
        """Note that a target did not take the request."""
        self._retry_after_ms = max(self._retry_after_ms, answer.retry_after_ms)
        self._shared.note_refusal(target, answer)

    def may_run_again(self, *, besides: int = 0) -> bool:
        """Tell whether a request that may have run may be run once more.

        ``besides`` is the number of runs under way that are not noted yet.
        """
        route = self._request.route
        return route.may_repeat() and self.runs + besides < route.max_attempts

    def may_send_again(self) -> bool:
        """Tell whether the request may be sent to another target."""
        return not self.may_have_run or self.may_run_again()

    def give_up(
        self, answer: caller_answers.CallerAnswer, reason_unknown: str
    ) -> typing.Optional[refusals.Refusal]:
        """Return the refusal of a caller that has nothing yet, else None.

        ``reason_unknown`` says why the outcome can't be told, if it can't.
        """
        if answer.is_started:
            return None
        if self.may_have_run:
            return refusals.refuse_outcome_unknown(reason_unknown)
        reason = "no target took the request"
        return refusals.refuse_not_run(reason, self._retry_after_ms)

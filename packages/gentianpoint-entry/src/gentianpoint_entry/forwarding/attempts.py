"""Tracks the attempts at one request, and whether more are allowed."""

import math
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
        """Start without attempts."""
        self.tried: typing.Final[set[str]] = set()
        self.may_have_run = False
        self.runs = 0
        self._shared: typing.Final = shared
        self._request = request
        self._retry_after_ms = 0.0
        self._has_reserved_retry = False

    def set_request(self, request: requests.CallerRequest) -> None:
        """Go on with the same request, of which more is known."""
        self._request = request

    def note_run(self, *, is_same_run: bool = False) -> None:
        """Record that a target has, or may have, run the request.

        A request that continues from a copy counts as the same run.
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
        """Record an attempt that got no answer."""
        self._shared.note_failure(target, error, self._request)
        if error.took_effect:
            self.note_run(is_same_run=is_same_run)

    def note_refusal(
        self, target: targets.Target, answer: target_calls.TargetAnswer
    ) -> None:
        """Record that a target did not accept the request."""
        self._retry_after_ms = max(self._retry_after_ms, answer.retry_after_ms)
        self._shared.note_refusal(target, answer)

    def may_run_again(self, *, unrecorded_runs: int = 0) -> bool:
        """Tell whether a request that may have run may be run once more.

        ``unrecorded_runs`` is the number of runs in progress that are not
        recorded yet.
        """
        route = self._request.route
        return (
            route.may_repeat()
            and self.runs + unrecorded_runs < route.max_attempts
        )

    def may_send_again(self) -> bool:
        """Tell whether the request may be sent to another target."""
        return not self.may_have_run or self.may_run_again()

    def reserve_retry(self) -> bool:
        """Take a retry for an attempt that follows; False if none is left."""
        if not self._has_reserved_retry:
            self._has_reserved_retry = self._shared.take_retry(self._request)
        return self._has_reserved_retry

    def take_retry(self) -> bool:
        """Take a retry, the reserved one if there is one."""
        is_taken = self.reserve_retry()
        self._has_reserved_retry = False
        return is_taken

    async def is_suspect(self) -> bool:
        """Tell whether the request must not be sent to any target.

        That is the case while it counts as the cause why targets ended,
        unless it takes a trial.
        """
        await self._shared.wait_for_verdict(self._request)
        if not self._shared.is_refused(self._request):
            return False
        if await self._shared.take_trial(self._request):
            return False
        # It may have been answered elsewhere meanwhile.
        return self._shared.is_refused(self._request)

    def refuse_suspect(
        self, answer: caller_answers.CallerAnswer
    ) -> typing.Optional[refusals.Refusal]:
        """Return a refusal if the caller has nothing yet, else None."""
        if answer.is_started:
            return None
        reason = "several targets ended while they ran this request"
        if self.may_have_run:
            return refusals.refuse_outcome_unknown(reason)
        wait_ms = self._shared.find_return_ms(self._request)
        refusal = refusals.refuse_not_run(reason, wait_ms)
        # Unlike load, this does not change within seconds.
        return refusal._replace(max_retry_after_ms=math.inf)

    def give_up(
        self, answer: caller_answers.CallerAnswer, unknown_outcome_reason: str
    ) -> typing.Optional[refusals.Refusal]:
        """Return a refusal if the caller has nothing yet, else None.

        ``unknown_outcome_reason`` says why the outcome is unknown if the
        request may have run.
        """
        if answer.is_started:
            return None
        if self.may_have_run:
            return refusals.refuse_outcome_unknown(unknown_outcome_reason)
        reason = "no target took the request"
        if self._shared.lacks_room(self._request):
            reason = "no target has room for the request in its time"
        opening_ms = self._shared.promise_opening_ms(self._request)
        streams_ms = self._shared.find_streams_wait_ms(self._request)
        wait_ms = max(self._retry_after_ms, opening_ms, streams_ms)
        refusal = refusals.refuse_not_run(reason, wait_ms)
        if opening_ms or streams_ms:
            # It is known when there is room, unlike when load changes.
            return refusal._replace(max_retry_after_ms=math.inf)
        return refusal

"""Serves a request from its decoded form to its one final answer."""

from collections import abc
import math
import typing

import structlog
import trio

from gentianpoint_core import logs
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import caller_calls
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import leaving
from gentianpoint_entry.forwarding import plain_calls
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import stream_calls

__all__ = ("RequestHandler", "SendRefusal")

_FINAL_ANSWERS_S: typing.Final = 0.1
"""Seconds for sending the final answers when the entry shuts down."""
_POLL_INTERVAL_S: typing.Final = 0.005
"""Seconds between checks whether the final answers have been sent."""

SendRefusal = abc.Callable[
    [caller_answers.CallerAnswer, refusals.Refusal], abc.Awaitable[None]
]
"""Writes a refusal in the form that callers expect."""


class RequestHandler:
    """Serves each request in the task of its connection."""

    def __init__(
        self,
        shared: forwarder.Forwarder,
        send_refusal: SendRefusal,
        find_shutdown_time: abc.Callable[
            [], typing.Optional[float]
        ] = lambda: None,
        find_retry_delay_ms: abc.Callable[[float], float] = lambda needed_ms: (
            0.0
        ),
    ) -> None:
        """Serve with the state that all requests share.

        ``find_shutdown_time`` returns when this entry ends, on trio's clock,
        if it has been told to stop. ``find_retry_delay_ms`` returns in how
        many milliseconds a caller can be served whose request takes the given
        ones.
        """
        self._find_shutdown_time: typing.Final = find_shutdown_time
        self._find_retry_delay_ms: typing.Final = find_retry_delay_ms
        self._shared: typing.Final = shared
        self._send_refusal: typing.Final = send_refusal
        self._running: typing.Final[
            dict[trio.CancelScope, caller_answers.CallerAnswer]
        ] = {}

    async def give_up_unanswered(self) -> None:
        """Cancel requests without an answer so that they get a final one.

        Returns when all of them have it, or when the time for it is over.
        """
        given_up = {
            scope: answer
            for scope, answer in self._running.items()
            if not answer.is_started
        }
        for scope in given_up:
            scope.cancel()
        with trio.move_on_after(_FINAL_ANSWERS_S):
            while not all(answer.is_finished for answer in given_up.values()):
                await trio.sleep(_POLL_INTERVAL_S)

    async def serve(
        self,
        request: requests.CallerRequest,
        answer: caller_answers.CallerAnswer,
    ) -> None:
        """Give the request its final answer, at its deadline at the latest.

        An answer that was started and cannot be finished stays incomplete,
        which its caller sees as a broken connection.
        """
        began = trio.current_time()
        self._shared.limits.note_request(request.service.name, began)
        ends_at = self._find_shutdown_time()
        must_be_whole = ends_at is not None and leaving.must_be_whole(
            request, ends_at
        )
        call = self._make_call(request, answer, must_be_whole)
        with structlog.contextvars.bound_contextvars(
            request=request.request_id, route=request.route.name
        ):
            outcome = ""
            try:
                outcome = await self._serve_in_time(call, request, answer)
            finally:
                self._shared.end_trial(request)
                self._shared.give_back_unsent(request)
                outcome = outcome or self._classify_cancellation(answer)
                took_ms = round((trio.current_time() - began) * 1000)
                self._shared.metrics.record_request(
                    request.route.name, outcome, answer.status, took_ms
                )
                logs.log_event(
                    events.REQUEST_ENDED,
                    outcome=outcome,
                    took_ms=took_ms,
                    status=answer.status,
                    runs=call.attempts.runs,
                    customer=request.customer and request.customer.name,
                    **{
                        "late": _classify_lateness(request.route, took_ms),
                        **call.describe_timing(),
                    },
                )

    def _classify_cancellation(
        self, answer: caller_answers.CallerAnswer
    ) -> str:
        """Return how a cancelled request ended.

        A caller may close the connection as soon as it has the whole answer.
        Otherwise a request is cancelled when its caller leaves, and when this
        entry stops before the request has ended. The first is the caller's
        choice, the second a failure of the service.
        """
        if answer.is_finished:
            return "answered"
        ends_at = self._find_shutdown_time()
        if ends_at is not None and trio.current_time() >= ends_at:
            return "entry_stopped"
        return "caller_left"

    async def _serve_in_time(
        self,
        call: caller_calls.CallerCall,
        request: requests.CallerRequest,
        answer: caller_answers.CallerAnswer,
    ) -> str:
        refusal = self._refuse_when_leaving(request)
        if refusal is not None:
            await self._refuse(request, answer, refusal)
            return "refused_leaving"
        with trio.CancelScope(deadline=request.deadline.at) as scope:
            self._running[scope] = answer
            try:
                refusal = await call.serve()
            finally:
                del self._running[scope]
        if scope.cancelled_caught and not answer.is_started:
            is_over = request.deadline.remaining_ms() <= 0
            reason = (
                "no answer within its time"
                if is_over
                else "this entry ends before the answer"
            )
            if self._shared.controls_room(request) and not call.attempts.tried:
                # It has waited for room, and was sent to no target.
                refusal = refusals.refuse_not_run(reason, 0.0)
            else:
                # The request may still run, so the answer makes no promise.
                refusal = refusals.refuse_timeout(reason)
        if refusal is not None:
            await self._refuse(request, answer, refusal)
            return f"refused_{refusal.status}"
        if answer.is_finished:
            return "answered"
        return "timeout" if scope.cancelled_caught else "broken_off"

    def _refuse_when_leaving(
        self, request: requests.CallerRequest
    ) -> typing.Optional[refusals.Refusal]:
        ends_at = self._find_shutdown_time()
        if ends_at is None:
            return None
        left_ms = (ends_at - trio.current_time()) * 1000
        needed_ms = leaving.bound_duration_ms(request)
        is_taken = needed_ms <= left_ms
        logs.log_event(
            events.LEAVING_DECISION,
            is_taken=is_taken,
            left_ms=round(left_ms),
            bound_ms=round(needed_ms),
            likely_output_tokens=request.likely_output_tokens,
            most_output_tokens=request.most_output_tokens,
        )
        if is_taken:
            return None
        return_ms = self._find_retry_delay_ms(needed_ms)
        refusal = refusals.refuse_not_run(
            "this entry is about to end", return_ms
        )
        # It is known when entries are back, unlike when load changes.
        return refusal._replace(max_retry_after_ms=math.inf)

    async def _refuse(
        self,
        request: requests.CallerRequest,
        answer: caller_answers.CallerAnswer,
        refusal: refusals.Refusal,
    ) -> None:
        if refusal.status == refusals.NOT_RUN:
            wait_ms = refusals.choose_retry_after_ms(
                refusal,
                request.caller_deadline.remaining_ms(),
                self._shared.rng,
            )
            refusal = refusal._replace(retry_after_ms=wait_ms)
        logs.log_event(
            events.REQUEST_REFUSED,
            status=refusal.status,
            reason=refusal.reason,
            retry_after_ms=round(refusal.retry_after_ms),
        )
        await self._send_refusal(answer, refusal)

    def _make_call(
        self,
        request: requests.CallerRequest,
        answer: caller_answers.CallerAnswer,
        must_be_whole: bool,
    ) -> caller_calls.CallerCall:
        if request.route.kind is routes.RouteKind.STREAM:
            return stream_calls.StreamCall(
                self._shared, request, answer, must_be_whole=must_be_whole
            )
        return plain_calls.PlainCall(self._shared, request, answer)


def _classify_lateness(route: routes.Route, took_ms: float) -> str:
    """Return "start" if a whole answer missed its objective, else ""."""
    is_late = route.objective_ms and took_ms > route.objective_ms
    return "start" if is_late else ""

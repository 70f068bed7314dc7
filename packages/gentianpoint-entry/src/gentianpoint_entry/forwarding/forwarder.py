"""Sends requests to targets, with the state that all requests share."""

from collections import abc
import contextlib
import functools
import math
import random
import typing

import trio

from gentianpoint_core import answer_bodies
from gentianpoint_core import caller_resources
from gentianpoint_core import logs
from gentianpoint_core import loop_load
from gentianpoint_core import ports
from gentianpoint_core.decisions import answer_ends
from gentianpoint_core.decisions import customer_usage
from gentianpoint_core.decisions import stream_origins
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import engine_probes
from gentianpoint_entry.forwarding import entry_metrics
from gentianpoint_entry.forwarding import leaving_notices
from gentianpoint_entry.forwarding import left_runs
from gentianpoint_entry.forwarding import request_permits
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import retry_limits
from gentianpoint_entry.forwarding import room_waits
from gentianpoint_entry.forwarding import stream_records
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import target_choice
from gentianpoint_entry.forwarding import target_ends
from gentianpoint_entry.forwarding import target_selection
from gentianpoint_entry.forwarding import targets
from gentianpoint_entry.forwarding import turn_loans

__all__ = ("Forwarder",)

_STALE_CHECK_INTERVAL_S: typing.Final = 5.0
"""Seconds between checks for connections to targets that have gone."""
_RELEASE_TIMEOUT_S: typing.Final = 0.3
"""Seconds allowed for releasing a copy, which expires by itself otherwise."""
_NEWS_WITHIN_S: typing.Final = 1.5
"""Seconds within which the list or an agent tells of another start. Targets
write to the list every second or so, and busy engines' agents report several
times a second."""
_OLD_NEWS_S: typing.Final = 0.3
"""Seconds after a standstill in which reports are read that came before."""
_NEWS_CHECK_S: typing.Final = 0.05
"""Seconds between two looks for such news."""
_OUTCOME_MS: typing.Final = 1000.0
"""Milliseconds within which the outcome of most trials of a refused request
is known."""


class _UnusedCopy(typing.NamedTuple):
    """A copy of a generation's memory that will not be used."""

    target: targets.Target
    """Target that is asked to free it."""
    name: str
    """Its handle, or the identifier of its request."""


class Forwarder(target_choice.TargetChoice):
    """Sends requests to the targets that it chooses, and tracks their load."""

    def __init__(
        self,
        registry: targets.TargetRegistry,
        calls: target_calls.TargetCalls,
        limits: retry_limits.RetryLimits,
        data_centre: str,
        count_entries: abc.Callable[[], int],
        rng: random.Random,
        metrics: entry_metrics.EntryMetrics,
        ends: target_ends.TargetEnds,
        count_retry_sharers: typing.Optional[abc.Callable[[], int]] = None,
        permits: typing.Optional[request_permits.RequestPermits] = None,
        probes: typing.Optional[engine_probes.EngineProbes] = None,
        origins: typing.Optional[stream_records.StreamRecords] = None,
        loans: typing.Optional[turn_loans.TurnLoans] = None,
        notices: typing.Optional[leaving_notices.LeavingNotices] = None,
        load: typing.Optional[loop_load.LoopLoad] = None,
        rooms: typing.Optional[room_waits.RoomWaits] = None,
        usage: typing.Optional[customer_usage.CustomerUsage] = None,
    ) -> None:
        """Serve from ``data_centre`` as one of ``count_entries()`` entries.

        ``ends`` is told of connections that break off, and of answers.
        ``count_retry_sharers`` returns how many entries share the limit on
        retries, if that differs. ``permits`` limits the requests to
        targets that are cold or have named limits; by default this entry has
        the whole of each limit. Without ``probes`` engines are chosen by their
        reports alone. Without ``origins`` no caller can take a stream up, and
        without ``loans`` this entry has its own part of each limit only.
        ``notices`` are told of targets that say that they leave. ``load``
        measures how busy this entry is; by default it counts as idle. With
        ``rooms`` generations are sent only where their room was claimed.
        ``usage`` counts the memory that customers' generations hold.
        """
        super().__init__(
            registry,
            data_centre,
            count_entries,
            rng,
            permits,
            probes,
            loans,
            rooms,
        )
        self.calls: typing.Final = calls
        self.limits: typing.Final = limits
        self._count_retry_sharers: typing.Final = (
            count_retry_sharers or count_entries
        )
        self.metrics: typing.Final = metrics
        self.load: typing.Final = load or loop_load.LoopLoad()
        self.usage: typing.Final = (
            customer_usage.CustomerUsage() if usage is None else usage
        )
        self._ends: typing.Final = ends
        self._origins: typing.Final = origins
        self._notices: typing.Final = (
            leaving_notices.LeavingNotices(registry)
            if notices is None
            else notices
        )
        send, receive = trio.open_memory_channel[_UnusedCopy](math.inf)
        self._unused_sender: typing.Final = send
        self._unused_receiver: typing.Final = receive
        # Stops runs at targets that their streams have left.
        self.run_stopper: typing.Final = left_runs.RunStopper(calls)
        # Called when the other entries should be told of an outage.
        self.notify_outages: abc.Callable[[], None] = lambda: None
        # What callers may use of this process.
        self.resources = caller_resources.make_unlimited()

    async def close_stale_connections(self) -> None:
        """Close connections to targets that have gone, until cancelled.

        Targets come and go every few seconds under new identifiers, and the
        connections kept to each would exhaust the file descriptors.
        """
        while True:
            await trio.sleep(_STALE_CHECK_INTERVAL_S)
            self.calls.close_unlisted(self.registry.list_all())
            self.forget_unused_permits()
            self._notices.prune(trio.current_time())
            if self.outages is not None:
                self.outages.forget(trio.current_time())

    @contextlib.asynccontextmanager
    async def send(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> abc.AsyncIterator[target_calls.TargetAnswer]:
        """Send a request, and count it at its target until it ends."""
        if not target.may_go_on(request.origin):
            self.give_back(target, request)
            raise target_choice.make_send_error(
                target, "its software is not that which began the stream"
            )
        permit = await self.claim_permit(target, request)
        if self.is_refused(request) and not self._ends.trials.begin(
            request.request_id
        ):
            # Known only since this send was planned.
            self._permits.give_back(permit)
            self.give_back(target, request)
            raise target_choice.make_send_error(
                target, "targets ended under such requests"
            )
        tokens = target_selection.count_tokens(request)
        held = _estimate_held(request)
        customer = request.get_customer_name()
        now = trio.current_time()
        if self.outages is not None:
            self.outages.note_sent(request_permits.make_key(target), now)
        target.open_request(now, tokens)
        has_room = self.settle_claim(target, request)
        self.usage.begin(customer, held, now)
        needs_prefill = options.copy is None
        target.note_sent(
            now, tokens, request.prompt_tokens if needs_prefill else 0
        )
        logs.log_event(
            events.REQUEST_SENT,
            target=target.target_id,
            address=target.entry.address,
            service=request.service.name,
            content=request.content,
            prompt_parts=list(request.prompt_parts),
            backup=options.backup_address,
            after_event=options.last_event_id,
            resumed_attempt=request.resumed_id,
            **_describe_size(request),
            **_describe_target(target),
        )
        try:
            async with self.calls.send_request(
                target, request, options
            ) as answer:
                self._note_limit(target, answer, asked_at=now)
                self._note_leaving(target, answer)
                self._note_answering(target)
                if answer.is_refusal():
                    self._ends.trials.give_back(request.request_id)
                    if has_room:
                        self.give_back_room(target, request)
                yield answer
        except ports.PortError as error:
            if not error.took_effect:
                self._permits.give_back(permit)
                self._ends.trials.give_back(request.request_id)
                if has_room:
                    self.give_back_room(target, request)
            raise
        finally:
            target.close_request(tokens)
            self.usage.end(customer, held, trio.current_time())

    def receive_body(
        self,
        target: targets.Target,
        answer: target_calls.TargetAnswer,
        find_content_end: abc.Callable[
            [], answer_ends.ContentEnd
        ] = answer_ends.find_no_content_end,
        was_told_to_stop: abc.Callable[[], bool] = lambda: False,
    ) -> abc.AsyncIterator[bytes]:
        """Yield the body of a target's answer, however it is framed.

        Raises ``ports.PortError`` unless it is complete.
        ``find_content_end`` tells what the content says of its end, and
        ``was_told_to_stop`` whether the target may have been told to stop.
        """
        return answer_bodies.receive_complete(
            answer.receive_body(),
            is_delimited=answer.is_delimited,
            ask_sender=functools.partial(self._ask_sender, target),
            peer=target.entry.address,
            find_content_end=find_content_end,
            was_told_to_stop=was_told_to_stop,
            was_reset=answer.was_reset,
            confirm_sender=functools.partial(self._confirm_start, target),
        )

    async def _ask_sender(
        self, target: targets.Target, alive_at: float
    ) -> answer_ends.Sender:
        if target.is_succeeded():
            return answer_ends.Sender.ENDED
        return await self.calls.check_sender(target, alive_at)

    async def _confirm_start(
        self, target: targets.Target
    ) -> answer_ends.Sender:
        """Wait until the list or an agent tells of a target's start."""
        trusted_from = trio.current_time() + _OLD_NEWS_S
        with trio.move_on_after(_NEWS_WITHIN_S):
            while not target.is_succeeded():
                if target.has_reported_since(trusted_from):
                    return answer_ends.Sender.GOES_ON
                await trio.sleep(_NEWS_CHECK_S)
            return answer_ends.Sender.ENDED
        return answer_ends.Sender.UNKNOWN

    def _note_limit(
        self,
        target: targets.Target,
        answer: target_calls.TargetAnswer,
        asked_at: float,
    ) -> None:
        """Apply the limit that an answer names, or that it names none.

        An answer without the target's seal may be spoilt. One that refuses
        need not name a limit that holds.
        """
        if answer.limit != target.named_limit:
            target.named_limit = answer.limit
            logs.log_event(
                events.LIMIT_NAMED,
                target=target.target_id,
                is_named=answer.limit.is_named,
                per_s=answer.limit.per_s,
                open_requests=target.open_requests,
            )
        is_reliable = answer.has_target_seal and not answer.is_refusal()
        if is_reliable or (answer.is_refusal() and answer.limit.is_named):
            self._permits.note_answer(
                target, answer.limit, asked_at, trio.current_time()
            )

    def _note_leaving(
        self, target: targets.Target, answer: target_calls.TargetAnswer
    ) -> None:
        """Let no entry send more to a target that says that it leaves."""
        if not answer.is_leaving or answer.is_wrong_target:
            return
        if self._notices.note_answer(target, trio.current_time()):
            logs.log_event(
                events.TARGET_LEAVING,
                target=target.target_id,
                leaves_in_ms=None,
            )

    def _note_answering(self, target: targets.Target) -> None:
        """End a target's outage, as the target answers."""
        if self.outages is not None and self.outages.note_success(
            request_permits.make_key(target), trio.current_time()
        ):
            logs.log_event(events.TARGET_RECOVERED, target=target.target_id)
            self.notify_outages()

    def _note_outage(self, target: targets.Target) -> None:
        """Let entries leave a target out whose connections break off."""
        if self.outages is not None and self.outages.note_failure(
            request_permits.make_key(target), trio.current_time()
        ):
            logs.log_event(events.TARGET_OUTAGE, target=target.target_id)
            self.notify_outages()

    def schedule_copy_release(self, target: targets.Target, name: str) -> None:
        """Queue a copy for :meth:`release_unused_copies`."""
        if not target.is_gone:
            self._unused_sender.send_nowait(_UnusedCopy(target, name))

    async def release_unused_copies(self) -> None:
        """Release queued copies until cancelled, beside running streams."""
        async for copy in self._unused_receiver:
            try:
                with trio.move_on_after(_RELEASE_TIMEOUT_S):
                    await self.calls.free_copy(copy.target, copy.name)
            except ports.PortError as error:
                # The copy expires by itself after some seconds.
                logs.log_event(
                    events.MOVE_FAILED,
                    source=None,
                    target=copy.target.target_id,
                    step=error.step,
                    reason=error.reason,
                )

    def note_failure(
        self,
        target: targets.Target,
        error: ports.PortError,
        request: requests.CallerRequest,
    ) -> None:
        """Record that a target failed, for the next choices."""
        target.note_failure(trio.current_time())
        if error.disconnected:
            self._ends.note_disconnect(target, request.list_contents())
            if request.service.engine is not None and target.accepts_work():
                self._note_outage(target)
        self.metrics.record_failed_attempt(error.step)
        logs.log_event(
            events.ATTEMPT_FAILED,
            target=target.target_id,
            step=error.step,
            peer=error.peer,
            reason=error.reason,
            may_have_run=error.took_effect,
            disconnected=error.disconnected,
        )

    def note_refusal(
        self, target: targets.Target, answer: target_calls.TargetAnswer
    ) -> None:
        """Record that a target did not accept a request.

        If another target has the address now, this start of the target has
        ended, but its entry stays on the list until it expires. Each request
        that is sent to it until then costs its caller time and the service a
        retry. So it gets no requests until it writes its entry again.

        One that asks for rest gets none from this entry until that is over.
        """
        if answer.is_wrong_target:
            target.is_replaced = True
        else:
            target.note_refusal(trio.current_time(), answer.rest_ms)
        logs.log_event(
            events.ATTEMPT_FAILED,
            target=target.target_id,
            step="receive head",
            peer=target.entry.address,
            reason=f"the target refused with status {answer.status}",
            rest_ms=round(answer.rest_ms),
            may_have_run=False,
        )

    async def find_origin(
        self, request: requests.CallerRequest
    ) -> typing.Optional[stream_origins.StreamOrigin]:
        """Return where the stream began that a request takes up, if known."""
        if self._origins is None:
            return None
        return await self._origins.find(request)

    async def note_stream_began(self, request: requests.CallerRequest) -> None:
        """Record that a stream has its first event, at ``request.origin``."""
        if self._origins is not None:
            await self._origins.note_began(request)

    def note_stream_ended(self, request: requests.CallerRequest) -> None:
        """Record that a caller has received a stream to its end."""
        if self._origins is not None:
            self._origins.note_ended(request)

    def note_success(self, target: targets.Target) -> None:
        """Clear the failures of a target that serves."""
        target.failures = 0

    def note_answered(self, request: requests.CallerRequest) -> None:
        """Record that a target gave a request its whole answer."""
        self._ends.note_answered((request.content, *request.prompt_parts))

    def note_parts_proven(self, request: requests.CallerRequest) -> None:
        """Record that a target writes on the parts of a prompt and goes on."""
        self._ends.note_answered(request.prompt_parts)

    async def wait_for_verdict(self, request: requests.CallerRequest) -> None:
        """Wait until it is known whether a request may run once more.

        That takes a few milliseconds, and only after targets have ended while
        they ran the request.
        """
        await self._ends.wait_for_verdict(request.list_contents())

    def is_refused(self, request: requests.CallerRequest) -> bool:
        """Tell whether a request must not run, but for a trial."""
        return bool(self.list_refused(request))

    def find_return_ms(self, request: requests.CallerRequest) -> float:
        """Return in how many milliseconds a refused request may run.

        That is when it may next be tried. Where it is being tried, that is
        when the outcome may be known.
        """
        now = trio.current_time()
        tried_at = [
            self._ends.suspects.find_trial_at(content, now)
            for content in self.list_refused(request)
        ]
        last_at = max((at for at in tried_at if at is not None), default=now)
        return max(_OUTCOME_MS, (last_at - now) * 1000)

    def list_refused(
        self, request: requests.CallerRequest
    ) -> abc.Sequence[str]:
        """Return for what a request is refused, nothing if it may run."""
        parts = () if request.are_parts_proven else request.prompt_parts
        return self._ends.suspects.list_refused(
            request.content, parts, trio.current_time()
        )

    async def take_trial(self, request: requests.CallerRequest) -> bool:
        """Take the trial of a refused request, if one is due."""
        return await self._ends.trials.take(
            request.request_id, self.list_refused(request)
        )

    def is_trial(self, request: requests.CallerRequest) -> bool:
        """Tell whether a request is about to make a trial."""
        return self._ends.trials.has_taken(request.request_id)

    def end_trial(self, request: requests.CallerRequest) -> None:
        """Let others make the trial that an ended request has not made."""
        self._ends.trials.end(request.request_id)

    def take_retry(self, request: requests.CallerRequest) -> bool:
        """Take one retry of the request's service, if its limit allows it."""
        if self.limits.take_retry(
            request.service.name,
            trio.current_time(),
            self._count_retry_sharers(),
        ):
            return True
        logs.log_event(events.RETRY_BUDGET_SPENT, service=request.service.name)
        return False


def _estimate_held(request: requests.CallerRequest) -> int:
    """Return the mean memory of a generation while it runs, in tokens.

    That is its prompt and half of its output. 0 if it is no generation.
    """
    if request.service.engine is None:
        return 0
    return request.prompt_tokens + request.likely_output_tokens // 2


def _describe_size(request: requests.CallerRequest) -> dict[str, int]:
    """Return the size and urgency of a generation for a log line."""
    if request.service.engine is None:
        return {}
    size = {
        "prompt_tokens": request.prompt_tokens,
        "likely_output_tokens": request.likely_output_tokens,
    }
    if request.urgency is not None:
        size["urgency"] = request.urgency
    return size


def _describe_target(target: targets.Target) -> dict[str, typing.Any]:
    """Return what is known of a target, with its age, for a log line."""
    fields: dict[str, typing.Any] = {
        "open_requests": target.open_requests,
        "software": target.entry.software,
    }
    if target.named_limit.is_named:
        fields["limit_per_s"] = target.named_limit.per_s
    if target.failures:
        fields["failures"] = target.failures
    if target.report is not None:
        age_s = trio.current_time() - target.report.sampled_at
        fields["report_age_ms"] = round(age_s * 1000)
        fields["used_tokens"] = target.report.used_tokens
        fields["waiting"] = target.report.waiting
        fields["unread_tokens"] = target.report.pending_prefill_tokens
    return fields

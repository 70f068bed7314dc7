"""Runs a call at the target, from admission to its end."""

import abc
from collections import abc as collections_abc
import functools
import typing

import trio

from gentianpoint_agent import admission
from gentianpoint_agent import admission_policy
from gentianpoint_agent import generations
from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_core import logs
from gentianpoint_core import telemetry
from gentianpoint_core.generated import events
from gentianpoint_core.generated import messages

__all__ = ("CallRunner", "OfferedCall")


class OfferedCall(typing.NamedTuple):
    """An offer, its sender, and its deadlines as counted from its arrival."""

    offer: messages.Offer
    """The offer as received."""
    entry: str
    """Host of the entry that sent it."""
    start_by: deadlines.Deadline
    """The call must not start after this."""
    finish_by: deadlines.Deadline
    """The call is cancelled after this."""


class CallRunner(abc.ABC):
    """Runs calls at one kind of target."""

    def __init__(self, control: admission.AdmissionControl) -> None:
        """Admit calls with ``control``."""
        self._control: typing.Final = control

    @abc.abstractmethod
    async def call_target(
        self,
        generation: generations.Generation,
        call: OfferedCall,
        slot: admission_policy.Slot,
    ) -> generations.GenerationEnd:
        """Call the target and add the items of its answer to the generation.

        Returns how it ended. Raises :class:`errors.CallError` with
        ``not_run`` when the target certainly did not start.
        """

    @abc.abstractmethod
    async def cancel_at_target(
        self, generation: generations.Generation
    ) -> None:
        """Stop the target's work on a cancelled generation."""

    async def resume_adopted(
        self, generation: generations.Generation
    ) -> generations.GenerationEnd:
        """Read the rest of a generation that an earlier run started.

        Returns how it ended. Never starts anything.
        """
        return generations.GenerationEnd(
            generations.OUTCOME_UNKNOWN,
            "an earlier run of the agent had it; it may have run",
        )

    async def run_adopted(self, generation: generations.Generation) -> None:
        """Run an adopted generation to its end."""
        end = await self._run_until_cancelled(
            generation,
            functools.partial(self.resume_adopted, generation),
            deadlines.NO_DEADLINE,
        )
        self._log_end(generation, "", end)
        generation.finish(end)

    async def run(
        self, generation: generations.Generation, call: OfferedCall
    ) -> None:
        """Run the call to its end and set the generation's outcome."""
        tracer = telemetry.get_tracer()
        context = telemetry.extract_trace_context(call.offer["trace"])
        with tracer.start_as_current_span("agent call", context=context):
            end = await self._run_until_cancelled(
                generation,
                functools.partial(self._admit_and_run, generation, call),
                call.finish_by,
            )
        self._log_end(generation, call.entry, end)
        generation.finish(end)

    async def _run_until_cancelled(
        self,
        generation: generations.Generation,
        work: collections_abc.Callable[
            [], collections_abc.Awaitable[generations.GenerationEnd]
        ],
        finish_by: deadlines.Deadline,
    ) -> generations.GenerationEnd:
        """Do ``work`` unless it is cancelled or ``finish_by`` passes."""
        outcome: list[generations.GenerationEnd] = []
        async with trio.open_nursery() as nursery:

            async def run_to_end() -> None:
                outcome.append(await work())
                nursery.cancel_scope.cancel()

            nursery.start_soon(run_to_end)
            with trio.CancelScope(deadline=finish_by.at) as deadline_scope:
                await generation.wait_cancelled()
            nursery.cancel_scope.cancel()
        if outcome:
            return outcome[0]
        if not generation.started:
            return generations.GenerationEnd(
                generations.NOT_RUN, "the offer was withdrawn"
            )
        await self.cancel_at_target(generation)
        if deadline_scope.cancelled_caught:
            return generations.GenerationEnd(
                generations.INCOMPLETE,
                "the caller's deadline was past",
                completion_tokens=generation.count_items(),
            )
        return generations.GenerationEnd(
            generations.CANCELLED,
            "the generation was cancelled",
            completion_tokens=generation.count_items(),
        )

    async def _admit_and_run(
        self, generation: generations.Generation, call: OfferedCall
    ) -> generations.GenerationEnd:
        offer = call.offer
        profile = admission_policy.CallProfile(
            offer["customer"],
            offer["weight"],
            offer["customer_limit"],
            offer["priority"],
            offer["request"]["prompt"],
            offer["request"]["max_tokens"],
            call.start_by,
        )
        tracer = telemetry.get_tracer()
        waiting = tracer.start_span("wait for admission")
        try:
            async with self._control.admit(profile) as slot:
                waiting.end()
                self._mark_started(generation, call)
                with tracer.start_as_current_span("target stream"):
                    return await self.call_target(generation, call, slot)
        except errors.CallError as error:
            return generations.GenerationEnd(
                error.code, error.reason, error.retry_after_ms
            )

    def _mark_started(
        self, generation: generations.Generation, call: OfferedCall
    ) -> None:
        if generation.is_cancelled():
            # The call was admitted in the same instant as it was cancelled
            # or its offer withdrawn, and the task that handles this has not
            # run yet. A cancel before the start counts as a withdrawn offer:
            # a customer who cancelled must not be billed.
            raise errors.CallError(
                errors.NOT_RUN,
                "the offer was withdrawn",
                step="start generation",
            )
        self._check_start_deadline(generation, call)
        generation.started = True
        logs.log_event(
            events.GENERATION_STARTED,
            generation=generation.identifier,
            entry=call.entry,
            repeatable=generation.repeatable,
        )

    def _check_start_deadline(
        self, generation: generations.Generation, call: OfferedCall
    ) -> None:
        """Refuse to start after the deadline.

        A process that was paused may resume here long after the entry gave
        the call up and perhaps had it run elsewhere; the customer would be
        billed for two runs. Nothing is awaited between this check and the
        call to the target.
        """
        if call.start_by.is_past():
            logs.log_event(
                events.START_TOO_LATE,
                generation=generation.identifier,
                entry=call.entry,
                repeatable=generation.repeatable,
            )
            raise errors.CallError(
                errors.NOT_RUN,
                "the deadline to start was past",
                step="start generation",
                retry_after_ms=1,
            )

    def _log_end(
        self,
        generation: generations.Generation,
        entry: str,
        end: generations.GenerationEnd,
    ) -> None:
        event = {
            generations.INCOMPLETE: events.GENERATION_INCOMPLETE,
            generations.CANCELLED: events.GENERATION_CANCELLED,
            generations.NOT_RUN: events.CALL_REFUSED,
            generations.OUTCOME_UNKNOWN: events.OUTCOME_UNKNOWN,
        }.get(end.reason, events.GENERATION_ENDED)
        logs.log_event(
            event,
            generation=generation.identifier,
            entry=entry,
            repeatable=generation.repeatable,
            reason=end.reason,
            detail=end.detail,
            items=generation.count_items(),
        )

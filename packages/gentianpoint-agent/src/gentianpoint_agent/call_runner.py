"""Runs one call on the target, from admission to its end."""

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

__all__ = ("CallRunner", "StartOrder")


class StartOrder(typing.NamedTuple):
    """What the runner needs of an offer, with deadlines made on arrival."""

    offer: messages.Offer
    """The offer as it came."""
    entry: str
    """Host of the entry that sent it."""
    start_by: deadlines.Deadline
    """After this the call must not start."""
    finish_by: deadlines.Deadline
    """After this the call is cancelled."""


class CallRunner(abc.ABC):
    """Runs calls of one kind of target."""

    def __init__(self, control: admission.AdmissionControl) -> None:
        """Admit calls by ``control``."""
        self._control: typing.Final = control

    @abc.abstractmethod
    async def run_started(
        self,
        generation: generations.Generation,
        order: StartOrder,
        slot: admission_policy.Slot,
    ) -> generations.GenerationEnd:
        """Call the target and add what it answers to the generation.

        Returns how it ended; raises :class:`errors.CallError` with
        ``not_run`` when the target truly did not start.
        """

    @abc.abstractmethod
    async def stop(self, generation: generations.Generation) -> None:
        """Stop the work of a cancelled generation at the target."""

    async def take_up(
        self, generation: generations.Generation
    ) -> generations.GenerationEnd:
        """Read on what an earlier run of the agent started.

        Returns how it ended, and never starts anything.
        """
        return generations.GenerationEnd(
            generations.OUTCOME_UNKNOWN,
            "an earlier run of the agent had it; it may have run",
        )

    async def run_adopted(self, generation: generations.Generation) -> None:
        """Take an adopted generation to its end."""
        end = await self._work_or_cancel(
            generation,
            functools.partial(self.take_up, generation),
            deadlines.NO_DEADLINE,
        )
        self._log_end(generation, "", end)
        generation.finish(end)

    async def run(
        self, generation: generations.Generation, order: StartOrder
    ) -> None:
        """Run the call to its end; the generation tells the outcome."""
        tracer = telemetry.get_tracer()
        context = telemetry.extract_trace_context(order.offer["trace"])
        with tracer.start_as_current_span("agent call", context=context):
            end = await self._work_or_cancel(
                generation,
                functools.partial(self._admit_and_run, generation, order),
                order.finish_by,
            )
        self._log_end(generation, order.entry, end)
        generation.finish(end)

    async def _work_or_cancel(
        self,
        generation: generations.Generation,
        work: collections_abc.Callable[
            [], collections_abc.Awaitable[generations.GenerationEnd]
        ],
        finish_by: deadlines.Deadline,
    ) -> generations.GenerationEnd:
        outcome: list[generations.GenerationEnd] = []
        async with trio.open_nursery() as nursery:

            async def run_to_end() -> None:
                outcome.append(await work())
                nursery.cancel_scope.cancel()

            nursery.start_soon(run_to_end)
            with trio.CancelScope(deadline=finish_by.at) as in_time:
                await generation.wait_cancelled()
            nursery.cancel_scope.cancel()
        if outcome:
            return outcome[0]
        if not generation.started:
            return generations.GenerationEnd(
                generations.NOT_RUN, "the offer was withdrawn"
            )
        await self.stop(generation)
        if in_time.cancelled_caught:
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
        self, generation: generations.Generation, order: StartOrder
    ) -> generations.GenerationEnd:
        offer = order.offer
        profile = admission_policy.CallProfile(
            offer["customer"],
            offer["weight"],
            offer["customer_limit"],
            offer["priority"],
            offer["request"]["prompt"],
            offer["request"]["max_tokens"],
            order.start_by,
        )
        tracer = telemetry.get_tracer()
        waiting = tracer.start_span("wait for admission")
        try:
            async with self._control.admit(profile) as slot:
                waiting.end()
                self._check_start(generation, order)
                with tracer.start_as_current_span("target stream"):
                    return await self.run_started(generation, order, slot)
        except errors.CallError as error:
            return generations.GenerationEnd(
                error.code, error.reason, error.retry_after_ms
            )

    def _check_start(
        self, generation: generations.Generation, order: StartOrder
    ) -> None:
        if generation.is_cancelled():
            # The turn came in the same moment as the cancel, whose task has
            # not run yet; a customer who cancelled must not be billed.
            raise errors.CallError(
                errors.NOT_RUN,
                "the offer was withdrawn",
                step="start generation",
            )
        self._check_start_deadline(generation, order)
        generation.started = True
        logs.log_event(
            events.GENERATION_STARTED,
            generation=generation.identifier,
            entry=order.entry,
            repeatable=generation.repeatable,
        )

    def _check_start_deadline(
        self, generation: generations.Generation, order: StartOrder
    ) -> None:
        """Refuse to start past the deadline.

        A process that was paused wakes up here long after the entry has
        given the call up and perhaps had it run elsewhere. A caller would
        notice a billed report that ran twice. The check stands right before
        the target is called, with nothing to wait for in between.
        """
        if order.start_by.is_past():
            logs.log_event(
                events.START_TOO_LATE,
                generation=generation.identifier,
                entry=order.entry,
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

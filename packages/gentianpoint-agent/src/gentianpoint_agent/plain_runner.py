"""Runs calls on a plain service."""

import typing

import trio

from gentianpoint_agent import admission
from gentianpoint_agent import admission_policy
from gentianpoint_agent import call_runner
from gentianpoint_agent import generations
from gentianpoint_agent import target_watch
from gentianpoint_core import answer_bodies
from gentianpoint_core import errors
from gentianpoint_core import ports

__all__ = ("PlainRunner",)

_RETRY_AFTER_MS: typing.Final = 1000
"""Retry delay sent with a call that did not run, in milliseconds."""


class PlainRunner(call_runner.CallRunner):
    """Sends each call once and stores the head and chunks of its answer."""

    def __init__(
        self,
        control: admission.AdmissionControl,
        service: ports.PlainService,
        watch: target_watch.TargetWatch,
    ) -> None:
        """Send calls to ``service``; ``watch`` tells whether it ended."""
        super().__init__(control)
        self._service: typing.Final = service
        self._watch: typing.Final = watch

    async def call_target(
        self,
        generation: generations.Generation,
        call: call_runner.OfferedCall,
        slot: admission_policy.Slot,
    ) -> generations.GenerationEnd:
        """Send the call; see :meth:`call_runner.CallRunner.call_target`."""
        request = call.offer["request"]
        headers = [(header[0], header[1]) for header in request["headers"]]
        try:
            async with self._service.send_call(
                request["method"], request["path"], headers, request["body"]
            ) as answer:
                generation.add_chunk(
                    generations.encode_plain_head(
                        answer.status, answer.headers
                    )
                )
                async for chunk in answer.chunks:
                    generation.add_chunk(chunk)
        except ports.PortError as error:
            return await self._make_failed_end(generation, error)
        return generations.GenerationEnd(generations.STOP)

    async def _make_failed_end(
        self, generation: generations.Generation, error: ports.PortError
    ) -> generations.GenerationEnd:
        if generation.count_items() or error.took_effect:
            reason = generations.OUTCOME_UNKNOWN
            if generation.count_items():
                reason = generations.INCOMPLETE
            target_end = await self._watch.find_end()
            if not target_end:
                # A process that ends closes its sockets one after the other.
                await trio.sleep(answer_bodies.CLOSING_S)
                target_end = await self._watch.find_end()
            return generations.GenerationEnd(
                reason, error.reason, target_end=target_end
            )
        raise errors.CallError(
            errors.NOT_RUN,
            error.reason,
            step=error.step,
            peer=error.peer,
            retry_after_ms=_RETRY_AFTER_MS,
        )

    async def cancel_at_target(
        self, generation: generations.Generation
    ) -> None:
        """Do nothing: leaving ``call_target`` has closed the connection."""

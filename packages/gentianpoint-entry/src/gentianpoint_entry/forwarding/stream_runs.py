"""One run of a stream at one target, from its sending to its end."""

from collections import abc
import contextlib
import typing

import trio

from gentianpoint_core import ports
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import stream_events
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import targets

__all__ = ("RunPlan", "StreamRun")

_LOOK_S: typing.Final = 0.1
"""Pause between looks at how long a run has been silent."""


class RunPlan(typing.NamedTuple):
    """Where a stream runs next, and how."""

    target: targets.Target
    """Target that gets the request."""
    options: requests.SendOptions
    """What it is told beside the request."""
    backup: typing.Optional[targets.Target]
    """Target that keeps a copy of the memory; None for none."""


class StreamRun:
    """A request that was sent to one target, and its answer."""

    def __init__(
        self,
        shared: forwarder.Forwarder,
        request: requests.CallerRequest,
        plan: RunPlan,
    ) -> None:
        """Prepare to send ``request`` as ``plan`` says."""
        self.target: typing.Final = plan.target
        self.backup = plan.backup
        self.began_at = trio.current_time()
        self.has_events = False
        self._heard_at = self.began_at
        self._shared: typing.Final = shared
        self._request: typing.Final = request
        self._options: typing.Final = plan.options
        self._stack: typing.Final = contextlib.AsyncExitStack()
        self._answer: typing.Optional[target_calls.TargetAnswer] = None
        self._is_counted = False

    @property
    def answer(self) -> target_calls.TargetAnswer:
        """The answer, once :meth:`open` has returned."""
        assert self._answer is not None
        return self._answer

    async def open(self) -> None:
        """Send the request and wait for the answer's head.

        Raises :class:`ports.PortError`, also for an answer that is no
        answer of the target.
        """
        self._count_prompt()
        try:
            self._answer = await self._stack.enter_async_context(
                self._shared.send(self.target, self._request, self._options)
            )
            self._check_answer(self._answer)
        except BaseException:
            await self.close()
            raise

    def _check_answer(self, answer: target_calls.TargetAnswer) -> None:
        if not answer.is_refusal() and not answer.may_pass_on():
            raise self.make_status_error()

    def make_status_error(self) -> ports.PortError:
        """Return the error of an answer whose status can't be passed on."""
        return ports.PortError(
            "receive answer",
            self.target.entry.address,
            f"status {self.answer.status} is not what is asked for",
            took_effect=True,
        )

    async def close(self) -> None:
        """End the run; a target that still works on it stops."""
        self._count_prompt_read()
        with trio.CancelScope(shield=True):
            await self._stack.aclose()

    async def iterate_events(
        self,
    ) -> abc.AsyncIterator[stream_events.StreamEvent]:
        """Yield events; raises :class:`ports.PortError` at a break."""
        chunks = self._note_chunks()
        async for event in stream_events.split_events(chunks):
            self.has_events = True
            self._count_prompt_read()
            yield event

    async def _note_chunks(self) -> abc.AsyncIterator[bytes]:
        async for chunk in self.answer.receive_body():
            self._heard_at = trio.current_time()
            yield chunk

    async def watch_silence(
        self, find_limit_ms: abc.Callable[["StreamRun"], float]
    ) -> None:
        """Return once the run has been silent for longer than the limit."""
        while True:
            await trio.sleep(_LOOK_S)
            quiet_ms = (trio.current_time() - self._heard_at) * 1000
            if quiet_ms > find_limit_ms(self):
                return

    def make_silence_error(self) -> ports.PortError:
        """Return the error of a run that was silent for too long."""
        return ports.PortError(
            "receive event",
            self.target.entry.address,
            "the stream is silent",
            took_effect=True,
        )

    def _count_prompt(self) -> None:
        """Count the prompt as work that the target has still to do."""
        if self._options.copy is None:
            self._is_counted = True
            self.target.own_pending_prefill_tokens += (
                self._request.prompt_tokens
            )

    def _count_prompt_read(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self.target.own_pending_prefill_tokens -= (
                self._request.prompt_tokens
            )

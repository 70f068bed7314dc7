"""One run of a stream at one target, from its sending to its end."""

from collections import abc
import contextlib
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import ports
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import plain_calls
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import stream_events
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import targets

__all__ = ("RunPlan", "StreamRun")


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
        if answer.has_not_run or answer.is_wrong_target:
            return
        if answer.is_sealed and not plain_calls.is_promise(answer.status):
            return
        raise ports.PortError(
            "receive answer",
            self.target.entry.address,
            f"status {answer.status} is no answer that the target stands for",
            took_effect=True,
        )

    async def close(self) -> None:
        """End the run; a target that still works on it stops."""
        self._count_prompt_read()
        with trio.CancelScope(shield=True):
            await self._stack.aclose()

    async def iterate_events(
        self, find_silence_ms: abc.Callable[["StreamRun"], float]
    ) -> abc.AsyncIterator[stream_events.StreamEvent]:
        """Yield events; raises :class:`ports.PortError` when they break off.

        A connection that has gone silent for good gives no error, so a
        silence of ``find_silence_ms`` breaks the stream as well.
        """
        chunks = self._bound_silence(find_silence_ms)
        async for event in stream_events.split_events(chunks):
            self.has_events = True
            self._count_prompt_read()
            yield event

    async def _bound_silence(
        self, find_silence_ms: abc.Callable[["StreamRun"], float]
    ) -> abc.AsyncIterator[bytes]:
        chunks = self.answer.receive_body()
        while True:
            limit = deadlines.make_deadline(find_silence_ms(self))
            with trio.CancelScope(deadline=limit.at) as scope:
                try:
                    chunk = await anext(chunks)
                except StopAsyncIteration:
                    return
            if scope.cancelled_caught:
                raise ports.PortError(
                    "receive event",
                    self.target.entry.address,
                    "the stream is silent",
                    took_effect=True,
                )
            yield chunk

    def _count_prompt(self) -> None:
        """Count the prompt as work that the target has still to do."""
        if self._options.copy is None:
            self._is_counted = True
            self.target.unread_prompt_tokens += self._request.prompt_tokens

    def _count_prompt_read(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self.target.unread_prompt_tokens -= self._request.prompt_tokens

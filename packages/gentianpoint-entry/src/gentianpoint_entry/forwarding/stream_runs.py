"""One run of a stream at one target, from sending the request to its end."""

from collections import abc
import contextlib
import math
import typing

import trio

from gentianpoint_core import ports
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import stream_events
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import targets

__all__ = ("PROVEN_S", "RunPlan", "StreamRun")

PROVEN_S: typing.Final = 2.0
"""Seconds after the first event from which on a run shows that its prompt does
not end its target. What ends one does so as the target begins to write."""
_POLL_INTERVAL_S: typing.Final = 0.1
"""Seconds between checks of how long a run has been silent."""


class RunPlan(typing.NamedTuple):
    """Where a stream runs next, and how."""

    target: targets.Target
    """Target that gets the request."""
    options: requests.SendOptions
    """What the target is told besides the request."""
    backup: typing.Optional[targets.Target]
    """Target that keeps a copy of the memory, None without one."""


class StreamRun:
    """A request that is sent to one target, and its answer."""

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
        # True once the target was told to stop the generation, or may have
        # been: its stream then ends although it is not complete.
        self.was_told_to_stop = False
        # True once its stream has ended or broken off by itself.
        self.has_ended = False
        self._first_event_at = math.inf
        self._reader: typing.Final = stream_events.EventReader()
        self._last_data_at = self.began_at
        self._shared: typing.Final = shared
        self._request: typing.Final = request
        self._options: typing.Final = plan.options
        self._stack: typing.Final = contextlib.AsyncExitStack()
        self._answer: typing.Optional[target_calls.TargetAnswer] = None
        self._has_pending_prompt = False
        self._events: typing.Final = self._iterate_events()
        # Scope in which the last event was waited for.
        self._receiving = trio.CancelScope()

    @property
    def answer(self) -> target_calls.TargetAnswer:
        """The answer, once :meth:`open` has returned."""
        assert self._answer is not None
        return self._answer

    async def open(self) -> None:
        """Send the request and wait for the head of the answer.

        Raises :class:`ports.PortError`, also for an answer that may not be
        forwarded to the caller.
        """
        self._add_pending_prompt()
        try:
            self._answer = await self._stack.enter_async_context(
                self._shared.send(self.target, self._request, self._options)
            )
            self._check_answer(self._answer)
        except BaseException:
            await self.close()
            raise

    def _check_answer(self, answer: target_calls.TargetAnswer) -> None:
        if not answer.is_refusal() and not answer.may_forward():
            raise self.make_status_error()

    def make_status_error(self) -> ports.PortError:
        """Return the error for an answer whose status cannot be forwarded."""
        return ports.PortError(
            "receive answer",
            self.target.entry.address,
            f"unexpected status {self.answer.status}",
            took_effect=True,
        )

    async def close(self) -> None:
        """End the run, which stops a target that still works on it."""
        self._remove_pending_prompt()
        with trio.CancelScope(shield=True):
            await self._stack.aclose()

    async def receive_event(
        self,
    ) -> typing.Optional[stream_events.StreamEvent]:
        """Return the next event, None at the end.

        Raises :class:`ports.PortError` at a break, and once the run is given
        up. An event that comes as it is given up is returned all the same.
        """
        with trio.CancelScope() as scope:
            self._receiving = scope
            try:
                event = await anext(self._events, None)
            except ports.PortError:
                self.has_ended = True
                raise
        if scope.cancelled_caught:
            raise self.make_silence_error()
        return event

    def take_read_events(self) -> abc.Iterator[stream_events.StreamEvent]:
        """Yield the events that were read together with the last one."""
        while (event := self._reader.take_event()) is not None:
            yield event

    def give_up(self) -> None:
        """Receive no more, unless an event is being forwarded."""
        self._receiving.cancel()

    async def _iterate_events(
        self,
    ) -> abc.AsyncIterator[stream_events.StreamEvent]:
        """Yield events; raises :class:`ports.PortError` at a break."""
        chunks = self._receive_chunks()
        async for event in self._reader.read_events(chunks):
            if not self.has_events:
                self.has_events = True
                self._first_event_at = trio.current_time()
            self._remove_pending_prompt()
            yield event

    async def _receive_chunks(self) -> abc.AsyncIterator[bytes]:
        chunks = self._shared.receive_body(
            self.target,
            self.answer,
            self._reader.find_content_end,
            lambda: self.was_told_to_stop,
        )
        async for chunk in chunks:
            self._last_data_at = trio.current_time()
            yield chunk

    async def wait_until_silent(
        self, find_limit_ms: abc.Callable[["StreamRun"], float]
    ) -> None:
        """Return once the run has been silent for longer than the limit."""
        while True:
            await trio.sleep(_POLL_INTERVAL_S)
            silent_ms = (trio.current_time() - self._last_data_at) * 1000
            if silent_ms > find_limit_ms(self):
                return

    def is_proven(self) -> bool:
        """Tell whether its target has written on the prompt for a while."""
        return trio.current_time() - self._first_event_at >= PROVEN_S

    def describe_end(self) -> dict[str, typing.Any]:
        """Return how the answer was framed and ended, for a log line."""
        return {
            "is_delimited": self.answer.is_delimited,
            "partial_event_bytes": self._reader.partial_bytes,
        }

    def make_silence_error(self) -> ports.PortError:
        """Return the error for a run that was silent for too long."""
        return ports.PortError(
            "receive event",
            self.target.entry.address,
            "no data within the limit on silence",
            took_effect=True,
        )

    def _add_pending_prompt(self) -> None:
        """Add the prompt to those that the target has yet to process."""
        if self._options.copy is None:
            self._has_pending_prompt = True
            self.target.own_pending_prefill_tokens += (
                self._request.prompt_tokens
            )

    def _remove_pending_prompt(self) -> None:
        if self._has_pending_prompt:
            self._has_pending_prompt = False
            self.target.own_pending_prefill_tokens -= (
                self._request.prompt_tokens
            )

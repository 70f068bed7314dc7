"""Stops runs of a stream that goes on at another target.

Most targets drop a request as its connection closes, but some work on, and a
connection that is reset on the way may leave its target at work. Two targets
would then work on one generation. So each target to which a stream was sent
before is told to stop it, unless its run is known to have ended.
"""

from collections import abc
import math
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import targets

__all__ = ("LeftRun", "LeftRuns", "RunStopper")

_DROPPED_WITHIN_S: typing.Final = 0.1
"""Seconds within which most targets notice that a connection was closed. A
stop that comes before would let them copy memory that nobody needs."""
_CALL_MS: typing.Final = 2000.0
"""Milliseconds allowed for a stop. It is answered after a copy."""
_MAX_TRIES: typing.Final = 3
"""Stops that are tried at one target."""
_RETRY_S: typing.Final = 0.05
"""Seconds between them."""


class LeftRun:
    """A run that may go on at a target which its stream has left."""

    def __init__(
        self,
        request_id: str,
        target: targets.Target,
        destination: targets.Target,
    ) -> None:
        """Let ``target`` stop a request that goes on at ``destination``."""
        self.request_id: typing.Final = request_id
        self.target: typing.Final = target
        self.destination: typing.Final = destination
        # Cancelled once the stream comes back to the target.
        self.scope: typing.Final = trio.CancelScope()


class LeftRuns:
    """The targets that may work on one stream."""

    def __init__(
        self, request_id: str, schedule_stop: abc.Callable[[LeftRun], None]
    ) -> None:
        """Pass runs of ``request_id`` that are to be stopped on."""
        self._request_id: typing.Final = request_id
        self._schedule_stop: typing.Final = schedule_stop
        self._at_work: typing.Final[dict[str, targets.Target]] = {}
        self._stopping: typing.Final[dict[str, LeftRun]] = {}

    def note_sent(self, target: targets.Target) -> None:
        """Note that the request is about to be sent to a target."""
        stopping = self._stopping.pop(target.target_id, None)
        if stopping is not None:
            stopping.scope.cancel()
        self._at_work[target.target_id] = target

    def note_ended(self, target: targets.Target) -> None:
        """Note that a target certainly does not work on the request."""
        self._at_work.pop(target.target_id, None)

    def stop_others(self, current: targets.Target) -> None:
        """Let all targets but the one that runs the stream now stop it."""
        for target in list(self._at_work.values()):
            if target is not current:
                left = LeftRun(self._request_id, target, current)
                self._stopping[target.target_id] = left
                self.note_ended(target)
                self._schedule_stop(left)


class RunStopper:
    """Tells targets to stop runs that were left."""

    def __init__(self, calls: target_calls.TargetCalls) -> None:
        """Stop them by ``calls``."""
        self._calls: typing.Final = calls
        send, receive = trio.open_memory_channel[LeftRun](math.inf)
        self._sender: typing.Final = send
        self._receiver: typing.Final = receive

    def schedule(self, left: LeftRun) -> None:
        """Queue a run for :meth:`run`."""
        self._sender.send_nowait(left)

    async def run(self) -> None:
        """Stop queued runs until cancelled, beside each other."""
        async with trio.open_nursery() as nursery:
            async for left in self._receiver:
                nursery.start_soon(self._stop, left)

    async def _stop(self, left: LeftRun) -> None:
        with left.scope:
            await trio.sleep(_DROPPED_WITHIN_S)
            reason = ""
            for _ in range(_MAX_TRIES):
                try:
                    await self._stop_once(left)
                except target_calls.UnknownRunError:
                    # The target has dropped it.
                    return
                except ports.PortError as error:
                    reason = error.reason
                else:
                    return
                await trio.sleep(_RETRY_S)
            _log_stop(left, is_stopped=False, reason=reason)

    async def _stop_once(self, left: LeftRun) -> None:
        copy = await self._calls.copy_memory(
            left.target,
            left.destination,
            left.request_id,
            stops_first=True,
            deadline=deadlines.make_deadline(_CALL_MS),
        )
        _log_stop(left, is_stopped=True)
        if copy.handle:
            try:
                await self._calls.free_copy(left.target, copy.handle)
            except ports.PortError as error:
                # The copy expires by itself after some seconds.
                logs.log_event(
                    events.MOVE_FAILED,
                    source=left.target.target_id,
                    target=left.destination.target_id,
                    step=error.step,
                    reason=error.reason,
                )


def _log_stop(left: LeftRun, *, is_stopped: bool, reason: str = "") -> None:
    logs.log_event(
        events.RUN_LEFT,
        target=left.target.target_id,
        destination=left.destination.target_id,
        request_id=left.request_id,
        is_stopped=is_stopped,
        reason=reason,
    )

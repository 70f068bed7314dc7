"""Targets that stop a generation for its last copy."""

from collections import abc
import contextlib
import math
import typing

import forwarding_builders
import trio

from gentianpoint_core import deadlines
from gentianpoint_core import ports
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import targets

__all__ = ("EVENTS", "LastCopy", "StoppingCalls")

EVENTS: typing.Final = 40
"""Events of the stream."""
SOURCE: typing.Final = "a"
"""Target that begins it, and is told to stop."""


class LastCopy(typing.NamedTuple):
    """What the source does with the request for the last copy."""

    answer: str = "copied"
    """``copied``, ``no room``, ``failed``, or ``unknown generation``, with
    which nothing is stopped."""
    answers_after_s: float = 0.0
    """Seconds after which it answers; infinite if it never does."""
    taken_up_by: str = "b"
    """Targets that go on from the copy once it has been made, each a
    letter."""


class _StoppableAnswer(forwarding_builders.GoodAnswer):
    """A stream that is closed without its end once it is stopped."""

    def __init__(
        self, first: int, stopped: trio.Event, *, is_delimited: bool
    ) -> None:
        super().__init__()
        self.is_delimited = is_delimited
        self._first: typing.Final = first
        self._stopped: typing.Final = stopped

    async def receive_body(self) -> abc.AsyncIterator[bytes]:
        for number in range(self._first, EVENTS + 1):
            with trio.move_on_after(forwarding_builders.EVENT_S):
                await self._stopped.wait()
            if self._stopped.is_set():
                break
            yield forwarding_builders.make_event(number)
        else:
            return
        if self.is_delimited:
            raise ports.PortError(
                "receive body",
                "source",
                "closed before the last chunk",
                took_effect=True,
                disconnected=True,
            )


class StoppingCalls(forwarding_builders.ScriptedCalls):
    """Targets of which the first one moves its generation away."""

    def __init__(self, last_copy: LastCopy, *, is_delimited: bool) -> None:
        """Answer the request for the last copy as ``last_copy`` says."""
        super().__init__()
        self.scripts = {"a": [], "b": []}
        self._last_copy: typing.Final = last_copy
        self._is_delimited: typing.Final = is_delimited
        self._stopped: typing.Final = trio.Event()
        self._copied: typing.Final = trio.Event()

    @contextlib.asynccontextmanager
    async def send_request(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> abc.AsyncIterator[target_calls.TargetAnswer]:
        """Begin the stream, or go on from the copy, unless refused."""
        name = target.target_id
        self.sends.append((name, options))
        await trio.sleep(0.01)
        if options.copy is None:
            yield _StoppableAnswer(
                1, self._stopped, is_delimited=self._is_delimited
            )
            return
        has_copy = name == SOURCE or self._copied.is_set()
        if not has_copy or name not in self._last_copy.taken_up_by:
            yield forwarding_builders.ScriptedAnswer("refuse", target)
            return
        yield _StoppableAnswer(
            int(options.last_event_id) + 1, trio.Event(), is_delimited=True
        )

    async def copy_memory(
        self,
        source: targets.Target,
        destination: targets.Target,
        request_id: str,
        *,
        stops_first: bool,
        deadline: deadlines.Deadline,
    ) -> target_calls.CopyResult:
        """Copy the memory, and stop the generation first if asked to."""
        self.stop_flags.append(stops_first)
        await trio.sleep(0.05)
        copy = self._last_copy
        if not stops_first:
            return target_calls.CopyResult("handle-1", is_complete=True)
        if copy.answer == "unknown generation":
            raise ports.PortError(
                "move memory", "source", "status 404", took_effect=False
            )
        self._stopped.set()
        with trio.CancelScope(deadline=deadline.at):
            if math.isinf(copy.answers_after_s):
                await trio.sleep_forever()
            await trio.sleep(copy.answers_after_s)
            if copy.answer == "copied":
                self._copied.set()
            if copy.answer == "failed":
                raise ports.PortError(
                    "move memory", "source", "status 500", took_effect=True
                )
            return target_calls.CopyResult(
                "handle-1", is_complete=copy.answer == "copied"
            )
        raise ports.PortError(
            "move memory", "source", "no answer in time", took_effect=True
        )

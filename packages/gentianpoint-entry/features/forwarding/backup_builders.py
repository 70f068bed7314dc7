"""A target that leaves, and the backup of its generation."""

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

__all__ = ("EVENTS", "BackupCalls")

EVENTS: typing.Final = 60
"""Events of the stream."""


class _FailingAnswer(forwarding_builders.GoodAnswer):
    """An answer other than a success."""

    def __init__(self, status: int, *, is_refusal: bool) -> None:
        super().__init__()
        self.status = status
        self.has_not_run = is_refusal
        self.is_wrong_target = status == 421

    async def receive_body(self) -> abc.AsyncIterator[bytes]:
        yield b"an error"


class _NumberedAnswer(forwarding_builders.GoodAnswer):
    """A stream of the events from one number to another."""

    def __init__(
        self, calls: "BackupCalls", name: str, first: int, last: int
    ) -> None:
        super().__init__()
        self._calls: typing.Final = calls
        self._name: typing.Final = name
        self._first: typing.Final = first
        self._last: typing.Final = last

    async def receive_body(self) -> abc.AsyncIterator[bytes]:
        for number in range(self._first, self._last + 1):
            await trio.sleep(forwarding_builders.EVENT_S)
            if self._name not in self._calls.open:
                # As a real connection: another task has closed it.
                raise trio.ClosedResourceError
            yield forwarding_builders.make_event(number)
        if self._last < EVENTS:
            raise ports.PortError(
                "receive body", self._name, "reset", took_effect=True
            )


class BackupCalls(forwarding_builders.ScriptedCalls):
    """Target a runs the stream, and b keeps a copy of its memory."""

    def __init__(
        self, reaction: str, reacts_after_s: float, last: int = EVENTS
    ) -> None:
        """Let b react when it is asked to go on.

        ``reaction`` is ``takes over``, ``is reset``, or the status of its
        answer, which it gives after ``reacts_after_s``. The stream of a breaks
        off after the event ``last``.
        """
        super().__init__()
        self.scripts = {"a": [], "b": []}
        self._reaction: typing.Final = reaction
        self._reacts_after_s: typing.Final = reacts_after_s
        self._last: typing.Final = last
        self.reacted_at = math.nan
        # When the connection to a target was closed.
        self.closed_at: typing.Final[dict[str, float]] = {}
        # True if a works on without a connection until it is told to stop.
        self.works_on = False
        # Answers of a to calls that stop the run, before it does so.
        self.stop_answers: typing.Final[list[str]] = []
        self.stops = 0
        # When a was told to stop what it worked on.
        self.stopped_at = math.nan

    @contextlib.asynccontextmanager
    async def send_request(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> abc.AsyncIterator[target_calls.TargetAnswer]:
        """Begin the stream at a, and let b react."""
        name = target.target_id
        self.sends.append((name, options))
        self.open.add(name)
        try:
            if options.copy is None and name == "a":
                await trio.sleep(0.01)
                yield _NumberedAnswer(self, name, 1, self._last)
                return
            if math.isinf(self._reacts_after_s):
                await trio.sleep_forever()
            await trio.sleep(self._reacts_after_s)
            self.reacted_at = trio.current_time()
            if self._reaction == "is reset":
                raise ports.PortError(
                    "receive head", name, "reset", took_effect=True
                )
            if self._reaction == "takes over":
                first = int(options.last_event_id) + 1
                yield _NumberedAnswer(self, name, first, EVENTS)
                return
            status, _, words = self._reaction.partition(" ")
            yield _FailingAnswer(int(status), is_refusal=words == "not run")
        finally:
            self.open.discard(name)
            self.closed_at[name] = trio.current_time()

    async def copy_memory(
        self,
        source: targets.Target,
        destination: targets.Target,
        request_id: str,
        *,
        stops_first: bool,
        deadline: deadlines.Deadline,
    ) -> target_calls.CopyResult:
        """Stop the run of a, if it still works on it."""
        assert stops_first
        assert (source.target_id, destination.target_id) == ("a", "b")
        self.stops += 1
        await trio.sleep(0.002)
        answer = self.stop_answers.pop(0) if self.stop_answers else ""
        if answer == "is busy":
            raise ports.PortError(
                "move memory", "a", "status 409", took_effect=False
            )
        if answer == "is not reached":
            raise ports.PortError("connect", "a", "cut", took_effect=False)
        if not self.works_on:
            raise target_calls.UnknownRunError(
                "move memory", "a", "status 404", took_effect=False
            )
        self.stopped_at = trio.current_time()
        return target_calls.CopyResult("handle-1", answer != "has no room")

"""Builders of a call that waits for its turn."""

from collections import abc
import contextlib
import typing

import trio

from gentianpoint_agent import admission_policy
from gentianpoint_agent import call_runner
from gentianpoint_agent import generations
from gentianpoint_core import deadlines
from gentianpoint_core.generated import messages

_OFFER: typing.Final[messages.Offer] = {
    "type": "offer",
    "call": 1,
    "attempt": "a-1",
    "customer": "rebobinados",
    "weight": 1.0,
    "customer_limit": 0,
    "priority": 5,
    "repeatable": False,
    "start_within_ms": 0,
    "finish_within_ms": 0,
    "request": {
        "kind": "generation",
        "prompt": "a prompt",
        "max_tokens": 0,
        "method": "",
        "path": "",
        "headers": [],
        "body": b"",
    },
    "trace": "",
}


class HeldControl:
    """Admission that gives the turn when the test says so."""

    def __init__(self) -> None:
        """Hold the turn."""
        self.turn = trio.Event()

    @contextlib.asynccontextmanager
    async def enter(
        self, profile: admission_policy.CallProfile
    ) -> abc.AsyncIterator[None]:
        """Wait for the turn."""
        await self.turn.wait()
        yield None


class CountingRunner(call_runner.CallRunner):
    """Counts how often the target was called."""

    def __init__(self, control: typing.Any) -> None:
        """Call nothing yet."""
        super().__init__(control)
        self.calls = 0
        self.answer = trio.Event()

    async def call_target(
        self,
        generation: generations.Generation,
        call: call_runner.OfferedCall,
        slot: admission_policy.Slot,
    ) -> generations.GenerationEnd:
        """Count the call and wait for the answer."""
        self.calls += 1
        await self.answer.wait()
        return generations.GenerationEnd(generations.STOP)

    async def cancel_at_target(
        self, generation: generations.Generation
    ) -> None:
        """Stop nothing."""


class HeldRun:
    """One call with its runner."""

    def __init__(self, start_within_ms: int) -> None:
        """Make a call with a deadline to start."""
        self.control = HeldControl()
        self.runner = CountingRunner(self.control)
        self.generation = generations.Generation(
            "t~i~1~s", "rebobinados", False, False
        )
        self.call = call_runner.OfferedCall(
            _OFFER,
            "entry-1",
            deadlines.make_deadline(start_within_ms),
            deadlines.NO_DEADLINE,
        )

    async def run(self) -> None:
        """Run the call to its end."""
        await self.runner.run(self.generation, self.call)

    def give_turn(self) -> None:
        """Let the call pass admission."""
        self.control.turn.set()

    def answer_at_once(self) -> None:
        """Let the target answer."""
        self.runner.answer.set()

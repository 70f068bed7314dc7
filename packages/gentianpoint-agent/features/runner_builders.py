"""A call whose admission and answer the steps control."""

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


class ManualControl:
    """Admission control that admits calls when a step says so."""

    def __init__(self) -> None:
        """Admit nothing yet."""
        self.admitted = trio.Event()

    @contextlib.asynccontextmanager
    async def admit(
        self, profile: admission_policy.CallProfile
    ) -> abc.AsyncIterator[None]:
        """Wait for admission."""
        await self.admitted.wait()
        yield None


class CountingRunner(call_runner.CallRunner):
    """Counts the calls to the target and answers when told to."""

    def __init__(self, control: typing.Any) -> None:
        """Create a runner that has called nothing yet."""
        super().__init__(control)
        self.calls = 0
        self.may_answer = trio.Event()

    async def call_target(
        self,
        generation: generations.Generation,
        call: call_runner.OfferedCall,
        slot: admission_policy.Slot,
    ) -> generations.GenerationEnd:
        """Count the call and wait for the answer."""
        self.calls += 1
        await self.may_answer.wait()
        return generations.GenerationEnd(generations.STOP)

    async def cancel_at_target(
        self, generation: generations.Generation
    ) -> None:
        """Do nothing: there is no target."""


class ControlledCall:
    """One call with its runner and admission control."""

    def __init__(self, start_within_ms: int) -> None:
        """Create a call that must start within ``start_within_ms``."""
        self.control = ManualControl()
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

    def admit(self) -> None:
        """Admit the call."""
        self.control.admitted.set()

    def let_target_answer(self) -> None:
        """Let the target answer, now or when it is called."""
        self.runner.may_answer.set()

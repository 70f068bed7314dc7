"""Calls that go through one admission control, on a test clock."""

import functools
import typing

import agent_builders
import trio
import trio_stage

from gentianpoint_agent import admission
from gentianpoint_agent import admission_policy
from gentianpoint_core import errors


class RunningCall(typing.NamedTuple):
    """A call that was admitted and has not ended."""

    customer: str
    number: int
    slot: admission_policy.Slot
    may_end: trio.Event


class CallStage:
    """Sends calls through an admission control and ends them."""

    def __init__(
        self, make_control: typing.Callable[[], admission.AdmissionControl]
    ) -> None:
        """Create the admission control inside a trio run of its own."""
        self.stage: typing.Final = trio_stage.TrioStage()
        self.control: typing.Final = self.stage.call(make_control)
        self.running: typing.Final[list[RunningCall]] = []
        self.started: typing.Final[list[tuple[str, int]]] = []
        self.refused: typing.Final[
            list[tuple[str, typing.Optional[errors.CallError]]]
        ] = []
        self.scopes: typing.Final[list[trio.CancelScope]] = []
        self._sent = 0

    def close(self) -> None:
        """End the trio run."""
        self.stage.close()

    def pass_time(self, seconds: float) -> None:
        """Advance the clock."""
        self.stage.pass_time(seconds)

    def send(self, profile: admission_policy.CallProfile) -> None:
        """Send a call and return once it runs, waits or is refused."""
        self._sent += 1
        self.stage.start_task(self._run_call, profile, self._sent)

    async def _run_call(
        self, profile: admission_policy.CallProfile, number: int
    ) -> None:
        scope = trio.CancelScope()
        self.scopes.append(scope)
        with scope:
            try:
                async with self.control.admit(profile) as slot:
                    call = RunningCall(
                        profile.customer, number, slot, trio.Event()
                    )
                    self.running.append(call)
                    self.started.append((profile.customer, number))
                    await call.may_end.wait()
            except errors.CallError as error:
                self.refused.append((profile.customer, error))

    def hold(self, profile: admission_policy.CallProfile) -> None:
        """Run a stream that an earlier run of the agent started."""
        self.stage.start_task(self._run_adopted, profile)

    async def _run_adopted(
        self, profile: admission_policy.CallProfile
    ) -> None:
        with self.control.admit_running(profile) as slot:
            call = RunningCall(profile.customer, 0, slot, trio.Event())
            self.running.append(call)
            await call.may_end.wait()

    def end_first(self, tokens: int = 0, end: str = "cancelled") -> None:
        """End the oldest running call, after some tokens."""
        self.end(self.running[0], tokens, end)

    def end(self, call: RunningCall, tokens: int, end: str) -> None:
        """End a call after some tokens."""
        self.running.remove(call)
        self.stage.call(self.note_tokens, call.slot, tokens)
        self.stage.call(call.slot.note_end, end, 0)
        self.stage.call(call.may_end.set)

    def note_tokens(self, slot: admission_policy.Slot, count: int) -> None:
        """Report tokens of a call; must be called inside the trio run."""
        for _ in range(count):
            slot.note_token()

    def count_running(self, customer: str) -> int:
        """Return how many calls of a customer are running."""
        return sum(call.customer == customer for call in self.running)

    def count_refused(self, customer: str) -> int:
        """Return how many calls were refused with a retry delay."""
        return sum(
            row == customer and error is not None and error.retry_after_ms > 0
            for row, error in self.refused
        )


def make_fixed_stage(limit: int, **spec: typing.Any) -> CallStage:
    """Return a stage whose control lets ``limit`` calls run at once."""
    return CallStage(
        functools.partial(agent_builders.make_fixed_control, limit, **spec)
    )


def make_predictive_stage(**spec: typing.Any) -> CallStage:
    """Return a stage whose control has the predictive policy."""
    return CallStage(
        functools.partial(agent_builders.make_predictive_control, **spec)
    )

"""One plain request, from its target's choice to the caller's answer."""

import math
import typing

import trio

from gentianpoint_core import ports
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import targets

__all__ = ("MOST_SENDS", "PlainCall", "is_promise")

MOST_SENDS: typing.Final = 4
"""Targets that one request is tried at, when those before did not run it.
More would cost the caller more time than coming back."""
_MOST_HELD_BYTES: typing.Final = 262144
"""Longest answer that is held until it is whole, so that one that breaks off
can still be replaced. Longer ones go on as they arrive."""
_PATIENCE: typing.Final = 3.0
"""Times the objective after which an idempotent request is sent elsewhere.
Most of a target's answers come within the objective, so three times it marks
a target that is stuck, and leaves time for another one."""
_SHORTEST_PATIENCE_MS: typing.Final = 250.0
"""A target that is only slow at its start answers within this."""
_PROMISES: typing.Final = frozenset((408, 421, 429, 503))


def is_promise(status: int) -> bool:
    """Tell whether a status says that a request never runs."""
    return status in _PROMISES


class PlainCall:
    """A request whose answer is one body."""

    def __init__(
        self,
        shared: forwarder.Forwarder,
        request: requests.CallerRequest,
        answer: caller_answers.CallerAnswer,
    ) -> None:
        """Serve ``request`` and answer to ``answer``."""
        self._shared: typing.Final = shared
        self._request: typing.Final = request
        self._answer: typing.Final = answer
        self._tried: typing.Final[set[str]] = set()
        self.may_have_run = False
        self.runs = 0
        self._retry_after_ms = 0.0

    async def serve(self) -> typing.Optional[refusals.Refusal]:
        """Answer the caller; return a refusal if there is no answer."""
        for number in range(MOST_SENDS):
            target = self._shared.choose_target(self._request, self._tried)
            if target is None:
                break
            if number and not self._shared.take_retry(self._request):
                break
            self._tried.add(target.target_id)
            try:
                if await self._try_target(target):
                    return None
            except ports.PortError as error:
                self._shared.note_failure(target, error)
                self.may_have_run |= error.took_effect
                self.runs += error.took_effect
            if self._answer.is_started or not self._may_try_again():
                break
        return self._give_up()

    def _may_try_again(self) -> bool:
        if not self.may_have_run:
            return True
        route = self._request.route
        return route.may_repeat() and self.runs < route.max_attempts

    def _give_up(self) -> typing.Optional[refusals.Refusal]:
        if self._answer.is_started:
            return None
        if self.may_have_run:
            return refusals.refuse_outcome_unknown(
                "the target's answer was lost, and it may have run"
            )
        wait_ms = self._retry_after_ms
        reason = "no target took the request"
        return refusals.refuse_not_run(reason, wait_ms)

    async def _try_target(self, target: targets.Target) -> bool:
        """Send to one target; True when the caller has its answer."""
        patience = trio.CancelScope(deadline=self._find_patience())
        with patience:
            async with self._shared.send(
                target, self._request, requests.SendOptions()
            ) as got:
                if got.has_not_run or got.is_wrong_target:
                    self._retry_after_ms = max(
                        self._retry_after_ms, got.retry_after_ms
                    )
                    self._shared.note_refusal(target, got)
                    return False
                return await self._pass_on(target, got, patience)
        raise ports.PortError(
            "wait for answer",
            target.entry.address,
            "no answer in a time in which another target gives one",
            took_effect=True,
        )

    def _find_patience(self) -> float:
        """Return when to stop waiting for this target, on trio's clock."""
        route = self._request.route
        if not route.may_repeat() or self.runs + 1 >= route.max_attempts:
            return math.inf
        wait_ms = max(route.objective_ms * _PATIENCE, _SHORTEST_PATIENCE_MS)
        left_ms = self._request.deadline.remaining_ms()
        return trio.current_time() + min(wait_ms, left_ms / 2) / 1000

    async def _pass_on(
        self,
        target: targets.Target,
        got: target_calls.TargetAnswer,
        patience: trio.CancelScope,
    ) -> bool:
        held = bytearray()
        body = got.receive_body()
        async for chunk in body:
            held += chunk
            if len(held) > _MOST_HELD_BYTES:
                break
        else:
            patience.deadline = math.inf
            return await self._pass_on_whole(target, got, bytes(held))
        patience.deadline = math.inf
        self._check_answer(target, got)
        self._shared.note_success(target)
        await self._answer.start(got.status, got.headers)
        await self._answer.send(bytes(held))
        async for chunk in body:
            await self._answer.send(chunk)
        await self._answer.finish()
        return True

    async def _pass_on_whole(
        self,
        target: targets.Target,
        got: target_calls.TargetAnswer,
        body: bytes,
    ) -> bool:
        self._check_answer(target, got)
        if got.status >= 500 and self._is_worth_another(target):
            self.may_have_run = True
            self.runs += 1
            target.failures += 1
            target.failed_at = trio.current_time()
            return False
        if got.status < 500:
            self._shared.note_success(target)
        await self._answer.send_whole(got.status, got.headers, body)
        return True

    def _check_answer(
        self, target: targets.Target, got: target_calls.TargetAnswer
    ) -> None:
        """Raise unless the answer may be given to the caller."""
        if got.is_sealed and not is_promise(got.status):
            return
        raise ports.PortError(
            "receive answer",
            target.entry.address,
            f"status {got.status} is no answer that the target stands for",
            took_effect=True,
        )

    def _is_worth_another(self, target: targets.Target) -> bool:
        """Tell whether a failure is better replaced by another target's."""
        route = self._request.route
        if not route.may_repeat() or self.runs + 1 >= route.max_attempts:
            return False
        excluded = self._tried | {target.target_id}
        return self._shared.choose_target(self._request, excluded) is not None

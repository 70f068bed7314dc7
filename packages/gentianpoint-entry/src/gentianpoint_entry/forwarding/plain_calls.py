"""One plain request, from its target's choice to the caller's answer."""

import math
import typing

import trio

from gentianpoint_core import ports
from gentianpoint_entry.forwarding import attempts
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import caller_calls
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import targets

__all__ = ("PlainCall",)

_MOST_SENDS: typing.Final = 4
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


class PlainCall(caller_calls.CallerCall):
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
        self.attempts = attempts.Attempts(shared, request)
        self._has_retry = False

    async def serve(self) -> typing.Optional[refusals.Refusal]:
        """Answer the caller; return a refusal if there is no answer."""
        for number in range(_MOST_SENDS):
            target = self._shared.choose_target(
                self._request, self.attempts.tried
            )
            if target is None:
                break
            if number and not self._take_retry():
                break
            self.attempts.tried.add(target.target_id)
            try:
                if await self._try_target(target):
                    return None
            except ports.PortError as error:
                self.attempts.note_error(target, error)
            is_started = self._answer.is_started
            if is_started or not self.attempts.may_send_again():
                break
        return self.attempts.give_up(
            self._answer, "the target's answer was lost, and it may have run"
        )

    def _take_retry(self) -> bool:
        """Take a retry, unless one is held for the next attempt."""
        if self._has_retry:
            self._has_retry = False
            return True
        return self._shared.take_retry(self._request)

    async def _try_target(self, target: targets.Target) -> bool:
        """Send to one target; True when the caller has its answer."""
        patience = trio.CancelScope(deadline=self._find_patience())
        with patience:
            async with self._shared.send(
                target, self._request, requests.SendOptions()
            ) as got:
                if got.is_refusal():
                    self.attempts.note_refusal(target, got)
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
        if not self.attempts.may_run_again(besides=1):
            return math.inf
        route = self._request.route
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
        if got.status >= 500 and self._is_worth_another():
            self._note_status(target, got)
            # Taken here: once the failure is dropped, its caller could only
            # be told that the outcome is unknown.
            self._has_retry = self._shared.take_retry(self._request)
            if self._has_retry:
                return False
        if got.status < 500:
            self._shared.note_success(target)
        await self._answer.send_whole(got.status, got.headers, body)
        return True

    def _note_status(
        self, target: targets.Target, got: target_calls.TargetAnswer
    ) -> None:
        error = ports.PortError(
            "receive answer",
            target.entry.address,
            f"the target answered with status {got.status}",
            took_effect=True,
        )
        self.attempts.note_error(target, error)

    def _check_answer(
        self, target: targets.Target, got: target_calls.TargetAnswer
    ) -> None:
        """Raise unless the answer may be given to the caller."""
        if got.may_pass_on():
            return
        raise ports.PortError(
            "receive answer",
            target.entry.address,
            f"status {got.status} is no answer that the target stands for",
            took_effect=True,
        )

    def _is_worth_another(self) -> bool:
        """Tell whether a failure is better replaced by another target's."""
        tried = self.attempts.tried
        if not self.attempts.may_run_again(besides=1):
            return False
        if len(tried) >= _MOST_SENDS:
            return False
        # The target itself is among those tried.
        return self._shared.choose_target(self._request, tried) is not None

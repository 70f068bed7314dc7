"""Serves a request whose answer is one body."""

import math
import typing

import trio

from gentianpoint_core import caller_resources
from gentianpoint_core import ports
from gentianpoint_entry.forwarding import attempts
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import caller_calls
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import hedged_attempts
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import targets

__all__ = ("PlainCall",)

_MAX_SENDS: typing.Final = 4
"""Most targets that one request is sent to, as long as none of them ran it.
With more, the caller would wait longer than if it were refused and sent the
request again."""
_MAX_BUFFERED_BYTES: typing.Final = 262144
"""Longest answer, in bytes, that is buffered until it is complete, so that one
that breaks off can still be replaced. Longer ones are forwarded as they
arrive."""
_SHORT_BYTES: typing.Final = 16384
"""Length, in bytes, up to which an answer is held without taking memory for
it; a longer one is forwarded as it arrives if there is none."""
_FORWARDING_BYTES: typing.Final = 65536
"""Memory of a longer answer that is forwarded as it arrives: its parts here
and in the kernel, until its caller takes them."""
_LATE_FACTOR: typing.Final = 3.0
"""Multiple of the route's objective after which an idempotent request is sent
to another target as well. Most answers arrive within the objective, so three
times as long indicates a stuck target and leaves time for another one."""
_MIN_LATE_MS: typing.Final = 250.0
"""Least time, in milliseconds, before the request is sent to another target. A
target that is only slow after its start answers within it."""


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
        self._hedged: typing.Final = hedged_attempts.HedgedAttempts(
            self._attempt, self._find_hedge, self._find_late_at
        )
        self._is_delimited = True
        # True from the moment on in which an answer goes to the caller.
        self._is_forwarding = False

    async def serve(self) -> typing.Optional[refusals.Refusal]:
        """Answer the caller; return a refusal if there is no answer."""
        while len(self.attempts.tried) < _MAX_SENDS:
            if await self.attempts.is_suspect():
                return self.attempts.refuse_suspect(self._answer)
            target = await self._shared.find_target(
                self._request, self.attempts.tried
            )
            if target is None:
                break
            if self.attempts.tried and not self.attempts.take_retry():
                self._shared.give_back(target, self._request)
                break
            self.attempts.tried.add(target.target_id)
            if await self._hedged.run(target):
                return None
            if not self.attempts.may_send_again():
                break
        return self.attempts.give_up(
            self._answer, "the target's answer was lost, and it may have run"
        )

    def describe_timing(self) -> dict[str, typing.Any]:
        """Return how the last answer was framed."""
        return {"is_delimited": self._is_delimited}

    async def _attempt(self, target: targets.Target) -> bool:
        """Send to one target; return True if the caller gets its answer."""
        try:
            return await self._try_target(target)
        except ports.PortError as error:
            self.attempts.note_error(target, error)
            # A part of an answer can't be replaced.
            return self._answer.is_started

    async def _try_target(self, target: targets.Target) -> bool:
        async with self._shared.send(
            target, self._request, requests.SendOptions()
        ) as target_answer:
            self._is_delimited = target_answer.is_delimited
            if target_answer.is_refusal():
                self.attempts.note_refusal(target, target_answer)
                return False
            return await self._forward_answer(target, target_answer)

    async def _find_hedge(self) -> typing.Optional[targets.Target]:
        """Return another target while those asked are late, or None.

        Where no other may be asked, or a retry is missing, those are waited
        for.
        """
        if len(self.attempts.tried) >= _MAX_SENDS or self._is_forwarding:
            return None
        if not self._may_run_beside() or self._shared.is_refused(
            self._request
        ):
            return None
        target = await self._shared.find_target(
            self._request, self.attempts.tried
        )
        if target is None:
            return None
        if not self.attempts.take_retry():
            self._shared.give_back(target, self._request)
            return None
        for late in self._hedged.list_open():
            self._shared.note_failure(
                late, _make_late_error(late), self._request
            )
        self.attempts.tried.add(target.target_id)
        return target

    def _may_run_beside(self) -> bool:
        """Tell whether the request may run once more beside its open runs."""
        # Those are recorded only after they have failed.
        open_runs = len(self._hedged.list_open())
        return self.attempts.may_run_again(unrecorded_runs=open_runs)

    def _find_late_at(self) -> float:
        """Return when to ask another target too, on trio's clock."""
        if not self._may_run_beside():
            return math.inf
        if self._shared.is_trial(self._request):
            # No other target may run it then.
            return math.inf
        route = self._request.route
        wait_ms = max(route.objective_ms * _LATE_FACTOR, _MIN_LATE_MS)
        left_ms = self._request.deadline.remaining_ms()
        return trio.current_time() + min(wait_ms, left_ms / 2) / 1000

    async def _forward_answer(
        self,
        target: targets.Target,
        target_answer: target_calls.TargetAnswer,
    ) -> bool:
        lease = self._shared.resources.open_lease()
        try:
            return await self._forward_body(target, target_answer, lease)
        finally:
            lease.close()

    async def _forward_body(
        self,
        target: targets.Target,
        target_answer: target_calls.TargetAnswer,
        lease: caller_resources.MemoryLease,
    ) -> bool:
        """Forward an answer, whole if there is memory to hold it."""
        buffered = bytearray()
        most_bytes = _SHORT_BYTES
        body = self._shared.receive_body(target, target_answer)
        async for chunk in body:
            buffered += chunk
            if len(buffered) > most_bytes < _MAX_BUFFERED_BYTES and (
                lease.try_take_spare(_MAX_BUFFERED_BYTES)
            ):
                most_bytes = _MAX_BUFFERED_BYTES
            if len(buffered) > most_bytes:
                break
        else:
            return await self._forward_whole_answer(
                target, target_answer, typing.cast("bytes", buffered)
            )
        self._check_answer(target, target_answer)
        if self._is_forwarding:
            return False
        self._is_forwarding = True
        if not lease.held_bytes:
            lease.take_unconditionally(_FORWARDING_BYTES, is_large=True)
        self._shared.note_success(target)
        await self._answer.start(target_answer.status, target_answer.headers)
        await self._answer.send(bytes(buffered))
        buffered.clear()
        async for chunk in body:
            await self._answer.send(chunk)
        self._note_answered(target_answer)
        await self._answer.finish()
        return True

    def _note_answered(self, target_answer: target_calls.TargetAnswer) -> None:
        if 200 <= target_answer.status < 300:
            self._shared.note_answered(self._request)

    async def _forward_whole_answer(
        self,
        target: targets.Target,
        target_answer: target_calls.TargetAnswer,
        body: bytes,
    ) -> bool:
        self._check_answer(target, target_answer)
        if self._is_forwarding:
            return False
        if target_answer.status >= 500 and len(self._hedged.list_open()) > 1:
            self._note_status(target, target_answer)
            return False
        if target_answer.status >= 500 and self._can_replace_failure():
            self._note_status(target, target_answer)
            # Taken before the failure is discarded: without a retry, the
            # caller could then only be told that the outcome is unknown.
            if self.attempts.reserve_retry():
                return False
        self._is_forwarding = True
        if target_answer.status < 500:
            self._shared.note_success(target)
        self._note_answered(target_answer)
        await self._answer.send_whole(
            target_answer.status, target_answer.headers, body
        )
        return True

    def _note_status(
        self, target: targets.Target, target_answer: target_calls.TargetAnswer
    ) -> None:
        error = ports.PortError(
            "receive answer",
            target.entry.address,
            f"the target answered with status {target_answer.status}",
            took_effect=True,
        )
        self.attempts.note_error(target, error)

    def _check_answer(
        self, target: targets.Target, target_answer: target_calls.TargetAnswer
    ) -> None:
        """Raise ``ports.PortError`` unless the answer may be forwarded."""
        if target_answer.may_forward():
            return
        raise ports.PortError(
            "receive answer",
            target.entry.address,
            f"status {target_answer.status} may not be sent to the caller",
            took_effect=True,
        )

    def _can_replace_failure(self) -> bool:
        """Tell whether another target may answer in place of a failure."""
        tried = self.attempts.tried
        # The run that failed is not recorded yet.
        if not self.attempts.may_run_again(unrecorded_runs=1):
            return False
        if len(tried) >= _MAX_SENDS:
            return False
        # The target that failed is among those tried.
        return self._shared.choose_target(self._request, tried) is not None


def _make_late_error(target: targets.Target) -> ports.PortError:
    """Return the error of a target that is late, and may still answer."""
    return ports.PortError(
        "wait for answer",
        target.entry.address,
        "no answer before another target is asked too",
        took_effect=True,
    )

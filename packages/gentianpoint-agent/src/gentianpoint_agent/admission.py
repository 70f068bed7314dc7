"""Admission control: decides which calls run on the target and which wait.

All work for a target passes through its agent, so the agent decides: an
entry's view of the target is always out of date. A call starts, waits in a
bounded queue, or is refused at once with a retry delay. Decisions are made
on events that can change one: a call arrives or ends, a stream advances, or
the engine reports its load. Admission never stops a running call.
"""

from collections import abc
import contextlib
import math
import typing

import trio

from gentianpoint_agent import admission_policy
from gentianpoint_agent import applied_service
from gentianpoint_agent import call_estimates
from gentianpoint_agent import drain_rates
from gentianpoint_agent import fair_queue
from gentianpoint_agent import pace_limits
from gentianpoint_agent import start_limits
from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_core import named_limits
from gentianpoint_core import ports

__all__ = ("AdmissionControl",)

_MAX_QUEUED: typing.Final = 256
"""Maximum number of waiting calls if the service sets none."""
_QUEUE_WITHIN_MS: typing.Final = 20_000
"""Longest wait for admission if the service sets none, milliseconds."""
_MAX_OVERTAKES: typing.Final = 32
"""Maximum number of short calls that may overtake one waiting call."""
_PROGRESS_INTERVAL_MS: typing.Final = 20.0
"""Minimum time between decisions prompted by tokens, milliseconds."""
_LIMIT_CHECK_S: typing.Final = 0.25
"""Seconds after which a call that waits for its turn looks whether the
target's limit has changed."""
_PACE_VALID_MS: typing.Final = 5000.0
"""Time after which a measured pace is out of date, milliseconds."""


class AdmissionControl(admission_policy.SlotObserver):
    """The queue in front of the target and the set of running calls."""

    def __init__(
        self,
        policy: admission_policy.AdmissionPolicy,
        service: applied_service.AppliedService,
    ) -> None:
        """Admit by ``policy`` within the limits that ``service`` declares."""
        self._policy: typing.Final = policy
        self._service: typing.Final = service
        self._estimator: typing.Final = call_estimates.CallEstimator()
        self._queue: typing.Final = fair_queue.FairQueue()
        self._drain: typing.Final = drain_rates.DrainRate()
        self._meter: typing.Final = pace_limits.PaceMeter()
        self._pace_ms = 0.0
        self._pace_measured_ms = 0.0
        self._running: typing.Final[dict[admission_policy.Slot, None]] = {}
        self._running_by_customer: typing.Final[dict[str, int]] = {}
        self._last_decision_ms = 0.0
        self.load: typing.Optional[ports.EngineLoad] = None
        # Limit on starts that the target names.
        self.start_limit: typing.Final = start_limits.StartLimit()

    def count_running(self) -> int:
        """Return the number of running calls."""
        return len(self._running)

    def count_queued(self) -> int:
        """Return the number of waiting calls."""
        return self._queue.count()

    def count_customers(self) -> int:
        """Return the number of customers whose usage the queue tracks."""
        return self._queue.count_customers()

    def predict_memory(self) -> typing.Optional[float]:
        """Return the predicted peak share of memory; None if unknown."""
        return self._policy.predict_memory(self._running.keys())

    def predict_wait_ms(self) -> float:
        """Return the predicted wait of a call that arrives now, in ms."""
        count = self._queue.count()
        turn_ms = self.start_limit.predict_wait_ms(count)
        if not count:
            return turn_ms
        return max(turn_ms, self._drain.predict_wait_ms(count))

    def read_pace_ms(self) -> float:
        """Return the recent median time between tokens; 0 if unknown.

        A pace expires, so that entries which send less to a slow target try
        it again.
        """
        now_ms = deadlines.read_clock_ms()
        pace = self._meter.close_window()
        if pace is not None:
            self._pace_ms = pace.median_ms
            self._pace_measured_ms = now_ms
        elif now_ms - self._pace_measured_ms > _PACE_VALID_MS:
            self._pace_ms = 0.0
        return self._pace_ms

    def note_load(self, load: ports.EngineLoad) -> None:
        """Process a load report of the engine."""
        self.load = load
        self._policy.note_load(load, self._running.keys())
        self._admit_waiting()

    def note_limit(
        self, named: named_limits.NamedLimit, asked_at: float
    ) -> None:
        """Apply what an answer to a call sent at ``asked_at`` names."""
        self.start_limit.note_answer(named, asked_at)
        self._admit_waiting()

    @contextlib.asynccontextmanager
    async def admit(
        self, profile: admission_policy.CallProfile
    ) -> abc.AsyncIterator[admission_policy.Slot]:
        """Wait until the call may start, and hold its slot while it runs.

        Raises :class:`errors.CallError` with ``not_run``: at once if the
        queue is full or the predicted wait is too long, otherwise when the
        call's deadline passes.
        """
        ticket = self._make_ticket(profile)
        self._queue.add(ticket)
        try:
            self._admit_waiting()
            if not ticket.decided.is_set():
                self._refuse_early(ticket)
            await self._wait_until_decided(ticket)
            if ticket.slot is None:
                raise ticket.refusal or self._make_refusal(
                    "the call waited too long", 0.0
                )
            yield ticket.slot
        finally:
            self._leave(ticket)

    async def _wait_until_decided(self, ticket: fair_queue.Ticket) -> None:
        """Wait until a call starts, is refused, or has waited too long."""
        until = ticket.wait_deadline
        while not ticket.decided.is_set() and not until.is_past():
            # Nothing but the time tells that the target takes a call again.
            now = trio.current_time()
            start_at = self.start_limit.find_start_at()
            if start_at <= now:
                start_at = math.inf
            elif start_at > now + _LIMIT_CHECK_S:
                start_at = now + _LIMIT_CHECK_S
            with trio.CancelScope(deadline=min(until.at, start_at)):
                await ticket.decided.wait()
            if not ticket.decided.is_set():
                self._admit_waiting()

    @contextlib.contextmanager
    def admit_running(
        self, profile: admission_policy.CallProfile
    ) -> abc.Iterator[admission_policy.Slot]:
        """Hold the slot of a call that already runs at the target.

        The call starts regardless of the policy: it uses memory in any case,
        and calls admitted without counting it would preempt it.
        """
        ticket = self._make_ticket(profile)
        self._queue.add(ticket)
        self._start(ticket, deadlines.read_clock_ms(), is_running=True)
        assert ticket.slot is not None
        try:
            yield ticket.slot
        finally:
            self._leave(ticket)

    def _make_ticket(
        self, profile: admission_policy.CallProfile
    ) -> fair_queue.Ticket:
        spec = self._service.spec
        within_ms = spec.get("queue_within_ms", _QUEUE_WITHIN_MS)
        wait_deadline = deadlines.make_deadline(within_ms).earlier(
            profile.start_by
        )
        return fair_queue.Ticket(
            profile,
            self._estimator.estimate_call(profile, spec.get("max_tokens", 0)),
            deadlines.read_clock_ms(),
            wait_deadline,
        )

    def _refuse_early(self, ticket: fair_queue.Ticket) -> None:
        """Refuse a call now if it would be refused later anyway.

        A call that waits in vain occupies a place in the queue, and its
        caller loses time in which it could have used another target.
        """
        max_queued = self._service.spec.get("max_queued", _MAX_QUEUED)
        if self._queue.count() > max_queued:
            victim = self._queue.find_victim(ticket)
            half_ms = self._predict_wait_ms(self._queue.count() // 2)
            self._refuse(victim, "the queue is full", half_ms)
        if ticket.decided.is_set():
            return
        ahead = self._queue.count_ahead(ticket)
        wait_ms = self.start_limit.predict_wait_ms(ahead)
        if self._drain.is_known():
            wait_ms = max(wait_ms, self._predict_wait_ms(ahead))
        excess_ms = wait_ms - ticket.wait_deadline.remaining_ms()
        if ticket.wait_deadline.is_limited() and excess_ms > 0:
            self._refuse(ticket, "the wait would be too long", excess_ms)

    def refuse_waiting(self, reason: str) -> None:
        """Refuse all calls that wait."""
        for ticket in self._queue.list_all():
            self._refuse(ticket, reason, 0.0)

    def _predict_wait_ms(self, ahead: int) -> float:
        return self._drain.predict_wait_ms(ahead)

    def _make_refusal(self, reason: str, excess_ms: float) -> errors.CallError:
        excess_ms = max(excess_ms, self._predict_wait_ms(0))
        return errors.CallError(
            errors.NOT_RUN,
            reason,
            step="wait for admission",
            retry_after_ms=self._drain.find_retry_after_ms(excess_ms),
        )

    def _refuse(
        self, ticket: fair_queue.Ticket, reason: str, excess_ms: float
    ) -> None:
        self._queue.remove(ticket)
        ticket.refusal = self._make_refusal(reason, excess_ms)
        ticket.decided.set()

    def _leave(self, ticket: fair_queue.Ticket) -> None:
        slot = ticket.slot
        if slot is None:
            self._queue.remove(ticket)
        else:
            self._release(ticket, slot)
        self._admit_waiting()

    def _release(
        self, ticket: fair_queue.Ticket, slot: admission_policy.Slot
    ) -> None:
        del self._running[slot]
        customer = slot.profile.customer
        self._running_by_customer[customer] -= 1
        if not self._running_by_customer[customer]:
            del self._running_by_customer[customer]
        now_ms = deadlines.read_clock_ms()
        self._drain.note_release(now_ms - slot.started_ms)
        self._drain.note_running(len(self._running), now_ms)
        cost = self._estimator.find_cost(
            slot.estimate.prompt_tokens, slot.tokens
        )
        self._queue.charge_actual_cost(ticket, cost)
        self._policy.note_release(slot)

    def _admit_waiting(self) -> None:
        """Start every waiting call that may start now."""
        now_ms = deadlines.read_clock_ms()
        self._last_decision_ms = now_ms
        while (
            self._queue.count()
            and self._is_below_limit()
            and self.start_limit.may_start()
        ):
            head = self._queue.find_next(now_ms, self._is_within_limit)
            if head is None:
                return
            if self._may_start(head):
                self._start(head, now_ms)
            elif not self._start_short_call(head, now_ms):
                return

    def _is_below_limit(self) -> bool:
        max_running = self._service.spec.get("max_concurrent", 0)
        return not max_running or len(self._running) < max_running

    def _is_within_limit(self, ticket: fair_queue.Ticket) -> bool:
        limit = ticket.profile.customer_limit
        running = self._running_by_customer.get(ticket.profile.customer, 0)
        return not limit or running < limit

    def _may_start(self, ticket: fair_queue.Ticket) -> bool:
        return self._policy.may_start(ticket.estimate, self._running.keys())

    def _start_short_call(
        self, head: fair_queue.Ticket, now_ms: float
    ) -> bool:
        """Start a short call ahead of a long one that doesn't fit yet.

        The number of calls that overtake one head is bounded: each takes a
        little of the memory that the head waits for, so without a bound the
        head could starve.
        """
        if head.estimate.is_short or head.overtaken >= _MAX_OVERTAKES:
            return False

        def allow(ticket: fair_queue.Ticket) -> bool:
            return ticket.estimate.is_short and self._is_within_limit(ticket)

        short = self._queue.find_next(now_ms, allow)
        if short is None or not self._may_start(short):
            return False
        head.overtaken += 1
        self._start(short, now_ms)
        return True

    def _start(
        self,
        ticket: fair_queue.Ticket,
        now_ms: float,
        *,
        is_running: bool = False,
    ) -> None:
        self._queue.start(ticket, now_ms)
        if not is_running:
            self.start_limit.note_start()
        slot = admission_policy.Slot(
            ticket.profile, ticket.estimate, self, now_ms
        )
        self._policy.note_start(slot)
        self._running[slot] = None
        self._drain.note_running(len(self._running), now_ms)
        customer = ticket.profile.customer
        self._running_by_customer[customer] = (
            self._running_by_customer.get(customer, 0) + 1
        )
        ticket.slot = slot
        ticket.decided.set()

    def note_token(
        self,
        slot: admission_policy.Slot,
        gap_ms: typing.Optional[float],
        *,
        is_new_bin: bool,
    ) -> None:
        """Record a token, and decide again if it can change a decision."""
        self._policy.note_token(slot, gap_ms)
        if gap_ms is not None:
            self._meter.note_gap(gap_ms)
        if not self._queue.count() or not (is_new_bin or slot.preempted):
            return
        if (
            deadlines.read_clock_ms() - self._last_decision_ms
            >= _PROGRESS_INTERVAL_MS
        ):
            self._admit_waiting()

    def note_preemption(self, slot: admission_policy.Slot) -> None:
        """Record a preemption."""
        self._policy.note_preemption(slot)

    def note_end(
        self, slot: admission_policy.Slot, prompt_tokens: int
    ) -> None:
        """Learn from the engine's count of the prompt's tokens."""
        self._estimator.note_prompt(slot.profile.prompt, prompt_tokens)

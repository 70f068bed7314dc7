"""Admission: which calls run on the target now, which wait.

All work for a target passes through its agent, so the agent decides; an
entry's view is always stale. A call starts, waits in a bounded queue, or is
refused at once with the time to come back. Decisions are made when something
happens that can change one: a call comes or goes, a stream gets on, or the
engine reports its load. Nothing here stops a call that runs.
"""

from collections import abc
import contextlib
import typing

import trio

from gentianpoint_agent import admission_policy
from gentianpoint_agent import applied_service
from gentianpoint_agent import call_estimates
from gentianpoint_agent import drain_rates
from gentianpoint_agent import fair_queue
from gentianpoint_agent import pace_limits
from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_core import ports

__all__ = ("AdmissionControl",)

_MAX_QUEUED: typing.Final = 256
_QUEUE_WITHIN_MS: typing.Final = 20_000
_MOST_PASSES: typing.Final = 32
_PROGRESS_MS: typing.Final = 20.0
_PACE_KNOWN_MS: typing.Final = 5000.0


class AdmissionControl(admission_policy.SlotObserver):
    """The queue before the target and the set of running calls."""

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
        self._pace_read_ms = 0.0
        self._running: typing.Final[dict[admission_policy.Slot, None]] = {}
        self._by_customer: typing.Final[dict[str, int]] = {}
        self._decided_ms = 0.0
        self.load: typing.Optional[ports.EngineLoad] = None

    def count_running(self) -> int:
        """Return the number of running calls."""
        return len(self._running)

    def count_queued(self) -> int:
        """Return the number of waiting calls."""
        return self._queue.count()

    def count_customers(self) -> int:
        """Return the number of customers of whom the queue keeps a past."""
        return self._queue.count_customers()

    def predict_memory(self) -> typing.Optional[float]:
        """Return the predicted peak share of memory; None if unknown."""
        return self._policy.predict_memory(self._running.keys())

    def predict_wait_ms(self) -> float:
        """Return how long a call would wait that came now, milliseconds."""
        if not self._queue.count():
            return 0.0
        return self._drain.predict_wait_ms(self._queue.count())

    def read_pace_ms(self) -> float:
        """Return the median time between tokens of late; 0 if unknown.

        A pace that is old is no longer known: entries that gave a slow
        target less try it again then.
        """
        now_ms = deadlines.read_clock_ms()
        pace = self._meter.close_window()
        if pace is not None:
            self._pace_ms = pace.median_ms
            self._pace_read_ms = now_ms
        elif now_ms - self._pace_read_ms > _PACE_KNOWN_MS:
            self._pace_ms = 0.0
        return self._pace_ms

    def note_load(self, load: ports.EngineLoad) -> None:
        """Take a report of the engine."""
        self.load = load
        self._policy.note_load(load, self._running.keys())
        self._decide()

    @contextlib.asynccontextmanager
    async def admit(
        self, profile: admission_policy.CallProfile
    ) -> abc.AsyncIterator[admission_policy.Slot]:
        """Wait until the call may start, and hold its place while it runs.

        Raises :class:`errors.CallError` with ``not_run``: at once when the
        queue is full or the wait would be too long, else when its deadline
        comes.
        """
        ticket = self._make_ticket(profile)
        self._queue.add(ticket)
        try:
            self._decide()
            if not ticket.decided.is_set():
                self._refuse_hopeless(ticket)
            if not ticket.decided.is_set():
                with trio.CancelScope(deadline=ticket.give_up.at):
                    await ticket.decided.wait()
            if ticket.slot is None:
                raise ticket.refusal or self._make_refusal(
                    "the call waited too long", 0.0
                )
            yield ticket.slot
        finally:
            self._leave(ticket)

    @contextlib.contextmanager
    def admit_running(
        self, profile: admission_policy.CallProfile
    ) -> abc.Iterator[admission_policy.Slot]:
        """Hold the place of a call that runs at the target already.

        It is not asked whether it may run: it takes its memory either way,
        and calls admitted without counting it would preempt it.
        """
        ticket = self._make_ticket(profile)
        self._queue.add(ticket)
        self._start(ticket, deadlines.read_clock_ms())
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
        give_up = deadlines.make_deadline(within_ms).earlier(profile.start_by)
        return fair_queue.Ticket(
            profile,
            self._estimator.estimate_call(profile, spec.get("max_tokens", 0)),
            deadlines.read_clock_ms(),
            give_up,
        )

    def _refuse_hopeless(self, ticket: fair_queue.Ticket) -> None:
        """Refuse at once what would be refused later.

        A call that waits in vain has lost the time in which its caller
        could have gone elsewhere, and has held a place in the queue.
        """
        most = self._service.spec.get("max_queued", _MAX_QUEUED)
        if self._queue.count() > most:
            victim = self._queue.find_victim(ticket)
            half_ms = self._predict_wait_ms(self._queue.count() // 2)
            self._refuse(victim, "the queue is full", half_ms)
        if ticket.decided.is_set() or not self._drain.is_known():
            return
        wait_ms = self._predict_wait_ms(self._queue.count_ahead(ticket))
        excess_ms = wait_ms - ticket.give_up.remaining_ms()
        if ticket.give_up.is_limited() and excess_ms > 0:
            self._refuse(ticket, "the wait would be too long", excess_ms)

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
        self._decide()

    def _release(
        self, ticket: fair_queue.Ticket, slot: admission_policy.Slot
    ) -> None:
        del self._running[slot]
        customer = slot.profile.customer
        self._by_customer[customer] -= 1
        if not self._by_customer[customer]:
            del self._by_customer[customer]
        now_ms = deadlines.read_clock_ms()
        self._drain.note_release(now_ms - slot.started_ms)
        self._drain.note_running(len(self._running), now_ms)
        cost = self._estimator.find_cost(
            slot.estimate.prompt_tokens, slot.tokens
        )
        self._queue.settle(ticket, cost)
        self._policy.note_release(slot)

    def _decide(self) -> None:
        """Start whatever may start now."""
        now_ms = deadlines.read_clock_ms()
        self._decided_ms = now_ms
        while self._queue.count() and self._has_room():
            head = self._queue.find_next(now_ms, self._is_within_limit)
            if head is None:
                return
            if self._may_start(head):
                self._start(head, now_ms)
            elif not self._let_short_pass(head, now_ms):
                return

    def _has_room(self) -> bool:
        most = self._service.spec.get("max_concurrent", 0)
        return not most or len(self._running) < most

    def _is_within_limit(self, ticket: fair_queue.Ticket) -> bool:
        limit = ticket.profile.customer_limit
        running = self._by_customer.get(ticket.profile.customer, 0)
        return not limit or running < limit

    def _may_start(self, ticket: fair_queue.Ticket) -> bool:
        return self._policy.may_start(ticket.estimate, self._running.keys())

    def _let_short_pass(self, head: fair_queue.Ticket, now_ms: float) -> bool:
        """Start a short answer before a long one that has to wait.

        Only so many pass one head: each takes a little of the memory that
        the head waits for, and without a bound it could wait for ever.
        """
        if head.estimate.is_short or head.passed >= _MOST_PASSES:
            return False

        def allow(ticket: fair_queue.Ticket) -> bool:
            return ticket.estimate.is_short and self._is_within_limit(ticket)

        short = self._queue.find_next(now_ms, allow)
        if short is None or not self._may_start(short):
            return False
        head.passed += 1
        self._start(short, now_ms)
        return True

    def _start(self, ticket: fair_queue.Ticket, now_ms: float) -> None:
        self._queue.serve(ticket, now_ms)
        slot = admission_policy.Slot(
            ticket.profile, ticket.estimate, self, now_ms
        )
        self._policy.note_start(slot)
        self._running[slot] = None
        self._drain.note_running(len(self._running), now_ms)
        customer = ticket.profile.customer
        self._by_customer[customer] = self._by_customer.get(customer, 0) + 1
        ticket.slot = slot
        ticket.decided.set()

    def note_token(
        self,
        slot: admission_policy.Slot,
        gap_ms: typing.Optional[float],
        *,
        is_new_bin: bool,
    ) -> None:
        """Take note of a token, and decide anew if it may matter."""
        self._policy.note_token(slot, gap_ms)
        if gap_ms is not None:
            self._meter.note_gap(gap_ms)
        if not self._queue.count() or not (is_new_bin or slot.preempted):
            return
        if deadlines.read_clock_ms() - self._decided_ms >= _PROGRESS_MS:
            self._decide()

    def note_preemption(self, slot: admission_policy.Slot) -> None:
        """Take note of a preemption."""
        self._policy.note_preemption(slot)

    def note_end(
        self, slot: admission_policy.Slot, prompt_tokens: int
    ) -> None:
        """Learn the size of the prompt."""
        self._estimator.note_prompt(slot.profile.prompt, prompt_tokens)

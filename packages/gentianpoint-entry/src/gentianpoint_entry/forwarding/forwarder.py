"""Selects and calls targets, with the state that all requests share."""

from collections import abc
import contextlib
import heapq
import math
import random
import typing

import trio

from gentianpoint_core import limit_table
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.decisions import request_turns
from gentianpoint_core.decisions import waiting_order
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import arrivals
from gentianpoint_entry.forwarding import engine_probes
from gentianpoint_entry.forwarding import entry_metrics
from gentianpoint_entry.forwarding import move_destinations
from gentianpoint_entry.forwarding import request_permits
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import retry_limits
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import target_ends
from gentianpoint_entry.forwarding import target_selection
from gentianpoint_entry.forwarding import targets

__all__ = ("Forwarder",)

_STALE_CHECK_INTERVAL_S: typing.Final = 5.0
"""Seconds between checks for connections to targets that have gone."""
_PERMIT_WAIT_SHARE: typing.Final = 0.5
"""Share of the route's objective for which a request may wait for a target
with a limit. The rest is for its answer; after a longer wait the caller is
better served by coming back."""
_RESERVED_S: typing.Final = 5.0
"""Seconds for which a permit is kept for a request that has not been sent."""
_MAX_EXACT_PERMITS: typing.Final = 32
"""Permits ahead whose times are looked up; those of later ones are
estimated."""
_PROBED_TARGETS: typing.Final = 4
"""Engines whose present state is asked for before one of them is chosen."""
_RELEASE_TIMEOUT_S: typing.Final = 0.3
"""Seconds allowed for releasing a copy, which expires by itself otherwise."""


class _UnusedCopy(typing.NamedTuple):
    """A copy of a generation's memory that will not be used."""

    target: targets.Target
    """Target that is asked to free it."""
    name: str
    """Its handle, or the identifier of its request."""


class Forwarder:
    """Chooses targets, sends requests to them and tracks their load."""

    # Overridden to compare other numbers.
    _probed_targets = _PROBED_TARGETS

    def __init__(
        self,
        registry: targets.TargetRegistry,
        calls: target_calls.TargetCalls,
        limits: retry_limits.RetryLimits,
        data_centre: str,
        count_entries: abc.Callable[[], int],
        rng: random.Random,
        metrics: entry_metrics.EntryMetrics,
        ends: target_ends.TargetEnds,
        count_retry_sharers: typing.Optional[abc.Callable[[], int]] = None,
        permits: typing.Optional[request_permits.RequestPermits] = None,
        probes: typing.Optional[engine_probes.EngineProbes] = None,
    ) -> None:
        """Serve from ``data_centre`` as one of ``count_entries()`` entries.

        ``ends`` is told of connections that break off, and of answers.
        ``count_retry_sharers`` returns how many entries share the limit on
        retries, if that differs. ``permits`` limits the requests to
        targets that are cold or have named limits; by default this entry has
        the whole of each limit. Without ``probes`` engines are chosen by their
        reports alone.
        """
        self.registry: typing.Final = registry
        self.calls: typing.Final = calls
        self.limits: typing.Final = limits
        self.data_centre: typing.Final = data_centre
        self.count_entries: typing.Final = count_entries
        self._count_retry_sharers: typing.Final = (
            count_retry_sharers or count_entries
        )
        self.rng: typing.Final = rng
        self.metrics: typing.Final = metrics
        self._ends: typing.Final = ends
        self._permits: typing.Final = permits or _make_own_permits()
        self._reserved: typing.Final[
            dict[tuple[str, str], tuple[request_permits.Permit, float]]
        ] = {}
        self._orders: typing.Final[dict[str, waiting_order.WaitingOrder]] = {}
        self._probes: typing.Final = probes
        self._arrival_rate: typing.Final = arrivals.ArrivalRate()
        send, receive = trio.open_memory_channel[_UnusedCopy](math.inf)
        self._unused_sender: typing.Final = send
        self._unused_receiver: typing.Final = receive

    async def close_stale_connections(self) -> None:
        """Close connections to targets that have gone, until cancelled.

        Targets come and go every few seconds under new identifiers, and the
        connections kept to each would exhaust the file descriptors.
        """
        while True:
            await trio.sleep(_STALE_CHECK_INTERVAL_S)
            self.calls.close_unlisted(self.registry.list_all())
            now = trio.current_time()
            self._permits.forget_unlisted(self.registry.list_all(), now)
            for key, (_, at) in list(self._reserved.items()):
                if now - at > _RESERVED_S:
                    del self._reserved[key]

    async def find_target(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str] = (),
    ) -> typing.Optional[targets.Target]:
        """Return the best target, after a short wait for one with a limit.

        It is reserved for the request, which has to be sent there next, or
        the target given back. None if there is none, or none within the time
        that a wait may take.
        """
        began = trio.current_time()
        if request.service.engine is not None:
            self._arrival_rate.note(began)
        wait_s = request.route.objective_ms * _PERMIT_WAIT_SHARE / 1000
        order = self._find_order(request)
        place = order.join(_get_priority(request), _get_customer(request))
        try:
            while True:
                ahead = order.count_ahead(place)
                opens_at = self._find_opening(request, excluded, ahead)
                if opens_at > began + wait_s:
                    return None
                now = trio.current_time()
                if opens_at > now:
                    logs.log_event(
                        events.COLD_LIMIT_REACHED,
                        service=request.service.name,
                        wait_ms=round((opens_at - now) * 1000),
                    )
                    await trio.sleep_until(opens_at)
                    continue
                target = await self._choose_by_present_state(request, excluded)
                # Others may have taken the permit while agents were asked.
                if target is not None and self.reserve(target, request):
                    return target
                await trio.lowlevel.checkpoint()
        finally:
            order.leave(place)

    def _find_order(
        self, request: requests.CallerRequest
    ) -> waiting_order.WaitingOrder:
        name = request.service.name
        if name not in self._orders:
            self._orders[name] = waiting_order.WaitingOrder()
        return self._orders[name]

    def reserve(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> bool:
        """Take a permit to send a request to a target; False without one."""
        now = trio.current_time()
        permit = self._permits.take(target, request.service, now)
        if permit is None:
            return False
        self._reserved[request.request_id, target.target_id] = (permit, now)
        return True

    def give_back(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> None:
        """Return the permit for a request that is not sent to a target."""
        key = (request.request_id, target.target_id)
        permit, _ = self._reserved.pop(key, (None, 0.0))
        if permit is not None:
            self._permits.give_back(permit)

    async def _choose_by_present_state(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str],
    ) -> typing.Optional[targets.Target]:
        """Choose a few targets by their reports, and one by its state."""
        first = self.choose_target(request, excluded)
        if (
            first is None
            or self._probes is None
            or request.service.engine is None
        ):
            return first
        chosen = [first]
        while len(chosen) < self._probed_targets:
            names = {target.target_id for target in chosen}
            other = self.choose_target(request, {*excluded, *names})
            if other is None:
                break
            chosen.append(other)
        if len(chosen) == 1:
            return first
        found = await self._probes.refresh(chosen)
        # An agent stands on its engine's host, so an engine whose agent does
        # not answer is likely to be lost too.
        names = {target.target_id for target in found or chosen}
        permitted = [
            target
            for target in self._list_permitted(request, excluded)
            if target.target_id in names
        ]
        return target_selection.choose_target(
            permitted,
            request,
            self.data_centre,
            self.count_entries(),
            trio.current_time(),
            self.rng,
        )

    def promise_opening_ms(self, request: requests.CallerRequest) -> float:
        """Return in how many milliseconds a refused request can be served.

        0 if it can at once, or if that is not known. The caller counts as
        waiting until then, so that no other is told the same time.
        """
        order = self._find_order(request)
        priority = _get_priority(request)
        now = trio.current_time()
        ahead = order.count_promised(priority, now)
        opens_at = self._find_opening(request, (), ahead)
        if math.isinf(opens_at) or opens_at <= now:
            return 0.0
        order.promise(priority, opens_at)
        return (opens_at - now) * 1000

    def _find_opening(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str],
        ahead: int,
    ) -> float:
        """Return when a target can take a request; may be infinite.

        ``ahead`` other requests get their permits before it.
        """
        now = trio.current_time()
        candidates = [
            target
            for target in self.registry.list_by_service(request.service.name)
            if target.target_id not in excluded and target.accepts_work()
        ]

        def find_permitted_at(place: int, count: int) -> float:
            return self._permits.find_permitted_at(
                candidates[place], request.service, now, count
            )

        openings = [
            (find_permitted_at(place, 0), place, 0)
            for place in range(len(candidates))
        ]
        heapq.heapify(openings)
        looked_up = min(ahead, _MAX_EXACT_PERMITS)
        for _ in range(looked_up):
            if not openings or openings[0][0] == math.inf:
                break
            _, place, count = openings[0]
            next_at = find_permitted_at(place, count + 1)
            heapq.heapreplace(openings, (next_at, place, count + 1))
        if not openings:
            return math.inf
        opens_at = openings[0][0]
        return now + (opens_at - now) * (ahead + 1) / (looked_up + 1)

    def _list_permitted(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str] = (),
    ) -> abc.Sequence[targets.Target]:
        """Return the targets to which a request may be sent now."""
        now = trio.current_time()
        return [
            target
            for target in self.registry.list_by_service(request.service.name)
            if target.target_id not in excluded
            and self._permits.find_permitted_at(target, request.service, now)
            <= now
        ]

    def choose_target(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str] = (),
    ) -> typing.Optional[targets.Target]:
        """Return the best target for a request, or None."""
        candidates = self._list_permitted(request, excluded)
        now = trio.current_time()
        return target_selection.choose_target(
            candidates,
            request,
            self.data_centre,
            self.count_entries(),
            now,
            self.rng,
            other_arrivals_per_s=self._estimate_other_arrivals_per_s(now),
        )

    def _estimate_other_arrivals_per_s(self, now: float) -> float:
        """Return how many generations other entries send a second.

        Callers are spread over the entries, so each entry receives about as
        many.
        """
        others = self.count_entries() - 1
        return self._arrival_rate.measure_per_s(now) * others

    def choose_destination(
        self, request: requests.CallerRequest, source: targets.Target
    ) -> typing.Optional[targets.Target]:
        """Return the target to which a generation moves, or None.

        The generation's memory counts there at once, so that generations that
        move at the same time do not all go to one target.
        """
        target = self._choose_copy_destination(
            request,
            source,
            target_selection.MAX_USED_SHARE_FOR_MOVES,
            move_destinations.list_reserved_for_others(
                source, self.registry.list_by_service(request.service.name)
            ),
        )
        if target is not None:
            target.note_sent(
                trio.current_time(),
                target_selection.count_tokens(request),
                0,
                is_request=False,
            )
        return target

    def choose_backup(
        self, request: requests.CallerRequest, runner: targets.Target
    ) -> typing.Optional[targets.Target]:
        """Return the target that keeps a copy of a generation, or None."""
        quiet_s = trio.current_time() - self.registry.last_leaving_notice_at
        if quiet_s < target_selection.BACKUP_QUIET_PERIOD_S:
            return None
        return self._choose_copy_destination(
            request, runner, target_selection.MAX_USED_SHARE_FOR_BACKUPS
        )

    def _choose_copy_destination(
        self,
        request: requests.CallerRequest,
        runner: targets.Target,
        max_used_share: float,
        avoided: abc.Collection[str] = (),
    ) -> typing.Optional[targets.Target]:
        now = trio.current_time()
        permitted = self._list_permitted(request)
        unlimited = [
            target
            for target in permitted
            if not self._permits.has_named_limit(target)
        ]
        return target_selection.choose_copy_destination(
            unlimited or permitted,
            runner,
            request,
            self.count_entries(),
            now,
            self.rng,
            max_used_share,
            self._estimate_other_arrivals_per_s(now),
            avoided,
        )

    @contextlib.asynccontextmanager
    async def send(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> abc.AsyncIterator[target_calls.TargetAnswer]:
        """Send a request, and count it at its target until it ends."""
        permit = await self._claim_permit(target, request)
        tokens = target_selection.count_tokens(request)
        now = trio.current_time()
        target.open_request(now, tokens)
        needs_prefill = options.copy is None
        target.note_sent(
            now, tokens, request.prompt_tokens if needs_prefill else 0
        )
        logs.log_event(
            events.REQUEST_SENT,
            target=target.target_id,
            address=target.entry.address,
            service=request.service.name,
            content=request.content,
            backup=options.backup_address,
            after_event=options.last_event_id,
            **_describe_size(request),
            **_describe_target(target),
        )
        try:
            async with self.calls.send_request(
                target, request, options
            ) as answer:
                self._note_limit(target, answer, asked_at=now)
                yield answer
        except ports.PortError as error:
            if not error.took_effect:
                self._permits.give_back(permit)
            raise
        finally:
            target.close_request(tokens)

    async def _claim_permit(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> request_permits.Permit:
        """Return the permit that is reserved, or wait for one.

        Only a request that has to go to this target waits, such as one whose
        memory was copied there. Raises ``ports.PortError`` if there is no
        permit before its deadline, or if the data centre is evacuated.
        """
        key = (request.request_id, target.target_id)
        while key not in self._reserved:
            now = trio.current_time()
            permitted_at = self._permits.find_permitted_at(
                target, request.service, now
            )
            if permitted_at > request.deadline.at:
                raise _make_send_error(target, "its limit is used up")
            await trio.sleep_until(permitted_at)
            self.reserve(target, request)
        permit, _ = self._reserved.pop(key)
        if target.is_evacuated:
            self._permits.give_back(permit)
            raise _make_send_error(target, "the data centre is evacuated")
        return permit

    def _note_limit(
        self,
        target: targets.Target,
        answer: target_calls.TargetAnswer,
        asked_at: float,
    ) -> None:
        """Apply the limit that an answer names, or that it names none.

        An answer without the target's seal may be spoilt. One that refuses
        need not name a limit that holds.
        """
        if answer.limit != target.named_limit:
            target.named_limit = answer.limit
            logs.log_event(
                events.LIMIT_NAMED,
                target=target.target_id,
                is_named=answer.limit.is_named,
                per_s=answer.limit.per_s,
                open_requests=target.open_requests,
            )
        is_reliable = answer.has_target_seal and not answer.is_refusal()
        if is_reliable or (answer.is_refusal() and answer.limit.is_named):
            self._permits.note_answer(
                target, answer.limit, asked_at, trio.current_time()
            )

    def schedule_copy_release(self, target: targets.Target, name: str) -> None:
        """Queue a copy for :meth:`release_unused_copies`."""
        if not target.is_gone:
            self._unused_sender.send_nowait(_UnusedCopy(target, name))

    async def release_unused_copies(self) -> None:
        """Release queued copies until cancelled, beside running streams."""
        async for copy in self._unused_receiver:
            try:
                with trio.move_on_after(_RELEASE_TIMEOUT_S):
                    await self.calls.free_copy(copy.target, copy.name)
            except ports.PortError as error:
                # The copy expires by itself after some seconds.
                logs.log_event(
                    events.MOVE_FAILED,
                    source=None,
                    target=copy.target.target_id,
                    step=error.step,
                    reason=error.reason,
                )

    def note_failure(
        self,
        target: targets.Target,
        error: ports.PortError,
        request: requests.CallerRequest,
    ) -> None:
        """Record that a target failed, for the next choices."""
        target.note_failure(trio.current_time())
        if error.disconnected:
            self._ends.note_disconnect(target, request.content)
        self.metrics.record_failed_attempt(error.step)
        logs.log_event(
            events.ATTEMPT_FAILED,
            target=target.target_id,
            step=error.step,
            peer=error.peer,
            reason=error.reason,
            may_have_run=error.took_effect,
            disconnected=error.disconnected,
        )

    def note_refusal(
        self, target: targets.Target, answer: target_calls.TargetAnswer
    ) -> None:
        """Record that a target did not accept a request.

        If another target has the address now, this start of the target has
        ended, but its entry stays on the list until it expires. Each request
        that is sent to it until then costs its caller time and the service a
        retry. So it gets no requests until it writes its entry again.
        """
        if answer.is_wrong_target:
            target.is_replaced = True
        logs.log_event(
            events.ATTEMPT_FAILED,
            target=target.target_id,
            step="receive head",
            peer=target.entry.address,
            reason=f"the target refused with status {answer.status}",
            may_have_run=False,
        )

    def note_success(self, target: targets.Target) -> None:
        """Clear the failures of a target that serves."""
        target.failures = 0

    def note_answered(self, request: requests.CallerRequest) -> None:
        """Record that a target gave a request its whole answer."""
        self._ends.note_answered(request.content)

    async def wait_for_verdict(self, request: requests.CallerRequest) -> None:
        """Wait until it is known whether a request may run once more.

        That takes a few milliseconds, and only after targets have ended while
        they ran the request.
        """
        await self._ends.wait_for_verdict(request.content)

    def find_refused_ms(
        self, request: requests.CallerRequest
    ) -> typing.Optional[float]:
        """Return for how many milliseconds a request must not run.

        None if it may run: no, or few, targets have ended under it.
        """
        now = trio.current_time()
        until = self._ends.suspects.find_refused_until(request.content, now)
        return None if until is None else (until - now) * 1000

    def take_retry(self, request: requests.CallerRequest) -> bool:
        """Take one retry of the request's service, if its limit allows it."""
        if self.limits.take_retry(
            request.service.name,
            trio.current_time(),
            self._count_retry_sharers(),
        ):
            return True
        logs.log_event(events.RETRY_BUDGET_SPENT, service=request.service.name)
        return False


def _make_own_permits() -> request_permits.RequestPermits:
    """Return permits of an entry that shares limits with no other."""
    return request_permits.RequestPermits(
        request_turns.RequestTurns("", lambda: frozenset(("",))),
        limit_table.LimitTable(),
    )


def _get_priority(request: requests.CallerRequest) -> int:
    customer = request.customer
    if customer is not None and customer.priority is not None:
        return customer.priority
    return request.route.priority


def _get_customer(request: requests.CallerRequest) -> str:
    return "" if request.customer is None else request.customer.name


def _make_send_error(target: targets.Target, reason: str) -> ports.PortError:
    return ports.PortError(
        "send request", target.entry.address, reason, took_effect=False
    )


def _describe_size(request: requests.CallerRequest) -> dict[str, int]:
    """Return the size of a generation for a log line."""
    if request.service.engine is None:
        return {}
    return {
        "prompt_tokens": request.prompt_tokens,
        "likely_output_tokens": request.likely_output_tokens,
    }


def _describe_target(target: targets.Target) -> dict[str, typing.Any]:
    """Return what is known of a target, with its age, for a log line."""
    fields: dict[str, typing.Any] = {"open_requests": target.open_requests}
    if target.named_limit.is_named:
        fields["limit_per_s"] = target.named_limit.per_s
    if target.failures:
        fields["failures"] = target.failures
    if target.report is not None:
        age_s = trio.current_time() - target.report.sampled_at
        fields["report_age_ms"] = round(age_s * 1000)
        fields["used_tokens"] = target.report.used_tokens
        fields["waiting"] = target.report.waiting
        fields["unread_tokens"] = target.report.pending_prefill_tokens
    return fields

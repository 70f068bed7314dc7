"""Selects and calls targets, with the state that all requests share."""

from collections import abc
import contextlib
import math
import random
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import named_limits
from gentianpoint_core import ports
from gentianpoint_core.decisions import cold_limits
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import arrivals
from gentianpoint_entry.forwarding import engine_probes
from gentianpoint_entry.forwarding import entry_metrics
from gentianpoint_entry.forwarding import move_destinations
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import retry_limits
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import target_ends
from gentianpoint_entry.forwarding import target_selection
from gentianpoint_entry.forwarding import targets

__all__ = ("Forwarder",)

_STALE_CHECK_INTERVAL_S: typing.Final = 5.0
"""Seconds between checks for connections to targets that have gone."""
_COLD_WAIT_SHARE: typing.Final = 0.5
"""Share of the route's objective for which a request may wait for a target
that is cold. The rest is for its answer; after a longer wait the caller is
better served by coming back."""
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
        cold: typing.Optional[cold_limits.ColdLimits] = None,
        probes: typing.Optional[engine_probes.EngineProbes] = None,
    ) -> None:
        """Serve from ``data_centre`` as one of ``count_entries()`` entries.

        ``ends`` is told of connections that break off, and of answers.
        ``count_retry_sharers`` returns how many entries share the limit on
        retries, if that differs. ``cold`` limits the requests to cold
        targets; by default this entry has the whole limit. Without ``probes``
        engines are chosen by their reports alone.
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
        self._cold: typing.Final = cold or cold_limits.ColdLimits(
            "", lambda: frozenset(("",))
        )
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
            self._cold.forget_idle(trio.current_time())

    async def find_target(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str] = (),
    ) -> typing.Optional[targets.Target]:
        """Return the best target, after a short wait for a cold one.

        None if there is none, or none within the time that a wait may take.
        """
        began = trio.current_time()
        if request.service.engine is not None:
            self._arrival_rate.note(began)
        wait_s = request.route.objective_ms * _COLD_WAIT_SHARE / 1000
        while True:
            target = await self._choose_by_present_state(request, excluded)
            if target is not None:
                return target
            opens_at = self._find_opening(request, excluded)
            if opens_at > began + wait_s:
                return None
            logs.log_event(
                events.COLD_LIMIT_REACHED,
                service=request.service.name,
                wait_ms=round((opens_at - trio.current_time()) * 1000),
            )
            await trio.sleep_until(opens_at)

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

    def find_opening_ms(self, request: requests.CallerRequest) -> float:
        """Return in how many milliseconds a target can take a request.

        0 if one can at once, or if it is not known when one can.
        """
        opens_at = self._find_opening(request)
        if math.isinf(opens_at):
            return 0.0
        return max(0.0, (opens_at - trio.current_time()) * 1000)

    def _find_opening(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str] = (),
    ) -> float:
        """Return when the first target can take a request; may be infinite."""
        now = trio.current_time()
        return min(
            (
                self._find_permitted_at(target, request.service, now)
                for target in self.registry.list_by_service(
                    request.service.name
                )
                if target.target_id not in excluded and target.accepts_work()
            ),
            default=math.inf,
        )

    def _find_permitted_at(
        self, target: targets.Target, service: routes.Service, now: float
    ) -> float:
        """Return when a request may be sent to a target that takes work."""
        cold_until = target.find_cold_until(service.cold_ms)
        if not service.cold_per_s or now >= cold_until:
            return now
        permitted_at = self._cold.find_permitted_at(
            target.target_id, service.cold_per_s, now
        )
        return min(cold_until, permitted_at)

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
            and self._find_permitted_at(target, request.service, now) <= now
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
        return target_selection.choose_copy_destination(
            self._list_permitted(request),
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
        await self._wait_until_permitted(target, request)
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
                _log_limit(target, answer.limit)
                yield answer
        finally:
            target.close_request(tokens)

    async def _wait_until_permitted(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> None:
        """Wait until a chosen target may get a request, and count it there.

        Others may have used up the limit of a cold target since the choice.
        Raises ``ports.PortError`` if its data centre is evacuated.
        """
        while True:
            now = trio.current_time()
            permitted_at = self._find_permitted_at(
                target, request.service, now
            )
            if permitted_at <= now:
                break
            await trio.sleep_until(permitted_at)
        if target.is_evacuated:
            raise ports.PortError(
                "send request",
                target.entry.address,
                "the data centre is evacuated",
                took_effect=False,
            )
        if request.service.cold_per_s:
            self._cold.note_sent(target.target_id, now)

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


def _log_limit(target: targets.Target, named: named_limits.NamedLimit) -> None:
    """Log that an answer names another limit than the one before."""
    if named == target.named_limit:
        return
    target.named_limit = named
    logs.log_event(
        events.LIMIT_NAMED,
        target=target.target_id,
        is_named=named.is_named,
        per_s=named.per_s,
        open_requests=target.open_requests,
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

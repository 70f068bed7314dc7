"""Chooses the targets of requests, by load, permits and present states.

A target is chosen in two steps: a few by their reports, and one of these by
its present state. Where all targets have limits, requests wait for the next
turns in order of urgency, and those for which no turn comes in time are told
when one does.

Where room is controlled, a generation is sent only where its room was claimed;
see ``room_waits`` for those that wait.
"""

from collections import abc
import heapq
import math
import random
import typing

import trio

from gentianpoint_core import limit_table
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.decisions import request_turns
from gentianpoint_core.decisions import target_outages
from gentianpoint_core.decisions import target_times
from gentianpoint_core.decisions import waiting_order
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import arrivals
from gentianpoint_entry.forwarding import engine_probes
from gentianpoint_entry.forwarding import move_destinations
from gentianpoint_entry.forwarding import request_permits
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import room_waits
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_selection
from gentianpoint_entry.forwarding import targets
from gentianpoint_entry.forwarding import turn_loans

__all__ = ("TargetChoice", "make_send_error")

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
_PACES_KEPT_S: typing.Final = 0.1
"""Seconds after which the paces of a service's targets are compared again, as
often as agents poll their engines."""
_MAX_CLAIMS: typing.Final = 3
"""Targets at which room is claimed before a request waits. Each claim takes
the time of a reply, and more would refuse others for room that is not used."""


class _ClaimedRoom(typing.NamedTuple):
    """Room that a request has at a target to which it was not sent yet."""

    target: targets.Target
    tokens: int
    at: float


class TargetChoice:
    """Chooses targets, and keeps the permits for requests to them."""

    # Overridden to compare other numbers.
    _probed_targets = _PROBED_TARGETS

    def __init__(
        self,
        registry: targets.TargetRegistry,
        data_centre: str,
        count_entries: abc.Callable[[], int],
        rng: random.Random,
        permits: typing.Optional[request_permits.RequestPermits],
        probes: typing.Optional[engine_probes.EngineProbes],
        loans: typing.Optional[turn_loans.TurnLoans] = None,
        rooms: typing.Optional[room_waits.RoomWaits] = None,
    ) -> None:
        """Choose for ``data_centre`` as one of ``count_entries()`` entries.

        ``permits`` limits the requests to targets that are cold or have named
        limits; by default this entry has the whole of each limit. Without
        ``loans`` it has its own part only. Without ``probes`` engines are
        chosen by their reports alone. ``rooms`` claims room for generations;
        without it they are sent wherever it is best.
        """
        self.registry: typing.Final = registry
        self.data_centre: typing.Final = data_centre
        self.count_entries: typing.Final = count_entries
        self.rng: typing.Final = rng
        self._permits: typing.Final = permits or _make_own_permits()
        self._reserved: typing.Final[
            dict[tuple[str, str], tuple[request_permits.Permit, float]]
        ] = {}
        self._orders: typing.Final[dict[str, waiting_order.WaitingOrder]] = {}
        self._probes: typing.Final = probes
        self._loans: typing.Final = loans
        self._arrival_rate: typing.Final = arrivals.ArrivalRate()
        # Outages that entries tell each other; None if they don't.
        self.outages: typing.Optional[target_outages.TargetOutages] = None
        # By service: the paces of its targets, and until when they count.
        self._paces: typing.Final[
            dict[str, tuple[target_times.ServicePaces, float]]
        ] = {}
        self._rooms: typing.Final = rooms
        # Requests that have claimed room and are about to be sent, by
        # request and target.
        self._claimed: typing.Final[dict[tuple[str, str], _ClaimedRoom]] = {}
        self._services: typing.Final[dict[str, routes.Service]] = {}
        if rooms is not None:
            registry.handle_report = self._note_report

    async def find_target(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str] = (),
    ) -> typing.Optional[targets.Target]:
        """Return the best target, after a short wait for one with a limit.

        Where room is controlled, a generation may wait for room too. The
        target is reserved for the request, which has to be sent there next,
        or the target given back. None if there is none, or none within the
        time that a wait may take.
        """
        began = trio.current_time()
        if request.service.engine is not None:
            self._arrival_rate.note(began)
        if self._loans is not None:
            self._loans.note_wanted(request.service.name)
            await self._loans.prepare(request.service.name)
        wait_s = request.route.objective_ms * _PERMIT_WAIT_SHARE / 1000
        order = self._find_order(request)
        place = order.join(_rank_urgency(request), request.get_customer_name())
        try:
            while True:
                ahead = order.count_ahead(place)
                opens_at = self._find_opening(request, excluded, ahead)
                if opens_at > began + wait_s:
                    if await self._borrow(request, order, began + wait_s):
                        continue
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
                if self.controls_room(request):
                    is_over, target = await self._find_room(request, excluded)
                    if is_over:
                        return target
                target = await self._choose_by_present_state(request, excluded)
                # Others may have taken the permit while agents were asked.
                if target is not None and self.reserve(target, request):
                    return target
                await trio.lowlevel.checkpoint()
        finally:
            order.leave(place)

    # Room at targets.

    def controls_room(self, request: requests.CallerRequest) -> bool:
        """Tell whether a request needs room to be sent."""
        return self._rooms is not None and request.service.engine is not None

    def lacks_room(self, request: requests.CallerRequest) -> bool:
        """Tell whether a request was refused for want of room."""
        return self._rooms is not None and self._rooms.lacks_room(request)

    async def _find_room(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str],
    ) -> tuple[bool, typing.Optional[targets.Target]]:
        """Return whether the search is over, and the target with room.

        It is over without a target for a request that is refused. A stream
        that has events does not wait, since its caller would notice the
        pause; it goes on as if room was not controlled.
        """
        assert self._rooms is not None
        self._services[request.service.name] = request.service
        if request.origin is not None:
            target = await self.claim_room(request, excluded)
            return target is not None, target
        search = _RoomSearch(self, request, excluded)
        return True, await self._rooms.wait(request, search)

    async def claim_room(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str],
    ) -> typing.Optional[targets.Target]:
        """Claim room at one of the best targets, and reserve it, or None.

        Where no agent replies, there is room if the reports say so.
        """
        assert self._rooms is not None
        room = self._rooms.find_room(request.service.name)
        candidates = []
        with_room = []
        for item in self._list_permitted(request, excluded):
            free_tokens = self.count_free(item)
            if not item.accepts_work() or not room.may_claim(
                item, request, free_tokens
            ):
                continue
            candidates.append(item)
            if target_selection.may_hold(item, request, free_tokens):
                with_room.append(item)
        if not with_room:
            return await self._ask_for_opening(request, candidates)
        chosen = self._choose_several(request, with_room)
        room.asked.update(target.target_id for target in chosen)
        found: abc.Collection[targets.Target] = ()
        if self._probes is not None:
            found = await self._probes.refresh(chosen)
        # An engine whose agent does not answer is likely to be lost too.
        left = list(found or chosen)
        for _ in range(_MAX_CLAIMS):
            target = self._choose_among(
                request,
                [item for item in left if self._has_room(item, request)],
            )
            if target is None:
                break
            if await self._claim_at(target, request):
                return target
            left.remove(target)
        return None

    async def _ask_for_opening(
        self,
        request: requests.CallerRequest,
        candidates: abc.Collection[targets.Target],
    ) -> typing.Optional[targets.Target]:
        """Claim room at the best candidate although reports show none.

        Its agent knows better than the reports, and tells when it expects
        room, which decides how long it is of use to wait.
        """
        assert self._rooms is not None
        await trio.lowlevel.checkpoint()
        room = self._rooms.find_room(request.service.name)
        if not candidates or not room.take_question():
            return None
        target = self._choose_among(request, candidates)
        if target is None:
            return None
        room.asked.add(target.target_id)
        return target if await self._claim_at(target, request) else None

    async def _claim_at(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> bool:
        """Claim room at a target, and reserve it; True if both succeed."""
        assert self._rooms is not None
        if not self.reserve(target, request):
            return False
        is_kept = False
        try:
            reply = await self._rooms.claims.claim(target, request)
            is_kept = target.accepts_work() and (
                reply.is_granted
                if reply is not None
                else self._has_room(target, request)
            )
        finally:
            if not is_kept:
                self.give_back(target, request)
        if is_kept:
            self._claimed[request.request_id, target.target_id] = _ClaimedRoom(
                target,
                target_selection.count_tokens(request),
                trio.current_time(),
            )
        elif reply is None or reply.is_granted:
            self._rooms.claims.give_back(target, request)
        if reply is not None and not reply.is_granted:
            self._rooms.find_room(request.service.name).note_refused(
                target, request, self.count_free(target), reply.opens_at
            )
        return is_kept

    async def choose_without_room(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str],
    ) -> typing.Optional[targets.Target]:
        """Choose a target as if room was not controlled, and reserve it."""
        target = await self._choose_by_present_state(request, excluded)
        if target is not None and self.reserve(target, request):
            return target
        return None

    def list_working(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str],
    ) -> abc.Sequence[targets.Target]:
        """Return the targets that take work and may run a request."""
        return self._list_working(request, excluded)

    def count_free(self, target: targets.Target) -> int:
        """Return the free memory of an engine, less what was claimed here."""
        service = self._services.get(target.entry.service)
        if service is None or service.engine is None:
            return 0
        free = target_selection.count_free_tokens(
            target, service.engine, self.count_entries
        )
        if not self._claimed:
            return free
        return free - sum(
            item.tokens
            for item in self._claimed.values()
            if item.target is target
        )

    def _has_room(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> bool:
        return target_selection.may_hold(
            target, request, self.count_free(target)
        )

    def _note_report(self, target: targets.Target) -> None:
        assert self._rooms is not None
        self._rooms.note_room(target, self.count_free(target))

    def settle_claim(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> bool:
        """Note that a request is sent; True if it has claimed its room."""
        key = (request.request_id, target.target_id)
        return self._claimed.pop(key, None) is not None

    def give_back_room(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> None:
        """Give back the room for a request that is not sent to a target."""
        if self._rooms is not None:
            self._rooms.claims.give_back(target, request)

    def give_back_unsent(self, request: requests.CallerRequest) -> None:
        """Give back the room that an ended request has claimed and not used.

        A caller may leave while its request is about to be sent.
        """
        if not self._claimed:
            return
        for key, item in list(self._claimed.items()):
            if key[0] == request.request_id:
                self.give_back(item.target, request)

    async def _borrow(
        self,
        request: requests.CallerRequest,
        order: waiting_order.WaitingOrder,
        until: float,
    ) -> bool:
        """Ask other entries for permits; True if there may be some."""
        if self._loans is None or trio.current_time() >= until:
            return False
        now = trio.current_time()
        if all(
            target.rests_until > now for target in self._list_working(request)
        ):
            return False
        name = request.service.name
        return await self._loans.find_more(name, order.count(), until)

    def has_target(self, request: requests.CallerRequest) -> bool:
        """Tell whether any target that takes work may run a request."""
        return bool(self._list_working(request))

    def _list_working(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str] = (),
    ) -> abc.Sequence[targets.Target]:
        """Return the targets that take work and may run a request."""
        begins_by = request.find_begin_by(trio.current_time())
        return self._leave_out_outages(
            [
                target
                for target in self.registry.list_by_service(
                    request.service.name
                )
                if target.target_id not in excluded
                and target.accepts_work()
                and target.streams_from <= begins_by
                and target.may_go_on(request.origin)
            ]
        )

    def find_streams_wait_ms(self, request: requests.CallerRequest) -> float:
        """Return in how many milliseconds a stream may begin, 0 if now.

        That is when the versions that serve are known to all entries.
        """
        now = trio.current_time()
        begins_by = request.find_begin_by(now)
        first_at = min(
            (
                target.streams_from
                for target in self.registry.list_by_service(
                    request.service.name
                )
                if target.accepts_work()
            ),
            default=-math.inf,
        )
        return 0.0 if first_at <= begins_by else (first_at - now) * 1000

    def _leave_out_outages(
        self, found: abc.Sequence[targets.Target]
    ) -> abc.Sequence[targets.Target]:
        """Return the targets without those that have an outage.

        If all have one, the fault is more likely elsewhere, and all are
        returned.
        """
        if self.outages is None:
            return found
        now = trio.current_time()
        others = [
            target
            for target in found
            if self.outages.may_send(request_permits.make_key(target), now)
        ]
        return others or found

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
        permit = None
        if target.rests_until <= now:
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
        if self.settle_claim(target, request):
            self.give_back_room(target, request)

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
        return self._choose_among(request, permitted)

    def _choose_among(
        self,
        request: requests.CallerRequest,
        candidates: abc.Iterable[targets.Target],
        other_arrivals_per_s: float = 0.0,
    ) -> typing.Optional[targets.Target]:
        """Return the best of some targets, or None."""
        return target_selection.choose_target(
            candidates,
            request,
            self.data_centre,
            self.count_entries(),
            trio.current_time(),
            self.rng,
            other_arrivals_per_s=other_arrivals_per_s,
            paces=self._find_paces(request.service),
        )

    def _find_paces(
        self, service: routes.Service
    ) -> typing.Optional[target_times.ServicePaces]:
        """Return the paces of a service's engines, compared lately."""
        if service.engine is None:
            return None
        now = trio.current_time()
        paces, kept_until = self._paces.get(
            service.name, (target_times.ServicePaces(), -math.inf)
        )
        if now < kept_until:
            return paces
        self._paces[service.name] = (paces, now + _PACES_KEPT_S)
        working = [
            target
            for target in self.registry.list_by_service(service.name)
            if target.accepts_work()
        ]
        if paces.update(target_selection.list_paces(working)):
            spread = paces.spread
            logs.log_event(
                events.TARGET_PACES_CHANGED,
                service=service.name,
                differ=paces.differ,
                step_us_lower=spread.lower.step_us,
                step_us_upper=spread.upper.step_us,
                prefill_us_per_k_lower=spread.lower.prefill_us_per_k,
                prefill_us_per_k_upper=spread.upper.prefill_us_per_k,
            )
        return paces

    def _choose_several(
        self,
        request: requests.CallerRequest,
        candidates: abc.Iterable[targets.Target],
    ) -> abc.Sequence[targets.Target]:
        """Return a few good targets by their reports."""
        rate = self._estimate_other_arrivals_per_s(trio.current_time())
        left = list(candidates)
        chosen: list[targets.Target] = []
        while left and len(chosen) < self._probed_targets:
            target = self._choose_among(request, left, rate)
            if target is None:
                break
            chosen.append(target)
            left.remove(target)
        return chosen

    def promise_opening_ms(self, request: requests.CallerRequest) -> float:
        """Return in how many milliseconds a refused request can be served.

        0 if it can at once, or if that is not known. The requests that wait
        go first, and the caller counts as one of them until then, so that no
        other is told the same time. A request that was refused for want of
        room is told when room is expected.
        """
        if self._rooms is not None:
            room_at = self._rooms.take_opening(request)
            if room_at is not None:
                left_s = room_at - trio.current_time()
                return 0.0 if math.isinf(left_s) else max(0.0, left_s * 1000)
        order = self._find_order(request)
        priority = _rank_urgency(request)
        now = trio.current_time()
        ahead = order.count_expected(priority, now)
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
        candidates = self._list_working(request, excluded)

        def find_permitted_at(place: int, count: int) -> float:
            return self._find_permitted_at(
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
        begins_by = request.find_begin_by(now)
        return self._leave_out_outages(
            [
                target
                for target in self.registry.list_by_service(
                    request.service.name
                )
                if target.target_id not in excluded
                and target.streams_from <= begins_by
                and target.may_go_on(request.origin)
                and self._find_permitted_at(target, request.service, now)
                <= now
            ]
        )

    def _find_permitted_at(
        self,
        target: targets.Target,
        service: routes.Service,
        now: float,
        ahead: int = 0,
    ) -> float:
        """Return when a request may be sent to a target that takes work.

        Neither its limits nor the rest that it has asked for forbid it then.
        """
        permitted_at = self._permits.find_permitted_at(
            target, service, now, ahead
        )
        return max(permitted_at, target.rests_until)

    def choose_target(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str] = (),
    ) -> typing.Optional[targets.Target]:
        """Return the best target for a request, or None."""
        return self._choose_among(
            request,
            self._list_permitted(request, excluded),
            self._estimate_other_arrivals_per_s(trio.current_time()),
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
                source,
                [
                    target
                    for target in self.registry.list_by_service(
                        request.service.name
                    )
                    if target.may_go_on(source.origin)
                ],
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
        """Return the target that keeps a copy of a generation, or None.

        Where room is controlled memory is short, and copies that may never be
        needed would take what generations wait for.
        """
        if self._rooms is not None:
            return None
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
        # The memory is of the runner's software, also before the first event.
        permitted = self._list_permitted(
            request._replace(origin=request.origin or runner.origin)
        )
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

    def may_be_sent(self, target: targets.Target) -> bool:
        """Tell whether a request that has to go to a target may be sent."""
        return target.may_be_sent(trio.current_time(), self.registry.drain_s)

    async def claim_permit(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> request_permits.Permit:
        """Return the permit that is reserved, or wait for one.

        Only a request that has to go to this target waits, such as one whose
        memory was copied there. Raises ``ports.PortError`` if there is no
        permit before its deadline, or if the target takes no request any more.
        """
        key = (request.request_id, target.target_id)
        while key not in self._reserved:
            now = trio.current_time()
            permitted_at = self._find_permitted_at(
                target, request.service, now
            )
            if permitted_at > request.deadline.at:
                self.give_back(target, request)
                raise make_send_error(target, "its limit is used up")
            await trio.sleep_until(permitted_at)
            self.reserve(target, request)
        permit, _ = self._reserved.pop(key)
        reason = ""
        if target.is_evacuated:
            reason = "the data centre is evacuated"
        elif not self.may_be_sent(target):
            reason = "it has said that it leaves"
        if reason:
            self._permits.give_back(permit)
            self.give_back(target, request)
            raise make_send_error(target, reason)
        return permit

    def forget_unused_permits(self) -> None:
        """Forget limits of targets that have gone, and permits not used."""
        now = trio.current_time()
        self._permits.forget_unlisted(self.registry.list_all(), now)
        for key, (_, at) in list(self._reserved.items()):
            if now - at > _RESERVED_S:
                del self._reserved[key]
        for key, claimed in list(self._claimed.items()):
            if now - claimed.at > _RESERVED_S:
                del self._claimed[key]
        if self._rooms is not None:
            self._rooms.forget_unlisted(self.registry.list_all())


class _RoomSearch(room_waits.RoomSearch):
    """Finds room for one request among the targets of a choice."""

    def __init__(
        self,
        choice: TargetChoice,
        request: requests.CallerRequest,
        excluded: abc.Collection[str],
    ) -> None:
        self._choice: typing.Final = choice
        self._request: typing.Final = request
        self._excluded: typing.Final = excluded

    async def claim(self) -> typing.Optional[targets.Target]:
        """Return a target where room is claimed; see the base class."""
        return await self._choice.claim_room(self._request, self._excluded)

    async def choose_by_reports(self) -> typing.Optional[targets.Target]:
        """Return a target without room control; see the base class."""
        return await self._choice.choose_without_room(
            self._request, self._excluded
        )

    def list_targets(self) -> abc.Sequence[targets.Target]:
        """Return the targets that take work; see the base class."""
        return self._choice.list_working(self._request, self._excluded)


def _make_own_permits() -> request_permits.RequestPermits:
    """Return permits of an entry that shares limits with no other."""
    return request_permits.RequestPermits(
        request_turns.RequestTurns("", lambda: frozenset(("",))),
        limit_table.LimitTable(),
    )


def _rank_urgency(request: requests.CallerRequest) -> int:
    """Return the rank among waiting requests; lower goes first.

    Of the same priority, streams that have events already go before others:
    what was generated for them would be lost.
    """
    priority = routes.get_priority(request.route, request.customer)
    return 2 * priority + (request.origin is None)


def make_send_error(target: targets.Target, reason: str) -> ports.PortError:
    """Return the error for a request that was not sent."""
    return ports.PortError(
        "send request", target.entry.address, reason, took_effect=False
    )

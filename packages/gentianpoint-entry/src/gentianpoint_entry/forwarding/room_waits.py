"""Lets requests wait for room at this entry, and refuses those in vain.

A request that waits is tried again when a report shows more room, when one
before it is sent or leaves, and after a while in any case. One request of a
service is tried at a time, the first in order, so that those behind it do not
take the room that it needs.
"""

import abc
from collections import abc as collections_abc
import math
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core.decisions import room_queue
from gentianpoint_core.decisions import wait_limits
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import entry_metrics
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import room_claims
from gentianpoint_entry.forwarding import target_selection
from gentianpoint_entry.forwarding import targets

__all__ = ("RoomSearch", "RoomWaits", "ServiceRoom")

_RETRY_S: typing.Final = 0.25
"""Seconds after which requests are tried again without news. Reports may have
stopped, and an agent may have room for what it has refused."""
_MIN_RETRY_S: typing.Final = 0.01
"""Least seconds until a target that has refused is asked again, however soon
its agent expects room."""
_PACE_KEPT_S: typing.Final = 0.05
"""Seconds for which the pace of the best target is kept. Reports are older,
and to compare all targets for each request takes too long with many."""
_MAX_TRIED: typing.Final = 4
"""Requests that are tried one after the other, each smaller than the one
before it, until there is news."""
_MAX_REFUSED: typing.Final = 4096
"""Refused requests whose opening is remembered until it is told."""


class RoomSearch(abc.ABC):
    """Finds a target with room for one request."""

    @abc.abstractmethod
    async def claim(self) -> typing.Optional[targets.Target]:
        """Return a target where room is claimed, None if there is none."""

    @abc.abstractmethod
    async def choose_by_reports(self) -> typing.Optional[targets.Target]:
        """Return a target as if room was not controlled, None for none."""

    @abc.abstractmethod
    def list_targets(self) -> collections_abc.Sequence[targets.Target]:
        """Return the targets that may run the request, with room or not."""


class _Refused(typing.NamedTuple):
    """What was refused at a target."""

    tokens: int
    urgency: int
    free_tokens: int
    """Room there by the state in the reply."""
    until: float
    """When to ask again without news."""


class ServiceRoom:
    """The requests that wait for one service, and what agents replied."""

    def __init__(self, queue: room_queue.RoomQueue) -> None:
        """Start without requests."""
        self.queue: typing.Final = queue
        # When agents expect room at their targets.
        self.openings: typing.Final[dict[str, float]] = {}
        # Targets that are being asked for the request that has the turn;
        # their states are no news.
        self.asked: typing.Final[set[str]] = set()
        self._refused: typing.Final[dict[str, _Refused]] = {}
        self._turns: typing.Final[
            dict[room_queue.WaitingRequest, trio.Event]
        ] = {}
        self._turn: typing.Optional[room_queue.WaitingRequest] = None
        self._tried = 0
        self._has_news = False
        self.tried_at = -math.inf
        self._questioned_at = -math.inf
        self._pace = wait_limits.Pace()
        self._pace_until = -math.inf

    def note_refused(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        free_tokens: int,
        opens_at: float,
    ) -> None:
        """Record that an agent has refused a claim."""
        now = trio.current_time()
        until = min(now + _RETRY_S, max(opens_at, now + _MIN_RETRY_S))
        self._refused[target.target_id] = _Refused(
            target_selection.count_tokens(request),
            room_claims.find_urgency(request),
            free_tokens,
            until,
        )
        self.openings[target.target_id] = opens_at

    def may_claim(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        free_tokens: int,
    ) -> bool:
        """Tell whether a claim may be granted that was refused before.

        Otherwise each report of one target would make the entry ask all
        others again.
        """
        refused = self._refused.get(target.target_id)
        return (
            refused is None
            or free_tokens > refused.free_tokens
            or trio.current_time() >= refused.until
            or target_selection.count_tokens(request) < refused.tokens
            or room_claims.find_urgency(request) < refused.urgency
        )

    def take_question(self) -> bool:
        """Tell whether to ask an agent when it expects room, and note it.

        Not while that is known, but after a while in any case: the agent may
        have room sooner.
        """
        now = trio.current_time()
        if now < self._questioned_at + _RETRY_S and any(
            now < at < math.inf for at in self.openings.values()
        ):
            return False
        self._questioned_at = now
        return True

    def forget_unlisted(self, listed: collections_abc.Collection[str]) -> None:
        """Forget targets that have gone."""
        for target_id in [*self._refused, *self.openings]:
            if target_id not in listed:
                self._refused.pop(target_id, None)
                self.openings.pop(target_id, None)

    def find_pace(
        self, listed: collections_abc.Iterable[targets.Target]
    ) -> wait_limits.Pace:
        """Return the pace of the target that begins a prompt first."""
        now = trio.current_time()
        if now >= self._pace_until:
            self._pace = min(
                map(_find_pace, listed),
                key=lambda pace: wait_limits.predict_first_event_s(pace, 0),
                default=wait_limits.Pace(),
            )
            self._pace_until = now + _PACE_KEPT_S
        return self._pace

    def join(self, place: room_queue.WaitingRequest) -> None:
        """Add a request, which is tried at once if it is the first."""
        self.queue.join(place)
        self._turns[place] = trio.Event()
        self.try_first()

    def leave(
        self, place: room_queue.WaitingRequest, *, is_sent: bool
    ) -> None:
        """Remove a request, and try the first of the others."""
        if is_sent:
            self.queue.note_sent(place, trio.current_time())
        else:
            self.queue.leave(place)
        del self._turns[place]
        if self._turn is place:
            self._end_turn()
        self.try_first()

    def note_room(self, target: targets.Target, free_tokens: int) -> None:
        """Try the first request if a report shows room for any."""
        refused = self._refused.get(target.target_id)
        if refused is not None and free_tokens < refused.free_tokens:
            # What was leased when it refused is in use now, and room shows
            # once that has ended.
            self._refused[target.target_id] = refused._replace(
                free_tokens=free_tokens
            )
        waiting = self.queue.list_waiting()
        is_asked = self._turn is not None and target.target_id in self.asked
        if is_asked or not waiting:
            return
        if free_tokens >= min(place.tokens for place in waiting):
            self.try_first()

    def try_first(self) -> None:
        """Give the turn to the first request, after the one that has it."""
        if self._turn is not None:
            self._has_news = True
            return
        first = self.queue.find_first(trio.current_time())
        if first is not None:
            self._give_turn(first)

    def try_next(self, place: room_queue.WaitingRequest) -> None:
        """Give the turn to a smaller request after one that fits nowhere."""
        smaller = None
        if self._tried < _MAX_TRIED:
            smaller = self.queue.find_next(place, trio.current_time())
        has_news = self._has_news
        tried = self._tried
        self._end_turn()
        if smaller is not None:
            # The first is tried again after these: under load there is
            # always news, and smaller ones would never have their turn.
            self._tried = tried
            self._has_news = has_news
            self._give_turn(smaller)
        elif has_news:
            self.try_first()

    def try_if_due(self) -> None:
        """Try the first request if none was tried for a while."""
        if trio.current_time() >= self.tried_at + _RETRY_S:
            self.try_first()

    def has_turn(self, place: room_queue.WaitingRequest) -> bool:
        """Tell whether a request is to be tried."""
        return self._turn is place

    async def wait_turn(
        self, place: room_queue.WaitingRequest, until: float
    ) -> None:
        """Wait for the turn, until a time or the next trial at the latest."""
        now = trio.current_time()
        due_at = max(self.tried_at + _RETRY_S, now + _MIN_RETRY_S)
        with trio.move_on_at(min(until, due_at)):
            await self._turns[place].wait()

    def _give_turn(self, place: room_queue.WaitingRequest) -> None:
        self._turn = place
        self.asked.clear()
        self._tried += 1
        self.tried_at = trio.current_time()
        self._turns[place].set()

    def _end_turn(self) -> None:
        if self._turn is not None and self._turn in self._turns:
            self._turns[self._turn] = trio.Event()
        self._turn = None
        self._tried = 0
        self._has_news = False


class RoomWaits:
    """The requests of all services that wait for room at this entry."""

    def __init__(
        self,
        claims: room_claims.RoomClaims,
        find_usage: collections_abc.Callable[[str], float] = lambda customer: (
            0.0
        ),
        metrics: typing.Optional[entry_metrics.EntryMetrics] = None,
    ) -> None:
        """Claim room by ``claims``.

        ``find_usage`` returns a customer's usage over its weight. Without
        ``metrics`` nothing is counted.
        """
        self.claims: typing.Final = claims
        self._find_usage: typing.Final = find_usage
        self._metrics: typing.Final = metrics
        self._rooms: typing.Final[dict[str, ServiceRoom]] = {}
        # When room is expected for refused requests, until they are told.
        self._refused: typing.Final[dict[str, float]] = {}

    def find_room(self, service: str) -> ServiceRoom:
        """Return what is known of the room of a service."""
        if service not in self._rooms:
            self._rooms[service] = ServiceRoom(
                room_queue.RoomQueue(self._find_usage)
            )
        return self._rooms[service]

    def count_waiting(self) -> int:
        """Return how many requests wait for room."""
        return sum(room.queue.count() for room in self._rooms.values())

    def note_room(self, target: targets.Target, free_tokens: int) -> None:
        """Try requests again, since a report shows room at a target."""
        room = self._rooms.get(target.entry.service)
        if room is not None:
            room.note_room(target, free_tokens)

    def lacks_room(self, request: requests.CallerRequest) -> bool:
        """Tell whether a request was refused for want of room."""
        return request.request_id in self._refused

    def take_opening(
        self, request: requests.CallerRequest
    ) -> typing.Optional[float]:
        """Return when room is expected for a request that was refused.

        None if it was not refused for want of room, infinite if unknown.
        """
        return self._refused.pop(request.request_id, None)

    def forget_unlisted(
        self, listed: collections_abc.Iterable[targets.Target]
    ) -> None:
        """Forget targets that have gone."""
        names = {target.target_id for target in listed}
        for room in self._rooms.values():
            room.forget_unlisted(names)

    async def wait(
        self, request: requests.CallerRequest, search: RoomSearch
    ) -> typing.Optional[targets.Target]:
        """Return a target with room, waiting for it as long as that is of use.

        None if there is no target, or if the request is refused for want of
        room.
        """
        room = self.find_room(request.service.name)
        self._refused.pop(request.request_id, None)
        now = trio.current_time()
        place = _make_place(request, search, room)
        wait = _Wait(request, place, now, self._metrics)
        room.join(place)
        outcome = "ended"
        try:
            while True:
                if room.has_turn(place):
                    target = await search.claim()
                    if target is not None:
                        outcome = "sent"
                        return target
                    room.try_next(place)
                if not search.list_targets():
                    outcome = "no target"
                    return None
                is_over, opens_at = self._judge(room, request, place, search)
                if is_over and _may_refuse(search):
                    outcome = "refused"
                    self._refuse(room, request, place, opens_at)
                    return None
                if is_over and place.limits.useful_until <= wait.read_clock():
                    outcome = "sent by reports"
                    return await search.choose_by_reports()
                if not room.has_turn(place):
                    wait.note_waiting(room)
                    await room.wait_turn(
                        place, _find_wait_end(place, wait.read_clock())
                    )
                    room.try_if_due()
        finally:
            room.leave(place, is_sent=outcome == "sent")
            wait.note_end(outcome)

    def _judge(
        self,
        room: ServiceRoom,
        request: requests.CallerRequest,
        place: room_queue.WaitingRequest,
        search: RoomSearch,
    ) -> tuple[bool, float]:
        """Tell whether waiting is of no use, and when room is expected."""
        now = trio.current_time()
        listed = search.list_targets()
        names = {target.target_id for target in listed}
        ahead = room.queue.count_ahead(place, now)
        ahead += room.queue.count_promised(place.urgency, now)
        opens_at = wait_limits.find_opening(
            [at for name, at in room.openings.items() if name in names],
            len(listed),
            ahead,
            now,
        )
        if not _is_over(place, opens_at, now):
            return False, opens_at
        # The targets may have become faster since.
        place.limits = _find_limits(request, room.find_pace(listed))
        return _is_over(place, opens_at, now), opens_at

    def _refuse(
        self,
        room: ServiceRoom,
        request: requests.CallerRequest,
        place: room_queue.WaitingRequest,
        opens_at: float,
    ) -> None:
        now = trio.current_time()
        is_known = not math.isinf(opens_at)
        if is_known:
            room.queue.promise(place.urgency, opens_at)
        self._refused[request.request_id] = opens_at
        if len(self._refused) > _MAX_REFUSED:
            del self._refused[next(iter(self._refused))]
        if self._metrics is not None:
            self._metrics.record_room_refusal(request.route.name)
        logs.log_event(
            events.ROOM_REFUSED,
            service=request.service.name,
            customer=place.customer,
            urgency=place.urgency,
            tokens=place.tokens,
            ahead=room.queue.count_ahead(place, now),
            opens_in_ms=round((opens_at - now) * 1000) if is_known else None,
            useful_for_ms=round((place.limits.useful_until - now) * 1000),
        )


class _Wait:
    """Logs and counts the wait of one request, if it waits at all."""

    def __init__(
        self,
        request: requests.CallerRequest,
        place: room_queue.WaitingRequest,
        began: float,
        metrics: typing.Optional[entry_metrics.EntryMetrics],
    ) -> None:
        self._request: typing.Final = request
        self._place: typing.Final = place
        self._began: typing.Final = began
        self._metrics: typing.Final = metrics
        self._ahead: typing.Optional[int] = None

    @staticmethod
    def read_clock() -> float:
        return trio.current_time()

    def note_waiting(self, room: ServiceRoom) -> None:
        if self._ahead is not None:
            return
        self._ahead = room.queue.count_ahead(self._place, trio.current_time())
        if self._metrics is not None:
            self._metrics.count_waiting_for_room(self._request.route.name, 1)
        logs.log_event(
            events.ROOM_WAIT_BEGAN,
            service=self._request.service.name,
            **self._describe(),
            tokens=self._place.tokens,
            is_retry=self._place.is_retry,
        )

    def note_end(self, outcome: str) -> None:
        if self._ahead is None:
            return
        waited_ms = round((trio.current_time() - self._began) * 1000)
        if self._metrics is not None:
            route = self._request.route.name
            self._metrics.count_waiting_for_room(route, -1)
            self._metrics.record_room_wait(route, waited_ms)
        logs.log_event(
            events.ROOM_WAIT_ENDED,
            service=self._request.service.name,
            **self._describe(),
            outcome=outcome,
            waited_ms=waited_ms,
            overtaken=self._place.overtaken,
        )

    def _describe(self) -> dict[str, typing.Any]:
        return {
            "customer": self._place.customer,
            "urgency": self._place.urgency,
            "ahead": self._ahead,
        }


def _make_place(
    request: requests.CallerRequest, search: RoomSearch, room: ServiceRoom
) -> room_queue.WaitingRequest:
    left_ms = (request.caller_deadline.at - _find_received_at(request)) * 1000
    return room_queue.WaitingRequest(
        room_claims.find_urgency(request),
        target_selection.count_tokens(request),
        _find_limits(request, room.find_pace(search.list_targets())),
        request.get_customer_name(),
        is_retry=wait_limits.is_retry(left_ms, request.route.timeout_ms),
    )


def _find_received_at(request: requests.CallerRequest) -> float:
    if request.received_at is None:
        return trio.current_time()
    return request.received_at


def _find_limits(
    request: requests.CallerRequest, pace: wait_limits.Pace
) -> wait_limits.WaitLimits:
    """Return until when a request may wait, at a target of this pace."""
    first_event_s = wait_limits.predict_first_event_s(
        pace, request.prompt_tokens
    )
    return wait_limits.find_limits(
        _find_received_at(request),
        request.route.objective_ms,
        request.deadline.at,
        first_event_s,
        first_event_s
        + wait_limits.predict_events_s(pace, request.likely_output_tokens),
    )


def _find_pace(target: targets.Target) -> wait_limits.Pace:
    unread_tokens = target_selection.count_pending_prefill_tokens(target)
    if target.report is None:
        return wait_limits.Pace(unread_tokens)
    return wait_limits.Pace(
        unread_tokens, target.report.prefill_us_per_k, target.report.step_us
    )


def _find_wait_end(place: room_queue.WaitingRequest, now: float) -> float:
    """Return when to look again at a request that waits."""
    if place.limits.useful_until > now:
        return place.limits.useful_until
    return math.inf


def _is_over(
    place: room_queue.WaitingRequest, opens_at: float, now: float
) -> bool:
    useful_until = place.limits.useful_until
    if now >= useful_until:
        return True
    return not math.isinf(opens_at) and opens_at > useful_until


def _may_refuse(search: RoomSearch) -> bool:
    listed = search.list_targets()
    return wait_limits.may_refuse(
        sum(target_selection.count_running(target) for target in listed),
        sum(max(1, target.entry.slots) for target in listed),
        sum(
            0 if target.report is None else target.report.waiting
            for target in listed
        ),
    )

"""Claims of room at the agents of simulated engines."""

from collections import abc
import math
import typing

import trio

from bench.replay import engine
from bench.replay import engine_statuses
from gentianpoint_core.decisions import engine_urgency
from gentianpoint_core.decisions import room_book
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import room_claims
from gentianpoint_entry.forwarding import targets

__all__ = ("FleetRoomClaims",)

_REPLY_S: typing.Final = 0.003
"""Time until an agent has replied."""
_TIMEOUT_S: typing.Final = 0.025
"""Time after which an entry no longer waits for a reply."""


class FleetRoomClaims(room_claims.RoomClaims):
    """Claims room at the agents of one replay, which lose no datagram."""

    def __init__(
        self,
        engines: abc.Mapping[str, engine.Engine],
        make_report: abc.Callable[[engine.Engine], targets.EngineReport],
    ) -> None:
        """Claim room at ``engines``, by their addresses.

        Replies have the reports that ``make_report`` returns.
        """
        self._engines: typing.Final = engines
        self._make_report: typing.Final = make_report

    async def claim(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> typing.Optional[room_claims.RoomReply]:
        """Claim room at a target's agent; see the base class."""
        item = self._engines[target.entry.address]
        engine_spec = request.service.engine
        if item.is_gone or engine_spec is None:
            await trio.sleep(_TIMEOUT_S)
            return None
        answer = None
        try:
            await trio.sleep(_REPLY_S / 2)
            answer = self._ask(item, request, engine_spec.event_tokens)
            report = self._make_report(item)
            await trio.sleep(_REPLY_S / 2)
        except trio.Cancelled:
            if answer is not None:
                item.room.give_back(request.request_id)
            raise
        target.take_report(report)
        opens_at = math.inf if answer.opens_at is None else answer.opens_at
        return room_claims.RoomReply(answer.is_granted, opens_at)

    @staticmethod
    def _ask(
        item: engine.Engine,
        request: requests.CallerRequest,
        event_tokens: int,
    ) -> room_book.RoomAnswer:
        """Return what an agent replies, which reads the present status."""
        now = trio.current_time()
        item.room.note_status(engine_statuses.make_status(item), now)
        urgency = request.urgency
        if urgency is None:
            urgency = engine_urgency.DEFAULT_URGENCY
        claim = room_book.RoomClaim(
            request.request_id,
            request.prompt_tokens,
            request.most_output_tokens,
            event_tokens,
            item.costs.slots,
            urgency,
        )
        return item.room.claim(claim, now)

    def give_back(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> None:
        """Give a request's room back at once; see the base class."""
        self._engines[target.entry.address].room.give_back(request.request_id)

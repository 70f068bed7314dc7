"""Claims room for generations at the agents beside engines.

Memory that several entries see as free is taken by the first generation that
is sent there; the next ones lead to preemption. An agent sees the claims of
all entries for its engine one after the other, and grants or refuses each at
once. Claims go by datagram: a lost one, or an agent that is gone, costs the
time limit for the reply, and the entry goes on by reports.
"""

import abc
from collections import abc as collections_abc
import itertools
import math
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import option_types
from gentianpoint_core.decisions import engine_urgency
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import engine_probes
from gentianpoint_entry.forwarding import missed_answers
from gentianpoint_entry.forwarding import patience
from gentianpoint_entry.forwarding import peer_datagrams
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import targets

__all__ = ("DatagramRoomClaims", "RoomClaims", "RoomReply", "find_urgency")

_TIMEOUT_S: typing.Final = 0.025
"""Seconds allowed for a reply, as for an engine's present state."""


class RoomReply(typing.NamedTuple):
    """An agent's reply to a claim."""

    is_granted: bool
    """True if the room is leased to the request."""
    opens_at: float = math.inf
    """When room is expected, on trio's clock; infinite if unknown."""


class RoomClaims(abc.ABC):
    """Claims room at targets."""

    @abc.abstractmethod
    async def claim(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> typing.Optional[RoomReply]:
        """Claim room for a request; None if no reply came.

        The target's state in the reply is applied to the target.
        """

    @abc.abstractmethod
    def give_back(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> None:
        """Give the room of a request back that is not sent after all.

        That may be lost; a lease that is not used ends by itself.
        """


class _Claim:
    """A claim, and its reply once it has come."""

    def __init__(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> None:
        self.target: typing.Final = target
        self.request: typing.Final = request
        self.reply: typing.Optional[RoomReply] = None
        self.replied: typing.Final = trio.Event()


class DatagramRoomClaims(RoomClaims):
    """Claims room by datagrams."""

    def __init__(
        self,
        datagrams: peer_datagrams.UdpDatagrams,
        find_agent: engine_probes.FindAgent,
        take_state: engine_probes.TakeState,
    ) -> None:
        """Send with ``datagrams``, and give states to ``take_state``."""
        self._datagrams: typing.Final = datagrams
        datagrams.add_handler("room_found", self._handle)
        self._find_agent: typing.Final = find_agent
        self._take_state: typing.Final = take_state
        self._numbers: typing.Final = itertools.count(1)
        self._claims: typing.Final[dict[int, _Claim]] = {}
        self._missed: typing.Final = missed_answers.MissedAnswers()

    async def claim(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> typing.Optional[RoomReply]:
        """Claim room at a target's agent; see the base class."""
        agent = self._find_agent(target)
        engine = request.service.engine
        if (
            agent is None
            or engine is None
            or not self._datagrams.is_open
            or self._missed.is_skipped(agent)
        ):
            return None
        number = next(self._numbers)
        claim = _Claim(target, request)
        self._claims[number] = claim
        self._datagrams.post(
            option_types.split_address(agent),
            {
                "type": "room_wanted",
                "claim": number,
                "request": request.request_id,
                "prompt_tokens": max(0, request.prompt_tokens),
                "most_tokens": max(0, request.most_output_tokens),
                "event_tokens": max(1, engine.event_tokens),
                "slots": max(1, engine.slots),
                "urgency": find_urgency(request),
            },
        )
        is_over = False
        try:
            await patience.wait_for(claim.replied, _TIMEOUT_S)
            is_over = True
        finally:
            del self._claims[number]
            if not is_over:
                # The request was cancelled, and the claim may be granted.
                self.give_back(target, request)
        self._missed.note(agent, was_missed=claim.reply is None)
        return claim.reply

    def give_back(
        self, target: targets.Target, request: requests.CallerRequest
    ) -> None:
        """Give a request's room back; see the base class."""
        agent = self._find_agent(target)
        if agent is not None:
            self._post_return(agent, request.request_id)

    def _post_return(self, agent: str, request_id: str) -> None:
        self._datagrams.post(
            option_types.split_address(agent),
            {"type": "room_returned", "request": request_id},
        )

    async def _handle(
        self,
        message: collections_abc.Mapping[str, typing.Any],
        sender: tuple[str, int],
    ) -> None:
        claim = self._claims.get(message["claim"])
        if claim is None or claim.reply is not None:
            return
        target = claim.target
        is_granted = message["granted"]
        opens_at = math.inf
        try:
            if message["opens_in_ms"] >= 0:
                now = trio.current_time()
                opens_at = now + message["opens_in_ms"] / 1000
            if message.get("target", target.target_id) != target.target_id:
                # Another start has the address, and what it leased is not
                # used.
                target.is_replaced = True
                if is_granted:
                    self.give_back(target, claim.request)
                is_granted = False
                opens_at = math.inf
            else:
                self._take_state(target, message["state"])
        except OverflowError as error:
            logs.log_event(
                events.MESSAGE_REFUSED,
                step="decode state",
                peer=sender[0],
                reason=str(error),
            )
        claim.reply = RoomReply(is_granted, opens_at)
        claim.replied.set()


def find_urgency(request: requests.CallerRequest) -> int:
    """Return the urgency that engines assume for a request."""
    if request.urgency is None:
        return engine_urgency.DEFAULT_URGENCY
    return request.urgency

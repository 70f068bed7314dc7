"""Orders to the engine: it shall hold what the service resource declares.

The task compares what the engine reports with what is declared, and puts
right what differs, whatever the reason: a new version, an engine that was
restarted, or an order of another agent that an engine took although it was
old. Before an order the target takes no new calls and those running end, so
that a load cuts nothing.
"""

import typing

import trio

from gentianpoint_agent import agent_state
from gentianpoint_agent import order_leases
from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events

__all__ = ("EngineOrders",)

_POLL_S: typing.Final = 0.1
_PAUSE_S: typing.Final = 0.5
_TAKE_EFFECT_MS: typing.Final = 3000
_REPLICAS_A_TURN: typing.Final = 4
"""Of this many replicas one loads at a time."""
_LOADING: typing.Final = "the target loads another version"


class _WantedState(typing.NamedTuple):
    """What an engine shall hold."""

    model: str
    adapter: str
    version: str


class EngineOrders:
    """Keeps one engine at what is declared."""

    def __init__(
        self,
        state: agent_state.AgentState,
        engine: ports.Engine,
        lease: order_leases.OrderLease,
        checks_fences: bool,
    ) -> None:
        """Order ``engine`` under ``lease``.

        ``checks_fences`` tells whether the engine refuses old numbers.
        """
        self._state: typing.Final = state
        self._engine: typing.Final = engine
        self._lease: typing.Final = lease
        self._checks_fences: typing.Final = checks_fences

    async def run(self) -> None:
        """Put the engine right until another agent holds the target."""
        await self._lease.claim()
        while not self._lease.superseded:
            wanted = await self._wait_difference()
            try:
                await self._lease.take_turn(self._count_turns)
                self._state.hold(_LOADING)
                await self._put_right(wanted)
                await self._lease.give_turn_back()
            except ports.PortError as error:
                logs.log_event(
                    events.ORDER_REFUSED,
                    step=error.step,
                    peer=error.peer,
                    reason=error.reason,
                    fence=self._lease.fence,
                )
                await trio.sleep(_PAUSE_S)
            finally:
                self._state.release_hold()
        logs.log_event(
            events.LEASE_LAPSED,
            target=self._state.settings.target,
            fence=self._lease.fence,
            reason="a later claim or a hole was found",
        )

    def _count_turns(self) -> int:
        return self._state.service.replicas // _REPLICAS_A_TURN

    def _find_difference(self) -> typing.Optional[_WantedState]:
        spec = self._state.service.spec
        load = self._state.control.load
        wanted = _WantedState(
            spec.get("model", ""),
            spec.get("adapter", ""),
            spec.get("version", ""),
        )
        if load is None or load.loading or not wanted.model:
            return None
        held = _WantedState(load.model, load.adapter, load.version)
        return None if held == wanted else wanted

    async def _wait_difference(self) -> _WantedState:
        while (wanted := self._find_difference()) is None:
            await trio.sleep(_POLL_S)
        return wanted

    async def _put_right(self, wanted: _WantedState) -> None:
        while self._state.table.list_running():
            await trio.sleep(_POLL_S)
        if not self._checks_fences:
            await self._lease.wait_old_ended()
        if not await self._lease.renew():
            return
        if self._find_difference() != wanted:
            return
        order = ports.EngineOrder(
            self._lease.fence,
            "load",
            wanted.model,
            wanted.adapter,
            wanted.version,
            "",
        )
        # A process that was paused since the renewal finds its lease past
        # here; its order would undo that of the next holder, which a caller
        # would notice as an answer of an old version.
        if not self._lease.is_held():
            logs.log_event(
                events.LEASE_LAPSED,
                target=self._state.settings.target,
                fence=self._lease.fence,
                reason="the lease ended before the order",
            )
            return
        await self._engine.send_order(order)
        logs.log_event(events.ORDER_SENT, **order._asdict())
        await self._wait_fulfilled(wanted)

    async def _wait_fulfilled(self, wanted: _WantedState) -> None:
        # Reports lag: for a while they show the state before the order.
        effect_by = deadlines.make_deadline(_TAKE_EFFECT_MS)
        while True:
            load = self._state.control.load
            if load is not None and self._find_difference() is None:
                if not load.loading:
                    logs.log_event(events.ORDER_FULFILLED, **wanted._asdict())
                    return
                effect_by = deadlines.make_deadline(_TAKE_EFFECT_MS)
            if effect_by.is_past():
                return
            await trio.sleep(_POLL_S)

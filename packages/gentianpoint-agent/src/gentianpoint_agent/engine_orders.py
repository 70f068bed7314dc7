"""Reconciles an engine with what its service resource declares.

A task compares the engine's load report with the declared state and sends an
order for any difference, whatever its cause: a new version, a service that is
to be unloaded, another role, a restarted engine, or an outdated order from
another agent that the engine accepted. Before an order the target stops
accepting calls and waits for the running ones to end, so that the order
interrupts none.
"""

from collections import abc
import functools
import typing

import trio

from gentianpoint_agent import agent_state
from gentianpoint_agent import desired_states
from gentianpoint_agent import order_leases
from gentianpoint_agent import order_stream
from gentianpoint_agent import order_turns
from gentianpoint_agent import weight_reads
from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events

__all__ = ("EngineReconciler",)

_POLL_S: typing.Final = 0.1
"""Interval at which the engine's state is checked, in seconds."""
_RETRY_DELAY_S: typing.Final = 0.5
"""Shortest delay after a failed order, in seconds."""
_POSTPONE_DELAY_S: typing.Final = 5.0
"""Time for which an order that could not drain is postponed, in seconds."""
_CLAIM_TIMEOUT_S: typing.Final = 2.0
"""Time to wait for the claim before the log counts as out, in seconds."""
_EFFECT_TIMEOUT_MS: typing.Final = 3000
"""Time in which an order must show in the load report, in milliseconds."""
_REPLICAS_PER_TURN: typing.Final = 4
"""Replicas of a service for each one that may carry out an order at a time."""
_SUSPENSION_REASONS: typing.Final[abc.Mapping[str, str]] = {
    desired_states.LOAD: "the target loads another version",
    desired_states.ROLE: "the target changes its role",
    desired_states.UNLOAD: "the service is declared unloaded",
}
"""Reason with which calls are refused during each kind of order."""
_NOTHING_LOADED: typing.Final = "the target has nothing loaded yet"
"""Reason with which calls are refused until the first load."""


class _PendingOrder(typing.NamedTuple):
    """An order that is needed, and the states it was derived from."""

    order: str
    desired: desired_states.DesiredState
    load: ports.EngineLoad

    def loads_empty_engine(self) -> bool:
        """Tell whether this is a load into an engine that holds no model."""
        return self.order == desired_states.LOAD and not self.load.model


class EngineReconciler:
    """Keeps one engine in its declared state."""

    def __init__(
        self,
        state: agent_state.AgentState,
        engine: ports.Engine,
        stream: order_stream.OrderStream,
        lease: order_leases.OrderLease,
        turns: order_turns.TurnClient,
        reads: weight_reads.WeightReads,
    ) -> None:
        """Send orders to ``engine`` under ``lease``.

        ``turns`` limits how many of the service's targets are out of
        service at a time.
        """
        self._state: typing.Final = state
        self._engine: typing.Final = engine
        self._stream: typing.Final = stream
        self._lease: typing.Final = lease
        self._turns: typing.Final = turns
        self._reads: typing.Final = reads
        settings = state.settings
        self._checks_fences: typing.Final = settings.fencing == "checked"

    async def run(self) -> None:
        """Reconcile the engine until another agent claims the target."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lease.claim)
            nursery.start_soon(self._stream.tail)
            nursery.start_soon(self._turns.keep_renewed)
            nursery.start_soon(self._reads.keep_turn_renewed)
            await self._reconcile_until_superseded()
            nursery.cancel_scope.cancel()
        logs.log_event(
            events.LEASE_LAPSED,
            target=self._state.settings.target,
            fence=self._lease.fence,
            reason="a later claim or a gap in the log was found",
        )

    async def _reconcile_until_superseded(self) -> None:
        while not self._lease.superseded:
            pending = self._find_pending_order()
            self._update_admission()
            if pending is None:
                await trio.sleep(_POLL_S)
                continue
            try:
                await self._carry_out(pending)
            except ports.PortError as error:
                self._log_failure(error)
                await trio.sleep(
                    max(_RETRY_DELAY_S, error.retry_after_ms / 1000)
                )
            finally:
                self._update_admission()
                await self._reads.release_turn()
                await self._turns.release()
        self._state.resume_admission()

    def _log_failure(self, error: ports.PortError) -> None:
        event = events.ORDER_REFUSED
        if isinstance(error, order_stream.LogUnavailableError):
            event = events.LOG_UNAVAILABLE
        elif error.step == "read weights":
            event = events.WEIGHTS_UNAVAILABLE
        logs.log_event(
            event,
            step=error.step,
            peer=error.peer,
            reason=error.reason,
            fence=self._lease.fence,
        )

    def _find_pending_order(self) -> typing.Optional[_PendingOrder]:
        load = self._state.control.load
        # The last report of an engine that died while loading still says
        # that it loads. Waiting for it would keep a turn that others need.
        if load is None or load.loading or self._state.is_report_stale():
            return None
        desired = self._state.service.get_desired_state()
        order = desired_states.choose_order(desired, load)
        return _PendingOrder(order, desired, load) if order else None

    def _is_still_wanted(self, pending: _PendingOrder) -> bool:
        current = (
            None if self._lease.superseded else self._find_pending_order()
        )
        return current is not None and current[:2] == pending[:2]

    def _update_admission(self) -> None:
        """Suspend admission while the engine would refuse or cut off calls."""
        load = self._state.control.load
        desired = self._state.service.get_desired_state()
        if desired.unloaded:
            self._state.suspend_admission(
                _SUSPENSION_REASONS[desired_states.UNLOAD]
            )
        elif load is not None and load.loading:
            # An order of an earlier run of this agent is still being carried
            # out; its effect would interrupt calls accepted now.
            self._state.suspend_admission(
                _SUSPENSION_REASONS[desired_states.LOAD]
            )
        elif desired.model and load is not None and not load.model:
            self._state.suspend_admission(_NOTHING_LOADED)
        else:
            self._state.resume_admission()

    async def _carry_out(self, pending: _PendingOrder) -> None:
        size = 0
        if pending.order == desired_states.LOAD:
            size = await self._reads.compute_load_size(
                pending.desired, pending.load
            )
        if pending.loads_empty_engine():
            await self._load_empty_engine(pending, size)
            return
        if not await self._wait_claimed():
            return
        is_wanted = functools.partial(self._is_still_wanted, pending)
        if (
            pending.order != desired_states.UNLOAD
            and not await self._turns.acquire(
                1, self._compute_turn_limit, is_wanted
            )
        ):
            return
        # The target keeps serving while others read; out of service, it
        # would only sit idle until its turn.
        if not await self._reads.wait_for_room(size, is_wanted):
            return
        self._state.suspend_admission(_SUSPENSION_REASONS[pending.order])
        if await self._drain(pending) and await self._reads.acquire_turn(
            size, is_wanted
        ):
            await self._send_under_lease(pending, size)

    async def _wait_claimed(self) -> bool:
        """Wait briefly for the claim; False while the log is out."""
        with trio.move_on_after(_CLAIM_TIMEOUT_S):
            await self._lease.wait_claimed()
        return self._lease.fence > 0

    def _compute_turn_limit(self) -> int:
        return self._state.service.replicas // _REPLICAS_PER_TURN

    async def _drain(self, pending: _PendingOrder) -> bool:
        """Wait until no call is running; False if that takes too long."""
        settings = self._state.settings
        drain_by = deadlines.make_deadline(settings.drain_within_ms)
        while self._state.table.list_running():
            if not self._is_still_wanted(pending):
                return False
            if drain_by.is_past():
                # A stream that never ends would keep the turn and so hold
                # all other targets at their old version, while this one
                # accepts no calls.
                logs.log_event(
                    events.ORDER_POSTPONED,
                    target=settings.target,
                    order=pending.order,
                    running=len(self._state.table.list_running()),
                )
                await self._postpone()
                return False
            await trio.sleep(_POLL_S)
        return True

    async def _postpone(self) -> None:
        self._update_admission()
        await self._turns.release()
        await trio.sleep(_POSTPONE_DELAY_S)

    async def _load_empty_engine(
        self, pending: _PendingOrder, size: int
    ) -> None:
        """Load into an engine that holds nothing, with or without the log."""
        is_wanted = functools.partial(self._is_still_wanted, pending)
        if not await self._wait_claimed():
            await self._load_without_turn(pending, size)
            return
        try:
            if await self._reads.acquire_turn(size, is_wanted):
                await self._send_under_lease(pending, size)
        except order_stream.LogUnavailableError:
            await self._load_without_turn(pending, size)

    async def _load_without_turn(
        self, pending: _PendingOrder, size: int
    ) -> None:
        """Load while the log can't be used.

        A replaced engine would otherwise be useless until the log is back.
        Loading into an empty engine interrupts nothing, and a later lease
        holder corrects what was loaded, so safety needs neither a turn nor a
        lease. Only the weight store's rate needs protection, which a random
        delay provides.
        """
        service = self._state.service
        await trio.sleep(self._reads.choose_delay_s(size, service.replicas))
        if not self._checks_fences:
            await self._lease.wait_previous_ended()
        if await self._stream.is_reachable():
            return
        if self._is_still_wanted(pending):
            logs.log_event(
                events.LOADED_WITHOUT_TURN,
                target=self._state.settings.target,
                size=size,
            )
            await self._send(pending)

    async def _send_under_lease(
        self, pending: _PendingOrder, size: int
    ) -> None:
        if not self._checks_fences:
            await self._lease.wait_previous_ended()
        if not await self._lease.renew():
            return
        if not self._is_still_wanted(pending):
            return
        # A process that was paused since the renewal finds its lease or its
        # turn expired here. Its order would undo that of the next holder, so
        # that callers get answers of an old version, or add a read beyond
        # the weight store's rate.
        if not self._lease.is_held() or not self._reads.holds_turn(size):
            logs.log_event(
                events.LEASE_LAPSED,
                target=self._state.settings.target,
                fence=self._lease.fence,
                reason="the lease or the turn ended before the order was sent",
            )
            return
        await self._send(pending)

    async def _send(self, pending: _PendingOrder) -> None:
        desired = pending.desired
        order = ports.EngineOrder(
            self._lease.fence,
            pending.order,
            desired.model,
            desired.adapter,
            desired.version,
            desired.role,
        )
        try:
            await self._engine.send_order(order)
        except ports.PortError as error:
            if not error.took_effect:
                raise
            # The engine may be carrying out the order. Calls accepted now
            # would be cut off with the old model, so wait all the same.
            logs.log_event(
                events.ORDER_ANSWER_LOST,
                step=error.step,
                peer=error.peer,
                reason=error.reason,
                fence=order.fence,
            )
        else:
            logs.log_event(events.ORDER_SENT, **order._asdict())
        await self._wait_fulfilled(pending)

    async def _wait_fulfilled(self, pending: _PendingOrder) -> None:
        # Reports lag: for a while they still show the state before the order.
        effect_by = deadlines.make_deadline(_EFFECT_TIMEOUT_MS)
        while not self._state.is_report_stale() and not effect_by.is_past():
            await trio.sleep(_POLL_S)
            load = self._state.control.load
            if load is None or load.loading:
                effect_by = deadlines.make_deadline(_EFFECT_TIMEOUT_MS)
            elif (
                desired_states.choose_order(pending.desired, load)
                != pending.order
            ):
                logs.log_event(
                    events.ORDER_FULFILLED,
                    order=pending.order,
                    **pending.desired._asdict(),
                )
                return

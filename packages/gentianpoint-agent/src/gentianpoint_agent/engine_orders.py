"""Orders to the engine: it shall hold what the service resource declares.

The task compares what the engine reports with what is declared, and puts
right what differs, whatever the reason: a new version, a service that is to
be unloaded, another role, an engine that was restarted, or an order of
another agent that an engine took although it was old. Before an order the
target takes no new calls and those running end, so that it cuts nothing.
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

__all__ = ("EngineOrders",)

_POLL_S: typing.Final = 0.1
_PAUSE_S: typing.Final = 0.5
_POSTPONE_S: typing.Final = 5.0
_CLAIM_WITHIN_S: typing.Final = 2.0
_TAKE_EFFECT_MS: typing.Final = 3000
_REPLICAS_A_TURN: typing.Final = 4
"""Of this many replicas one may be away for an order at a time."""
_HOLDS: typing.Final[abc.Mapping[str, str]] = {
    desired_states.LOAD: "the target loads another version",
    desired_states.ROLE: "the target changes its role",
    desired_states.UNLOAD: "the service is declared unloaded",
}
_EMPTY: typing.Final = "the target has nothing loaded yet"


class _Task(typing.NamedTuple):
    """One order that is needed, and for what."""

    order: str
    wanted: desired_states.DesiredState
    load: ports.EngineLoad

    def is_first_load(self) -> bool:
        """Tell whether the engine is of no use until it is done."""
        return self.order == desired_states.LOAD and not self.load.model


class EngineOrders:
    """Keeps one engine at what is declared."""

    def __init__(
        self,
        state: agent_state.AgentState,
        engine: ports.Engine,
        stream: order_stream.OrderStream,
        lease: order_leases.OrderLease,
        turns: order_turns.TurnClient,
        reads: weight_reads.WeightReads,
    ) -> None:
        """Order ``engine`` under ``lease``.

        ``turns`` are those of the service's targets to be away.
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
        """Put the engine right until another agent holds the target."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lease.claim)
            nursery.start_soon(self._stream.tail)
            nursery.start_soon(self._turns.keep_renewed)
            nursery.start_soon(self._reads.keep_turn_up)
            await self._order_until_superseded()
            nursery.cancel_scope.cancel()
        logs.log_event(
            events.LEASE_LAPSED,
            target=self._state.settings.target,
            fence=self._lease.fence,
            reason="a later claim or a hole was found",
        )

    async def _order_until_superseded(self) -> None:
        while not self._lease.superseded:
            task = self._find_task()
            self._hold_if_useless()
            if task is None:
                await trio.sleep(_POLL_S)
                continue
            try:
                await self._put_right(task)
            except ports.PortError as error:
                self._log_refusal(error)
                await trio.sleep(max(_PAUSE_S, error.retry_after_ms / 1000))
            finally:
                self._hold_if_useless()
                await self._reads.give_turn_back()
                await self._turns.release()
        self._state.release_hold()

    def _log_refusal(self, error: ports.PortError) -> None:
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

    def _find_task(self) -> typing.Optional[_Task]:
        load = self._state.control.load
        # An engine that died while it loaded would be waited for, with a
        # turn that others need, by what it last reported.
        if load is None or load.loading or self._state.is_report_stale():
            return None
        wanted = self._state.service.get_desired_state()
        order = desired_states.choose_order(wanted, load)
        return _Task(order, wanted, load) if order else None

    def _is_still_wanted(self, task: _Task) -> bool:
        found = None if self._lease.superseded else self._find_task()
        return found is not None and found[:2] == task[:2]

    def _hold_if_useless(self) -> None:
        """Refuse calls at once that the engine would refuse or cut."""
        load = self._state.control.load
        wanted = self._state.service.get_desired_state()
        if wanted.unloaded:
            self._state.hold(_HOLDS[desired_states.UNLOAD])
        elif load is not None and load.loading:
            # An earlier run of this agent gave an order that is still being
            # carried out; calls taken now would be cut by its effect.
            self._state.hold(_HOLDS[desired_states.LOAD])
        elif wanted.model and load is not None and not load.model:
            self._state.hold(_EMPTY)
        else:
            self._state.release_hold()

    async def _put_right(self, task: _Task) -> None:
        size = 0
        if task.order == desired_states.LOAD:
            size = await self._reads.measure(task.wanted, task.load)
        if task.is_first_load():
            await self._load_first(task, size)
            return
        if not await self._has_claim():
            return
        is_wanted = functools.partial(self._is_still_wanted, task)
        if (
            task.order != desired_states.UNLOAD
            and not await self._turns.acquire(1, self._count_turns, is_wanted)
        ):
            return
        # The target serves while others read: away, it would wait for its
        # turn with nothing to do.
        if not await self._reads.wait_room(size, is_wanted):
            return
        self._state.hold(_HOLDS[task.order])
        if await self._drain(task) and await self._reads.take_turn(
            size, is_wanted
        ):
            await self._send_under_lease(task, size)

    async def _has_claim(self) -> bool:
        """Wait a moment for the claim; False while the log is out."""
        with trio.move_on_after(_CLAIM_WITHIN_S):
            await self._lease.wait_claimed()
        return self._lease.fence > 0

    def _count_turns(self) -> int:
        return self._state.service.replicas // _REPLICAS_A_TURN

    async def _drain(self, task: _Task) -> bool:
        """Wait until no call runs; False when that takes too long."""
        settings = self._state.settings
        drain_by = deadlines.make_deadline(settings.drain_within_ms)
        while self._state.table.list_running():
            if not self._is_still_wanted(task):
                return False
            if drain_by.is_past():
                # A stream without an end would keep the turn, and with it
                # all targets at their old version, while nothing new is
                # taken here.
                logs.log_event(
                    events.ORDER_POSTPONED,
                    target=settings.target,
                    order=task.order,
                    running=len(self._state.table.list_running()),
                )
                await self._serve_on()
                return False
            await trio.sleep(_POLL_S)
        return True

    async def _serve_on(self) -> None:
        self._hold_if_useless()
        await self._turns.release()
        await trio.sleep(_POSTPONE_S)

    async def _load_first(self, task: _Task, size: int) -> None:
        """Load into an engine that holds nothing, also without the log."""
        is_wanted = functools.partial(self._is_still_wanted, task)
        if not await self._has_claim():
            await self._load_without_turn(task, size)
            return
        try:
            if await self._reads.take_turn(size, is_wanted):
                await self._send_under_lease(task, size)
        except order_stream.LogUnavailableError:
            await self._load_without_turn(task, size)

    async def _load_without_turn(self, task: _Task, size: int) -> None:
        """Load while the log can't be used.

        A replaced engine would else be of no use until the log is back. What
        is loaded into an empty engine takes nothing away, and a later holder
        puts it right; so neither a turn nor a lease is needed for safety,
        only for the weight store's rate, which a random wait spares.
        """
        service = self._state.service
        await trio.sleep(self._reads.choose_wait_s(size, service.replicas))
        if not self._checks_fences:
            await self._lease.wait_old_ended()
        if await self._stream.is_reachable():
            return
        if self._is_still_wanted(task):
            logs.log_event(
                events.LOADED_WITHOUT_TURN,
                target=self._state.settings.target,
                size=size,
            )
            await self._send(task)

    async def _send_under_lease(self, task: _Task, size: int) -> None:
        if not self._checks_fences:
            await self._lease.wait_old_ended()
        if not await self._lease.renew():
            return
        if not self._is_still_wanted(task):
            return
        # A process that was paused since the renewal finds its lease past
        # here, or its turn; its order would undo that of the next holder,
        # which a caller would notice as an answer of an old version, or be
        # one read too many for the weight store.
        if not self._lease.is_held() or not self._reads.may_read(size):
            logs.log_event(
                events.LEASE_LAPSED,
                target=self._state.settings.target,
                fence=self._lease.fence,
                reason="the lease or the turn ended before the order",
            )
            return
        await self._send(task)

    async def _send(self, task: _Task) -> None:
        wanted = task.wanted
        order = ports.EngineOrder(
            self._lease.fence,
            task.order,
            wanted.model,
            wanted.adapter,
            wanted.version,
            wanted.role,
        )
        try:
            await self._engine.send_order(order)
        except ports.PortError as error:
            if not error.took_effect:
                raise
            # The engine may be carrying the order out. Calls taken now would
            # die with the old model, so it is waited for all the same.
            logs.log_event(
                events.ORDER_ANSWER_LOST,
                step=error.step,
                peer=error.peer,
                reason=error.reason,
                fence=order.fence,
            )
        else:
            logs.log_event(events.ORDER_SENT, **order._asdict())
        await self._wait_fulfilled(task)

    async def _wait_fulfilled(self, task: _Task) -> None:
        # Reports lag: for a while they show the state before the order.
        effect_by = deadlines.make_deadline(_TAKE_EFFECT_MS)
        while not self._state.is_report_stale() and not effect_by.is_past():
            await trio.sleep(_POLL_S)
            load = self._state.control.load
            if load is None or load.loading:
                effect_by = deadlines.make_deadline(_TAKE_EFFECT_MS)
            elif desired_states.choose_order(task.wanted, load) != task.order:
                logs.log_event(
                    events.ORDER_FULFILLED,
                    order=task.order,
                    **task.wanted._asdict(),
                )
                return

"""Engines that come and go, and what entries are told of them."""

from collections import abc
import random
import typing

import trio

from bench.replay import engine
from bench.replay import engine_statuses
from bench.replay import shapes
from bench.replay import slowness
from gentianpoint_agent import move_turns
from gentianpoint_core import deadlines
from gentianpoint_core import peer_connections
from gentianpoint_entry.forwarding import agent_turns
from gentianpoint_entry.forwarding import engine_probes
from gentianpoint_entry.forwarding import targets

__all__ = ("SERVICE", "Fleet", "FleetProbes", "make_report")

SERVICE: typing.Final = "engines"
_REPORT_S: typing.Final = 0.1
"""Time between two looks of an agent at its engine."""
_PROBE_S: typing.Final = 0.003
"""Time until agents have answered what their engines' states are."""
_EVACUATION_KNOWN_S: typing.Final = 0.1
"""Time until all entries know of an evacuation, or of its end."""
_UNLISTED_S: typing.Final = 1.0
"""Time until an engine that has gone leaves the list."""


class _TurnConnection:
    """An entry's connection to an agent, as far as turns need one."""

    def __init__(
        self, turns: move_turns.MoveTurns, item: engine.Engine
    ) -> None:
        self._turns: typing.Final = turns
        self._engine: typing.Final = item
        send, receive = trio.open_memory_channel[str](1000)
        self._given: typing.Final = send
        self.given: typing.Final = receive

    async def send(self, message: abc.Mapping[str, typing.Any]) -> None:
        """Take what an entry asks of the agent."""
        await trio.sleep(0.001)
        request = message["request"]
        if message["type"] == "move_done":
            self._turns.release_turn(request)
            return
        self._engine.room.note_move(request)
        self._turns.request_turn(
            move_turns.MoveRequest(request, message["tokens"], self._given)
        )


class FleetProbes(engine_probes.EngineProbes):
    """Asks the agents of one entry's targets for their present states."""

    def __init__(self, engines: abc.Mapping[str, engine.Engine]) -> None:
        """Ask for the states of ``engines``, by their addresses."""
        self._engines: typing.Final = engines

    async def refresh(
        self, chosen: abc.Sequence[targets.Target]
    ) -> abc.Collection[targets.Target]:
        """Apply the present states after the time that answers take."""
        await trio.sleep(_PROBE_S)
        found = []
        for target in chosen:
            item = self._engines[target.entry.address]
            if not item.is_gone:
                target.take_report(make_report(item))
                found.append(target)
        return found


class Fleet:
    """The engines of one replay, and the registries of its entries."""

    def __init__(
        self,
        load: shapes.Load,
        costs: shapes.EngineCosts,
        source: random.Random,
        nursery: trio.Nursery,
    ) -> None:
        """Start without engines."""
        self.engines: typing.Final[dict[str, engine.Engine]] = {}
        self.registries: typing.Final = [
            targets.TargetRegistry() for _ in range(load.entries)
        ]
        self.crashed = 0
        self._began: typing.Final = trio.current_time()
        self._load: typing.Final = load
        self._costs: typing.Final = costs
        self._source: typing.Final = source
        self._nursery: typing.Final = nursery

    async def run(self) -> None:
        """Start the engines, and let them come and go for ever."""
        for number in range(self._load.engines):
            is_slow = number < self._load.slow_engines
            factor = self._load.slow_factor if is_slow else 1.0
            self._start_engine(factor, known_after_s=0.0)
        if self._load.gone_at >= 0:
            self._nursery.start_soon(self._lose_half)
        if self._load.evacuated_at >= 0:
            self._nursery.start_soon(self._evacuate)
        if self._load.crashes.killed_every_s:
            self._nursery.start_soon(self._kill_for_ever)
        leaving = self._load.leaving
        if not leaving.every_s:
            return
        await trio.sleep(leaving.first_at)
        while True:
            for _ in range(leaving.at_once):
                self._nursery.start_soon(self._replace_one)
            await trio.sleep(leaving.every_s)

    async def _lose_half(self) -> None:
        await trio.sleep(self._load.gone_at)
        here = [item for item in self.engines.values() if not item.is_gone]
        for item in here[: len(here) // 2]:
            self._nursery.start_soon(self._take_away, item)

    async def _evacuate(self) -> None:
        await trio.sleep(self._load.evacuated_at + _EVACUATION_KNOWN_S)
        self._set_evacuated(("centre-0",))
        await trio.sleep(self._load.evacuated_for_s)
        self._set_evacuated(())

    def _set_evacuated(self, data_centres: abc.Collection[str]) -> None:
        for registry in self.registries:
            registry.set_evacuated(data_centres, trio.current_time())

    async def _kill_for_ever(self) -> None:
        while True:
            await trio.sleep(self._load.crashes.killed_every_s)
            here = [item for item in self.engines.values() if not item.is_gone]
            if here:
                self._source.choice(here).go()

    async def _replace_when_crashed(self, item: engine.Engine) -> None:
        """Take an engine that ended without notice off the list."""
        await item.ended.wait()
        if item.leaves_at < 1e9:
            return
        self.crashed += 1
        await trio.sleep(_UNLISTED_S)
        for registry in self.registries:
            registry.drop(item.name)
        await trio.sleep(self._load.crashes.back_s - _UNLISTED_S)
        self._start_engine(1.0, known_after_s=0.0)

    async def _replace_one(self) -> None:
        leaving = self._load.leaving
        staying = [
            item
            for item in self.engines.values()
            if not item.is_gone and item.leaves_at > 1e9
        ]
        if staying:
            chosen = self._source.choice(staying)
            now = trio.current_time()
            chosen.leaves_at = now + self._source.uniform(*leaving.notice_s)
            self._nursery.start_soon(self._take_away_at, chosen)
        await trio.sleep(leaving.replaced_after_s)
        self._start_engine(1.0, self._source.uniform(*leaving.known_after_s))

    async def _take_away_at(self, item: engine.Engine) -> None:
        await trio.sleep_until(item.leaves_at)
        await self._take_away(item)

    async def _take_away(self, item: engine.Engine) -> None:
        item.go()
        await trio.sleep(_UNLISTED_S)
        for registry in self.registries:
            registry.drop(item.name)

    def _make_slowness(self, number: int, factor: float) -> slowness.Slowness:
        load = self._load
        # Dealt within each data centre, so that no data centre is slow as a
        # whole where there are as many speeds as data centres.
        place = number // load.data_centres % len(load.speeds)
        # Of all engines that are like this, each data centre has its part.
        every = load.nearly_full.every
        is_like_this = every and number // load.data_centres % every == 0
        phases = load.slow_phases
        offset_s = 0.0
        if phases.share:
            period_s = phases.length_s / phases.share
            offset_s = self._source.uniform(0.0, period_s)
        return slowness.Slowness(
            factor=factor * load.speeds[place],
            later_factor=factor * load.speeds[-1 - place],
            swapped_at=self._began + load.swapped_at,
            phases=phases,
            phase_offset_s=offset_s,
            full_share=load.nearly_full.used_share if is_like_this else 2.0,
            full_factor=load.nearly_full.factor,
        )

    def _start_engine(self, factor: float, known_after_s: float) -> None:
        number = len(self.engines)
        centre = f"centre-{number % self._load.data_centres}"
        address = f"10.0.{number // 250}.{number % 250}:1"
        item = engine.Engine(
            f"engine-{number}",
            centre,
            self._costs,
            self._make_slowness(number, factor),
        )
        self.engines[address] = item
        self._nursery.start_soon(item.run)
        if self._load.crashes != shapes.Crashes():
            self._nursery.start_soon(self._replace_when_crashed, item)
        self._nursery.start_soon(
            self._list_engine, item, address, known_after_s
        )

    async def _list_engine(
        self, item: engine.Engine, address: str, known_after_s: float
    ) -> None:
        await trio.sleep(known_after_s)
        turns = move_turns.MoveTurns()
        entry = targets.TargetEntry(
            target_id=item.name,
            service=SERVICE,
            address=address,
            data_centre=item.data_centre,
            slots=self._costs.slots,
            is_leaving=False,
            cold_left_ms=0.0,
            started_ms=1,
            software="v1",
        )
        seen = []
        for registry in self.registries:
            target = registry.put_entry(entry, trio.current_time())
            self._connect_turns(target, turns, item)
            seen.append(target)
        await self._report(item, seen, turns)

    def _connect_turns(
        self,
        target: targets.Target,
        turns: move_turns.MoveTurns,
        item: engine.Engine,
    ) -> None:
        connection = _TurnConnection(turns, item)
        target.turns = agent_turns.AgentTurns(
            typing.cast(peer_connections.PeerConnection, connection)
        )
        self._nursery.start_soon(target.turns.send_messages)
        self._nursery.start_soon(_pass_turns, connection, target.turns)

    async def _report(
        self,
        item: engine.Engine,
        seen: abc.Sequence[targets.Target],
        turns: move_turns.MoveTurns,
    ) -> None:
        is_noticed = False
        while not item.is_gone:
            turns.grant_next()
            now = trio.current_time()
            status = engine_statuses.make_status(item)
            item.pace.note_status(status, now)
            if self._load.controls_room:
                item.room.note_status(status, now)
            report = make_report(item)
            self._nursery.start_soon(self._deliver, report, seen)
            if report.is_leaving and not is_noticed:
                is_noticed = True
                self._nursery.start_soon(self._note_notice)
            await trio.sleep(_REPORT_S)

    async def _deliver(
        self,
        report: targets.EngineReport,
        seen: abc.Sequence[targets.Target],
    ) -> None:
        await trio.sleep(self._load.report_lag_s)
        for registry, target in zip(self.registries, seen, strict=True):
            if self._load.controls_room and _is_older(report, target.report):
                continue
            target.take_report(report)
            registry.note_report(target)

    async def _note_notice(self) -> None:
        noticed_at = trio.current_time()
        await trio.sleep(self._load.report_lag_s)
        for registry in self.registries:
            registry.note_leaving_notice(noticed_at)


async def _pass_turns(
    connection: _TurnConnection, turns: agent_turns.AgentTurns
) -> None:
    async for request in connection.given:
        turns.mark_granted(request)


def make_report(item: engine.Engine) -> targets.EngineReport:
    """Return what an agent reports of its engine now."""
    is_leaving = item.leaves_at < 1e9
    pace = item.pace.measure(trio.current_time())
    return targets.EngineReport(
        sampled_at=trio.current_time(),
        running=len(item.batch),
        waiting=len(item.waiting),
        used_tokens=item.used_tokens,
        total_tokens=item.costs.memory_tokens,
        is_leaving=is_leaving,
        leaves_at=deadlines.Deadline(item.leaves_at) if is_leaving else None,
        is_silent=False,
        pending_prefill_tokens=_count_unread(item),
        step_us=pace.step_us,
        prefill_us_per_k=pace.prefill_us_per_k,
    )


def _is_older(
    report: targets.EngineReport,
    known: typing.Optional[targets.EngineReport],
) -> bool:
    return known is not None and report.sampled_at < known.sampled_at


def _count_unread(item: engine.Engine) -> int:
    """Return what an agent would tell: prompts under way count whole."""
    return sum(
        work.all_tokens
        for work in [*item.batch, *item.waiting]
        if not work.is_running
    )

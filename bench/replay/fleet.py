"""Engines that come and go, and what entries are told of them."""

from collections import abc
import random
import typing

import trio

from bench.replay import engine
from bench.replay import shapes
from gentianpoint_agent import move_turns
from gentianpoint_core import deadlines
from gentianpoint_core import peer_connections
from gentianpoint_core import ports
from gentianpoint_entry.forwarding import agent_turns
from gentianpoint_entry.forwarding import engine_probes
from gentianpoint_entry.forwarding import targets

__all__ = ("SERVICE", "Fleet", "FleetProbes")

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

    def __init__(self, turns: move_turns.MoveTurns) -> None:
        self._turns: typing.Final = turns
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
                target.take_report(_make_report(item))
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
        self._load: typing.Final = load
        self._costs: typing.Final = costs
        self._source: typing.Final = source
        self._nursery: typing.Final = nursery

    async def run(self) -> None:
        """Start the engines, and let them come and go for ever."""
        for number in range(self._load.engines):
            is_slow = number < self._load.slow_engines
            slowness = self._load.slow_factor if is_slow else 1.0
            if self._load.speeds:
                slowness = self._load.speeds[number % len(self._load.speeds)]
            self._start_engine(slowness, known_after_s=0.0)
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

    def _start_engine(self, slowness: float, known_after_s: float) -> None:
        number = len(self.engines)
        centre = f"centre-{number % self._load.data_centres}"
        address = f"10.0.{number // 250}.{number % 250}:1"
        item = engine.Engine(f"engine-{number}", centre, self._costs, slowness)
        self.engines[address] = item
        self._nursery.start_soon(item.run)
        if self._load.slow_phases.share:
            source = random.Random(number)
            self._nursery.start_soon(self._slow_down, item, source)
        if self._load.crashes != shapes.Crashes():
            self._nursery.start_soon(self._replace_when_crashed, item)
        self._nursery.start_soon(
            self._list_engine, item, address, known_after_s
        )

    async def _slow_down(
        self, item: engine.Engine, source: random.Random
    ) -> None:
        """Let an engine have its phases of slowness, for ever."""
        phases = self._load.slow_phases
        usual = item.slowness
        between_s = phases.length_s * (1 / phases.share - 1)
        while not item.is_gone:
            await trio.sleep(source.expovariate(1 / between_s))
            item.slowness = usual * phases.factor
            await trio.sleep(phases.length_s)
            item.slowness = usual

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
            self._connect_turns(target, turns)
            seen.append(target)
        await self._report(item, seen, turns)

    def _connect_turns(
        self, target: targets.Target, turns: move_turns.MoveTurns
    ) -> None:
        connection = _TurnConnection(turns)
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
            item.pace.note_status(_make_status(item), trio.current_time())
            report = _make_report(item)
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
        for target in seen:
            target.take_report(report)

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


def _make_report(item: engine.Engine) -> targets.EngineReport:
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


def _make_status(item: engine.Engine) -> ports.EngineStatus:
    """Return the status that an agent reads, as far as paces need it.

    An engine works on one prompt at a time, which has its memory as a whole
    from the beginning, and lists a generation once that has an event.
    """
    generating = [
        work
        for work in item.batch
        if work.is_running and work.made_tokens >= item.costs.event_tokens
    ]
    reading = [work for work in item.batch if not work.is_running]
    in_progress = len(item.batch) - max(0, len(reading) - 1)
    waiting = [*reading[1:], *item.waiting]
    generating_tokens = sum(work.tokens for work in generating)
    unfinished_tokens = sum(
        work.all_tokens
        for work in item.batch
        if work not in generating and work not in reading[1:]
    )
    return ports.EngineStatus(
        running=in_progress,
        waiting=len(waiting),
        used_tokens=generating_tokens + unfinished_tokens,
        total_tokens=item.costs.memory_tokens,
        copy_tokens=0,
        next_prompt_tokens=waiting[0].all_tokens if waiting else 0,
        generating=len(generating),
        generating_tokens=generating_tokens,
        born_ms=1,
        is_leaving=item.leaves_at < 1e9,
        leaves_in_ms=None,
        runs=tuple(
            ports.EngineRun(
                work.generation.request_id,
                work.tokens,
                work.made_tokens // item.costs.event_tokens,
                5,
            )
            for work in generating
        ),
    )


def _count_unread(item: engine.Engine) -> int:
    """Return what an agent would tell: prompts under way count whole."""
    return sum(
        work.all_tokens
        for work in [*item.batch, *item.waiting]
        if not work.is_running
    )

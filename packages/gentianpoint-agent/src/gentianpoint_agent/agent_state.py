"""What the tasks of one agent share."""

import abc
import typing

import trio

from gentianpoint_agent import admission
from gentianpoint_agent import applied_service
from gentianpoint_agent import cached_prefixes
from gentianpoint_agent import call_runner
from gentianpoint_agent import generation_table
from gentianpoint_agent import generations
from gentianpoint_agent import lifecycle
from gentianpoint_agent.generated import settings as agent_settings
from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_core.generated import messages

__all__ = ("AgentState", "OpenConnection")


class OpenConnection(abc.ABC):
    """A connection of an entry, as the other tasks see it."""

    told_leaving: bool
    """True once the entry was told that the agent takes no new work."""

    @abc.abstractmethod
    def is_of(self, incarnation: str) -> bool:
        """Tell whether the connection is of a run of an entry."""

    @abc.abstractmethod
    async def end(self) -> None:
        """End the connection and wait until nothing of it is read."""


_PREFIXES_REPORTED: typing.Final = 64
_REPORT_LASTS_MS: typing.Final = 5000


class AgentState:
    """The table of generations, the service in force and the calls."""

    def __init__(
        self,
        settings: agent_settings.AgentSettings,
        nursery: trio.Nursery,
        control: admission.AdmissionControl,
        runner: call_runner.CallRunner,
        service: applied_service.AppliedService,
    ) -> None:
        """Run calls in ``nursery`` by ``runner``."""
        self.settings: typing.Final = settings
        self.table: typing.Final = generation_table.GenerationTable(
            settings.target,
            settings.retain_ms,
            settings.retain_bytes,
            settings.peer_key,
        )
        self.lifecycle: typing.Final = lifecycle.Lifecycle()
        self.service: typing.Final = service
        self.control: typing.Final = control
        self.connections: typing.Final[set[OpenConnection]] = set()
        self.prefixes: typing.Final = cached_prefixes.CachedPrefixes()
        self.hold_reason = ""
        self._report_until = deadlines.Deadline(0.0)
        self._nursery: typing.Final = nursery
        self._runner: typing.Final = runner

    def is_plain(self) -> bool:
        """Tell whether the target is a plain service."""
        return self.settings.target_kind == "plain"

    def hold(self, reason: str) -> None:
        """Take no new calls until the hold is released."""
        self.hold_reason = reason

    def release_hold(self) -> None:
        """Take new calls again."""
        self.hold_reason = ""

    def note_report(self, load: ports.EngineLoad) -> None:
        """Take a load report of the engine."""
        self._report_until = deadlines.make_deadline(_REPORT_LASTS_MS)
        self.control.note_load(load)

    def is_report_stale(self) -> bool:
        """Tell whether the engine has not reported for a while."""
        return self._report_until.is_past()

    def start_call(
        self,
        generation: generations.Generation,
        order: call_runner.StartOrder,
    ) -> None:
        """Run a call in a task of its own."""
        self._nursery.start_soon(self._run_call, generation, order)

    async def _run_call(
        self,
        generation: generations.Generation,
        order: call_runner.StartOrder,
    ) -> None:
        await self._runner.run(generation, order)
        self.table.retire(generation)

    def adopt_call(
        self, identifier: str, customer: str = generations.UNKNOWN_CUSTOMER
    ) -> typing.Optional[generations.Generation]:
        """Read on at the target what an earlier run of the agent started.

        None when it is not for this agent, or not the customer's. Nothing is
        started: when the target does not know it, its outcome is unknown.
        """
        generation = self.table.adopt(identifier, self.is_plain(), customer)
        if generation is None:
            return None
        logs.log_event(
            events.GENERATION_ADOPTED,
            generation=identifier,
            listed=generation.found,
        )
        self._nursery.start_soon(self._run_adopted, generation)
        return generation

    async def _run_adopted(self, generation: generations.Generation) -> None:
        await self._runner.run_adopted(generation)
        self.table.retire(generation)

    def is_drained(self) -> bool:
        """Tell whether all calls are delivered and entries know the end."""
        if self.table.list_running() or self.table.has_unread():
            return False
        return all(row.told_leaving for row in self.connections)

    def make_report(self) -> messages.Report:
        """Return the load as entries are told it."""
        load = self.control.load
        used = load.blocks_used / load.blocks if load and load.blocks else 0.0
        predicted = self.control.predict_memory()
        return {
            "type": "report",
            "running": self.control.count_running(),
            "queued": self.control.count_queued(),
            "memory_used": used,
            "memory_predicted": used if predicted is None else predicted,
            "pace_ms": self.control.read_pace_ms(),
            "queue_wait_ms": self.control.predict_wait_ms(),
            "age_ms": load.age_ms if load else 0,
            "prefixes": self.prefixes.list_recent(_PREFIXES_REPORTED),
        }

    def abandon_orphans(self) -> None:
        """Cancel generations that nobody has read for too long.

        A generation that may run only once goes on: its work is billed, and
        its customer can still fetch it. So does an adopted one, of which
        nobody here knows whether it may be repeated, and one that another
        run of the agent may read.
        """
        for generation in self.table.list_running():
            if generation.shared or not generation.repeatable:
                continue
            if generation.abandon_at.is_past():
                logs.log_event(
                    events.GENERATION_ABANDONED,
                    generation=generation.identifier,
                    repeatable=generation.repeatable,
                )
                generation.cancel()

    def note_pause(self) -> None:
        """Leave the streams of before a long pause to run to their ends.

        Entries gave this run up while it was paused, and a later run may
        have adopted its streams. They look like orphans here; cancelled as
        such, their callers would see a stream break off that the later run
        is delivering.
        """
        for generation in self.table.list_running():
            generation.shared = True

"""State shared by the tasks of one agent."""

import abc
import typing

import trio

from gentianpoint_agent import admission
from gentianpoint_agent import applied_service
from gentianpoint_agent import cached_prefixes
from gentianpoint_agent import call_runner
from gentianpoint_agent import evacuation_notice
from gentianpoint_agent import generation_table
from gentianpoint_agent import generations
from gentianpoint_agent import lifecycle
from gentianpoint_agent.generated import settings as agent_settings
from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_core.generated import messages

__all__ = ("EVACUATED_REASON", "AgentState", "OpenConnection")


class OpenConnection(abc.ABC):
    """A connection from an entry, as seen by the agent's other tasks."""

    leaving_sent: bool
    """True once the entry was notified that the agent is leaving."""

    @abc.abstractmethod
    def belongs_to(self, incarnation: str) -> bool:
        """Tell whether the connection is from this run of an entry."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connection and wait until nothing more is read."""


EVACUATED_REASON: typing.Final = "the data centre is evacuated"
"""Reason of refusals while the agent's data centre is evacuated."""
_MAX_REPORTED_PREFIXES: typing.Final = 64
"""Most cached prefixes in one report to entries."""
_REPORT_VALID_MS: typing.Final = 5000
"""Time until the engine's last load report is stale, in milliseconds."""


class AgentState:
    """The agent's generations, its service, and the tasks of its calls."""

    def __init__(
        self,
        settings: agent_settings.AgentSettings,
        nursery: trio.Nursery,
        control: admission.AdmissionControl,
        runner: call_runner.CallRunner,
        service: applied_service.AppliedService,
    ) -> None:
        """Run calls in ``nursery`` with ``runner``."""
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
        self.suspension_reason = ""
        self.evacuation: typing.Final = evacuation_notice.EvacuationNotice(
            settings.data_centre
        )
        self._report_valid_until = deadlines.Deadline(0.0)
        self._nursery: typing.Final = nursery
        self._runner: typing.Final = runner

    def is_plain(self) -> bool:
        """Tell whether the target is a plain service."""
        return self.settings.target_kind == "plain"

    def suspend_admission(self, reason: str) -> None:
        """Accept no new calls until admission is resumed."""
        self.suspension_reason = reason

    def resume_admission(self) -> None:
        """Accept new calls again."""
        self.suspension_reason = ""

    def apply_evacuation(self, message: messages.Configure) -> None:
        """Apply an entry's word on whether this data centre is evacuated.

        Calls that wait here are refused, so that entries can place them in
        other data centres. Calls that run are finished.
        """
        if self.evacuation.apply(message) and self.evacuation.is_evacuated:
            self.control.refuse_waiting(EVACUATED_REASON)

    def record_report(self, load: ports.EngineLoad) -> None:
        """Store a load report of the engine."""
        self._report_valid_until = deadlines.make_deadline(_REPORT_VALID_MS)
        if load.software != self.table.software:
            self.table.software = load.software
            logs.log_event(
                events.ENGINE_SOFTWARE_NAMED, software=load.software
            )
        self.control.note_load(load)

    def is_report_stale(self) -> bool:
        """Tell whether the engine's last load report is out of date."""
        return self._report_valid_until.is_past()

    def start_call(
        self,
        generation: generations.Generation,
        call: call_runner.OfferedCall,
    ) -> None:
        """Run a call in its own task."""
        self._nursery.start_soon(self._run_call, generation, call)

    async def _run_call(
        self,
        generation: generations.Generation,
        call: call_runner.OfferedCall,
    ) -> None:
        await self._runner.run(generation, call)
        self.table.retire(generation)

    def adopt_call(
        self, identifier: str, customer: str = generations.UNKNOWN_CUSTOMER
    ) -> typing.Optional[generations.Generation]:
        """Read a generation from the target that an earlier run started.

        None when it belongs to another agent or another customer. Nothing is
        started: if the target does not know it, its outcome is unknown.
        """
        generation = self.table.adopt(identifier, self.is_plain(), customer)
        if generation is None:
            return None
        logs.log_event(
            events.GENERATION_ADOPTED,
            generation=identifier,
            listed=generation.confirmed,
        )
        self._nursery.start_soon(self._run_adopted, generation)
        return generation

    async def _run_adopted(self, generation: generations.Generation) -> None:
        await self._runner.run_adopted(generation)
        self.table.retire(generation)

    def is_drained(self) -> bool:
        """Tell whether all calls are delivered and all entries notified."""
        if self.table.list_running() or self.table.has_unread():
            return False
        return all(row.leaving_sent for row in self.connections)

    def make_report(self) -> messages.Report:
        """Return the load report that is sent to entries."""
        load = self.control.load
        used = load.blocks_used / load.blocks if load and load.blocks else 0.0
        predicted = self.control.predict_memory()
        report: messages.Report = {
            "type": "report",
            "running": self.control.count_running(),
            "queued": self.control.count_queued(),
            "memory_used": used,
            "memory_predicted": used if predicted is None else predicted,
            "pace_ms": self.control.read_pace_ms(),
            "queue_wait_ms": self.control.predict_wait_ms(),
            "age_ms": load.age_ms if load else 0,
            "prefixes": self.prefixes.list_recent(_MAX_REPORTED_PREFIXES),
        }
        if self.evacuation.is_evacuated:
            report["evacuated"] = True
        return report

    def abandon_orphans(self) -> None:
        """Cancel generations that nobody has read for too long.

        A generation that is not repeatable runs on: its work is billed, and
        its customer can still fetch it. So does an adopted one, which may
        not be repeatable, and one that another run of the agent may be
        reading.
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

    def mark_running_shared(self) -> None:
        """Exempt running generations from abandonment after a long pause.

        While this process was paused, entries gave it up, and a later run
        may have adopted its streams. Here they look like orphans; cancelling
        them would cut off answers that the later run is delivering.
        """
        for generation in self.table.list_running():
            generation.shared = True

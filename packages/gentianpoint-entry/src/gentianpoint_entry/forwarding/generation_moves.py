"""Moves a generation from a leaving target to one that stays.

Every few seconds a target gets notice and is gone two seconds later, with
generations on it that run for ten seconds and may not be run again. Copying
the memory of one takes some tenths of a second, which its caller would notice
as a pause if the generation were stopped meanwhile. So the memory is copied
while the generation runs (pre-copy), and only what was added since is copied
after it has stopped (stop-and-copy).
"""

from collections import abc
import enum
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import agent_turns
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import target_selection
from gentianpoint_entry.forwarding import targets

__all__ = ("GenerationMove", "StoppedGeneration")

_DEFAULT_PRECOPY_MS: typing.Final = 1600.0
"""Time for the pre-copy, in milliseconds, if it is not known when the target
leaves. It is less than the usual notice of two seconds."""
_FINAL_COPY_S: typing.Final = 0.9
"""Seconds for which the copy after the stop keeps the move's turn. It may take
longer where it waits behind the copies of other generations."""
_SWITCHOVER_MS: typing.Final = 90.0
"""Time from the end of the pre-copy until the generation runs elsewhere, in
milliseconds: the wait for its next event, a call, and the copy of the
remaining memory."""
_MIN_TIME_SHARE: typing.Final = 0.9
"""Share of a copy's estimated time that must be left for the copy to be tried.
Targets stay a little longer than their notice says."""
_AGENT_TIMEOUT_S: typing.Final = 0.7
"""Seconds without a report after which an agent counts as stopped. While an
engine generates, its report changes ten times a second."""


_AGENT_CONNECT_S: typing.Final = 0.15
"""Seconds allowed for connecting to the agent; a tenth of the shortest
notices."""
_POLL_INTERVAL_S: typing.Final = 0.01
"""Seconds between checks for the connection to the agent."""


class _Stage(enum.Enum):
    COPYING = "copying"
    COPIED = "copied"
    FAILED = "failed"


class StoppedGeneration(typing.NamedTuple):
    """A generation that was stopped in order to continue from a copy."""

    copy: requests.MemoryCopy
    """The copy, from which the source can continue as well."""
    is_at_destination: bool
    """False when only the source has all of the memory."""
    is_certain: bool = True
    """False when the source has not said that it stopped the generation. The
    copy is then the one that was made before."""


class GenerationMove:
    """The move of one generation, used by the task that serves it."""

    def __init__(
        self,
        calls: target_calls.TargetCalls,
        source: targets.Target,
        choose_destination: abc.Callable[[], typing.Optional[targets.Target]],
        request_id: str,
        engine_spec: routes.EngineSpec,
        count_memory: abc.Callable[[], int],
    ) -> None:
        """Move from ``source`` to a destination chosen when the turn comes.

        ``count_memory`` returns the tokens that the generation has in memory
        now.
        """
        self._calls: typing.Final = calls
        self._source: typing.Final = source
        self._choose_destination: typing.Final = choose_destination
        self.destination: typing.Optional[targets.Target] = None
        self._request_id: typing.Final = request_id
        self._engine_spec: typing.Final = engine_spec
        self._count_memory: typing.Final = count_memory
        self._turns: typing.Optional[agent_turns.AgentTurns] = None
        self._stage = _Stage.COPYING
        self._handle = ""
        # False once the source has said that it has not stopped it.
        self.may_have_stopped = True

    def is_ready(self) -> bool:
        """Tell whether the generation can be stopped for the last copy."""
        return self._stage is _Stage.COPIED

    def destination_accepts_work(self) -> bool:
        """Tell whether the generation may still continue where it is copied.

        The destination may have begun to leave, or its data centre may have
        been evacuated, since it was chosen.
        """
        return self.destination is not None and self.destination.accepts_work()

    def abandon(self) -> None:
        """Give the move up, so that another destination can be chosen."""
        self._fail("copy the rest", "the destination takes no work any more")

    def has_failed(self) -> bool:
        """Tell whether no copy could be made."""
        return self._stage is _Stage.FAILED

    async def precopy(self) -> None:
        """Copy the memory while the generation runs."""
        turns = await self._find_turns()
        if turns is not None:
            self._turns = turns
            await turns.wait_for_turn(
                self._request_id, self._count_memory(), self._is_agent_alive
            )
        # Chosen only now: a target that had room when the move was requested
        # may be full after the moves that had their turn before.
        self.destination = self._choose_destination()
        if self.destination is None:
            self._fail("choose destination", "no target has room")
            return
        limit = self._source.leaves_at or deadlines.make_deadline(
            _DEFAULT_PRECOPY_MS
        )
        need_ms = self._estimate_copy_ms(self.destination)
        if limit.remaining_ms() < need_ms * _MIN_TIME_SHARE:
            # If it were stopped for a copy that cannot end in time, the
            # generation would be lost, while it may still end by itself if it
            # is left alone.
            self._fail(
                "copy memory", "too little time before the source leaves"
            )
        elif limit.remaining_ms() < need_ms + _SWITCHOVER_MS:
            # There is only time for one copy, after the stop.
            self._stage = _Stage.COPIED
        else:
            await self._copy_to(self.destination, limit)

    async def _find_turns(self) -> typing.Optional[agent_turns.AgentTurns]:
        """Return the agent's turns to move, or None without an agent.

        If another entry forwarded the notice, the connection to the agent may
        still be opening.
        """
        with trio.move_on_after(_AGENT_CONNECT_S):
            while self._source.turns is None and self._is_agent_alive():
                await trio.sleep(_POLL_INTERVAL_S)
        return self._source.turns

    async def _copy_to(
        self, destination: targets.Target, limit: deadlines.Deadline
    ) -> None:
        began = trio.current_time()
        try:
            copy = await self._calls.copy_memory(
                self._source,
                destination,
                self._request_id,
                stops_first=False,
                deadline=limit,
            )
        except ports.PortError as error:
            self._fail(error.step, error.reason)
            return
        self._handle = copy.handle
        if not copy.is_complete:
            self._fail("copy memory ahead", "the destination has no room")
            return
        self._stage = _Stage.COPIED
        logs.log_event(
            events.GENERATION_COPIED,
            source=self._source.target_id,
            target=destination.target_id,
            took_ms=round((trio.current_time() - began) * 1000),
        )

    def _estimate_copy_ms(self, destination: targets.Target) -> float:
        """Return how long copying the whole memory takes, 0 if unknown."""
        need_ms = self._engine_spec.estimate_copy_ms(self._count_memory())
        here = self._source.entry.data_centre
        if destination.entry.data_centre != here:
            need_ms *= target_selection.DISTANCE_COPY_FACTOR
        return need_ms

    def _is_agent_alive(self) -> bool:
        report = self._source.report
        if report is None:
            return False
        return trio.current_time() - report.sampled_at < _AGENT_TIMEOUT_S

    def release_turn(self) -> None:
        """Give the turn back, whatever the outcome of the move."""
        if self._turns is not None:
            self._turns.give_back(self._request_id)
            self._turns = None

    async def stop_and_copy(
        self, limit: deadlines.Deadline
    ) -> typing.Optional[StoppedGeneration]:
        """Stop the generation and copy what was added since, until ``limit``.

        Returns None if the generation was not stopped, or if that is not
        known and there is no copy of before.
        """
        assert self.destination is not None
        try:
            copy = await self._calls.copy_memory(
                self._source,
                self.destination,
                self._request_id,
                stops_first=True,
                deadline=limit,
            )
        except ports.PortError as error:
            self._fail(error.step, error.reason)
            if not error.took_effect:
                self.may_have_stopped = False
            elif self._handle:
                return self._make_stopped(
                    self.take_unused_handle(), is_certain=False
                )
            return None
        if not copy.is_complete:
            self._log_failure("copy the rest", "the destination has no room")
        self._handle = ""
        return self._make_stopped(
            copy.handle, is_at_destination=copy.is_complete
        )

    async def release_turn_late(self) -> None:
        """Give the turn back if the copy after the stop takes too long."""
        await trio.sleep(_FINAL_COPY_S)
        self.release_turn()

    def _make_stopped(
        self,
        handle: str,
        *,
        is_at_destination: bool = True,
        is_certain: bool = True,
    ) -> StoppedGeneration:
        place = requests.MemoryCopy(self._source.entry.address, handle)
        return StoppedGeneration(place, is_at_destination, is_certain)

    def take_unused_handle(self) -> str:
        """Return and forget the handle of a copy that is not used."""
        handle = self._handle
        self._handle = ""
        return handle

    def _fail(self, step: str, reason: str) -> None:
        self.release_turn()
        self._stage = _Stage.FAILED
        self._log_failure(step, reason)

    def _log_failure(self, step: str, reason: str) -> None:
        logs.log_event(
            events.MOVE_FAILED,
            source=self._source.target_id,
            target=self.destination and self.destination.target_id,
            step=step,
            reason=reason,
        )

"""Moves a generation from a target that leaves to one that stays.

The load it answers: every few seconds a target gets notice and is gone two
seconds later, with generations on it that run for ten and may not be run
again. Copying the memory of one takes some tenths of a second, in which a
stopped generation would be heard to pause. So the copy is made ahead, while
the generation goes on, and only what has come since is copied after it has
stopped.
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

_AHEAD_MS: typing.Final = 1600.0
"""Time for the copy made ahead, where it is not known when the target leaves.
It is less than the usual notice of two seconds."""
_STOP_MS: typing.Final = 900.0
"""Time for the last copy. It waits behind the copies of other generations."""
_SETTLE_MS: typing.Final = 90.0
"""Time from the end of a copy made ahead until the generation runs elsewhere:
the wait for its next event, a call, and the rest of its memory."""
_TRIED_SHARE: typing.Final = 0.9
"""Share of the time that a copy is estimated to take that must be left for it
to be tried. Targets stay a little longer than their notice says."""
_AGENT_QUIET_S: typing.Final = 0.7
"""Time without a report after which an agent counts as stopped. While an
engine generates, its report changes ten times a second."""


_CONNECT_S: typing.Final = 0.15
"""Time for a connection to the agent; a tenth of the shortest notices."""
_LOOK_S: typing.Final = 0.01


class _Stage(enum.Enum):
    COPYING = "copying"
    COPIED = "copied"
    FAILED = "failed"


class StoppedGeneration(typing.NamedTuple):
    """A generation that was stopped to go on from a copy."""

    copy: requests.MemoryCopy
    """The copy, from which its source can go on as well."""
    is_there: bool
    """False when only the source has all of it."""


class GenerationMove:
    """The move of one generation; used by the task that serves it."""

    def __init__(
        self,
        calls: target_calls.TargetCalls,
        source: targets.Target,
        choose_destination: abc.Callable[[], typing.Optional[targets.Target]],
        request_id: str,
        shape: routes.EngineSpec,
        count_memory: abc.Callable[[], int],
    ) -> None:
        """Move from ``source`` to what is chosen once it is the turn.

        ``count_memory`` returns the tokens that it has in memory now.
        """
        self._calls: typing.Final = calls
        self._source: typing.Final = source
        self._choose_destination: typing.Final = choose_destination
        self.destination: typing.Optional[targets.Target] = None
        self._request_id: typing.Final = request_id
        self._shape: typing.Final = shape
        self._count_memory: typing.Final = count_memory
        self._turns: typing.Optional[agent_turns.AgentTurns] = None
        self._stage = _Stage.COPYING
        self._handle = ""

    def is_ready(self) -> bool:
        """Tell whether the copy made ahead is complete."""
        return self._stage is _Stage.COPIED

    def has_failed(self) -> bool:
        """Tell whether no copy could be made."""
        return self._stage is _Stage.FAILED

    async def copy_ahead(self) -> None:
        """Copy the memory while the generation goes on."""
        turns = await self._find_turns()
        if turns is not None:
            self._turns = turns
            await turns.wait_for_turn(
                self._request_id, self._count_memory(), self._is_agent_heard
            )
        # Chosen only now, since what had room when the move was wanted may
        # be full after those that had the turn before.
        self.destination = self._choose_destination()
        if self.destination is None:
            self._fail("choose destination", "no target has room")
            return
        limit = self._source.leaves_at or deadlines.make_deadline(_AHEAD_MS)
        need_ms = self._estimate_copy_ms(self.destination)
        if limit.remaining_ms() < need_ms * _TRIED_SHARE:
            # Stopped for a copy that can't end, it would be lost, where it
            # may still end by itself if it is left alone.
            self._fail("copy memory", "no time for it")
        elif limit.remaining_ms() < need_ms + _SETTLE_MS:
            # One copy, after the stop, is all that there is time for.
            self._stage = _Stage.COPIED
        else:
            await self._copy_to(self.destination, limit)

    async def _find_turns(self) -> typing.Optional[agent_turns.AgentTurns]:
        """Return where turns are asked for, None without an agent.

        Where another entry passed the notice on, the connection to the agent
        is only being opened.
        """
        with trio.move_on_after(_CONNECT_S):
            while self._source.turns is None and self._is_agent_heard():
                await trio.sleep(_LOOK_S)
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
            self._fail("copy memory ahead", "no room there")
            return
        self._stage = _Stage.COPIED
        logs.log_event(
            events.GENERATION_COPIED,
            source=self._source.target_id,
            target=destination.target_id,
            took_ms=round((trio.current_time() - began) * 1000),
        )

    def _estimate_copy_ms(self, destination: targets.Target) -> float:
        """Return how long a copy of the whole memory takes, 0 if unknown."""
        need_ms = self._shape.estimate_copy_ms(self._count_memory())
        here = self._source.entry.data_centre
        if destination.entry.data_centre != here:
            need_ms *= target_selection.FAR_FACTOR
        return need_ms

    def _is_agent_heard(self) -> bool:
        report = self._source.report
        if report is None:
            return False
        return trio.current_time() - report.sampled_at < _AGENT_QUIET_S

    def end(self) -> None:
        """Give the turn back, whatever became of the move."""
        if self._turns is not None:
            self._turns.give_back(self._request_id)
            self._turns = None

    async def stop_and_copy(self) -> typing.Optional[StoppedGeneration]:
        """Stop the generation and copy what has come since.

        None when the generation was not stopped, as far as can be told: if
        it was, its stream breaks off.
        """
        assert self.destination is not None
        limit = deadlines.make_deadline(_STOP_MS)
        if self._source.leaves_at is not None:
            limit = limit.earlier(self._source.leaves_at)
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
            return None
        if not copy.is_complete:
            self._log("copy the rest", "no room there")
        self._handle = ""
        place = requests.MemoryCopy(self._source.entry.address, copy.handle)
        return StoppedGeneration(place, is_there=copy.is_complete)

    def take_unused(self) -> str:
        """Return the handle of a copy that is not used, and forget it."""
        handle = self._handle
        self._handle = ""
        return handle

    def _fail(self, step: str, reason: str) -> None:
        self.end()
        self._stage = _Stage.FAILED
        self._log(step, reason)

    def _log(self, step: str, reason: str) -> None:
        logs.log_event(
            events.MOVE_FAILED,
            source=self._source.target_id,
            target=self.destination and self.destination.target_id,
            step=step,
            reason=reason,
        )

"""One stream, which may go on at other targets within one answer.

Targets leave with two seconds of notice or none while generations of ten
seconds run on them, and most of these may not be run again. So a generation
moves with its memory, or goes on from a copy that a second target keeps. The
entry holds the caller's answer all the while and decides who runs the
generation: a target is left only once another has it, or once it has broken
off by itself.
"""

import math
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import attempts
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import caller_calls
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import generation_moves
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import stream_events
from gentianpoint_entry.forwarding import stream_pace
from gentianpoint_entry.forwarding import stream_runs
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import targets

__all__ = ("StreamCall",)

_MOST_RUNS: typing.Final = 16
"""Targets that one stream may be at. Targets leave every few seconds, so a
generation of half a minute needs several; more is a sign of a loop."""
_HAND_OVER_MS: typing.Final = 700.0
"""Time before a target leaves at which its generations go on from the copies
at their backups. Answers that end by themselves end earlier."""
_HAND_OVER_SPREAD_MS: typing.Final = 500.0
"""Generations of one target leave it spread over this, so that they do not
all arrive at once."""
_OVERLAP_S: typing.Final = 0.25
"""Time for which a generation may still be at its old target while the new
one takes it up; a refusal comes within a few milliseconds."""
_SILENCE: typing.Final = 6.0
"""Times the longest good pause after which a stream goes on elsewhere. A
preempted generation pauses for less when its prompt is read again at once."""
_SHORTEST_SILENCE_MS: typing.Final = 900.0
_FIRST_EVENT: typing.Final = 1.5
"""Times the objective after which a stream that may be run again is sent to
another target, if it has no event yet."""
_MOVE_AGAIN_S: typing.Final = 0.2
"""Pause before another target is asked for room for a generation."""
_BACKUP_READY_S: typing.Final = 1.2
"""Age of a run from which the copy at its backup can be counted on; copies
are sent some times a second once the prompt is read."""

_ENDS_OF_EVENTS: typing.Final = (
    ports.PortError,
    stream_events.EventOrderError,
    caller_answers.CallerGoneError,
)


class StreamCall(caller_calls.CallerCall):
    """A request whose answer is a stream of events."""

    def __init__(
        self,
        shared: forwarder.Forwarder,
        request: requests.CallerRequest,
        answer: caller_answers.CallerAnswer,
        start_deadline: deadlines.Deadline = deadlines.NO_DEADLINE,
    ) -> None:
        """Serve ``request`` and answer to ``answer``.

        An answer that has not begun by ``start_deadline`` is given whole or
        not at all.
        """
        self._shared: typing.Final = shared
        self._request: typing.Final = request
        self._answer: typing.Final = answer
        self._start_deadline: typing.Final = start_deadline
        self._held: typing.Final = bytearray()
        self._order: typing.Final = stream_events.EventOrder(
            request.last_event_id
        )
        self.attempts = attempts.Attempts(shared, request)
        self._move: typing.Optional[generation_moves.GenerationMove] = None
        self._move_again_at = 0.0
        self._has_stopped_in_vain = False
        self._hand_over_ms: typing.Final = (
            _HAND_OVER_MS + shared.rng.random() * _HAND_OVER_SPREAD_MS
        )
        self._pace: typing.Final = stream_pace.StreamPace(
            request.route, shared.metrics, trio.current_time()
        )

    async def serve(self) -> typing.Optional[refusals.Refusal]:
        """Answer the caller; return a refusal if there is no answer."""
        plan = self._plan_first()
        for _ in range(_MOST_RUNS):
            if plan is None:
                break
            run = await self._open(plan)
            if run is None:
                plan = self._plan_other()
                continue
            if run.answer.status >= 300:
                return await self._pass_on_failure(run)
            last = await self._follow_runs(run)
            if last is None:
                return None
            plan = self._plan_after_break(last)
        return self._give_up()

    def describe_timing(self) -> dict[str, typing.Any]:
        """Return the number of events and the longest pause."""
        return self._pace.describe()

    def _give_up(self) -> typing.Optional[refusals.Refusal]:
        return self.attempts.give_up(
            self._answer, "the stream broke off before its first event"
        )

    # Where it runs.

    def _plan_first(self) -> typing.Optional[stream_runs.RunPlan]:
        target = self._shared.choose_target(self._request)
        if target is None:
            return None
        return self._plan(target, requests.SendOptions())

    def _plan_other(self) -> typing.Optional[stream_runs.RunPlan]:
        """Plan a run of its own after one that failed or was refused."""
        if not self.attempts.may_send_again():
            return None
        target = self._shared.choose_target(self._request, self.attempts.tried)
        if target is None or not self._shared.take_retry(self._request):
            return None
        options = requests.SendOptions(last_event_id=self._find_last())
        return self._plan(target, options)

    def _plan_after_break(
        self, run: stream_runs.StreamRun
    ) -> typing.Optional[stream_runs.RunPlan]:
        """Plan how the stream goes on after its target broke off."""
        backup = run.backup
        if backup is not None and not backup.is_gone:
            self._log_move(run.target, backup, "backup after a break")
            return self._plan_from_backup(backup)
        return self._plan_other()

    def _plan_from_backup(self, backup: targets.Target) -> stream_runs.RunPlan:
        copy = requests.MemoryCopy(
            backup.entry.address, self._request.request_id
        )
        return self._plan_from_copy(backup, copy)

    def _plan_from_copy(
        self, target: targets.Target, copy: requests.MemoryCopy
    ) -> stream_runs.RunPlan:
        last = self._find_last() or "0"
        options = requests.SendOptions(copy=copy, last_event_id=last)
        return self._plan(target, options)

    def _plan(
        self, target: targets.Target, options: requests.SendOptions
    ) -> stream_runs.RunPlan:
        """Plan a run, with a second target that keeps a copy if need be."""
        engine = self._request.service.engine
        backup = None
        # Where a stream may run again, that costs less than copies that are
        # seldom used.
        may_repeat = self._request.route.may_repeat()
        if engine is not None and engine.can_back_up and not may_repeat:
            backup = self._shared.choose_backup(self._request, target)
        if backup is not None:
            address = backup.entry.address
            options = options._replace(backup_address=address)
        return stream_runs.RunPlan(target, options, backup)

    def _find_last(self) -> str:
        return "" if self._order.last is None else str(self._order.last)

    # One run.

    async def _open(
        self, plan: stream_runs.RunPlan
    ) -> typing.Optional[stream_runs.StreamRun]:
        """Start a run; None when the target did not take the request."""
        self.attempts.tried.add(plan.target.target_id)
        is_same_run = plan.options.copy is not None
        run = stream_runs.StreamRun(self._shared, self._request, plan)
        try:
            await run.open()
        except ports.PortError as error:
            self.attempts.note_error(
                plan.target, error, is_same_run=is_same_run
            )
            return None
        if run.answer.is_refusal():
            self.attempts.note_refusal(run.target, run.answer)
            await run.close()
            return None
        if is_same_run and run.answer.status >= 300:
            # A failure where events should go on: its text is none of them.
            self._shared.note_failure(plan.target, run.make_status_error())
            await run.close()
            return None
        self.attempts.note_run(is_same_run=is_same_run)
        return run

    async def _follow_runs(
        self, run: stream_runs.StreamRun
    ) -> typing.Optional[stream_runs.StreamRun]:
        """Pass events on, from run to run as targets leave.

        Returns None when the stream is complete, else the run that broke
        off, which is closed.
        """
        current: typing.Optional[stream_runs.StreamRun] = run
        while current is not None:
            run = current
            try:
                current = await self._follow(run)
            except ports.PortError as error:
                self._shared.note_failure(run.target, error)
                return run
            except stream_events.EventOrderError as error:
                self._log_disorder(run, error)
                return run
            finally:
                self._end_move()
                await run.close()
        await self._end(run)
        return None

    async def _follow(
        self, run: stream_runs.StreamRun
    ) -> typing.Optional[stream_runs.StreamRun]:
        """Pass on a run's events; return the next run, or None at the end."""
        failure: typing.Optional[Exception] = run.make_silence_error()
        following = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._end_when_silent, run, nursery)
            try:
                following = await self._pass_on_events(run, nursery)
                failure = None
            except _ENDS_OF_EVENTS as error:
                # Raised below, since a nursery wraps what passes through.
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if following is None:
            self._shared.note_success(run.target)
        self._free_copies(run, following)
        return following

    def _free_copies(
        self,
        run: stream_runs.StreamRun,
        following: typing.Optional[stream_runs.StreamRun],
    ) -> None:
        """Free copies that nobody will use: they take room from others.

        The backup's copy frees itself when the run ends well, and is used
        when the run goes on there; after a move elsewhere it is left over.
        """
        unused = "" if self._move is None else self._move.take_unused()
        if unused:
            self._shared.schedule_copy_release(run.target, unused)
        if following is not None and run.backup is not None:
            self._shared.schedule_copy_release(
                run.backup, self._request.request_id
            )

    async def _end_when_silent(
        self, run: stream_runs.StreamRun, nursery: trio.Nursery
    ) -> None:
        await run.watch_silence(self._find_silence_ms)
        nursery.cancel_scope.cancel()

    def _find_silence_ms(self, run: stream_runs.StreamRun) -> float:
        """Return the silence after which a run is given up.

        A target whose host stands still is as silent as one that has died,
        and goes on with the generation when it wakes; one that has left the
        list may serve on for seconds. Taken up elsewhere meanwhile, one
        generation would be worked on twice. So only streams that may run
        again are given up for a silence; for others their target's end or
        the caller's deadline ends the wait.
        """
        if not self.attempts.may_run_again():
            return math.inf
        route = self._request.route
        if not run.has_events:
            return route.objective_ms * _FIRST_EVENT
        if not run.target.is_gone:
            return math.inf
        return max(_SHORTEST_SILENCE_MS, route.gap_objective_ms * _SILENCE)

    async def _pass_on_events(
        self, run: stream_runs.StreamRun, nursery: trio.Nursery
    ) -> typing.Optional[stream_runs.StreamRun]:
        """Pass on events until the end, or until another run goes on."""
        async for event in run.iterate_events():
            await self._pass_on(run, event)
            following = await self._hand_over(run, nursery)
            if following is not None:
                return following
        return None

    async def _pass_on(
        self, run: stream_runs.StreamRun, event: stream_events.StreamEvent
    ) -> None:
        if not self._order.take(event):
            return
        self._pace.note_event(trio.current_time())
        if not self._answer.is_started:
            if self._start_deadline.is_past():
                self._held.extend(event.data)
                return
            await self._answer.start(run.answer.status, run.answer.headers)
        await self._answer.send(event.data)

    async def _end(self, run: stream_runs.StreamRun) -> None:
        if self._held:
            await self._answer.send_whole(
                run.answer.status, run.answer.headers, bytes(self._held)
            )
            return
        if not self._answer.is_started:
            await self._answer.start(run.answer.status, run.answer.headers)
        await self._answer.finish()

    async def _pass_on_failure(
        self, run: stream_runs.StreamRun
    ) -> typing.Optional[refusals.Refusal]:
        """Give the target's own failure on, if the caller has nothing yet."""
        try:
            if self._answer.is_started:
                return None
            got: target_calls.TargetAnswer = run.answer
            body = b"".join([chunk async for chunk in got.receive_body()])
            await self._answer.send_whole(got.status, got.headers, body)
        except ports.PortError as error:
            self._shared.note_failure(run.target, error)
            return self._give_up()
        finally:
            await run.close()
        return None

    # Leaving a target.

    async def _hand_over(
        self, run: stream_runs.StreamRun, nursery: trio.Nursery
    ) -> typing.Optional[stream_runs.StreamRun]:
        """Return a run elsewhere if the target leaves, else None."""
        target = run.target
        if target.accepts_work() or self._request.route.may_repeat():
            # A stream that may be run again goes on after the break.
            return None
        left_ms = _find_left_ms(target)
        is_due = left_ms is None or left_ms <= self._hand_over_ms
        if self._has_backup(run):
            # The copy is there already; a move would only keep the links
            # from generations that have none.
            return await self._go_on_at_backup(run) if is_due else None
        engine = self._request.service.engine
        if engine is not None and engine.can_move:
            return await self._move_on(run, nursery, engine)
        return None

    def _has_backup(self, run: stream_runs.StreamRun) -> bool:
        """Tell whether the copy at the backup can be counted on."""
        if run.backup is None or not run.backup.accepts_work():
            return False
        return trio.current_time() - run.began_at >= _BACKUP_READY_S

    async def _go_on_at_backup(
        self, run: stream_runs.StreamRun
    ) -> typing.Optional[stream_runs.StreamRun]:
        """Let the backup take the generation up; None if it refuses.

        The old target is left once the new one has taken it, or has had
        time to refuse, so a refusal loses nothing.
        """
        backup = run.backup
        assert backup is not None
        run.backup = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_close_after, run, _OVERLAP_S)
            following = await self._open(self._plan_from_backup(backup))
            nursery.cancel_scope.cancel()
        if following is not None:
            self._log_move(run.target, backup, "backup")
        return following

    async def _move_on(
        self,
        run: stream_runs.StreamRun,
        nursery: trio.Nursery,
        engine: routes.EngineSpec,
    ) -> typing.Optional[stream_runs.StreamRun]:
        """Copy the memory ahead; once it is there, go on from it."""
        if self._has_stopped_in_vain:
            # Each stop is a pause, and the last one found no room.
            return None
        now = trio.current_time()
        if self._move is not None and self._move.has_failed():
            if now < self._move_again_at:
                return None
            self._move = None
        if self._move is None:
            self._move_again_at = now + _MOVE_AGAIN_S
            self._move = self._start_move(run.target, nursery, engine)
            return None
        if not self._move.is_ready():
            return None
        stopped = await self._move.stop_and_copy()
        # The links are free for the next one while this one is taken up.
        self._move.end()
        if stopped is None:
            # It runs on where it is, or its stream breaks off.
            return None
        self._has_stopped_in_vain = not stopped.is_there
        ways = [run.target]
        if stopped.is_there and self._move.destination is not None:
            ways.insert(0, self._move.destination)
        for target in ways:
            plan = self._plan_from_copy(target, stopped.copy)
            following = await self._open(plan)
            if following is not None:
                self._log_move(run.target, target, "move")
                return following
        return None

    def _start_move(
        self,
        target: targets.Target,
        nursery: trio.Nursery,
        engine: routes.EngineSpec,
    ) -> generation_moves.GenerationMove:
        def count_memory() -> int:
            made = self._pace.events * engine.event_tokens
            return self._request.prompt_tokens + made

        move = generation_moves.GenerationMove(
            self._shared.calls,
            target,
            lambda: self._shared.choose_destination(self._request, target),
            self._request.request_id,
            engine,
            count_memory,
        )
        nursery.start_soon(move.copy_ahead)
        return move

    def _end_move(self) -> None:
        if self._move is not None:
            self._move.end()
            self._move = None

    # Log lines.

    def _log_move(
        self, source: targets.Target, destination: targets.Target, way: str
    ) -> None:
        self._shared.metrics.record_move(way)
        logs.log_event(
            events.GENERATION_MOVED,
            source=source.target_id,
            target=destination.target_id,
            way=way,
            after_event=self._find_last(),
            source_leaves_in_ms=_find_left_ms(source),
            source_is_gone=source.is_gone,
        )

    def _log_disorder(
        self,
        run: stream_runs.StreamRun,
        error: stream_events.EventOrderError,
    ) -> None:
        logs.log_event(
            events.ATTEMPT_FAILED,
            target=run.target.target_id,
            step="follow events",
            peer=run.target.entry.address,
            reason=str(error),
            may_have_run=True,
        )


async def _close_after(run: stream_runs.StreamRun, wait_s: float) -> None:
    """Leave a target whose generation another one has had time to refuse."""
    await trio.sleep(wait_s)
    await run.close()


def _find_left_ms(target: targets.Target) -> typing.Optional[int]:
    """Return the time until a target leaves; None when it is not known."""
    if target.leaves_at is None:
        return None
    return target.leaves_at.remaining_ms()

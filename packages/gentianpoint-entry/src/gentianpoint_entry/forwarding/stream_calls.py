"""Serves a streaming request, which may move between targets.

Targets leave with two seconds of notice or none, while generations take ten
seconds and most of them may not be run again. A generation therefore moves
together with its memory, or continues from a copy that a backup target keeps.
The entry keeps the caller's answer open throughout and decides which target
runs the generation. It closes the stream of a target only once another target
has taken the generation over, or once the stream has broken off by itself.
"""

from collections import abc
import functools
import math
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.decisions import stream_origins
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import attempts
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import caller_calls
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import generation_moves
from gentianpoint_entry.forwarding import left_runs
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import stream_events
from gentianpoint_entry.forwarding import stream_handovers
from gentianpoint_entry.forwarding import stream_pacing
from gentianpoint_entry.forwarding import stream_runs
from gentianpoint_entry.forwarding import stream_timing
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import targets

__all__ = ("StreamCall",)

_MAX_RUNS: typing.Final = 16
"""Most targets that one stream may run at. Targets leave every few seconds, so
a generation of half a minute needs several; more than this indicates a
loop."""
_HANDOVER_LEAD_MS: typing.Final = 700.0
"""Time before a target leaves, in milliseconds, at which its generations
continue from the copies at their backups. Answers that can finish without a
handover have finished by then."""
_HANDOVER_JITTER_MS: typing.Final = 500.0
"""Range, in milliseconds, over which the handovers of one target's generations
are spread, so that they do not all arrive at once."""
_SILENCE_FACTOR: typing.Final = 6.0
"""Multiple of the route's longest acceptable gap between events after which a
silent stream continues elsewhere. The pause of a preempted generation is
shorter if its prompt is processed again at once."""
_MIN_SILENCE_MS: typing.Final = 900.0
"""Least silence, in milliseconds, after which a stream continues elsewhere."""
_FIRST_EVENT_FACTOR: typing.Final = 1.5
"""Multiple of the route's objective after which a stream that may be run again
is sent to another target, if it has no event yet."""
_SILENCE_RECHECK_S: typing.Final = 0.5
"""Seconds after which it is checked again whether a silent stream can run at
another target."""
_MOVE_RETRY_INTERVAL_S: typing.Final = 0.2
"""Least number of seconds between two attempts to move a generation."""
_BACKUP_READY_AGE_S: typing.Final = 1.2
"""Age of a run, in seconds, from which its backup is expected to hold a copy;
copies are sent several times a second once the prompt has been processed."""
_MAX_FAILURE_BYTES: typing.Final = 262144
"""Longest error answer of a target, in bytes, that is forwarded."""

_COPY_SHARE: typing.Final = 0.5
"""Part of the time for which callers wait for an event that the copy after a
stop may take. The rest is for going on from it."""
_STREAM_ERRORS: typing.Final = (
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
        *,
        must_be_whole: bool = False,
    ) -> None:
        """Serve ``request`` and answer to ``answer``.

        An answer that ``must_be_whole`` is buffered, and sent whole or not at
        all.
        """
        self._shared: typing.Final = shared
        self._request = request
        self._answer: typing.Final = answer
        self._must_be_whole: typing.Final = must_be_whole
        self._buffered: typing.Final = bytearray()
        # Head of the answer that brought the first event. A stream keeps it
        # wherever it goes on.
        self._head: typing.Optional[target_calls.TargetAnswer] = None
        self._order: typing.Final = stream_events.EventOrder(
            request.last_event_id
        )
        self.attempts = attempts.Attempts(shared, request)
        self._move: typing.Optional[generation_moves.GenerationMove] = None
        self._move_retry_at = 0.0
        self._handover: typing.Optional[stream_handovers.StreamHandover] = None
        self._run: typing.Optional[stream_runs.StreamRun] = None
        self._left_runs: typing.Final = left_runs.LeftRuns(
            request.request_id, shared.run_stopper.schedule
        )
        self._had_no_room_after_stop = False
        self._handover_lead_ms: typing.Final = (
            _HANDOVER_LEAD_MS + shared.rng.random() * _HANDOVER_JITTER_MS
        )
        self._timing: typing.Final = stream_timing.StreamTiming(
            request.route, shared.metrics, trio.current_time()
        )

    async def serve(self) -> typing.Optional[refusals.Refusal]:
        """Answer the caller; return a refusal if there is no answer."""
        if self._request.takes_stream_up():
            refusal = await self._find_origin()
            if refusal is not None:
                return refusal
        plan = await self._plan_first()
        for _ in range(_MAX_RUNS):
            if plan is None:
                break
            if await self.attempts.is_suspect():
                return self.attempts.refuse_suspect(self._answer)
            run = await self._open(plan)
            if run is None:
                plan = await self._plan_retry()
                continue
            self._run = run
            if run.answer.status >= 300:
                return await self._forward_failure(run)
            broken = await self._forward_runs(run)
            if broken is None:
                return None
            plan = await self._plan_after_break(broken)
        return self._give_up()

    def describe_timing(self) -> dict[str, typing.Any]:
        """Return the events, their timing, and how the last run ended."""
        ended = {} if self._run is None else self._run.describe_end()
        return {**self._timing.describe(), **ended}

    def _give_up(self) -> typing.Optional[refusals.Refusal]:
        return self.attempts.give_up(
            self._answer, "the stream broke off before its first event"
        )

    # Where the stream began.

    async def _find_origin(self) -> typing.Optional[refusals.Refusal]:
        """Find out where the stream began that the caller takes up.

        Returns a refusal if that is not known, or if no target may go on with
        it. Nothing has run then, and to come back would be of no use.
        """
        origin = await self._shared.find_origin(self._request)
        if origin is None:
            return refusals.refuse_for_good(
                "it is not known which software began the stream"
            )
        for service in self._request.route_services:
            if service.name == origin.service:
                self._request = self._request._replace(service=service)
        self._set_origin(origin)
        if not self._shared.has_target(self._request):
            return refusals.refuse_for_good(
                "no target has the software that began the stream"
            )
        return None

    def _set_origin(self, origin: stream_origins.StreamOrigin) -> None:
        self._set_request(self._request._replace(origin=origin))

    def _set_request(self, request: requests.CallerRequest) -> None:
        self._request = request
        self.attempts.set_request(request)

    # Planning of runs.

    async def _plan_first(self) -> typing.Optional[stream_runs.RunPlan]:
        target = await self._shared.find_target(self._request)
        if target is None:
            return None
        return self._plan(target, requests.SendOptions())

    async def _plan_retry(self) -> typing.Optional[stream_runs.RunPlan]:
        """Plan a new run after one that failed or was refused."""
        if not self.attempts.may_send_again():
            return None
        target = await self._shared.find_target(
            self._request, self.attempts.tried
        )
        if target is None:
            return None
        if not self.attempts.take_retry():
            self._shared.give_back(target, self._request)
            return None
        options = requests.SendOptions(
            last_event_id=self._format_last_event_id()
        )
        return self._plan(target, options)

    async def _plan_after_break(
        self, run: stream_runs.StreamRun
    ) -> typing.Optional[stream_runs.RunPlan]:
        """Plan how the stream continues after its target broke off."""
        backup = run.backup
        if (
            backup is not None
            and not backup.is_gone
            and self._shared.may_be_sent(backup)
        ):
            self._log_move(run.target, backup, "backup after a break")
            return self._plan_from_backup(backup)
        return await self._plan_retry()

    def _plan_from_backup(self, backup: targets.Target) -> stream_runs.RunPlan:
        copy = requests.MemoryCopy(
            backup.entry.address, self._request.request_id
        )
        return self._plan_from_copy(backup, copy)

    def _plan_from_copy(
        self, target: targets.Target, copy: requests.MemoryCopy
    ) -> stream_runs.RunPlan:
        last = self._format_last_event_id() or "0"
        options = requests.SendOptions(copy=copy, last_event_id=last)
        return self._plan(target, options)

    def _plan(
        self, target: targets.Target, options: requests.SendOptions
    ) -> stream_runs.RunPlan:
        """Plan a run, with a backup target if the generation needs one."""
        engine = self._request.service.engine
        backup = None
        # Running a repeatable stream again costs less than copies that are
        # seldom used.
        may_repeat = self._request.route.may_repeat()
        if engine is not None and engine.can_back_up and not may_repeat:
            backup = self._shared.choose_backup(self._request, target)
        if backup is not None:
            address = backup.entry.address
            options = options._replace(backup_address=address)
        return stream_runs.RunPlan(target, options, backup)

    def _format_last_event_id(self) -> str:
        return "" if self._order.last is None else str(self._order.last)

    # Execution of runs.

    async def _open(
        self, plan: stream_runs.RunPlan
    ) -> typing.Optional[stream_runs.StreamRun]:
        """Start a run; return None if the target did not accept it."""
        self.attempts.tried.add(plan.target.target_id)
        is_same_run = plan.options.copy is not None
        self._left_runs.note_sent(plan.target)
        run = stream_runs.StreamRun(self._shared, self._request, plan)
        try:
            await run.open()
        except ports.PortError as error:
            if not error.took_effect:
                self._left_runs.note_ended(plan.target)
            self.attempts.note_error(
                plan.target, error, is_same_run=is_same_run
            )
            return None
        if run.answer.is_refusal() or run.answer.status >= 300:
            self._left_runs.note_ended(plan.target)
        if run.answer.is_refusal():
            self.attempts.note_refusal(run.target, run.answer)
            await run.close()
            return None
        if is_same_run and run.answer.status >= 300:
            # The target failed instead of continuing the stream, and its error
            # text is not part of the events.
            self._shared.note_failure(
                plan.target, run.make_status_error(), self._request
            )
            await run.close()
            return None
        self.attempts.note_run(is_same_run=is_same_run)
        engine = self._request.service.engine
        if engine is not None and engine.can_move:
            self._left_runs.stop_others(plan.target)
        return run

    async def _forward_runs(
        self, run: stream_runs.StreamRun
    ) -> typing.Optional[stream_runs.StreamRun]:
        """Forward events to the caller, from run to run as targets leave.

        Returns None when the stream is complete, else the run that broke off,
        which is closed.
        """
        current: typing.Optional[stream_runs.StreamRun] = run
        while current is not None:
            run = self._run = current
            self._order.begin_run()
            try:
                current = await self._forward_run(run)
            except ports.PortError as error:
                self._shared.note_failure(run.target, error, self._request)
                return run
            except stream_events.EventOrderError as error:
                self._log_order_error(run, error)
                return run
            finally:
                self._end_move()
                await self._end_handover()
                await run.close()
        await self._finish_answer(run)
        return None

    async def _forward_run(
        self, run: stream_runs.StreamRun
    ) -> typing.Optional[stream_runs.StreamRun]:
        """Forward a run's events; return the next run, or None at the end."""
        failure: typing.Optional[Exception] = None
        is_whole = False
        next_run = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._give_up_when_silent, run)
            try:
                is_whole = await self._forward_events(run, nursery)
            except _STREAM_ERRORS as error:
                # Raised below: a nursery would wrap it in an exception group.
                failure = error
            if not is_whole:
                next_run = await self._take_next_run(run, failure)
            nursery.cancel_scope.cancel()
        if failure is not None and next_run is None:
            raise failure
        if next_run is None:
            self._shared.note_success(run.target)
            self._shared.note_answered(self._request)
            self._shared.note_stream_ended(self._request)
        self._release_copies(run, next_run)
        return next_run

    async def _take_next_run(
        self,
        run: stream_runs.StreamRun,
        failure: typing.Optional[Exception],
    ) -> typing.Optional[stream_runs.StreamRun]:
        """Return the run that takes over, once it is known if there is one.

        ``failure`` is why the present one is not read on, None if the next one
        is open.
        """
        if self._handover is None or isinstance(
            failure, caller_answers.CallerGoneError
        ):
            return None
        is_broken = not (run.was_told_to_stop or self._has_next_run())
        next_run = None
        with trio.move_on_after(self._request.route.find_longest_gap_s()):
            next_run = await self._handover.take_next_run()
        if (
            is_broken
            and next_run is not None
            and isinstance(failure, ports.PortError)
        ):
            self._shared.note_failure(run.target, failure, self._request)
        return next_run

    def _release_copies(
        self,
        run: stream_runs.StreamRun,
        next_run: typing.Optional[stream_runs.StreamRun],
    ) -> None:
        """Release copies that will not be used, since they occupy memory.

        The backup releases its copy by itself when the run ends normally, and
        uses it when the run continues there. After a move to another target
        the copy is left over.
        """
        self._release_unused_copy(run)
        if next_run is not None and run.backup is not None:
            self._shared.schedule_copy_release(
                run.backup, self._request.request_id
            )

    def _release_unused_copy(self, run: stream_runs.StreamRun) -> None:
        """Release the copy that a move has made and not used."""
        unused = "" if self._move is None else self._move.take_unused_handle()
        if unused:
            self._shared.schedule_copy_release(run.target, unused)

    async def _give_up_when_silent(self, run: stream_runs.StreamRun) -> None:
        while True:
            await run.wait_until_silent(self._find_silence_limit_ms)
            # A target that is still listed may only be slow.
            if run.target.is_gone or self._reserve_other_run():
                run.give_up()
            await trio.sleep(_SILENCE_RECHECK_S)

    def _reserve_other_run(self) -> bool:
        """Reserve a retry for a run elsewhere, if there can be one."""
        target = self._shared.choose_target(self._request, self.attempts.tried)
        return target is not None and self.attempts.reserve_retry()

    def _find_silence_limit_ms(self, run: stream_runs.StreamRun) -> float:
        """Return the silence after which a run is abandoned, in milliseconds.

        A target whose host is suspended is as silent as one that has died, but
        continues the generation when the host resumes. A target that was
        removed from the list may also serve on for seconds. If the generation
        continued elsewhere meanwhile, two targets would work on it. So only
        streams that may be run again are abandoned because of silence. The
        others wait until their target closes the stream or the caller's
        deadline passes.
        """
        if not self.attempts.may_run_again():
            return math.inf
        route = self._request.route
        if not run.has_events:
            return route.objective_ms * _FIRST_EVENT_FACTOR
        if not run.target.is_gone:
            return math.inf
        return max(_MIN_SILENCE_MS, route.gap_objective_ms * _SILENCE_FACTOR)

    async def _forward_events(
        self, run: stream_runs.StreamRun, nursery: trio.Nursery
    ) -> bool:
        """Forward events until the end, or until another run takes over.

        Returns whether the stream is whole.
        """
        while not self._has_next_run():
            event = await run.receive_event()
            if event is None:
                return True
            await self._forward_together(run, (event, *run.take_read_events()))
            await self._hand_over(run, nursery)
            await self._pause_reading(run)
        return False

    def _has_next_run(self) -> bool:
        return self._handover is not None and self._handover.has_next_run()

    async def _forward_together(
        self,
        run: stream_runs.StreamRun,
        events_read: abc.Iterable[stream_events.StreamEvent],
    ) -> None:
        """Forward events that were read together, by one write."""
        data = bytearray()
        try:
            for event in events_read:
                if self._order.accept(event):
                    await self._note_event(run)
                    data += event.data
        finally:
            # Those before one that does not follow are the caller's.
            if data:
                await self._send_events(run, bytes(data))

    async def _note_event(self, run: stream_runs.StreamRun) -> None:
        """Note that an event goes to the caller."""
        self._timing.note_event(trio.current_time())
        if not self._request.are_parts_proven and run.is_proven():
            self._set_request(self._request._replace(are_parts_proven=True))
            self._shared.note_parts_proven(self._request)
        if self._request.origin is None:
            self._set_origin(run.target.origin)
            await self._shared.note_stream_began(self._request)

    async def _send_events(
        self, run: stream_runs.StreamRun, data: bytes
    ) -> None:
        if not self._answer.is_started:
            if self._must_be_whole:
                self._head = self._head or run.answer
                self._buffered.extend(data)
                return
            await self._answer.start(run.answer.status, run.answer.headers)
        await self._answer.send(data)

    async def _pause_reading(self, run: stream_runs.StreamRun) -> None:
        """Let further events come before the next read while busy.

        Each read and write costs processor time, however many events it has.
        """
        if not run.target.accepts_work():
            # The next event may decide how the generation goes on.
            return
        wait_s = stream_pacing.choose_pause_s(
            self._request.route.gap_objective_ms,
            self._shared.load.busy_share,
        )
        if wait_s:
            await trio.sleep(wait_s)

    async def _finish_answer(self, run: stream_runs.StreamRun) -> None:
        if self._head is not None:
            await self._answer.send_whole(
                self._head.status, self._head.headers, bytes(self._buffered)
            )
            return
        if not self._answer.is_started:
            await self._answer.start(run.answer.status, run.answer.headers)
        await self._answer.finish()

    async def _forward_failure(
        self, run: stream_runs.StreamRun
    ) -> typing.Optional[refusals.Refusal]:
        """Forward the target's error answer if the caller has nothing yet."""
        try:
            if self._answer.is_started:
                return None
            target_answer: target_calls.TargetAnswer = run.answer
            body = bytearray()
            async for chunk in self._shared.receive_body(
                run.target, target_answer
            ):
                body += chunk
                if len(body) > _MAX_FAILURE_BYTES:
                    raise ports.PortError(
                        "receive body",
                        run.target.entry.address,
                        "the error answer is too long",
                        took_effect=True,
                    )
            await self._answer.send_whole(
                target_answer.status, target_answer.headers, bytes(body)
            )
        except ports.PortError as error:
            self._shared.note_failure(run.target, error, self._request)
            return self._give_up()
        finally:
            await run.close()
        return None

    # Handover to another target.

    async def _hand_over(
        self, run: stream_runs.StreamRun, nursery: trio.Nursery
    ) -> None:
        """Begin to go on elsewhere if the target leaves."""
        if self._handover is not None:
            if not self._handover.is_settled():
                return
            if self._handover.has_next_run():
                return
            self._handover = None
        target = run.target
        if target.accepts_work() or self._request.route.may_repeat():
            # A repeatable stream needs no handover: it is run again once it
            # breaks off.
            return
        if await self.attempts.is_suspect():
            # Another target could end under it.
            return
        left_ms = _find_time_left_ms(target)
        is_due = left_ms is None or left_ms <= self._handover_lead_ms
        engine = self._request.service.engine
        if self._has_backup(run):
            # The backup already has a copy. A move would occupy links that
            # generations without a copy need.
            if is_due:
                self._continue_at_backup(run, nursery)
        elif engine is not None and engine.can_move:
            self._advance_move(run, nursery, engine)

    def _start_handover(
        self,
        run: stream_runs.StreamRun,
        nursery: trio.Nursery,
        open_next: stream_handovers.OpenNextRun,
    ) -> None:
        self._handover = stream_handovers.StreamHandover(run, open_next)
        nursery.start_soon(self._handover.run)

    def _has_backup(self, run: stream_runs.StreamRun) -> bool:
        """Tell whether the backup can be expected to hold a copy."""
        if run.backup is None or not run.backup.accepts_work():
            return False
        return trio.current_time() - run.began_at >= _BACKUP_READY_AGE_S

    def _continue_at_backup(
        self, run: stream_runs.StreamRun, nursery: trio.Nursery
    ) -> None:
        """Begin to continue the generation at the backup, unless it is full.

        The backup answers with a success only once it has taken the generation
        over, so a refusal loses nothing, however late it comes.
        """
        backup = run.backup
        assert backup is not None
        if not self._shared.reserve(backup, self._request):
            return
        run.backup = None
        self._start_handover(
            run, nursery, functools.partial(self._open_at_backup, run, backup)
        )

    async def _open_at_backup(
        self, run: stream_runs.StreamRun, backup: targets.Target
    ) -> typing.Optional[stream_runs.StreamRun]:
        next_run = await self._open(self._plan_from_backup(backup))
        if next_run is not None:
            self._log_move(run.target, backup, "backup")
        return next_run

    def _advance_move(
        self,
        run: stream_runs.StreamRun,
        nursery: trio.Nursery,
        engine: routes.EngineSpec,
    ) -> None:
        """Copy the memory while the generation runs, then switch targets."""
        if self._had_no_room_after_stop:
            # Each stop pauses the stream, and the destination of the last one
            # had no room.
            return
        now = trio.current_time()
        if self._move is not None and self._move.has_failed():
            if now < self._move_retry_at:
                return
            self._move = None
        if self._move is None:
            self._move_retry_at = now + _MOVE_RETRY_INTERVAL_S
            self._move = self._start_move(run.target, nursery, engine)
            return
        if not self._move.is_ready():
            return
        if not self._move.destination_accepts_work():
            self._move.abandon()
            self._release_unused_copy(run)
            return
        destination = self._move.destination
        assert destination is not None
        if not self._shared.reserve(destination, self._request):
            # The generation runs on until it may go on there.
            return
        nursery.start_soon(self._move.release_turn_late)
        self._start_handover(
            run,
            nursery,
            functools.partial(
                self._stop_and_continue, run, self._move, destination
            ),
        )

    async def _stop_and_continue(
        self,
        run: stream_runs.StreamRun,
        move: generation_moves.GenerationMove,
        destination: targets.Target,
    ) -> typing.Optional[stream_runs.StreamRun]:
        """Stop a generation, copy the rest of it, and continue from the copy.

        The place at the destination that is reserved for it is given back if
        it is not used.
        """
        longest_s = self._request.route.find_longest_gap_s()
        limit = deadlines.make_deadline(longest_s * _COPY_SHARE * 1000)
        may_have_stopped = run.was_told_to_stop
        run.was_told_to_stop = True
        is_at_destination = False
        try:
            stopped = await move.stop_and_copy(
                limit.earlier(self._request.deadline)
            )
            run.was_told_to_stop = may_have_stopped or move.may_have_stopped
            # Lets the next move use the links while this generation is taken
            # over.
            move.release_turn()
            if stopped is None:
                return None
            if not stopped.is_certain and not run.has_ended:
                # It still runs at its source, as far as is known.
                self._shared.schedule_copy_release(
                    run.target, stopped.copy.name
                )
                return None
            if stopped.is_certain:
                self._left_runs.note_ended(run.target)
            is_at_destination = stopped.is_at_destination
        finally:
            if not is_at_destination:
                self._shared.give_back(destination, self._request)
        self._had_no_room_after_stop = not is_at_destination
        candidates = [run.target]
        if is_at_destination:
            candidates.insert(0, destination)
        for target in candidates:
            plan = self._plan_from_copy(target, stopped.copy)
            next_run = await self._open(plan)
            if next_run is not None:
                self._log_move(run.target, target, "move")
                return next_run
        return None

    def _start_move(
        self,
        target: targets.Target,
        nursery: trio.Nursery,
        engine: routes.EngineSpec,
    ) -> generation_moves.GenerationMove:
        def count_memory() -> int:
            made = self._timing.events * engine.event_tokens
            return self._request.prompt_tokens + made

        move = generation_moves.GenerationMove(
            self._shared.calls,
            target,
            lambda: self._shared.choose_destination(self._request, target),
            self._request.request_id,
            engine,
            count_memory,
        )
        nursery.start_soon(move.precopy)
        return move

    async def _end_handover(self) -> None:
        if self._handover is not None:
            await self._handover.close()
            self._handover = None

    def _end_move(self) -> None:
        if self._move is not None:
            self._move.release_turn()
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
            source_software=source.entry.software,
            target_software=destination.entry.software,
            way=way,
            after_event=self._format_last_event_id(),
            source_leaves_in_ms=_find_time_left_ms(source),
            source_is_gone=source.is_gone,
        )

    def _log_order_error(
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


def _find_time_left_ms(target: targets.Target) -> typing.Optional[int]:
    """Return the milliseconds until a target leaves; None if unknown."""
    if target.leaves_at is None:
        return None
    return target.leaves_at.remaining_ms()

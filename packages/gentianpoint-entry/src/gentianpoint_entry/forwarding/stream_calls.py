"""One stream, which may go on at other targets within one answer.

Targets leave with two seconds of notice or none while generations of ten
seconds run on them, and most of these may not be run again. A generation
therefore keeps a copy of its memory at a second target, and the same run goes
on there after its last event when the first one leaves or breaks off. The
entry holds the caller's answer all the while and is the one that decides who
runs the generation: it closes the connection to a target before it sends the
request to the next.
"""

from collections import abc
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import choice
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import generation_moves
from gentianpoint_entry.forwarding import plain_calls
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import stream_events
from gentianpoint_entry.forwarding import target_calls
from gentianpoint_entry.forwarding import targets

__all__ = ("StreamCall",)

_MOST_MOVES: typing.Final = 12
"""Targets that one stream may go on at. Targets leave every few seconds, so a
generation of half a minute needs several; more is a sign of a loop."""
_HAND_OVER_MS: typing.Final = 700.0
"""Time before a target leaves at which its generations go on elsewhere. Most
answers that end by themselves end earlier, and moving takes a tenth of it."""
_HAND_OVER_SPREAD_MS: typing.Final = 500.0
"""Generations of one target leave it spread over this, so that their prompts
are not all read at once where they arrive."""
_SILENCE: typing.Final = 6.0
"""Times the longest good pause after which a stream's target is given up. A
preempted generation pauses for less when its prompt is read again at once."""
_SHORTEST_SILENCE_MS: typing.Final = 900.0
_MOVE_AGAIN_S: typing.Final = 0.2
"""Pause before another target is asked for room for a generation."""
_BACKUP_READY_S: typing.Final = 1.2
"""Age of a generation at its target from which the copy at its backup can be
counted on; copies are sent some times a second once the prompt is read."""


class _HandOverDueError(Exception):
    """The target leaves soon; the generation goes on elsewhere."""


_ENDS_OF_EVENTS: typing.Final = (
    ports.PortError,
    stream_events.EventOrderError,
    caller_answers.CallerGoneError,
    _HandOverDueError,
)


class _Way(typing.NamedTuple):
    """Where a generation goes on, and from which copy."""

    target: targets.Target
    copy: typing.Optional[requests.MemoryCopy]
    name: str


class StreamCall:
    """A request whose answer is a stream of events."""

    def __init__(
        self,
        shared: forwarder.Forwarder,
        request: requests.CallerRequest,
        answer: caller_answers.CallerAnswer,
    ) -> None:
        """Serve ``request`` and answer to ``answer``."""
        self._shared: typing.Final = shared
        self._request: typing.Final = request
        self._answer: typing.Final = answer
        self._order: typing.Final = stream_events.EventOrder(
            request.last_event_id
        )
        self._tried: typing.Final[set[str]] = set()
        self._backup: typing.Optional[targets.Target] = None
        self._move: typing.Optional[generation_moves.GenerationMove] = None
        self._move_again_at = 0.0
        self._way: typing.Optional[_Way] = None
        self._began_at = 0.0
        self._is_running = False
        self._unread_at: typing.Optional[targets.Target] = None
        self._hand_over_ms: typing.Final = (
            _HAND_OVER_MS + shared.source.random() * _HAND_OVER_SPREAD_MS
        )
        self.may_have_run = False
        self.runs = 0
        self._retry_after_ms = 0.0

    async def serve(self) -> typing.Optional[refusals.Refusal]:
        """Answer the caller; return a refusal if there is no answer."""
        target = self._shared.choose_target(self._request)
        options = self._arm(target, requests.SendOptions())
        for _ in range(_MOST_MOVES):
            if target is None:
                break
            self._tried.add(target.target_id)
            if await self._run_at(target, options):
                return None
            target, options = self._plan_next(target)
        return self._give_up()

    def _give_up(self) -> typing.Optional[refusals.Refusal]:
        if self._answer.is_started:
            return None
        if self.may_have_run:
            return refusals.refuse_outcome_unknown(
                "the stream broke off before its first event"
            )
        reason = "no target took the request"
        return refusals.refuse_not_run(reason, self._retry_after_ms)

    def _arm(
        self,
        target: typing.Optional[targets.Target],
        options: requests.SendOptions,
    ) -> requests.SendOptions:
        """Choose the target that keeps a copy of the memory."""
        engine = self._request.service.engine
        self._backup = None
        if target is None or engine is None or not engine.can_back_up:
            return options
        if self._request.route.may_repeat():
            # A new run costs less than copies that are seldom used.
            return options
        self._backup = self._shared.choose_backup(self._request, target)
        if self._backup is None:
            return options
        address = self._backup.entry.address
        return options._replace(backup_address=address)

    async def _run_at(
        self, target: targets.Target, options: requests.SendOptions
    ) -> bool:
        """Run at one target; True when the caller has the whole answer."""
        self._count_unread(target)
        self._move = None
        self._began_at = trio.current_time()
        self._is_running = False
        try:
            async with self._send(target, options) as got:
                if got.has_not_run or got.is_wrong_target:
                    self._note_not_run(target, got)
                    return False
                self.may_have_run = True
                self.runs += options.copy is None
                if not got.is_sealed or plain_calls.is_promise(got.status):
                    raise ports.PortError(
                        "receive answer",
                        target.entry.address,
                        f"status {got.status} is no answer of the target",
                        took_effect=True,
                    )
                if got.status >= 300:
                    return await self._pass_on_failure(got)
                await self._pass_on_events(target, got)
                self._shared.note_success(target)
                await self._end(got)
                return True
        except ports.PortError as error:
            self._shared.note_failure(target, error)
            self.may_have_run |= error.took_effect
        except stream_events.EventOrderError as error:
            logs.log_event(
                events.ATTEMPT_FAILED,
                target=target.target_id,
                step="follow events",
                peer=target.entry.address,
                reason=str(error),
                may_have_run=True,
            )
        except _HandOverDueError:
            pass
        finally:
            self._count_read()
            self._end_move()
        return False

    async def _pass_on_events(
        self, target: targets.Target, got: target_calls.TargetAnswer
    ) -> None:
        """Pass events on until the end, or raise why there are no more."""
        failure: typing.Optional[Exception] = None
        async with trio.open_nursery() as nursery:
            try:
                async for event in self._iterate_events(target, got):
                    self._count_read()
                    self._is_running = True
                    await self._pass_on(got, event)
                    await self._check_hand_over(target, nursery)
            except _ENDS_OF_EVENTS as error:
                # Raised below, since a nursery wraps what passes through.
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if self._move is not None:
            await self._move.abandon()

    def _end_move(self) -> None:
        if self._move is not None:
            self._move.end()
            self._move = None

    def _count_unread(self, target: targets.Target) -> None:
        """Count the prompt as work that the target has still to do."""
        self._unread_at = target
        target.unread_prompt_tokens += self._request.prompt_tokens

    def _count_read(self) -> None:
        if self._unread_at is not None:
            tokens = self._request.prompt_tokens
            self._unread_at.unread_prompt_tokens -= tokens
            self._unread_at = None

    def _send(
        self, target: targets.Target, options: requests.SendOptions
    ) -> typing.AsyncContextManager[target_calls.TargetAnswer]:
        return self._shared.send(target, self._request, options)

    def _note_not_run(
        self, target: targets.Target, got: target_calls.TargetAnswer
    ) -> None:
        self._retry_after_ms = max(self._retry_after_ms, got.retry_after_ms)
        logs.log_event(
            events.ATTEMPT_FAILED,
            target=target.target_id,
            step="receive head",
            peer=target.entry.address,
            reason=f"the target refused with status {got.status}",
            may_have_run=False,
        )

    async def _iterate_events(
        self, target: targets.Target, got: target_calls.TargetAnswer
    ) -> abc.AsyncIterator[stream_events.StreamEvent]:
        """Yield events; a silence that is too long is a broken stream."""
        chunks = _bound_silence(
            got.receive_body(), target, self._find_silence_ms
        )
        async for event in stream_events.split_events(chunks):
            yield event

    def _find_silence_ms(self, *, is_first: bool) -> float:
        route = self._request.route
        if is_first:
            return float(self._request.deadline.remaining_ms())
        pause_ms = route.gap_objective_ms * _SILENCE
        return max(_SHORTEST_SILENCE_MS, pause_ms)

    async def _pass_on(
        self,
        got: target_calls.TargetAnswer,
        event: stream_events.StreamEvent,
    ) -> None:
        if not self._order.take(event):
            return
        if not self._answer.is_started:
            await self._answer.start(got.status, got.headers)
        await self._answer.send(event.data)

    async def _end(self, got: target_calls.TargetAnswer) -> None:
        if not self._answer.is_started:
            await self._answer.start(got.status, got.headers)
        await self._answer.finish()

    async def _pass_on_failure(self, got: target_calls.TargetAnswer) -> bool:
        """Give the target's own failure on, if the caller has nothing yet."""
        if self._answer.is_started:
            return False
        body = b"".join([chunk async for chunk in got.receive_body()])
        await self._answer.send_whole(got.status, got.headers, body)
        return True

    async def _check_hand_over(
        self, target: targets.Target, nursery: trio.Nursery
    ) -> None:
        """Raise when the generation should go on elsewhere now."""
        if not _is_leaving(target):
            return
        left_ms = _find_left_ms(target)
        is_due = left_ms is None or left_ms <= self._hand_over_ms
        if self._request.route.may_repeat():
            if is_due and self._shared.choose_target(self._request):
                raise _HandOverDueError()
            return
        if self._has_backup():
            # The copy is there already; a move would only keep the links
            # from generations that have none.
            if is_due:
                raise _HandOverDueError()
            return
        engine = self._request.service.engine
        if engine is not None and engine.can_move:
            await self._move_on(target, nursery)

    async def _move_on(
        self, target: targets.Target, nursery: trio.Nursery
    ) -> None:
        """Copy the memory ahead; once it is there, go on from it."""
        now = trio.current_time()
        if self._move is not None and self._move.has_failed():
            if now < self._move_again_at:
                return
            self._move = None
        if self._move is None:
            self._move_again_at = now + _MOVE_AGAIN_S
            self._move = self._start_move(target, nursery)
            return
        if not self._move.is_ready():
            return
        copy = await self._move.stop_and_copy()
        if copy is not None:
            self._way = _Way(self._move.destination, copy, "move")
        raise _HandOverDueError()

    def _start_move(
        self, target: targets.Target, nursery: trio.Nursery
    ) -> typing.Optional[generation_moves.GenerationMove]:
        destination = self._shared.choose_room(self._request, target)
        if destination is None:
            return None
        move = generation_moves.GenerationMove(
            self._shared.calls,
            target,
            destination,
            self._request.request_id,
            choice.count_tokens(self._request),
        )
        nursery.start_soon(move.copy_ahead)
        return move

    def _has_backup(self) -> bool:
        """Tell whether the copy at the backup can be gone on from."""
        backup = self._backup
        if backup is None or not backup.takes_work():
            return False
        age_s = trio.current_time() - self._began_at
        return age_s >= _BACKUP_READY_S

    def _plan_next(
        self, target: targets.Target
    ) -> tuple[typing.Optional[targets.Target], requests.SendOptions]:
        """Return where and how the request goes on, or None."""
        nothing = None, requests.SendOptions()
        last = "" if self._order.last is None else str(self._order.last)
        if self._request.deadline.is_past():
            return nothing
        if not self.may_have_run:
            return self._plan_other(last)
        way = self._find_way()
        if way is not None:
            options = requests.SendOptions(
                copy=way.copy, last_event_id=last or "0"
            )
            self._log_move(target, way, last)
            return way.target, self._arm(way.target, options)
        route = self._request.route
        if not route.may_repeat() or self.runs >= route.max_attempts:
            return nothing
        return self._plan_other(last)

    def _find_way(self) -> typing.Optional[_Way]:
        """Take the copy from which to go on; each is taken once.

        A copy that was refused is not there, and the next target's backup
        has nothing yet: so a refusal leaves no way but those known before.
        """
        way = self._way
        self._way = None
        if way is not None:
            return way
        backup = self._backup
        self._backup = None
        if backup is None or backup.is_gone or not self._is_running:
            return None
        copy = requests.MemoryCopy(
            backup.entry.address, self._request.request_id
        )
        return _Way(backup, copy, "backup")

    def _plan_other(
        self, last: str
    ) -> tuple[typing.Optional[targets.Target], requests.SendOptions]:
        options = requests.SendOptions(last_event_id=last)
        other = self._shared.choose_target(self._request, self._tried)
        if other is None or not self._shared.take_retry(self._request):
            return None, options
        return other, self._arm(other, options)

    def _log_move(
        self,
        source: targets.Target,
        way: _Way,
        last: str,
    ) -> None:
        logs.log_event(
            events.GENERATION_MOVED,
            source=source.target_id,
            target=way.target.target_id,
            way=way.name,
            after_event=last,
            source_leaves_in_ms=_find_left_ms(source),
            source_is_gone=source.is_gone,
        )


def _is_leaving(target: targets.Target) -> bool:
    return target.is_gone or not target.takes_work()


def _find_left_ms(target: targets.Target) -> typing.Optional[int]:
    """Return the time until a target leaves; None when it is not known."""
    if target.leaves_at is None:
        return None
    return target.leaves_at.remaining_ms()


async def _bound_silence(
    chunks: abc.AsyncIterator[bytes],
    target: targets.Target,
    find_silence_ms: abc.Callable[..., float],
) -> abc.AsyncIterator[bytes]:
    """Yield chunks; raise when one takes too long.

    A connection that has gone silent for good gives no error, and the caller
    would wait until its deadline while a copy of the memory is at hand.
    """
    is_first = True
    while True:
        limit = deadlines.make_deadline(find_silence_ms(is_first=is_first))
        with trio.CancelScope(deadline=limit.at) as scope:
            try:
                chunk = await anext(chunks)
            except StopAsyncIteration:
                return
        if scope.cancelled_caught:
            raise ports.PortError(
                "receive event",
                target.entry.address,
                "the stream is silent",
                took_effect=True,
            )
        is_first = False
        yield chunk

"""Runs generations on a model engine."""

import typing

import trio

from gentianpoint_agent import admission
from gentianpoint_agent import admission_policy
from gentianpoint_agent import applied_service
from gentianpoint_agent import call_runner
from gentianpoint_agent import generations
from gentianpoint_agent import target_watch
from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_core import generation_ids
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core import telemetry
from gentianpoint_core.decisions import stream_origins
from gentianpoint_core.generated import events

__all__ = ("EngineRunner",)

_RESUME_ATTEMPTS: typing.Final = 5
"""Attempts to resume a broken stream before it counts as lost."""
_RETRY_DELAY_S: typing.Final = 0.2
"""Delay between attempts to resume or cancel a stream, in seconds."""
_CANCEL_ATTEMPTS: typing.Final = 3
"""Attempts to cancel a stream."""
_RETRY_AFTER_MS: typing.Final = 1000
"""Retry delay sent with a call that did not run, in milliseconds."""
_GAP_SMOOTHING: typing.Final = 0.1
"""Weight of a new gap in the running mean of gaps between tokens."""
_STALL_FACTOR: typing.Final = 2.0
"""Multiple of the mean gap above which a gap is a stall."""
_REPLAY_GAP_MS: typing.Final = 2.0
"""Largest gap between tokens generated earlier, in milliseconds."""


class _StreamLostError(Exception):
    """The engine does not know the stream, or can't be reached."""

    def __init__(self, reason: str, target_end: str = "") -> None:
        super().__init__(reason)
        self.target_end: typing.Final = target_end


class _TokenTimer:
    """Measures gaps and stalls between the tokens of one stream.

    The expected gap is a running mean. A gap of more than twice the expected
    one is a stall, of which only the part beyond the expected gap counts.
    """

    def __init__(
        self, service: str, instruments: telemetry.GenerationInstruments
    ) -> None:
        self._service: typing.Final = service
        self._instruments: typing.Final = instruments
        self._last_ms: typing.Optional[float] = None
        self._mean_ms: typing.Optional[float] = None
        self.is_replaying = False
        """True while tokens arrive that the engine generated earlier."""

    def record_token(self) -> None:
        """Record the gap since the last token.

        Tokens generated earlier arrive as fast as the link carries them.
        Counted as the engine's pace, they would make it look a hundred times
        faster than it is and every later token look like a stall.
        """
        now_ms = deadlines.read_clock_ms()
        gap_ms = None if self._last_ms is None else now_ms - self._last_ms
        self._last_ms = now_ms
        if gap_ms is None:
            return
        if self.is_replaying:
            self.is_replaying = gap_ms <= _REPLAY_GAP_MS
            return
        self._record_gap(gap_ms)

    def _record_gap(self, gap_ms: float) -> None:
        self._instruments.record_gap(self._service, gap_ms)
        mean_ms = gap_ms if self._mean_ms is None else self._mean_ms
        if gap_ms > _STALL_FACTOR * mean_ms:
            self._instruments.record_stall(self._service, gap_ms - mean_ms)
            return
        self._mean_ms = mean_ms + _GAP_SMOOTHING * (gap_ms - mean_ms)


class EngineRunner(call_runner.CallRunner):
    """Runs generations on one engine and resumes broken streams."""

    def __init__(
        self,
        control: admission.AdmissionControl,
        engine: ports.Engine,
        service: applied_service.AppliedService,
        instruments: telemetry.GenerationInstruments,
        watch: target_watch.TargetWatch,
    ) -> None:
        """Run on ``engine`` what ``service`` declares.

        ``watch`` tells whether the engine has ended.
        """
        super().__init__(control)
        self._watch: typing.Final = watch
        self._engine: typing.Final = engine
        self._service: typing.Final = service
        self._instruments: typing.Final = instruments

    async def call_target(
        self,
        generation: generations.Generation,
        call: call_runner.OfferedCall,
        slot: admission_policy.Slot,
    ) -> generations.GenerationEnd:
        """Stream the answer, resuming a broken stream after its last token."""
        timer = _TokenTimer(self._service.name, self._instruments)
        request = self._make_request(generation, call)
        try:
            end = await self._start_and_read(generation, request, slot, timer)
            while end is None:
                end = await self._resume(generation, slot, timer)
            return end
        except _StreamLostError as error:
            return self._make_lost_end(generation, error)

    async def resume_adopted(
        self, generation: generations.Generation
    ) -> generations.GenerationEnd:
        """Read an adopted stream from its first token to its end.

        Tokens that were delivered before are read too, since an entry may
        resume after any token.
        """
        timer = _TokenTimer(self._service.name, self._instruments)
        timer.is_replaying = True
        with self._control.admit_running(_make_profile(generation)) as slot:
            try:
                end = None
                while end is None:
                    end = await self._resume(generation, slot, timer)
            except _StreamLostError as error:
                return self._make_lost_end(generation, error)
        if end.reason == generations.CANCELLED:
            # A cancel by this run ends the task before the engine reports
            # it, so an earlier run cancelled the stream as an orphan. Ending
            # with ``cancelled`` would tell the caller that it had cancelled.
            return self._make_lost_end(
                generation, _StreamLostError("another run cancelled it")
            )
        return end

    def _make_request(
        self,
        generation: generations.Generation,
        call: call_runner.OfferedCall,
    ) -> ports.StreamRequest:
        spec = self._service.spec
        requested = call.offer["request"]["max_tokens"]
        limit = spec.get("max_tokens", 0)
        max_tokens = (
            min(requested, limit)
            if requested and limit
            else requested or limit
        )
        model = spec.get("model", "")
        adapter = spec.get("adapter", "")
        version = spec.get("version", "")
        load = self._control.load
        if load is not None and load.model == model:
            # The target serves the version it holds until its turn to load
            # comes; the engine would refuse calls for the declared version.
            adapter, version = load.adapter, load.version
        return ports.StreamRequest(
            generation.identifier,
            call.offer["request"]["prompt"],
            max_tokens,
            call.offer["priority"],
            model,
            adapter,
            version,
        )

    async def _start_and_read(
        self,
        generation: generations.Generation,
        request: ports.StreamRequest,
        slot: admission_policy.Slot,
        timer: _TokenTimer,
    ) -> typing.Optional[generations.GenerationEnd]:
        try:
            async with self._engine.start_stream(request) as stream:
                return await self._read_events(generation, stream, slot, timer)
        except ports.PortError as error:
            if error.took_effect or generation.count_items():
                # The stream may have started although the answer was lost,
                # so it is looked up by its identifier.
                return None
            raise errors.CallError(
                errors.NOT_RUN,
                error.reason,
                step=error.step,
                peer=error.peer,
                retry_after_ms=_RETRY_AFTER_MS,
            ) from error

    async def _resume(
        self,
        generation: generations.Generation,
        slot: admission_policy.Slot,
        timer: _TokenTimer,
    ) -> typing.Optional[generations.GenerationEnd]:
        reason = ""
        for _ in range(_RESUME_ATTEMPTS):
            after = generation.count_items()
            logs.log_event(
                events.GENERATION_RESUMED,
                generation=generation.identifier,
                after=after,
                repeatable=generation.repeatable,
            )
            try:
                async with self._engine.resume_stream(
                    generation.identifier, after
                ) as stream:
                    return await self._read_events(
                        generation, stream, slot, timer
                    )
            except ports.PortError as error:
                reason = str(error)
                if generation.count_items() > after:
                    return None
            target_end = await self._find_target_end()
            if target_end:
                # Its streams are gone, also if it starts again.
                raise _StreamLostError(reason, target_end)
            await trio.sleep(_RETRY_DELAY_S)
        raise _StreamLostError(reason)

    async def _find_target_end(self) -> str:
        """Return the identifier of the engine's end, empty if it goes on.

        Empty also after a notice: that end says nothing about what ran.
        """
        target_end = await self._watch.find_end()
        load = self._control.load
        is_planned = load is not None and load.reclaim_in_ms is not None
        return "" if is_planned else target_end

    async def _read_events(
        self,
        generation: generations.Generation,
        stream: typing.AsyncIterator[ports.StreamEvent],
        slot: admission_policy.Slot,
        timer: _TokenTimer,
    ) -> typing.Optional[generations.GenerationEnd]:
        is_checked = False
        async for event in stream:
            if not is_checked:
                self._check_software(generation, event.software)
                is_checked = True
            generation.confirmed = True
            if event.software:
                continue
            if event.end:
                slot.note_end(event.end, event.prompt_tokens)
                return generations.GenerationEnd(
                    event.end,
                    prompt_tokens=event.prompt_tokens,
                    completion_tokens=event.completion_tokens,
                )
            if event.preempted:
                self._record_preemption(generation, slot)
            elif event.number == generation.count_items() + 1:
                timer.record_token()
                slot.note_token(is_timed=not timer.is_replaying)
                generation.add_text(event.text)
            elif event.number > generation.count_items():
                # This stream can't fill the gap; reading on would give the
                # caller an answer with missing words.
                return None
        return None

    @staticmethod
    def _check_software(
        generation: generations.Generation, software: str
    ) -> None:
        """Require the software that began the stream."""
        here = generations.make_origin(
            generation_ids.digest_software(software)
        )
        if not stream_origins.may_go_on(generation.origin, here):
            raise _StreamLostError("the engine has other software now")
        generation.origin = generation.origin or here

    def _record_preemption(
        self, generation: generations.Generation, slot: admission_policy.Slot
    ) -> None:
        slot.note_preemption()
        self._instruments.record_preemption(self._service.name)
        logs.log_event(
            events.GENERATION_PREEMPTED, generation=generation.identifier
        )

    def _make_lost_end(
        self, generation: generations.Generation, error: _StreamLostError
    ) -> generations.GenerationEnd:
        count = generation.count_items()
        return generations.GenerationEnd(
            generations.INCOMPLETE if count else generations.OUTCOME_UNKNOWN,
            f"the engine lost the stream: {error}",
            completion_tokens=count,
            target_end=error.target_end,
        )

    async def cancel_at_target(
        self, generation: generations.Generation
    ) -> None:
        """Cancel the stream, which would otherwise run on unread."""
        for _ in range(_CANCEL_ATTEMPTS):
            try:
                await self._engine.cancel_stream(generation.identifier)
                return
            except ports.PortError:
                await trio.sleep(_RETRY_DELAY_S)


def _make_profile(
    generation: generations.Generation,
) -> admission_policy.CallProfile:
    """Return a profile for a stream whose request this run never saw."""
    return admission_policy.CallProfile(
        generation.customer,
        1.0,
        0,
        0,
        "",
        0,
        deadlines.NO_DEADLINE,
    )

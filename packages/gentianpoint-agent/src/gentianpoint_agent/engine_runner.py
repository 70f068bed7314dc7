"""Runs generations on a model engine."""

import typing

import trio

from gentianpoint_agent import admission
from gentianpoint_agent import admission_policy
from gentianpoint_agent import applied_service
from gentianpoint_agent import call_runner
from gentianpoint_agent import generations
from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core import telemetry
from gentianpoint_core.generated import events

__all__ = ("EngineRunner",)

_RESUME_TRIES: typing.Final = 5
_RESUME_PAUSE_S: typing.Final = 0.2
_CANCEL_TRIES: typing.Final = 3
_RETRY_AFTER_MS: typing.Final = 1000
_PACE_SHARE: typing.Final = 0.1
_STALL_FACTOR: typing.Final = 2.0
_BURST_GAP_MS: typing.Final = 2.0


class _StreamLostError(Exception):
    """The engine does not know the stream, or can't be reached."""


class _Pace:
    """The expected time between tokens of one stream.

    The expectation is a running mean of the gaps; a gap above twice of it is
    a stall, and only its part beyond the expectation counts.
    """

    def __init__(
        self, service: str, instruments: telemetry.GenerationInstruments
    ) -> None:
        self._service: typing.Final = service
        self._instruments: typing.Final = instruments
        self._last_ms: typing.Optional[float] = None
        self._mean_ms: typing.Optional[float] = None
        self.is_burst = False
        """True while tokens come that the engine had generated before."""

    def note_token(self) -> None:
        """Record the gap since the last token.

        Tokens of before come as fast as the link carries them. Taken for
        the engine's pace, they would make it look a hundred times faster
        than it is, and every later token a stall.
        """
        now_ms = deadlines.read_clock_ms()
        gap_ms = None if self._last_ms is None else now_ms - self._last_ms
        self._last_ms = now_ms
        if gap_ms is None:
            return
        if self.is_burst:
            self.is_burst = gap_ms <= _BURST_GAP_MS
            return
        self._note_gap(gap_ms)

    def _note_gap(self, gap_ms: float) -> None:
        self._instruments.record_gap(self._service, gap_ms)
        mean_ms = gap_ms if self._mean_ms is None else self._mean_ms
        if gap_ms > _STALL_FACTOR * mean_ms:
            self._instruments.record_stall(self._service, gap_ms - mean_ms)
            return
        self._mean_ms = mean_ms + _PACE_SHARE * (gap_ms - mean_ms)


class EngineRunner(call_runner.CallRunner):
    """Streams generations from one engine, resuming cut streams."""

    def __init__(
        self,
        control: admission.AdmissionControl,
        engine: ports.Engine,
        service: applied_service.AppliedService,
        instruments: telemetry.GenerationInstruments,
    ) -> None:
        """Run on ``engine`` what ``service`` declares."""
        super().__init__(control)
        self._engine: typing.Final = engine
        self._service: typing.Final = service
        self._instruments: typing.Final = instruments

    async def run_started(
        self,
        generation: generations.Generation,
        order: call_runner.StartOrder,
        slot: admission_policy.Slot,
    ) -> generations.GenerationEnd:
        """Stream the answer; a cut stream is resumed after its last token."""
        pace = _Pace(self._service.name, self._instruments)
        request = self._make_request(generation, order)
        try:
            end = await self._read_first_stream(
                generation, request, slot, pace
            )
            while end is None:
                end = await self._resume(generation, slot, pace)
            return end
        except _StreamLostError as error:
            return self._describe_loss(generation, str(error))

    async def take_up(
        self, generation: generations.Generation
    ) -> generations.GenerationEnd:
        """Read an adopted stream from its first token to its end.

        All tokens are asked for, also those that were delivered, since any
        entry may ask for those after any number.
        """
        pace = _Pace(self._service.name, self._instruments)
        pace.is_burst = True
        with self._control.admit_running(_make_profile(generation)) as slot:
            try:
                end = None
                while end is None:
                    end = await self._resume(generation, slot, pace)
            except _StreamLostError as error:
                return self._describe_loss(generation, str(error))
        if end.reason == generations.CANCELLED:
            # A cancel of ours ends this task before the engine's word comes.
            # An earlier run that took it for an orphan did it; the caller
            # would be told that it cancelled what it did not.
            return self._describe_loss(generation, "another run cancelled it")
        return end

    def _make_request(
        self,
        generation: generations.Generation,
        order: call_runner.StartOrder,
    ) -> ports.StreamRequest:
        spec = self._service.spec
        asked = order.offer["request"]["max_tokens"]
        limit = spec.get("max_tokens", 0)
        most = min(asked, limit) if asked and limit else asked or limit
        model = spec.get("model", "")
        adapter = spec.get("adapter", "")
        version = spec.get("version", "")
        load = self._control.load
        if load is not None and load.model == model:
            # Until the target's turn to load comes it serves the version it
            # holds; asked for the declared one, the engine would refuse all.
            adapter, version = load.adapter, load.version
        return ports.StreamRequest(
            generation.identifier,
            order.offer["request"]["prompt"],
            most,
            order.offer["priority"],
            model,
            adapter,
            version,
        )

    async def _read_first_stream(
        self,
        generation: generations.Generation,
        request: ports.StreamRequest,
        slot: admission_policy.Slot,
        pace: _Pace,
    ) -> typing.Optional[generations.GenerationEnd]:
        try:
            async with self._engine.start_stream(request) as stream:
                return await self._read(generation, stream, slot, pace)
        except ports.PortError as error:
            if error.took_effect or generation.count_items():
                # The start may have taken effect although its answer was
                # lost: the stream is looked for under its identifier.
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
        pace: _Pace,
    ) -> typing.Optional[generations.GenerationEnd]:
        reason = ""
        for _ in range(_RESUME_TRIES):
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
                    return await self._read(generation, stream, slot, pace)
            except ports.PortError as error:
                reason = str(error)
                if generation.count_items() > after:
                    return None
            await trio.sleep(_RESUME_PAUSE_S)
        raise _StreamLostError(reason)

    async def _read(
        self,
        generation: generations.Generation,
        stream: typing.AsyncIterator[ports.StreamEvent],
        slot: admission_policy.Slot,
        pace: _Pace,
    ) -> typing.Optional[generations.GenerationEnd]:
        async for event in stream:
            generation.found = True
            if event.end:
                slot.note_end(event.end, event.prompt_tokens)
                return generations.GenerationEnd(
                    event.end,
                    prompt_tokens=event.prompt_tokens,
                    completion_tokens=event.completion_tokens,
                )
            if event.preempted:
                self._note_preemption(generation, slot)
            elif event.number == generation.count_items() + 1:
                pace.note_token()
                slot.note_token(is_timed=not pace.is_burst)
                generation.add_text(event.text)
            elif event.number > generation.count_items():
                # A hole can't be filled from this stream; reading on would
                # give the caller an answer with words missing.
                return None
        return None

    def _note_preemption(
        self, generation: generations.Generation, slot: admission_policy.Slot
    ) -> None:
        slot.note_preemption()
        self._instruments.record_preemption(self._service.name)
        logs.log_event(
            events.GENERATION_PREEMPTED, generation=generation.identifier
        )

    def _describe_loss(
        self, generation: generations.Generation, reason: str
    ) -> generations.GenerationEnd:
        count = generation.count_items()
        return generations.GenerationEnd(
            generations.INCOMPLETE if count else generations.OUTCOME_UNKNOWN,
            f"the engine lost the stream: {reason}",
            completion_tokens=count,
        )

    async def stop(self, generation: generations.Generation) -> None:
        """Cancel the stream, which would otherwise go on unread."""
        for _ in range(_CANCEL_TRIES):
            try:
                await self._engine.cancel_stream(generation.identifier)
                return
            except ports.PortError:
                await trio.sleep(_RESUME_PAUSE_S)


def _make_profile(
    generation: generations.Generation,
) -> admission_policy.CallProfile:
    """Return what is known of a stream whose request was never seen."""
    return admission_policy.CallProfile(
        generation.customer,
        1.0,
        0,
        0,
        "",
        0,
        deadlines.NO_DEADLINE,
    )

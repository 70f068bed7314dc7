"""Holds recorded log events against the dispatch specification.

Failure tests record the numbered events of all processes. Each event about a
generation or a request is a step of :mod:`spec.lifecycle`; a step that the
tables do not allow is a fault of the code, or of the specification. After
the last event, what the callers were told is compared with what ran.

Within one process events must be in their order; how the processes are
interleaved does not matter, since clocks of hosts differ::

    events = [*read_events(entry_log, "entry-1"),
              *read_events(agent_log, "agent-1")]
    result = replay_events(events)
    assert result.is_ok(), result.error

Two incarnations of one agent are two processes and need two names, else a
start of a foreign identifier can't be told from a start at home.

A later incarnation may adopt what an earlier one started. What it reads on is
held against the same table, from the state in which the engine was asked and
has not answered; a start of it there is refused like any foreign start.
"""

from collections import abc
import json
import typing

import expression

from gentianpoint_core import errors
from gentianpoint_core import generation_ids
from gentianpoint_core.generated import events as catalogue
from spec import lifecycle

__all__ = ("RecordedEvent", "ReplaySummary", "read_events", "replay_events")


class RecordedEvent(typing.TypedDict, total=False):
    """A log line, with the fields that the replay reads."""

    event: str
    """Name in the catalogue."""
    number: int
    """Number in the catalogue."""
    process: str
    """Process that wrote it; the host when absent."""
    host: str
    """Host of the process."""
    incarnation: str
    """Run of an agent's process, when it starts."""
    request: str
    """Identifier of the request at its entry."""
    generation: str
    """Identifier of the generation; empty when there is none yet."""
    attempt: str
    """Identifier of an attempt, the same when it is offered again."""
    repeatable: bool
    """False when the request may run at most once."""
    attached: bool
    """Whether an offer found its generation admitted already."""
    outcome: str
    """What the caller was told."""
    items: int
    """Items given by the engine, or delivered to the caller."""


class ReplaySummary(typing.NamedTuple):
    """What a recording held."""

    events: int
    """Events read."""
    steps: int
    """Events that were held against the specification."""
    generations: int
    """Generations seen at their agents."""
    requests: int
    """Requests seen at entries."""
    ran: int
    """Generations that an engine was asked for and did not refuse."""
    unknown_homes: int
    """Generations of processes whose own start is not in the recording."""


def read_events(
    lines: abc.Iterable[str], process: str
) -> abc.Sequence[RecordedEvent]:
    """Return the events among the lines that a process wrote."""
    events: list[RecordedEvent] = []
    for line in lines:
        try:
            fields = json.loads(line)
        except ValueError:
            continue
        if isinstance(fields, dict) and "number" in fields:
            fields["process"] = process
            events.append(typing.cast(RecordedEvent, fields))
    return events


def replay_events(
    events: abc.Iterable[RecordedEvent],
) -> expression.Result[ReplaySummary, errors.Failure]:
    """Return what the recording held, or the first step not allowed."""
    replay = _Replay()
    for index, event in enumerate(events, 1):
        name = event.get("event", "")
        try:
            replay.take(event)
        except _StepError as error:
            step = f"replay event {index}, {name}"
            process = _name_process(event)
            return expression.Error(errors.Failure(step, process, str(error)))
    try:
        replay.compare_answers()
    except _StepError as error:
        return expression.Error(
            errors.Failure("compare answers", "", str(error))
        )
    return expression.Ok(replay.summarize())


class _StepError(Exception):
    """The specification does not allow a step."""


class _Generation:
    """A generation as its agent's events tell it."""

    def __init__(self, identifier: str, state: str) -> None:
        self.identifier: typing.Final = identifier
        self.state = state
        self.too_late = False
        self.items: typing.Optional[int] = None

    def move(self, step: str) -> None:
        after = lifecycle.GENERATION_STEPS[self.state].get(step)
        if after is None:
            raise _StepError(
                f"{self.identifier}: {step} is not allowed when {self.state}"
            )
        self.state = after

    def has_run(self) -> bool:
        """Tell whether an engine may have run it."""
        return self.state not in (
            lifecycle.PREPARED,
            lifecycle.QUEUED,
            lifecycle.REFUSED,
        )


class _Request:
    """A request as its entry's events tell it."""

    def __init__(self, name: str) -> None:
        self.name: typing.Final = name
        self.state = lifecycle.NEW
        self.repeatable = True
        self.generation = ""
        self.attempt = ""
        self.offered: typing.Final[set[str]] = set()
        self.is_refused = False
        self.outcome = ""
        self.items = 0

    def move(self, step: str) -> None:
        after = lifecycle.REQUEST_STEPS[self.state].get(step)
        if after is None:
            raise _StepError(
                f"request {self.name}: {step} is not allowed when {self.state}"
            )
        self.state = after


_GENERATION_EVENTS: typing.Final[typing.Mapping[str, str]] = {
    catalogue.CALL_ADMITTED.name: lifecycle.ADMIT,
    catalogue.GENERATION_STARTED.name: lifecycle.ASK,
    catalogue.GENERATION_RESUMED.name: lifecycle.ACCEPT,
    catalogue.GENERATION_ENDED.name: lifecycle.END,
    catalogue.GENERATION_INCOMPLETE.name: lifecycle.DIE,
    catalogue.GENERATION_CANCELLED.name: lifecycle.CANCEL,
    catalogue.OUTCOME_UNKNOWN.name: lifecycle.LOSE_REPLY,
    catalogue.CALL_REFUSED.name: lifecycle.REFUSE,
    catalogue.START_TOO_LATE.name: lifecycle.REFUSE,
}
"""Step of a generation for each event of an agent."""

_REQUEST_EVENTS: typing.Final[typing.Mapping[str, str]] = {
    catalogue.CALL_OFFERED.name: lifecycle.OFFER,
    catalogue.CALL_RETRIED.name: lifecycle.RETRY,
    catalogue.GENERATION_RESUMED.name: lifecycle.READ,
    catalogue.CALL_FINISHED.name: lifecycle.FINISH,
    catalogue.CALL_CLOSED.name: lifecycle.FINISH,
    catalogue.OUTCOME_UNKNOWN.name: lifecycle.FINISH,
}
"""Step of a request for each event of an entry."""

_CATALOGUE: typing.Final[typing.Mapping[str, int]] = {
    value.name: value.number
    for value in vars(catalogue).values()
    if isinstance(value, catalogue.Event)
}

_STATES_OF_OUTCOME: typing.Final[
    typing.Mapping[str, typing.Collection[str]]
] = {
    "ok": (lifecycle.OFFERED, lifecycle.READING),
    errors.INCOMPLETE: (lifecycle.OFFERED, lifecycle.READING),
    errors.CANCELLED: (lifecycle.OFFERED, lifecycle.READING),
    errors.NOT_RUN: (lifecycle.NEW, lifecycle.OFFERED, lifecycle.RETRYING),
}
"""States of a request in which its caller may be told so."""

_WITHOUT_ITEMS: typing.Final = (errors.NOT_RUN, errors.OUTCOME_UNKNOWN)


class _Replay:
    """Takes events one by one and keeps what they tell."""

    def __init__(self) -> None:
        self._events = 0
        self._steps = 0
        self._incarnations: typing.Final[dict[str, str]] = {}
        self._generations: typing.Final[dict[str, _Generation]] = {}
        self._adopted: typing.Final[dict[tuple[str, str], _Generation]] = {}
        self._homes_unknown: typing.Final[set[str]] = set()
        self._requests: typing.Final[dict[tuple[str, str], _Request]] = {}
        self._attempts: typing.Final[dict[str, set[str]]] = {}

    def take(self, event: RecordedEvent) -> None:
        """Hold one event against the specification."""
        self._events += 1
        name = event.get("event", "")
        if _CATALOGUE.get(name) != event.get("number"):
            raise _StepError("the catalogue has no such event and number")
        if name == catalogue.AGENT_STARTED.name:
            self._note_incarnation(event)
        elif event.get("request"):
            self._take_at_entry(event, name)
        elif event.get("generation"):
            self._take_at_agent(event, name)

    def _note_incarnation(self, event: RecordedEvent) -> None:
        process = _name_process(event)
        self._incarnations[process] = event.get("incarnation", "")

    def _take_at_agent(self, event: RecordedEvent, name: str) -> None:
        identifier = event["generation"]
        known = self._generations.get(identifier)
        if name == catalogue.GENERATION_ADOPTED.name:
            self._steps += 1
            self._adopt(event)
            return
        if name == catalogue.CALL_PREPARED.name:
            self._steps += 1
            self._check_home(event)
            if known is not None:
                raise _StepError(f"{identifier} was given out before")
            self._add_generation(identifier)
            return
        if name == catalogue.GENERATION_ABANDONED.name:
            self._steps += 1
            self._find_running(identifier)
            return
        step = _GENERATION_EVENTS.get(name)
        if step is None:
            return
        self._steps += 1
        adopted = self._adopted.get((_name_process(event), identifier))
        if adopted is not None:
            self._move_adopted(event, adopted, step)
            return
        self._check_home(event)
        if step == lifecycle.ADMIT:
            self._admit(event, known)
            return
        self._move(event, self._find(identifier), step)

    def _adopt(self, event: RecordedEvent) -> None:
        """Note that a later incarnation reads an identifier on.

        It may look for the same one again after it was not found.
        """
        identifier = event["generation"]
        process = _name_process(event)
        parsed = generation_ids.parse_generation_id(identifier)
        if parsed.is_error():
            raise _StepError(str(parsed.error))
        if parsed.ok.incarnation == self._incarnations.get(process):
            raise _StepError(f"{identifier} was issued by its adopter")
        known = self._adopted.get((process, identifier))
        if known is not None and known.state != lifecycle.UNKNOWN:
            raise _StepError(f"{identifier} was adopted before")
        generation = _Generation(identifier, lifecycle.ASKED)
        self._adopted[process, identifier] = generation

    def _move_adopted(
        self, event: RecordedEvent, generation: _Generation, step: str
    ) -> None:
        if step == lifecycle.ADMIT and event.get("attached", False):
            return
        if step in (lifecycle.ADMIT, lifecycle.ASK, lifecycle.REFUSE):
            raise _StepError(f"{generation.identifier}: {step} when adopted")
        self._move(event, generation, step)

    def _check_home(self, event: RecordedEvent) -> None:
        """Refuse steps of an identifier that another incarnation issued."""
        parsed = generation_ids.parse_generation_id(event["generation"])
        if parsed.is_error():
            raise _StepError(str(parsed.error))
        incarnation = self._incarnations.get(_name_process(event))
        if incarnation is None:
            self._homes_unknown.add(event["generation"])
        elif parsed.ok.incarnation != incarnation:
            raise _StepError(
                f"{event['generation']} was not issued by {incarnation}"
            )

    def _add_generation(self, identifier: str) -> _Generation:
        generation = _Generation(identifier, lifecycle.PREPARED)
        self._generations[identifier] = generation
        return generation

    def _find(self, identifier: str) -> _Generation:
        generation = self._generations.get(identifier)
        if generation is None:
            raise _StepError(f"{identifier} was not admitted")
        return generation

    def _find_running(self, identifier: str) -> None:
        state = self._find(identifier).state
        if state not in (
            lifecycle.QUEUED,
            lifecycle.ASKED,
            lifecycle.RUNNING,
        ):
            raise _StepError(f"{identifier} is {state} and has no reader")

    def _admit(
        self, event: RecordedEvent, known: typing.Optional[_Generation]
    ) -> None:
        if event.get("attached", False):
            if self._find(event["generation"]).state in (
                lifecycle.PREPARED,
                lifecycle.REFUSED,
            ):
                raise _StepError("nothing to attach to")
            return
        generation = known or self._add_generation(event["generation"])
        generation.move(lifecycle.ADMIT)
        attempt = event.get("attempt", "")
        if attempt:
            made = self._attempts.setdefault(attempt, set())
            made.add(generation.identifier)

    def _move(
        self, event: RecordedEvent, generation: _Generation, step: str
    ) -> None:
        is_refusal = event["event"] == catalogue.CALL_REFUSED.name
        if is_refusal and generation.too_late:
            # The refusal that follows a start that came too late.
            generation.too_late = False
            return
        if step == lifecycle.REFUSE and event.get("items", 0):
            raise _StepError(f"{generation.identifier} gave items")
        generation.move(step)
        generation.too_late = event["event"] == catalogue.START_TOO_LATE.name
        generation.items = event.get("items", generation.items)

    def _take_at_entry(self, event: RecordedEvent, name: str) -> None:
        key = _name_process(event), event["request"]
        request = self._requests.setdefault(key, _Request(event["request"]))
        request.repeatable = event.get("repeatable", request.repeatable)
        if name == catalogue.CALL_REFUSED.name:
            self._steps += 1
            request.is_refused = True
            return
        step = _REQUEST_EVENTS.get(name)
        if step is None:
            return
        self._steps += 1
        if step == lifecycle.OFFER:
            _take_offer(request, event)
        elif step == lifecycle.RETRY:
            _take_retry(request)
        elif step == lifecycle.READ:
            _take_read(request, event)
        else:
            _take_finish(request, event)

    def compare_answers(self) -> None:
        """Compare what callers were told with what ran."""
        for request in self._requests.values():
            offered = self._list_offered(request)
            ran = [item.identifier for item in offered if item.has_run()]
            if not request.repeatable and len(ran) > 1:
                raise _StepError(
                    f"request {request.name} ran more than once: {ran}"
                )
            if request.outcome == errors.NOT_RUN and ran:
                raise _StepError(
                    f"request {request.name} was told not run, but {ran} ran"
                )
            self._compare_items(request)
        self._compare_adopted()

    def _compare_adopted(self) -> None:
        """Refuse items of a generation that its home never started."""
        for adopted in self._adopted.values():
            home = self._generations.get(adopted.identifier)
            if adopted.items and home is not None and not home.has_run():
                raise _StepError(
                    f"{adopted.identifier} gave {adopted.items} items, but "
                    f"is {home.state} at its home"
                )

    def _list_offered(self, request: _Request) -> list[_Generation]:
        """Return the generations that the offers of a request made."""
        identifiers = set(request.offered)
        for name in request.offered:
            identifiers |= self._attempts.get(name, set())
        return [
            self._generations[identifier]
            for identifier in sorted(identifiers)
            if identifier in self._generations
        ]

    def _compare_items(self, request: _Request) -> None:
        read = self._list_copies(request.generation)
        if request.outcome != "ok" or not read:
            return
        ended = [copy for copy in read if copy.state == lifecycle.ENDED]
        if not ended:
            raise _StepError(
                f"request {request.name} was told the end, but "
                f"{read[0].identifier} is {read[0].state}"
            )
        for copy in ended:
            if copy.items not in (None, request.items):
                raise _StepError(
                    f"request {request.name} got {request.items} items of "
                    f"{copy.items}"
                )

    def _list_copies(self, identifier: str) -> list[_Generation]:
        """Return a generation as its home and its adopters tell it."""
        home = self._generations.get(identifier)
        adopted = [
            copy
            for copy in self._adopted.values()
            if copy.identifier == identifier
        ]
        return [home, *adopted] if home is not None else adopted

    def summarize(self) -> ReplaySummary:
        """Return what was read."""
        generations = self._generations.values()
        return ReplaySummary(
            events=self._events,
            steps=self._steps,
            generations=len(generations),
            requests=len(self._requests),
            ran=sum(generation.has_run() for generation in generations),
            unknown_homes=len(self._homes_unknown),
        )


def _name_process(event: RecordedEvent) -> str:
    return event.get("process") or event.get("host", "")


def _take_offer(request: _Request, event: RecordedEvent) -> None:
    identifier = event.get("generation", "")
    # An attempt that is offered again after a lost link is the same step, as
    # is one identifier: the agent attaches it to what it holds.
    name = identifier or event.get("attempt", "")
    is_repeat = name and name == request.attempt
    if is_repeat and request.state == lifecycle.OFFERED:
        return
    request.move(lifecycle.OFFER)
    request.is_refused = False
    request.generation = identifier
    request.attempt = name
    if name:
        request.offered.add(name)


def _take_retry(request: _Request) -> None:
    # What was offered under an identifier is compared at the end. Without
    # one only the agent's refusal shows that nothing ran.
    is_open = request.state == lifecycle.OFFERED and not request.generation
    if is_open and not request.repeatable and not request.is_refused:
        raise _StepError(
            f"request {request.name} may run once and was not refused"
        )
    request.move(lifecycle.RETRY)


def _take_read(request: _Request, event: RecordedEvent) -> None:
    identifier = event.get("generation", "")
    if request.state == lifecycle.READING and identifier != request.generation:
        raise _StepError(
            f"request {request.name} goes from {request.generation} "
            f"to {identifier}"
        )
    request.move(lifecycle.READ)
    request.generation = identifier


def _take_finish(request: _Request, event: RecordedEvent) -> None:
    if event["event"] == catalogue.CALL_CLOSED.name:
        # The caller went away and was told nothing.
        request.move(lifecycle.FINISH)
        return
    outcome = event.get("outcome", errors.OUTCOME_UNKNOWN)
    allowed = _STATES_OF_OUTCOME.get(outcome)
    if allowed is not None and request.state not in allowed:
        raise _StepError(
            f"request {request.name}: {outcome} is not allowed when "
            f"{request.state}"
        )
    request.items = event.get("items", 0)
    if outcome in _WITHOUT_ITEMS and request.items:
        raise _StepError(
            f"request {request.name}: {outcome} after {request.items} items"
        )
    request.move(lifecycle.FINISH)
    request.outcome = outcome
    identifier = event.get("generation", "")
    if identifier:
        request.generation = identifier

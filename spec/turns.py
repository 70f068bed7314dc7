"""Specification of turns that targets take through the log.

Each target asks, starts when those before it in the queue leave room, and
has its turn if no start before its own in the log is still open. One turn is
open at a time here. Targets read the log late, die, and are paused; a place
in the queue and a turn end by deadlines, which the holder counts from before
its start and all others from when they read it.
"""

from collections import abc
import enum
import typing

import minicheck

__all__ = ("PROPERTIES", "SCOPES", "Guard", "Scope", "build_turns")


class Guard(enum.StrEnum):
    """Rules of turns; each can be taken out to show its need."""

    EARLIER_START_WINS = "earlier_start_wins"
    """A target whose start comes after an open one stands back."""
    READ_BACK = "read_back"
    """A target reads up to its own start before it decides."""
    HOLDER_ENDS_FIRST = "holder_ends_first"
    """The holder's own clock ends a turn before the others' do."""
    TURN_CHECK = "turn_check"
    """A target looks whether its turn lasts just before it reads."""
    TURN_ENDS = "turn_ends"
    """A turn that is not given back ends."""
    PLACE_ENDS = "place_ends"
    """A place in the queue whose target does not start ends."""


class Phase(enum.IntEnum):
    """What a target is about to do."""

    IDLE = 0
    ASKED = 1
    STARTED = 2
    HOLDS = 3
    READS = 4
    DONE = 5


class Target(typing.NamedTuple):
    """One target."""

    phase: Phase = Phase.IDLE
    """What it does."""
    seen: int = 0
    """Records of the log that it has read."""
    written: int = 0
    """Records up to its own last one."""
    alive: bool = True
    """Whether it still runs."""
    own_past: bool = False
    """Whether its turn has ended by its own clock."""
    others_past: bool = False
    """Whether its turn, or its place, has ended for the others."""


class Record(typing.NamedTuple):
    """A record of the log."""

    kind: str
    """``ask``, ``start`` or ``done``."""
    target: int
    """Target that wrote it."""


class Budget(typing.NamedTuple):
    """How often each of these may still happen."""

    deaths: int = 0
    """Targets that die."""
    ends: int = 0
    """Turns that end by the holder's clock while it is paused."""
    passes: int = 0
    """Places that end although their target lives, as it is paused."""
    repeats: int = 0
    """Asks made again by targets that stood back."""


class State(typing.NamedTuple):
    """The targets and their log."""

    targets: tuple[Target, ...]
    """The targets."""
    log: tuple[Record, ...]
    """What was appended."""
    budget: Budget
    """What may still happen."""
    late_read: bool = False
    """Whether a read began after its turn had ended."""


class Scope(typing.NamedTuple):
    """Bounds of one check."""

    name: str
    """Name in reports."""
    targets: int
    """Targets."""
    budget: Budget
    """What may happen."""


_SCOPES: typing.Final = (
    Scope("three targets", 3, Budget(repeats=1)),
    Scope("late", 2, Budget(ends=1, passes=1, repeats=2)),
    Scope("dying", 2, Budget(deaths=1, passes=1, repeats=1)),
)

SCOPES: typing.Final[typing.Mapping[str, Scope]] = {
    scope.name: scope for scope in _SCOPES
}
"""The checks, by name."""

_Action: typing.TypeAlias = tuple[str, State]


class _Rules(typing.NamedTuple):
    without: typing.Optional[Guard]

    def keep(self, guard: Guard) -> bool:
        return guard is not self.without


class _Place(typing.NamedTuple):
    """What one target sees of another: offsets, -1 for none."""

    asked: int
    started: int


def build_turns(
    scope: Scope, without: typing.Optional[Guard] = None
) -> minicheck.Protocol:
    """Return the model for a scope, perhaps with one guard taken out."""
    rules = _Rules(without)

    def list_actions(state: State) -> list[_Action]:
        return list(_list_actions(rules, state))

    return minicheck.Protocol(
        name=f"turns, {scope.name}",
        candidate=without is None,
        fields=State._fields,
        initial=State((Target(),) * scope.targets, (), scope.budget),
        transitions=list_actions,
        invariants=dict(PROPERTIES),
        goal=_all_are_done,
    )


def _list_actions(rules: _Rules, state: State) -> abc.Iterator[_Action]:
    for number, target in enumerate(state.targets):
        yield from _fail(rules, state, number)
        if target.alive:
            yield from _read_on(state, number)
            yield from _move(rules, state, number)


def _put(state: State, number: int, **changes: typing.Any) -> State:
    targets = list(state.targets)
    targets[number] = targets[number]._replace(**changes)
    return state._replace(targets=tuple(targets))


def _append(state: State, kind: str, number: int) -> State:
    log = (*state.log, Record(kind, number))
    return _put(state._replace(log=log), number, written=len(log))


def _spend(state: State, kind: str) -> typing.Optional[State]:
    left = getattr(state.budget, kind)
    if left == 0:
        return None
    return state._replace(budget=state.budget._replace(**{kind: left - 1}))


def _fail(rules: _Rules, state: State, number: int) -> abc.Iterator[_Action]:
    target = state.targets[number]
    is_open = target.phase in (Phase.STARTED, Phase.HOLDS, Phase.READS)
    spent = _spend(state, "deaths")
    if target.alive and target.phase != Phase.DONE and spent:
        yield f"{number} dies", _put(spent, number, alive=False)
    if is_open and not target.own_past:
        after = _spend(state, "ends") if target.alive else state
        if after:
            yield (
                f"the turn of {number} ends by its own clock",
                _put(after, number, own_past=True),
            )
    if is_open and not target.others_past and rules.keep(Guard.TURN_ENDS):
        if target.own_past:
            yield (
                f"the turn of {number} ends for the others",
                _put(state, number, others_past=True),
            )
        elif not rules.keep(Guard.HOLDER_ENDS_FIRST):
            yield (
                f"the turn of {number} ends for the others first",
                _put(state, number, others_past=True),
            )
    if target.phase == Phase.ASKED and not target.others_past:
        passed = _spend(state, "passes") if target.alive else state
        if passed and rules.keep(Guard.PLACE_ENDS):
            yield (
                f"the place of {number} ends for the others",
                _put(passed, number, others_past=True),
            )


def _read_on(state: State, number: int) -> abc.Iterator[_Action]:
    if state.targets[number].seen < len(state.log):
        after = _put(state, number, seen=len(state.log))
        yield f"{number} reads on", after


def _view(state: State, number: int) -> dict[int, _Place]:
    """Return the open places and turns as a target sees them."""
    places: dict[int, _Place] = {}
    for offset, record in enumerate(state.log[: state.targets[number].seen]):
        known = places.get(record.target, _Place(offset, -1))
        if record.kind == "ask":
            places[record.target] = _Place(offset, -1)
        elif record.kind == "start":
            places[record.target] = known._replace(started=offset)
        else:
            places.pop(record.target, None)
    return {
        target: place
        for target, place in places.items()
        if target == number or not state.targets[target].others_past
    }


def _move(rules: _Rules, state: State, number: int) -> abc.Iterator[_Action]:
    target = state.targets[number]
    if target.phase == Phase.IDLE:
        after = _append(state, "ask", number)
        yield f"{number} asks", _put(after, number, phase=Phase.ASKED)
    elif target.phase == Phase.ASKED:
        yield from _start(state, number)
    elif target.phase == Phase.STARTED:
        yield from _decide(rules, state, number)
    elif target.phase == Phase.HOLDS:
        yield from _begin_read(rules, state, number)
    elif target.phase == Phase.READS:
        after = _append(state, "done", number)
        yield f"{number} is done", _put(after, number, phase=Phase.DONE)


def _start(state: State, number: int) -> abc.Iterator[_Action]:
    target = state.targets[number]
    view = _view(state, number)
    own = view.get(number)
    if own is None or target.seen < target.written:
        return
    ahead = [
        place
        for other, place in view.items()
        if other != number and (place.started >= 0 or place.asked < own.asked)
    ]
    if not ahead:
        after = _append(state, "start", number)
        yield (
            f"{number} starts",
            _put(after, number, phase=Phase.STARTED, others_past=False),
        )


def _decide(rules: _Rules, state: State, number: int) -> abc.Iterator[_Action]:
    target = state.targets[number]
    if target.seen < target.written and rules.keep(Guard.READ_BACK):
        return
    earlier = [
        place
        for other, place in _view(state, number).items()
        if other != number and 0 <= place.started < target.written - 1
    ]
    if not earlier or not rules.keep(Guard.EARLIER_START_WINS):
        yield f"{number} has the turn", _put(state, number, phase=Phase.HOLDS)
        return
    spent = _spend(state, "repeats")
    if spent is not None:
        after = _append(spent, "done", number)
        yield (
            f"{number} stands back",
            _put(
                after,
                number,
                phase=Phase.IDLE,
                own_past=False,
                others_past=False,
            ),
        )


def _begin_read(
    rules: _Rules, state: State, number: int
) -> abc.Iterator[_Action]:
    target = state.targets[number]
    if target.own_past and rules.keep(Guard.TURN_CHECK):
        after = _append(state, "done", number)
        yield (
            f"{number} finds its turn past",
            _put(
                after,
                number,
                phase=Phase.IDLE,
                own_past=False,
                others_past=False,
            ),
        )
        return
    late = state.late_read or target.own_past
    after = _put(state, number, phase=Phase.READS)._replace(late_read=late)
    yield f"{number} begins to read", after


_Fields: typing.TypeAlias = typing.Mapping[str, typing.Any]


def _one_reads(fields: _Fields) -> bool:
    reading = [
        target
        for target in fields["targets"]
        if target.phase == Phase.READS and not target.own_past
    ]
    return len(reading) <= 1


def _reads_begin_in_time(fields: _Fields) -> bool:
    return not fields["late_read"]


PROPERTIES: typing.Final[
    typing.Mapping[str, abc.Callable[[_Fields], bool]]
] = {
    "one_reads": _one_reads,
    "reads_begin_in_time": _reads_begin_in_time,
}
"""What must hold in every reachable state."""


def _all_are_done(fields: _Fields) -> bool:
    """Tell whether every target that lives has read."""
    return all(
        target.phase == Phase.DONE or not target.alive
        for target in fields["targets"]
    )

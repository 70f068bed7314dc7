"""Specification of a generation that moves home.

An entry passes a generation's events on from its source. The source is to
leave: the entry has its memory copied ahead, has it stopped, and goes on at a
destination from the copy, or at the source from what that kept. Answers are
lost, either engine dies or has no room, and the source falls silent while it
still works. The generation may run once only.
"""

from collections import abc
import enum
import typing

import minicheck

__all__ = ("PROPERTIES", "SCOPES", "Guard", "Scope", "build_moves")


class Guard(enum.StrEnum):
    """Rules of moves; each can be taken out to show its need."""

    STOP_FIRST = "stop_first"
    """It goes on elsewhere only once its source says that it has stopped."""
    COPY_ONCE = "copy_once"
    """An engine takes a generation up from a copy that was not used yet."""
    AFTER_LAST = "after_last"
    """It goes on after the last event that the caller has."""
    SILENCE_WAITS = "silence_waits"
    """A source that is silent is not given up."""
    OWN_END = "own_end"
    """The end of a stopped stream is not taken for the generation's."""


class Phase(enum.IntEnum):
    """What the entry does."""

    FOLLOWS = 0
    """Passes on the source's events."""
    COPIES = 1
    """The same, with a copy made ahead."""
    STOPS = 2
    """Has told the source to stop, and passes on what comes."""
    KNOWS_THERE = 3
    """Knows that it has stopped, with all of its memory at the other."""
    KNOWS_HERE = 4
    """Knows that it has stopped, with all of it at the source only."""
    OPENS_THERE = 5
    """Has asked the destination to go on."""
    OPENS_HERE = 6
    """Has asked the source to go on."""
    MOVED = 7
    """Passes on what goes on from the copy."""
    COMPLETE = 8
    """Has ended the caller's answer as whole."""
    BROKEN = 9
    """Has broken the caller's answer off."""


class Work(enum.IntEnum):
    """What an engine has of the generation."""

    NONE = 0
    RUNS = 1
    STOPPED = 2
    ENDED = 3
    GONE = 4


class Reply(enum.IntEnum):
    """What the source has said to the order to stop."""

    NONE = 0
    WHOLE = 1
    NO_ROOM = 2
    NO_SUCH_RUN = 3
    LOST = 4


class Budget(typing.NamedTuple):
    """How often each of these may still happen."""

    losses: int = 0
    """Answers that are lost after they took effect."""
    deaths: int = 0
    """Engines that die."""
    refusals: int = 0
    """Times that an engine has no room."""
    silences: int = 0
    """Times that the source is silent and still works."""


class State(typing.NamedTuple):
    """The entry and both engines."""

    phase: Phase = Phase.FOLLOWS
    """What the entry does."""
    source: Work = Work.RUNS
    """What the source has."""
    destination: Work = Work.NONE
    """What the destination has."""
    made: int = 0
    """Events that the source has made."""
    copied: int = 0
    """Events that the copy knows of."""
    is_copy_used: bool = False
    """Whether an engine has gone on from the copy."""
    delivered: int = 0
    """Events that the caller has."""
    reached: int = 0
    """Events that what goes on from the copy has made."""
    reply: Reply = Reply.NONE
    """What the source has said."""
    is_silent: bool = False
    """Whether the source is silent."""
    budget: Budget = Budget()
    """What may still happen."""
    has_run_twice: bool = False
    """Whether both engines have worked on it at once."""
    has_gap: bool = False
    """Whether the caller got an event that does not follow."""


class Scope(typing.NamedTuple):
    """Bounds of one check."""

    name: str
    """Name in reports."""
    events: int
    """Events of the generation."""
    budget: Budget
    """What may happen."""


_SCOPES: typing.Final = (
    Scope("calm", 4, Budget()),
    Scope("crowded", 3, Budget(refusals=2, losses=1)),
    Scope("dying", 3, Budget(deaths=2, losses=1)),
    Scope("silent", 3, Budget(silences=1, losses=1, refusals=1)),
)

SCOPES: typing.Final[typing.Mapping[str, Scope]] = {
    scope.name: scope for scope in _SCOPES
}
"""The checks, by name."""

_Action: typing.TypeAlias = tuple[str, State]
_FROM_SOURCE: typing.Final = (Phase.FOLLOWS, Phase.COPIES, Phase.STOPS)
_ENDS: typing.Final = (Phase.COMPLETE, Phase.BROKEN)


class _Rules(typing.NamedTuple):
    scope: Scope
    without: typing.Optional[Guard]

    def keep(self, guard: Guard) -> bool:
        return guard is not self.without


def build_moves(
    scope: Scope, without: typing.Optional[Guard] = None
) -> minicheck.Protocol:
    """Return the model, without one guard if it is named."""
    rules = _Rules(scope, without)

    def list_actions(state: State) -> list[_Action]:
        if state.phase in _ENDS:
            return []
        return [
            (label, _note_double_run(after))
            for label, after in _list_actions(rules, state)
        ]

    return minicheck.Protocol(
        name=f"moves, {scope.name}",
        candidate=without is None,
        fields=State._fields,
        initial=State(budget=scope.budget),
        transitions=list_actions,
        invariants=dict(PROPERTIES),
        goal=_has_ended,
    )


def _note_double_run(state: State) -> State:
    if state.source is Work.RUNS and state.destination is Work.RUNS:
        return state._replace(has_run_twice=True)
    return state


def _list_actions(rules: _Rules, state: State) -> abc.Iterator[_Action]:
    yield from _work(rules, state)
    yield from _fail(rules, state)
    if state.phase in _FROM_SOURCE:
        yield from _follow_source(rules, state)
    if state.phase is Phase.STOPS:
        yield from _stop(state)
        yield from _learn_stop(state)
    yield from _open(rules, state)
    if state.phase is Phase.MOVED:
        yield from _follow_moved(rules, state)


def _spend(state: State, kind: str) -> typing.Optional[State]:
    left = getattr(state.budget, kind)
    if left == 0:
        return None
    return state._replace(budget=state.budget._replace(**{kind: left - 1}))


def _work(rules: _Rules, state: State) -> abc.Iterator[_Action]:
    """Let engines make events, and end."""
    is_first = not state.is_copy_used
    if state.source is Work.RUNS and is_first:
        if state.made < rules.scope.events:
            yield (
                "the source makes an event",
                state._replace(made=state.made + 1),
            )
        else:
            yield "the source ends", state._replace(source=Work.ENDED)
    runs_moved = Work.RUNS in (state.source, state.destination)
    has_more = state.reached < rules.scope.events
    if state.is_copy_used and runs_moved and has_more:
        yield (
            "what was moved makes an event",
            state._replace(reached=state.reached + 1),
        )


def _fail(rules: _Rules, state: State) -> abc.Iterator[_Action]:
    """Let engines die, and the source fall silent."""
    spent = _spend(state, "deaths")
    if spent is not None and state.source is not Work.GONE:
        yield "the source dies", spent._replace(source=Work.GONE)
    if spent is not None and state.destination is not Work.GONE:
        yield "the destination dies", spent._replace(destination=Work.GONE)
    spent = _spend(state, "silences")
    if spent is not None and state.source is Work.RUNS:
        yield "the source falls silent", spent._replace(is_silent=True)
    if state.is_silent:
        yield "the source is heard again", state._replace(is_silent=False)
        waits = rules.keep(Guard.SILENCE_WAITS)
        if state.phase is Phase.COPIES and not waits:
            yield (
                "the entry gives the silent source up",
                state._replace(phase=Phase.OPENS_THERE),
            )


def _follow_source(rules: _Rules, state: State) -> abc.Iterator[_Action]:
    if state.delivered < state.made:
        if not state.is_silent:
            yield (
                "an event is passed on",
                state._replace(delivered=state.delivered + 1),
            )
    elif not state.is_silent:
        yield from _see_end(rules, state)
    can_copy = state.destination is Work.NONE and state.source is Work.RUNS
    if state.phase is Phase.FOLLOWS and can_copy:
        yield (
            "the memory is copied ahead",
            state._replace(phase=Phase.COPIES, copied=state.made),
        )
    if state.phase is Phase.COPIES:
        if rules.keep(Guard.STOP_FIRST):
            yield (
                "the source is told to stop",
                state._replace(phase=Phase.STOPS),
            )
        else:
            yield (
                "the destination is asked",
                state._replace(phase=Phase.OPENS_THERE),
            )


def _see_end(rules: _Rules, state: State) -> abc.Iterator[_Action]:
    """Let the entry see that the source's stream has ended."""
    if state.source is Work.ENDED and state.reply is not Reply.LOST:
        yield "the answer is complete", state._replace(phase=Phase.COMPLETE)
    if state.source is Work.GONE:
        yield "the stream breaks", state._replace(phase=Phase.BROKEN)
    is_closed = state.source is Work.STOPPED
    if is_closed and not rules.keep(Guard.OWN_END):
        yield (
            "the stream's end is believed",
            state._replace(phase=Phase.COMPLETE),
        )


def _stop(state: State) -> abc.Iterator[_Action]:
    """Let the order to stop arrive at the source."""
    if state.reply is not Reply.NONE or state.is_silent:
        return
    if state.source is Work.ENDED:
        yield (
            "nothing is there to stop",
            state._replace(reply=Reply.NO_SUCH_RUN),
        )
    if state.source is not Work.RUNS:
        return
    stopped = state._replace(source=Work.STOPPED)
    if state.destination is Work.NONE:
        yield (
            "it stops, and all is copied",
            stopped._replace(reply=Reply.WHOLE, copied=state.made),
        )
    spent = _spend(stopped, "refusals")
    if spent is not None or state.destination is Work.GONE:
        yield (
            "it stops, and there is no room",
            (spent or stopped)._replace(reply=Reply.NO_ROOM),
        )
    spent = _spend(stopped, "losses")
    if spent is not None:
        yield (
            "it stops, and the answer is lost",
            spent._replace(reply=Reply.LOST),
        )


def _learn_stop(state: State) -> abc.Iterator[_Action]:
    if state.reply is Reply.WHOLE:
        yield (
            "the entry learns that it is there",
            state._replace(phase=Phase.KNOWS_THERE),
        )
    if state.reply is Reply.NO_ROOM:
        yield (
            "the entry learns that it is here",
            state._replace(phase=Phase.KNOWS_HERE),
        )
    if state.reply is Reply.LOST or state.source is Work.GONE:
        yield "the entry can't tell", state._replace(phase=Phase.BROKEN)


def _open(rules: _Rules, state: State) -> abc.Iterator[_Action]:
    if state.phase is Phase.KNOWS_THERE:
        yield (
            "the destination is asked",
            state._replace(phase=Phase.OPENS_THERE),
        )
    if state.phase is Phase.KNOWS_HERE:
        yield "the source is asked", state._replace(phase=Phase.OPENS_HERE)
    if state.phase is Phase.OPENS_THERE:
        yield from _take_up(rules, state, "destination")
    if state.phase is Phase.OPENS_HERE:
        yield from _take_up(rules, state, "source")


def _take_up(
    rules: _Rules, state: State, engine: str
) -> abc.Iterator[_Action]:
    """Let an engine go on from the copy, or refuse to."""
    here = getattr(state, engine)
    is_last = engine == "source"
    otherwise = Phase.BROKEN if is_last else Phase.OPENS_HERE
    refused = state._replace(phase=otherwise)
    is_free = not state.is_copy_used or not rules.keep(Guard.COPY_ONCE)
    can_run = here in (Work.NONE, Work.STOPPED)
    if not can_run or not is_free:
        yield f"the {engine} refuses", refused
        return
    base = state.delivered if rules.keep(Guard.AFTER_LAST) else state.copied
    runs = state._replace(is_copy_used=True, reached=base)
    if is_last:
        runs = runs._replace(source=Work.RUNS)
    else:
        runs = runs._replace(destination=Work.RUNS)
    yield f"the {engine} goes on", runs._replace(phase=Phase.MOVED)
    spent = _spend(refused, "refusals")
    if spent is not None:
        yield f"the {engine} has no room", spent
    spent = _spend(runs, "losses")
    if spent is not None:
        yield (
            f"the {engine} goes on, and the answer is lost",
            spent._replace(phase=otherwise),
        )


def _follow_moved(rules: _Rules, state: State) -> abc.Iterator[_Action]:
    first = state.delivered + 1
    if not rules.keep(Guard.AFTER_LAST) and state.copied > state.delivered:
        yield "a later event is passed on", state._replace(has_gap=True)
    if first <= state.reached:
        yield "a moved event is passed on", state._replace(delivered=first)
    if state.delivered == rules.scope.events:
        yield "the answer is complete", state._replace(phase=Phase.COMPLETE)
    if Work.RUNS not in (state.source, state.destination):
        yield "the stream breaks", state._replace(phase=Phase.BROKEN)


_Fields: typing.TypeAlias = typing.Mapping[str, typing.Any]


def _runs_once(fields: _Fields) -> bool:
    return not fields["has_run_twice"]


def _has_no_gap(fields: _Fields) -> bool:
    return not fields["has_gap"]


def _complete_is_whole(fields: _Fields) -> bool:
    if fields["phase"] is not Phase.COMPLETE:
        return True
    ends = max(fields["made"], fields["reached"])
    is_own_end = fields["source"] is Work.ENDED or fields["is_copy_used"]
    return is_own_end and bool(fields["delivered"] == ends)


PROPERTIES: typing.Final[
    typing.Mapping[str, abc.Callable[[_Fields], bool]]
] = {
    "runs_once": _runs_once,
    "has_no_gap": _has_no_gap,
    "complete_is_whole": _complete_is_whole,
}
"""What must hold in every reachable state."""


def _has_ended(fields: _Fields) -> bool:
    """Tell whether the caller's answer has ended, one way or another."""
    return fields["phase"] in _ENDS

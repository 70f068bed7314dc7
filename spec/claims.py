"""Specification of idempotency keys: the first claim in the log wins.

Calls with one key come through several entries. Each looks the key's stream
up, has an identifier prepared at an agent, appends a claim on it and starts
what the claim at offset 1 names, never anything else. Starts are counted at
the engines, the witness that can't be fooled.
"""

from collections import abc
import enum
import typing

import minicheck

__all__ = ("PROPERTIES", "SCOPES", "Guard", "Scope", "build_claims")


class Guard(enum.StrEnum):
    """Rules of keys; each can be taken out to show its need."""

    CLAIM_BEFORE_START = "claim_before_start"
    """Nothing is started before a claim on it is known to be the first."""
    APPEND_DECIDES = "append_decides"
    """The offset of the append decides, not what was read before it."""
    READ_ON = "read_on"
    """A lost reply is resolved by reading, never taken for no effect."""
    EXPIRED_IS_UNKNOWN = "expired_is_unknown"
    """A stream whose offset 1 is no longer kept starts nothing."""
    HOME_GONE_IS_UNKNOWN = "home_gone_is_unknown"
    """A key whose home is gone gets no second identifier."""
    KEY_KEEPS_IDENTIFIER = "key_keeps_identifier"
    """A key whose identifier was refused gets no second one either."""
    OUTAGE_IS_UNKNOWN = "outage_is_unknown"
    """Who can't look the key up does not say that it did not run."""
    REQUEST_DIGEST_CHECK = "request_digest_check"
    """Another request under the key is refused."""


class Step(enum.StrEnum):
    """Where a call is."""

    NEW = "new"
    PREPARED = "prepared"
    APPENDED = "appended"
    UNSURE = "unsure"
    BOUND = "bound"
    DONE = "done"


class Home(enum.StrEnum):
    """What an agent knows of an identifier."""

    NONE = "none"
    PREPARED = "prepared"
    STARTED = "started"
    REFUSED = "refused"
    GONE = "gone"


class Told(enum.StrEnum):
    """What a caller was told."""

    NOTHING = "nothing"
    ANSWER = "answer"
    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"
    INVALID = "invalid_request"


class Call(typing.NamedTuple):
    """One call with the key, at an entry of its own."""

    body: int
    """What it asks for."""
    step: Step = Step.NEW
    """Where it is."""
    winner: int = -1
    """Call whose identifier the key names, once known."""
    told: Told = Told.NOTHING
    """What its caller was told."""


class Budget(typing.NamedTuple):
    """How often each of these may still happen."""

    outages: int = 0
    """Calls that find the log out."""
    lost_replies: int = 0
    """Appends whose reply is lost, with the effect now, later or never."""
    duplicates: int = 0
    """Appends that the log takes twice."""
    expiries: int = 0
    """Records that expire."""
    entry_crashes: int = 0
    """Entries that die with a call."""
    agent_crashes: int = 0
    """Agents that die with an identifier."""
    refusals: int = 0
    """Offers that an agent refuses."""


class State(typing.NamedTuple):
    """Calls, the key's stream, and the homes of the identifiers."""

    calls: tuple[Call, ...]
    """The calls with the key; each would prepare one identifier."""
    homes: tuple[Home, ...]
    """What is known of each call's identifier."""
    stream: tuple[int, ...]
    """Calls whose claims were appended, from offset 1."""
    kept: int
    """Oldest offset that the log keeps."""
    late: tuple[int, ...]
    """Claims that may still be appended, after their reply was lost."""
    starts: int
    """Starts at the engines."""
    budget: Budget
    """What may still happen."""


class Scope(typing.NamedTuple):
    """Bounds of one check."""

    name: str
    """Name in reports."""
    bodies: tuple[int, ...]
    """What each call asks for."""
    budget: Budget
    """What may happen."""


_SCOPES: typing.Final = (
    Scope(
        "race",
        (0, 0, 0),
        Budget(lost_replies=1, duplicates=1, entry_crashes=1),
    ),
    Scope(
        "loss",
        (0, 0, 0),
        Budget(
            outages=1,
            lost_replies=1,
            entry_crashes=1,
            agent_crashes=1,
            refusals=1,
        ),
    ),
    Scope(
        "expiry",
        (0, 0, 0),
        Budget(lost_replies=1, expiries=2, entry_crashes=1),
    ),
    Scope(
        "other body",
        (0, 1),
        Budget(lost_replies=1, entry_crashes=1, refusals=1),
    ),
)

SCOPES: typing.Final[typing.Mapping[str, Scope]] = {
    scope.name: scope for scope in _SCOPES
}
"""The checks, by name."""


class _Rules(typing.NamedTuple):
    without: typing.Optional[Guard]

    def keep(self, guard: Guard) -> bool:
        return guard is not self.without


_Action: typing.TypeAlias = tuple[str, State]


def build_claims(
    scope: Scope, without: typing.Optional[Guard] = None
) -> minicheck.Protocol:
    """Return the model for a scope, perhaps with one guard taken out."""
    rules = _Rules(without)
    initial = State(
        calls=tuple(Call(body) for body in scope.bodies),
        homes=(Home.NONE,) * len(scope.bodies),
        stream=(),
        kept=1,
        late=(),
        starts=0,
        budget=scope.budget,
    )

    def list_actions(state: State) -> list[_Action]:
        return list(_list_actions(rules, state))

    return minicheck.Protocol(
        name=f"claims, {scope.name}",
        candidate=without is None,
        fields=State._fields,
        initial=initial,
        transitions=list_actions,
        invariants=dict(PROPERTIES),
        goal=_all_are_done,
    )


def _list_actions(rules: _Rules, state: State) -> abc.Iterator[_Action]:
    for number, call in enumerate(state.calls):
        for label, after in _act(rules, state, number, call):
            yield f"call {number + 1} {label}", after
    yield from _happen(state)


def _act(
    rules: _Rules, state: State, number: int, call: Call
) -> abc.Iterator[_Action]:
    if call.step is Step.NEW:
        yield from _begin(rules, state, number)
    elif call.step is Step.PREPARED:
        yield from _append(rules, state, number)
    elif call.step is Step.APPENDED:
        yield from _look_up(rules, state, number)
    elif call.step is Step.UNSURE:
        yield from _look_up(rules, state, number)
        yield "gives up", _tell(state, number, Told.UNKNOWN)
    elif call.step is Step.BOUND:
        yield from _offer(rules, state, number)
    if call.step is not Step.DONE:
        spent = _spend(state, "entry_crashes")
        if spent is not None:
            yield "loses its entry", _tell(spent, number, Told.NOTHING)


def _begin(rules: _Rules, state: State, number: int) -> abc.Iterator[_Action]:
    spent = _spend(state, "outages")
    if spent is not None:
        told = Told.UNKNOWN
        if not rules.keep(Guard.OUTAGE_IS_UNKNOWN):
            told = Told.NOT_RUN
        yield "finds the log out", _tell(spent, number, told)
    yield from _look_up(rules, state, number)


def _look_up(
    rules: _Rules, state: State, number: int
) -> abc.Iterator[_Action]:
    """Read the stream from offset 1 and go on with what it says."""
    if not state.stream:
        yield "reads no claim", _prepare(state, number)
    elif state.kept == 1:
        bound = _bind(rules, state, number, state.stream[0])
        yield "reads the first claim", bound
    elif rules.keep(Guard.EXPIRED_IS_UNKNOWN):
        yield "reads a hole", _tell(state, number, Told.UNKNOWN)
    elif state.kept <= len(state.stream):
        winner = state.stream[state.kept - 1]
        yield "reads a later claim", _bind(rules, state, number, winner)
    elif state.calls[number].step is Step.NEW:
        yield "reads an empty stream", _prepare(state, number)
    else:
        yield "trusts itself", _bind(rules, state, number, number)


def _prepare(state: State, number: int) -> State:
    after = _put_call(state, number, step=Step.PREPARED)
    if state.homes[number] is Home.NONE:
        after = _put_home(after, number, Home.PREPARED)
    return after


def _append(rules: _Rules, state: State, number: int) -> abc.Iterator[_Action]:
    if not rules.keep(Guard.CLAIM_BEFORE_START):
        yield "starts unclaimed", _bind(rules, state, number, number)
        return
    offset = len(state.stream) + 1
    appended = state._replace(stream=(*state.stream, number))
    yield "appends its claim", _take_offset(rules, appended, number, offset)
    spent = _spend(appended, "duplicates")
    if spent is not None:
        twice = spent._replace(stream=(*spent.stream, number))
        for told in (offset, offset + 1):
            label = f"appends it twice and is told offset {told}"
            yield label, _take_offset(rules, twice, number, told)
    for label, effect in (
        ("has appended and lost the reply", appended),
        ("appends late", state._replace(late=(*state.late, number))),
        ("appends in vain", state),
    ):
        spent = _spend(effect, "lost_replies")
        if spent is None:
            continue
        after = _put_call(spent, number, step=Step.UNSURE)
        if not rules.keep(Guard.READ_ON):
            after = _tell(spent, number, Told.NOT_RUN)
        yield label, after


def _take_offset(
    rules: _Rules, state: State, number: int, offset: int
) -> State:
    if offset == 1 or not rules.keep(Guard.APPEND_DECIDES):
        return _bind(rules, state, number, number)
    return _put_call(state, number, step=Step.APPENDED)


def _bind(rules: _Rules, state: State, number: int, winner: int) -> State:
    differs = state.calls[winner].body != state.calls[number].body
    if differs and rules.keep(Guard.REQUEST_DIGEST_CHECK):
        return _tell(state, number, Told.INVALID)
    return _put_call(state, number, step=Step.BOUND, winner=winner)


def _offer(rules: _Rules, state: State, number: int) -> abc.Iterator[_Action]:
    winner = state.calls[number].winner
    home = state.homes[winner]
    if home is Home.PREPARED:
        started = _put_home(state, winner, Home.STARTED)
        started = started._replace(starts=state.starts + 1)
        yield "starts it", _tell(started, number, Told.ANSWER)
        spent = _spend(state, "refusals")
        if spent is not None:
            refused = _put_home(spent, winner, Home.REFUSED)
            yield "is refused", _tell(refused, number, Told.NOT_RUN)
    elif home is Home.STARTED:
        yield "attaches", _tell(state, number, Told.ANSWER)
    elif home is Home.REFUSED:
        yield from _offer_dead(
            rules, state, number, Guard.KEY_KEEPS_IDENTIFIER, Told.NOT_RUN
        )
    else:
        yield from _offer_dead(
            rules, state, number, Guard.HOME_GONE_IS_UNKNOWN, Told.UNKNOWN
        )


def _offer_dead(
    rules: _Rules, state: State, number: int, guard: Guard, told: Told
) -> abc.Iterator[_Action]:
    fresh = state.homes[number] in (Home.NONE, Home.PREPARED)
    if rules.keep(guard) or not fresh:
        yield "finds it dead", _tell(state, number, told)
        return
    own = _put_home(state, number, Home.PREPARED)
    yield "takes another", _put_call(own, number, winner=number)


def _happen(state: State) -> abc.Iterator[_Action]:
    """Yield what happens to the log and the agents by themselves."""
    for number in sorted(set(state.late)):
        late = list(state.late)
        late.remove(number)
        after = state._replace(
            late=tuple(late), stream=(*state.stream, number)
        )
        yield f"a late claim of call {number + 1} is appended", after
    spent = _spend(state, "expiries")
    if spent is not None and state.kept <= len(state.stream):
        yield "a record expires", spent._replace(kept=state.kept + 1)
    spent = _spend(state, "agent_crashes")
    if spent is None:
        return
    for number, home in enumerate(state.homes):
        if home is not Home.NONE and home is not Home.GONE:
            label = f"the agent of identifier {number + 1} dies"
            yield label, _put_home(spent, number, Home.GONE)


def _put_call(state: State, number: int, **changes: typing.Any) -> State:
    calls = list(state.calls)
    calls[number] = calls[number]._replace(**changes)
    return state._replace(calls=tuple(calls))


def _put_home(state: State, number: int, home: Home) -> State:
    homes = list(state.homes)
    homes[number] = home
    return state._replace(homes=tuple(homes))


def _tell(state: State, number: int, told: Told) -> State:
    return _put_call(state, number, step=Step.DONE, told=told)


def _spend(state: State, kind: str) -> typing.Optional[State]:
    left = getattr(state.budget, kind)
    if left == 0:
        return None
    return state._replace(budget=state.budget._replace(**{kind: left - 1}))


_Fields: typing.TypeAlias = typing.Mapping[str, typing.Any]


def _starts_at_most_once(fields: _Fields) -> bool:
    return bool(fields["starts"] <= 1)


def _not_run_is_true(fields: _Fields) -> bool:
    refused = any(call.told is Told.NOT_RUN for call in fields["calls"])
    return not refused or fields["starts"] == 0


def _answers_are_own(fields: _Fields) -> bool:
    calls = fields["calls"]
    return all(
        calls[call.winner].body == call.body
        for call in calls
        if call.told is Told.ANSWER
    )


def _answers_are_of_one(fields: _Fields) -> bool:
    winners = {
        call.winner for call in fields["calls"] if call.told is Told.ANSWER
    }
    return len(winners) <= 1


PROPERTIES: typing.Final[
    typing.Mapping[str, abc.Callable[[_Fields], bool]]
] = {
    "starts_at_most_once": _starts_at_most_once,
    "not_run_is_true": _not_run_is_true,
    "answers_are_own": _answers_are_own,
    "answers_are_of_one": _answers_are_of_one,
}
"""What must hold in every reachable state."""


def _all_are_done(fields: _Fields) -> bool:
    """Tell whether every call has ended."""
    return all(call.step is Step.DONE for call in fields["calls"])

"""Specification of dispatch: offer, start, retract, resume and cancel.

Callers ask entries, entries offer to agents, agents start generations at
their engines. Processes crash, are paused or replaced, connections are cut,
messages overtake, repeat and come late. :func:`build_dispatch` makes the
model for one scope; with ``without`` one guard is taken out, and the checker
must then find how that breaks a promise::

    protocol = build_dispatch(SCOPES["start"], "start_deadline_check")
    found = search.find_counterexample(protocol, "no_late_start")
"""

from collections import abc
import functools
import typing

import minicheck

from spec import dispatch_agent
from spec import dispatch_entry
from spec import dispatch_network
from spec import dispatch_state

__all__ = ("PROPERTIES", "SCOPES", "build_dispatch")

_Kind = dispatch_state.RequestKind
_Faults = dispatch_state.Faults

_SCOPES: typing.Final = (
    dispatch_state.Scope(
        name="start",
        requests=(_Kind.ONCE,),
        targets=2,
        items=1,
        in_flight=2,
        connections=2,
        faults=_Faults(
            together=2,
            cuts=1,
            agent_crashes=1,
            lost_replies=1,
            duplicates=1,
            refusals=1,
            retracts=1,
        ),
    ),
    dispatch_state.Scope(
        name="repeat",
        requests=(_Kind.ONCE,),
        targets=1,
        items=1,
        in_flight=2,
        connections=2,
        faults=_Faults(
            together=3, cuts=2, duplicates=1, refusals=1, retracts=1
        ),
    ),
    dispatch_state.Scope(
        name="retry",
        requests=(_Kind.REPEATABLE,),
        targets=2,
        items=2,
        in_flight=2,
        connections=2,
        faults=_Faults(
            together=2,
            cuts=1,
            engine_deaths=1,
            agent_crashes=1,
            refusals=1,
        ),
    ),
    dispatch_state.Scope(
        name="again",
        requests=(_Kind.REPEATABLE,),
        targets=1,
        items=1,
        in_flight=2,
        connections=3,
        faults=_Faults(together=2, cuts=1, agent_crashes=1, refusals=1),
    ),
    dispatch_state.Scope(
        name="prepared",
        requests=(_Kind.PREPARED,),
        targets=1,
        items=1,
        in_flight=2,
        connections=2,
        faults=_Faults(
            together=2,
            cuts=1,
            caller_cuts=1,
            duplicates=1,
            replacements=1,
            refusals=1,
            cancels=1,
        ),
    ),
    dispatch_state.Scope(
        name="withdrawn",
        requests=(_Kind.PREPARED,),
        targets=1,
        items=1,
        in_flight=2,
        connections=2,
        faults=_Faults(
            together=2,
            cuts=1,
            caller_cuts=1,
            lost_replies=1,
            agent_crashes=1,
            refusals=1,
            retracts=1,
        ),
    ),
    dispatch_state.Scope(
        name="adopted",
        requests=(_Kind.PREPARED,),
        targets=1,
        items=2,
        in_flight=2,
        connections=2,
        faults=_Faults(
            together=2, agent_crashes=1, caller_cuts=1, engine_deaths=1
        ),
    ),
    dispatch_state.Scope(
        name="two homes",
        requests=(_Kind.PREPARED,),
        targets=1,
        items=2,
        in_flight=2,
        connections=3,
        faults=_Faults(together=2, cuts=1, replacements=1, cancels=1),
    ),
    dispatch_state.Scope(
        name="stream",
        requests=(_Kind.ONCE,),
        targets=1,
        items=3,
        in_flight=2,
        connections=2,
        faults=_Faults(
            together=2, cuts=1, entry_crashes=1, engine_deaths=1, duplicates=1
        ),
    ),
    dispatch_state.Scope(
        name="two callers",
        requests=(_Kind.ONCE, _Kind.ONCE),
        targets=1,
        items=1,
        in_flight=2,
        connections=1,
        faults=_Faults(together=1, duplicates=1, cuts=1, refusals=1),
    ),
    dispatch_state.Scope(
        name="unseen delay",
        requests=(_Kind.ONCE,),
        targets=1,
        items=1,
        in_flight=2,
        connections=2,
        faults=_Faults(
            together=2, unseen_delays=1, cuts=1, refusals=1, retracts=1
        ),
    ),
)

SCOPES: typing.Final[typing.Mapping[str, dispatch_state.Scope]] = {
    scope.name: scope for scope in _SCOPES
}
"""The checks, by name: several small ones instead of one large one."""


def build_dispatch(
    scope: dispatch_state.Scope,
    without: typing.Optional[dispatch_state.Guard] = None,
) -> minicheck.Protocol:
    """Return the model for a scope, perhaps with one guard taken out."""
    rules = dispatch_network.Rules(scope, without)

    # The search of goals asks for the same successors again.
    @functools.cache
    def list_actions(
        state: dispatch_state.State,
    ) -> list[dispatch_network.Action]:
        return list(_list_actions(rules, state))

    return minicheck.Protocol(
        name=f"dispatch, {scope.name}",
        candidate=without is None,
        fields=dispatch_state.State._fields,
        initial=dispatch_state.make_initial_state(scope),
        transitions=list_actions,
        invariants={
            name: functools.partial(holds, scope)
            for name, holds in PROPERTIES.items()
        },
        goal=_everyone_is_served,
    )


def _list_actions(
    rules: dispatch_network.Rules, state: dispatch_state.State
) -> abc.Iterator[dispatch_network.Action]:
    yield from dispatch_entry.list_entry_actions(rules, state)
    yield from dispatch_agent.list_agent_actions(rules, state)
    for message in sorted(set(state.messages)):
        if message.to_agent:
            yield from dispatch_agent.receive_at_agent(rules, state, message)
        else:
            yield from dispatch_entry.receive_at_entry(rules, state, message)
        yield from _lose_or_repeat(rules, state, message)
    yield from _cut(rules, state)
    yield from _cut_caller(rules, state)
    yield from _crash_entry(rules, state)
    yield from _crash_agent(state)


def _lose_or_repeat(
    rules: dispatch_network.Rules,
    state: dispatch_state.State,
    message: dispatch_state.Message,
) -> abc.Iterator[dispatch_network.Action]:
    if message.to_agent:
        is_open = dispatch_network.is_open(rules, state, message.connection)
        if not is_open:
            after = dispatch_network.take(state, message)
            yield f"{message.kind} is lost", after
    spent = dispatch_network.spend(state, "duplicates")
    if spent is not None and dispatch_network.has_room(rules, state):
        messages = tuple(sorted((*state.messages, message)))
        yield f"{message.kind} is doubled", spent._replace(messages=messages)


def _cut(
    rules: dispatch_network.Rules, state: dispatch_state.State
) -> abc.Iterator[dispatch_network.Action]:
    spent = dispatch_network.spend(state, "cuts")
    if spent is None:
        return
    for request, calls in enumerate(state.calls):
        for entry, call in enumerate(calls):
            if not state.entries[entry]:
                continue
            if call.state in ("offered", "retracting", "streaming"):
                label = f"entry {entry} loses the connection of {request}"
                yield from dispatch_entry.lose_connection(
                    rules, spent, request, entry, label
                )


def _cut_caller(
    rules: dispatch_network.Rules, state: dispatch_state.State
) -> abc.Iterator[dispatch_network.Action]:
    """Cut a caller's connection; its entry goes on for a while."""
    spent = dispatch_network.spend(state, "caller_cuts")
    if spent is None:
        return
    for request, caller in enumerate(state.callers):
        if caller.state == "calling":
            label = f"caller {request} loses its connection"
            yield from _break_caller(spent, request, label)


def _break_caller(
    state: dispatch_state.State, request: int, label: str
) -> abc.Iterator[dispatch_network.Action]:
    caller = state.callers[request]._replace(state="broken")
    yield label, dispatch_network.replace_caller(state, request, caller)
    if caller.items:
        caller = caller._replace(items=caller.items[:-1])
        after = dispatch_network.replace_caller(state, request, caller)
        yield f"{label} and the last item", after


def _crash_entry(
    rules: dispatch_network.Rules, state: dispatch_state.State
) -> abc.Iterator[dispatch_network.Action]:
    spent = dispatch_network.spend(state, "entry_crashes")
    if spent is None or not state.entries[0]:
        return
    spent = spent._replace(
        entries=dispatch_state.replace_at(spent.entries, 0, False)
    )
    spent = dispatch_network.drop_messages(
        spent, lambda m: not m.to_agent and m.connection.entry == 0
    )
    broken = [
        request
        for request, caller in enumerate(state.callers)
        if caller.state == "calling" and caller.entry == 0
    ]
    if not broken:
        return
    # Scopes with entry crashes have one request.
    yield from _break_caller(spent, broken[0], "entry 0 crashes")


def _crash_agent(
    state: dispatch_state.State,
) -> abc.Iterator[dispatch_network.Action]:
    """End the first agent, or let it sleep while another takes its place."""
    successor = len(state.agents) - 1
    spent = dispatch_network.spend(state, "agent_crashes")
    if spent is not None and state.agents[0].alive:
        dead = dispatch_state.Agent(0, False)
        after = dispatch_network.replace_agent(spent, 0, dead)
        after = _revive(after, successor)
        after = dispatch_network.drop_messages(
            after, lambda m: m.to_agent and m.agent == 0
        )
        after = _leave_streams(state, after)
        yield "agent 0 crashes", after
    spent = dispatch_network.spend(state, "replacements")
    if spent is not None and not state.agents[successor].alive:
        yield "agent 0 is paused and replaced", _revive(spent, successor)


def _leave_streams(
    before: dispatch_state.State, after: dispatch_state.State
) -> dispatch_state.State:
    """Keep what the engine of a crashed agent goes on with."""
    streams = dispatch_agent.list_engine_streams(before.agents[0])
    return after._replace(left=tuple(streams))


def _revive(state: dispatch_state.State, process: int) -> dispatch_state.State:
    agent = state.agents[process]._replace(alive=True)
    return dispatch_network.replace_agent(state, process, agent)


_Fields: typing.TypeAlias = typing.Mapping[str, typing.Any]


def _starts_at_most_once(scope: dispatch_state.Scope, fields: _Fields) -> bool:
    starts_of = zip(scope.requests, fields["witness"].starts, strict=True)
    return all(
        kind is _Kind.REPEATABLE or starts <= 1 for kind, starts in starts_of
    )


def _not_run_is_true(scope: dispatch_state.Scope, fields: _Fields) -> bool:
    starts_of = zip(fields["callers"], fields["witness"].starts, strict=True)
    return all(
        starts == 0 or "not_run" not in caller.answers
        for caller, starts in starts_of
    )


def _items_are_in_order(scope: dispatch_state.Scope, fields: _Fields) -> bool:
    return all(
        item.number == index and item.generation == caller.items[0].generation
        for caller in fields["callers"]
        for index, item in enumerate(caller.items, 1)
    )


def _answers_are_own(scope: dispatch_state.Scope, fields: _Fields) -> bool:
    return all(
        item.payload == request
        for request, caller in enumerate(fields["callers"])
        for item in caller.items
    )


def _one_final_answer(scope: dispatch_state.Scope, fields: _Fields) -> bool:
    return all(
        len(caller.answers) == (1 if caller.state == "ended" else 0)
        for caller in fields["callers"]
    )


def _ends_are_whole(scope: dispatch_state.Scope, fields: _Fields) -> bool:
    return all(
        "end" not in caller.answers or len(caller.items) == scope.items
        for caller in fields["callers"]
    )


def _starts_at_home(scope: dispatch_state.Scope, fields: _Fields) -> bool:
    return not fields["witness"].foreign


def _no_late_start(scope: dispatch_state.Scope, fields: _Fields) -> bool:
    return not fields["witness"].late


def _no_start_after_cancel(
    scope: dispatch_state.Scope, fields: _Fields
) -> bool:
    return not fields["witness"].after_cancel


_Property: typing.TypeAlias = abc.Callable[
    [dispatch_state.Scope, _Fields], bool
]

PROPERTIES: typing.Final[typing.Mapping[str, _Property]] = {
    "starts_at_most_once": _starts_at_most_once,
    "not_run_is_true": _not_run_is_true,
    "items_are_in_order": _items_are_in_order,
    "answers_are_own": _answers_are_own,
    "one_final_answer": _one_final_answer,
    "ends_are_whole": _ends_are_whole,
    "starts_at_home": _starts_at_home,
    "no_late_start": _no_late_start,
    "no_start_after_cancel": _no_start_after_cancel,
}
"""What must hold in every reachable state."""


def _everyone_is_served(fields: _Fields) -> bool:
    """Tell whether every caller has its answer or knows that it has none."""
    return all(
        caller.state in ("ended", "gave up") for caller in fields["callers"]
    )

"""Steps for the specification of dispatch."""

import pathlib

import behave
import minicheck

from spec import dispatch
from spec import dispatch_state
from spec import search


@behave.when("all states of dispatch in scope {scope} are searched")
def search_dispatch(context, scope):
    context.protocol = dispatch.build_dispatch(dispatch.SCOPES[scope])
    context.report = search.check_properties(context.protocol)
    print(context.protocol.name, context.report.states, "states")


@behave.then("the search was exhaustive over at least {states:d} states")
def check_exhaustive(context, states):
    assert context.report.exhaustive
    assert context.report.states >= states, context.report.states


@behave.then("no property was broken")
def check_nothing_broken(context):
    for found in context.report.counterexamples:
        print(search.format_counterexample(found))
    assert not context.report.counterexamples


@behave.then("only the property {name} was broken")
def check_only_broken(context, name):
    assert context.report.exhaustive
    broken = [found.violated for found in context.report.counterexamples]
    assert broken == [name], broken


@behave.then("every caller can always still come to an answer")
def check_goal(context):
    reachable, trap = search.can_always_reach_goal(context.protocol)
    if trap is not None:
        print(search.format_counterexample(trap))
    assert reachable


@behave.when("a way to the answer {answer} in scope {scope} is searched")
def search_answer(context, answer, scope):
    full = dispatch.build_dispatch(dispatch.SCOPES[scope])

    def is_absent(fields):
        return all(answer not in c.answers for c in fields["callers"])

    protocol = minicheck.Protocol(
        name=full.name,
        candidate=False,
        fields=full.fields,
        initial=full.initial,
        transitions=full.transitions,
        invariants={"is_absent": is_absent},
    )
    context.found = search.find_counterexample(protocol, "is_absent")


@behave.then("one is found")
def check_found(context):
    assert context.found is not None
    print(search.format_counterexample(context.found))


@behave.when("{guard} is taken out of dispatch in scope {scope}")
def remove_dispatch_guard(context, guard, scope):
    context.protocol = dispatch.build_dispatch(
        dispatch.SCOPES[scope], dispatch_state.Guard(guard)
    )


@behave.then("the checker finds how {name} breaks")
def check_broken(context, name):
    found = search.find_counterexample(context.protocol, name)
    assert found is not None
    assert found.violated == name
    assert not context.protocol.invariants[name](found.last)
    print(search.format_counterexample(found))


@behave.then("each guard of dispatch is taken out in the feature")
def check_every_guard(context):
    text = pathlib.Path(context.feature.filename).read_text()
    for guard in dispatch_state.Guard:
        assert f"| {guard} " in text, guard

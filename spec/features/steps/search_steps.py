"""Steps that search the states of a specification."""

import pathlib

import behave
import minicheck

from spec import catalogue
from spec import report
from spec import search


@behave.when("all states of {name} in scope {scope} are searched")
def search_states(context, name, scope):
    specification = catalogue.SPECIFICATIONS[name]
    context.protocol = specification.build(scope, None)
    context.report = search.check_properties(context.protocol)
    print(report.describe_scope(name, scope))
    print(context.report.states, "states")


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


@behave.then("the goal can always still be reached")
def check_goal(context):
    reachable, trap = search.can_always_reach_goal(context.protocol)
    if trap is not None:
        print(search.format_counterexample(trap))
    assert reachable


@behave.when("a way to the answer {answer} in scope {scope} is searched")
def search_answer(context, answer, scope):
    def is_absent(fields):
        return all(answer not in c.answers for c in fields["callers"])

    search_way(context, scope, is_absent)


@behave.when("a way to read on at a later agent in scope {scope} is searched")
def search_read_on(context, scope):
    def is_absent(fields):
        # A reader has an item, and its agent has read none yet, so that the
        # item came from the earlier agent.
        later = fields["agents"][-1]
        return not any(
            reader.sent > job.produced
            for job in later.jobs
            for reader in job.readers
        )

    search_way(context, scope, is_absent)


def search_way(context, scope, is_absent):
    full = catalogue.SPECIFICATIONS["dispatch"].build(scope, None)
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


@behave.when("{guard} is taken out of {name} in scope {scope}")
def remove_guard(context, guard, name, scope):
    context.protocol = catalogue.SPECIFICATIONS[name].build(scope, guard)


@behave.then("the checker finds how {name} breaks")
def check_broken(context, name):
    found = search.find_counterexample(context.protocol, name)
    assert found is not None
    assert found.violated == name
    assert not context.protocol.invariants[name](found.last)
    print(search.format_counterexample(found))


@behave.then("the checker finds a state from which the goal is out of reach")
def check_trap(context):
    reachable, trap = search.can_always_reach_goal(context.protocol)
    assert not reachable
    assert not context.protocol.goal(trap.last)
    print(search.format_counterexample(trap))


@behave.then("each guard of {name} is taken out in this feature")
def check_every_guard(context, name):
    text = pathlib.Path(context.feature.filename).read_text()
    for guard in catalogue.SPECIFICATIONS[name].guards:
        assert f"| {guard} " in text, guard

"""Steps for the urgency that engines are told."""

import behave

from gentianpoint_core.decisions import engine_urgency


@behave.when("routes have priorities {priorities} and objectives {numbers} ms")
def find_urgencies(context, priorities, numbers):
    context.priorities = [int(item) for item in priorities.split()]
    context.urgencies = engine_urgency.find_urgent(
        [
            engine_urgency.RouteUrgency(priority, float(objective_ms))
            for priority, objective_ms in zip(
                context.priorities, numbers.split(), strict=True
            )
        ]
    )


@behave.then("engines are told the urgencies {expected}")
def check_urgencies(context, expected):
    told = [context.urgencies.find(item) for item in context.priorities]
    assert [str(item).lower() for item in told] == expected.split(), told


@behave.then("a priority of {priority:d} is told as {expected}")
def check_urgency(context, priority, expected):
    assert str(context.urgencies.find(priority)).lower() == expected

"""Steps for the selection among engines of different paces."""

import random

import behave
import forwarding_builders
import pace_fleet_builders
from structlog import testing
import topic_builders
import trio

from gentianpoint_core.decisions import target_times
from gentianpoint_entry.forwarding import target_selection


@behave.given("engines that take {speeds} times as long")
def make_engines(context, speeds):
    context.speeds = [float(word) for word in speeds.split()]
    context.new = ()


@behave.given("the last {count:d} of them are new")
def make_new(context, count):
    size = len(context.speeds)
    context.new = range(size - count, size)


def make_fleet(context):
    return pace_fleet_builders.PaceFleet(context.speeds, context.new)


@behave.when("{count:d} generations are sent, {per_s:d} a second")
def send(context, count, per_s):
    paces = target_times.ServicePaces()
    context.sent = make_fleet(context).send(count, per_s, paces)
    context.sent_without = make_fleet(context).send(count, per_s, None)


@behave.when(
    "{count:d} generations are sent, {per_s:d} a second, without reports"
)
def send_without_reports(context, count, per_s):
    fleet = make_fleet(context)
    fleet.report()
    paces = target_times.ServicePaces()
    context.sent = fleet.send(count, per_s, paces, with_reports=False)


def count_each(context, speed):
    return [
        context.sent.count(number)
        for number, item in enumerate(context.speeds)
        if item == speed
    ]


@behave.then(
    "each engine that takes {speed:g} times as long gets at most {most:d} of"
    " them"
)
def check_most(context, speed, most):
    found = count_each(context, speed)
    assert found, speed
    assert max(found) <= most, found


@behave.then(
    "each engine that takes {speed:g} times as long gets at least {least:d} of"
    " them"
)
def check_least(context, speed, least):
    found = count_each(context, speed)
    assert min(found) >= least, found


@behave.then("the new engines get between {least:d} and {most:d} of them")
def check_new(context, least, most):
    found = sum(context.sent.count(number) for number in context.new)
    assert least <= found <= most, found


@behave.then("each goes to the engine to which it goes without paces")
def check_same(context):
    assert context.sent == context.sent_without


@behave.when(
    "one of them reports steps of {step_us:d} us and a prefill time of"
    " {prefill_us:d} us"
)
def choose_with_wrong_pace(context, step_us, prefill_us):
    fleet = make_fleet(context)
    fleet.report()
    listed = fleet.list_targets()
    listed[0].report = listed[0].report._replace(
        step_us=step_us, prefill_us_per_k=prefill_us
    )
    paces = target_times.ServicePaces()
    paces.update(target_selection.list_paces(listed))
    context.chosen = target_selection.choose_target(
        listed,
        fleet.request,
        forwarding_builders.DATA_CENTRE,
        1,
        0.1,
        random.Random(3),
        other_arrivals_per_s=20.0,
        paces=paces,
    )


@behave.then("a target is chosen")
def check_chosen(context):
    assert context.chosen is not None


@behave.when(
    "an entry chooses among them, and again once all take {speed:g} times as"
    " long"
)
def choose_twice(context, speed):
    fleets = [
        pace_fleet_builders.PaceFleet(speeds)
        for speeds in (context.speeds, [speed] * len(context.speeds))
    ]

    async def run():
        shared = forwarding_builders.make_forwarder(
            [], forwarding_builders.ScriptedCalls()
        )
        for fleet in fleets:
            fleet.report()
            for item in fleet.list_targets():
                target = shared.registry.put_entry(item.entry, 0.0)
                target.take_report(item.report)
            shared.choose_target(fleet.request)
            await trio.sleep(1)

    with testing.capture_logs() as lines:
        topic_builders.run_on_mock_clock(run)
    context.lines = [line for line in lines if "differ" in line]


@behave.then(
    "it logs first that their paces differ, then that they no longer do"
)
def check_lines(context):
    assert [line["differ"] for line in context.lines] == [True, False]
    first = context.lines[0]
    assert first["step_us_lower"] == 6300, first
    assert first["step_us_upper"] == 15300, first

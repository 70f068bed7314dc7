"""Steps for entries that tell each other what their customers use."""

import behave
import forwarding_builders
import topic_builders
import trio
import usage_builders

from gentianpoint_core import codec
from gentianpoint_core import ports
from gentianpoint_entry.forwarding import gossip_state
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes

_CONNECTED_S = 4.0
_SENT_S = 30.0
_SAMPLE_S = 0.05
_SCRIPTS = {"serves": "whole", "refuses": "refuse", "loses": "lost"}


@behave.given(
    "{count:d} entries whose customers have sent for 30 s, one of them ten"
    " times as much as each other"
)
def make_fleet(context, count):
    context.count = count
    # Times since requests began to wait, and what happens then.
    context.actions = []


def wait(context, fleet):
    context.wait_at = trio.current_time()
    fleet.set_waiting(is_waiting=True)


@behave.when("requests begin to wait at all of them")
def begin_to_wait(context):
    context.actions.append((0.0, lambda fleet: wait(context, fleet)))


@behave.when("{at:d} s later the generations of the large customer end")
def end_large(context, at):
    context.actions.append((at, lambda fleet: fleet.end_large()))


@behave.when("{at:d} s later an entry is lost")
def lose_entry(context, at):
    context.actions.append(
        (at, lambda fleet: fleet.stop(list(fleet.entries.values())[-1]))
    )


@behave.when("{at:d} s later what the first sends to the second is lost")
def lose_direction(context, at):
    def lose(fleet):
        first, second, *_ = fleet.entries
        fleet.lost_directions.add((first, second))

    context.actions.append((at, lose))


@behave.when("requests wait for {seconds:d} s and then no more")
def wait_for(context, seconds):
    begin_to_wait(context)
    context.actions.append(
        (seconds, lambda fleet: fleet.set_waiting(is_waiting=False))
    )
    context.ended_at = seconds


def run_fleet(context, start, end, measure):
    """Return what ``measure`` tells between two times."""
    found = []

    async def run():
        context.fleet = fleet = usage_builders.UsageFleet(context.count)
        async with trio.open_nursery() as nursery:
            fleet.start(nursery)
            fleet.run_all()
            await trio.sleep(_CONNECTED_S)
            fleet.begin_generations()
            await trio.sleep(_SENT_S)
            began_at = context.began_at = trio.current_time()
            for at, act in context.actions:
                await trio.sleep_until(began_at + at)
                act(fleet)
            await trio.sleep_until(began_at + start)
            while trio.current_time() <= began_at + end:
                found.append(measure(fleet))
                await trio.sleep(_SAMPLE_S)
            nursery.cancel_scope.cancel()

    topic_builders.run_on_mock_clock(run)
    return found


@behave.then(
    "from {start:d} s to {end:d} s later each knows each customer's usage"
    " within 20%"
)
def check_known(context, start, end):
    errors = run_fleet(
        context, start, end, lambda fleet: fleet.find_greatest_error()
    )
    assert max(errors) <= 0.2, max(errors)


def count_others(fleet):
    return [
        entry.gossip.usage.count_others() for entry in fleet.entries.values()
    ]


@behave.then("from {start:d} s to {end:d} s later no entry counts it")
def check_lost(context, start, end):
    for counts in run_fleet(context, start, end, count_others):
        assert set(counts) == {context.count - 2}, counts


@behave.then(
    "from {start:d} s to {end:d} s later the second counts {others:d} others"
)
def check_second(context, start, end, others):
    context.counts = run_fleet(context, start, end, count_others)
    for counts in context.counts:
        assert counts[1] == others, counts


@behave.then("the first counts {others:d} others")
def check_first(context, others):
    for counts in context.counts:
        assert counts[0] == others, counts


@behave.then("no entry has told usage in {seconds:d} s")
def check_silent(context, seconds):
    run_fleet(context, 0, seconds, lambda fleet: None)
    assert not context.fleet.told_at


@behave.then("from {after:d} s after their end on nothing is told")
def check_silent_again(context, after):
    last = context.ended_at + after
    run_fleet(context, last, last + 10, lambda fleet: None)
    told_at = [at - context.began_at for at in context.fleet.told_at]
    assert told_at
    assert max(told_at) <= last, max(told_at)


@behave.given("what {count:d} members tell of 8 customers each")
def hear_members(context, count):
    context.count = count


def measure_message(count):
    """Return the bytes of the first message about usage on a connection."""

    async def run():
        gossip = usage_builders.make_gossip(count)
        link = gossip_state.LinkState(trio.current_time())
        return len(codec.encode_message(gossip.build_message(link)))

    return topic_builders.run_on_mock_clock(run)


@behave.then("a message with all of it has at most {most:d} bytes")
def check_bytes(context, most):
    found = measure_message(context.count)
    assert found <= most, found


@behave.then("a message without has at most {most:d} bytes")
def check_bytes_without(context, most):
    found = measure_message(0)
    assert found <= most, found


@behave.given(
    "a request of customer a to a {kind} service that the target {words}"
)
def make_request(context, kind, words):
    context.engine = (
        forwarding_builders.ENGINE if kind == "generating" else None
    )
    context.script = _SCRIPTS[words]
    context.usage = usage_builders.RecordedUsage()


@behave.when("it is sent")
def send(context):
    async def run():
        calls = forwarding_builders.ScriptedCalls()
        calls.scripts["target-1"] = [context.script]
        shared = forwarding_builders.make_forwarder(
            ["target-1"], calls, usage=context.usage
        )
        route = forwarding_builders.make_route(routes.RouteKind.STREAM)
        request = forwarding_builders.make_request(route, context.engine)
        request = request._replace(customer=routes.Customer("a", None))
        (target,) = shared.registry.list_all()
        try:
            async with shared.send(target, request, requests.SendOptions()):
                assert not context.usage.ended
        except ports.PortError as error:
            assert context.script == "lost", error

    topic_builders.run_on_mock_clock(run)


@behave.then("customer a is counted with {tokens:d} tokens while it runs")
def check_begun(context, tokens):
    assert context.usage.begun == [("a", tokens)], context.usage.begun


@behave.then("with none after its end")
def check_ended(context):
    assert context.usage.ended == context.usage.begun, context.usage.ended

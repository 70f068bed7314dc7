"""Steps for an entry that is short of processor time."""

import itertools

import behave
import busy_builders
import forwarding_builders
import topic_builders
import trio

from gentianpoint_entry.forwarding import request_handling
from gentianpoint_entry.forwarding import routes


@behave.when("{count:d} callers send a request at once")
def send_at_once(context, count):
    context.entry = busy_builders.RunningEntry()
    context.count = count
    turns = busy_builders.SchedulerTurns()

    async def use():
        trio.lowlevel.add_instrument(turns)
        callers = [
            busy_builders.send_request(context.entry.addresses.callers)
            for _ in range(count)
        ]
        began = turns.count
        with trio.fail_after(20):
            while context.entry.served < count:
                await trio.lowlevel.checkpoint()
        context.turns = turns.count - began
        for caller in callers:
            caller.close()

    trio.run(busy_builders.run_entry, context.entry, use)


@behave.then("all of them are served within {most:d} turns of the scheduler")
def check_turns(context, most):
    assert context.turns <= most, context.turns


@behave.when(
    "{count:d} callers send a request and leave, and another one waits"
)
def send_and_leave(context, count):
    context.entry = busy_builders.RunningEntry()

    async def use():
        address = context.entry.addresses.callers
        for _ in range(count):
            busy_builders.send_request(address).close()
        waiting = busy_builders.send_request(address)
        waiting.setblocking(False)
        with trio.fail_after(20):
            await trio.lowlevel.wait_readable(waiting)
        waiting.close()

    trio.run(busy_builders.run_entry, context.entry, use)


@behave.then("{count:d} request is served")
def check_served(context, count):
    assert context.entry.served == count, context.entry.served


@behave.given("a stream of {count:d} events that come {together:d} at a time")
def make_stream(context, count, together):
    context.count = count
    context.stream = busy_builders.TimedStream(count, together, 0.1)


@behave.given(
    "a stream of {count:d} events that come {together:d} at a time, every"
    " {gap_ms:d} ms"
)
def make_timed_stream(context, count, together, gap_ms):
    context.count = count
    context.gap_s = gap_ms / 1000
    context.stream = busy_builders.TimedStream(count, together, gap_ms / 1000)


@behave.given("its target leaves")
def let_target_leave(context):
    context.is_leaving = True


@behave.when("its caller reads it")
def read_stream(context):
    serve_stream(context)


@behave.when(
    "its caller reads it from an entry that is busy for {share:f} of the time"
)
def read_from_busy(context, share):
    serve_stream(context, load=busy_builders.FixedLoad(share))


def serve_stream(context, **parts):
    context.answer = busy_builders.CountedAnswer()
    calls = forwarding_builders.ScriptedCalls()
    calls.scripts["a"] = ["events"]
    calls.make_answer = context.stream.make_answer

    async def run():
        context.began_at = trio.current_time()
        shared = forwarding_builders.make_forwarder(["a"], calls, **parts)
        handler = request_handling.RequestHandler(
            shared, forwarding_builders.send_refusal
        )
        route = forwarding_builders.make_route(routes.RouteKind.STREAM)
        request = forwarding_builders.make_request(route, None)
        if "is_leaving" in context:
            target = shared.registry.find("a")
            choose = shared.find_target

            async def choose_and_leave(request, excluded=()):
                found = await choose(request, excluded)
                target.entry = target.entry._replace(is_leaving=True)
                return found

            shared.find_target = choose_and_leave
        await handler.serve(request, context.answer)

    topic_builders.run_on_mock_clock(run)


@behave.then("the caller gets all of it, by at most {writes:d} writes")
def check_writes(context, writes):
    numbers = range(1, context.count + 1)
    whole = b"".join(forwarding_builders.make_event(item) for item in numbers)
    assert context.answer.data == whole, context.answer.data
    assert context.answer.is_finished
    assert len(context.answer.received_at) <= writes, context.answer


@behave.then("its first event is not held back")
def check_first(context):
    # The target takes 10 ms for the head of its answer.
    waited_s = context.answer.received_at[0] - context.began_at
    assert waited_s < context.gap_s + 0.02, waited_s


@behave.then("no pause is longer than {pause_ms:d} ms")
def check_pauses(context, pause_ms):
    times = context.answer.received_at
    longest_s = max(b - a for a, b in itertools.pairwise(times))
    assert longest_s * 1000 <= pause_ms, longest_s

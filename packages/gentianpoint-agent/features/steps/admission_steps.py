"""Steps for the queue, its order, bounds and refusals."""

import agent_builders
import behave
import call_stage

from gentianpoint_agent import drain_rates
from gentianpoint_core import deadlines


def start_stage(context, stage):
    context.calls = stage
    context.stage = stage


def send_calls(context, customer, count, tokens=0, within=None, **more):
    context.tokens = {**getattr(context, "tokens", {}), customer: tokens}
    for _ in range(count):
        if within is not None:
            more["start_by"] = context.calls.stage.call(
                deadlines.make_deadline, within * 1000
            )
        context.calls.send(agent_builders.make_profile(customer, **more))


@behave.given("a queue before {places:d} place")
@behave.given("a queue before {places:d} places")
def make_queue(context, places):
    start_stage(context, call_stage.make_fixed_stage(places))


@behave.given("a queue of at most {most:d} before {places:d} place")
def make_bounded_queue(context, most, places):
    stage = call_stage.make_fixed_stage(places, max_queued=most)
    start_stage(context, stage)


@behave.given("calls have taken {held:d} s each")
def let_calls_take(context, held):
    for _ in range(5):
        send_calls(context, "earlier", 1)
        context.calls.pass_time(held)
        context.calls.end_first()


@behave.when(
    "customer {customer} with weight {weight:g} sends {count:d} calls"
)
def send_weighted(context, customer, weight, count):
    send_calls(context, customer, count, weight=weight)


@behave.when(
    "customer {customer} with weight 1 sends {count:d} calls of"
    " {tokens:d} tokens"
)
def send_sized(context, customer, count, tokens):
    send_calls(context, customer, count, tokens)


@behave.when(
    "customer {customer} of priority {priority:d} sends {count:d} calls"
)
def send_urgent(context, customer, priority, count):
    send_calls(context, customer, count, priority=priority)


@behave.when("customer {customer} limited to {limit:d} sends {count:d} calls")
def send_limited(context, customer, limit, count):
    send_calls(context, customer, count, customer_limit=limit)


@behave.when("customer {customer} that has {within:d} s sends {count:d} calls")
def send_hurried(context, customer, within, count):
    send_calls(context, customer, count, within=within)


@behave.when("{count:d} calls have run one after another")
def run_calls(context, count):
    run_long_calls(context, count, 0)


@behave.when("{count:d} calls of {seconds:g} s have run one after another")
def run_long_calls(context, count, seconds):
    calls = context.calls
    for _ in range(count):
        calls.pass_time(seconds)
        calls.end_first(context.tokens.get(calls.running[0].customer, 0))


@behave.then("customer {customer} had between {low:d} and {high:d} of them")
def check_share(context, customer, low, high):
    ended = len(context.calls.started) - len(context.calls.running)
    rows = [row for row, _ in context.calls.started[:ended]]
    assert low <= rows.count(customer) <= high, rows


@behave.then("customer {customer} has {count:d} running")
def check_running(context, customer, count):
    assert context.calls.count_running(customer) == count


@behave.then("they ran in the order they came")
def check_order(context):
    numbers = [number for _, number in context.calls.started]
    assert numbers == sorted(numbers), numbers


@behave.then(
    "{count:d} call of {customer} is refused with a time to come back"
)
def check_refused(context, count, customer):
    refused = context.calls.refused
    assert context.calls.count_refused(customer) == count, refused
    assert all(error.code == "not_run" for _, error in refused), refused


@behave.then("the second refusal names a later time than the first")
def check_later(context):
    times = [error.retry_after_ms for _, error in context.calls.refused]
    assert len(times) == 2, times
    assert times[0] < times[1], times


@behave.when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.calls.pass_time(seconds)


@behave.when("all are withdrawn")
def withdraw(context):
    for scope in context.calls.scopes:
        context.calls.stage.call(scope.cancel)


@behave.then("{count:d} calls wait")
def check_waiting(context, count):
    assert context.calls.control.count_queued() == count


@behave.then("{count:d} calls run")
def check_all_running(context, count):
    assert context.calls.control.count_running() == count


def teach(context, prompt, tokens, count=40):
    for _ in range(count):
        send_calls(context, "c", 1, prompt=prompt)
        context.calls.end_first(tokens - 1, "stop")


@behave.given(
    "an engine of {blocks:d} blocks whose reports are long and tags short"
)
def make_mixed_engine(context, blocks):
    start_stage(context, call_stage.make_predictive_stage())
    load = agent_builders.make_load(blocks=blocks)
    context.calls.stage.call(context.calls.control.note_load, load)
    teach(context, f"{'report on':30}", 1000)
    teach(context, f"{'tag for':30}", 5)
    context.calls.started.clear()


@behave.when("a report runs and another waits")
def send_reports(context):
    send_calls(context, "c", 2, prompt=f"{'report on':30}")
    assert context.calls.count_running("c") == 1


@behave.when("{count:d} tags come one after another and end at once")
def send_tags(context, count):
    calls = context.calls
    for _ in range(count):
        send_calls(context, "c", 1, prompt=f"{'tag for':30}")
        if len(calls.running) > 1:
            calls.end(calls.running[1], 4, "stop")


@behave.then("at least {least:d} tags have run")
def check_passed(context, least):
    assert len(context.calls.started) - 1 >= least, context.calls.started


@behave.then("fewer than {most:d} tags have run")
def check_bounded(context, most):
    assert len(context.calls.started) - 1 < most, context.calls.started


@behave.when("the first report ends")
def end_report(context):
    context.calls.end_first(999, "stop")


@behave.then("the second report runs")
def check_second(context):
    numbers = [call.number for call in context.calls.running]
    assert 82 in numbers, numbers
    assert 81 not in numbers, numbers


async def run_crowd(calls, count):
    for number in range(count):
        profile = agent_builders.make_profile(f"customer-{number}")
        async with calls.control.admit(profile):
            pass


@behave.when("{count:d} customers send one call each and it ends at once")
def send_crowd(context, count):
    context.calls.stage.start_task(run_crowd, context.calls, count)


@behave.then("fewer than {most:d} customers are remembered")
def check_remembered(context, most):
    remembered = context.calls.control.count_customers()
    assert 0 < remembered < most, remembered


@behave.given("a queue before {places:d} places where calls usually take 2 s")
def make_usual_drain(context, places):
    context.drain = drain_rates.DrainRate()
    context.drained_ms = 0.0
    context.drain.note_running(places, context.drained_ms)
    for _ in range(60):
        context.drained_ms += 1000.0
        context.drain.note_running(places, context.drained_ms)
        context.drain.note_release(2000.0)


@behave.when("{count:d} long answer runs alone for {seconds:d} s")
def run_alone(context, count, seconds):
    context.drain.note_running(count, context.drained_ms)
    context.drained_ms += seconds * 1000.0
    context.drain.note_running(count, context.drained_ms)


@behave.then(
    "a call with {ahead:d} before it is told to expect less than 10 s"
)
def check_short_wait(context, ahead):
    wait_ms = context.drain.predict_wait_ms(ahead)
    assert wait_ms < 10_000, wait_ms


@behave.then(
    "a call with {ahead:d} before it is told to expect more than 30 s"
)
def check_long_wait(context, ahead):
    wait_ms = context.drain.predict_wait_ms(ahead)
    assert wait_ms > 30_000, wait_ms


@behave.when("a stream runs that an earlier run has started")
def hold_running(context):
    context.calls.hold(agent_builders.make_profile("adopted"))


@behave.when("it brings {count:d} tokens that were generated before")
def bring_old_tokens(context, count):
    slot = context.calls.running[0].slot

    def bring():
        for _ in range(count):
            slot.note_token(is_timed=False)

    context.calls.stage.call(bring)


@behave.when("it has ended")
def end_held(context):
    context.calls.end_first()


@behave.then("the pace is not known")
def check_no_pace(context):
    assert context.calls.stage.call(context.calls.control.read_pace_ms) == 0

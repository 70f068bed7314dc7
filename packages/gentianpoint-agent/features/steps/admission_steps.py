"""Steps for the queue: its order, bounds and refusals."""

import agent_builders
import behave
import call_stage

from gentianpoint_agent import drain_rates
from gentianpoint_core import deadlines
from gentianpoint_core import named_limits


def use_stage(context, stage):
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


@behave.given("a queue for {slots:d} slot")
@behave.given("a queue for {slots:d} slots")
def make_queue(context, slots):
    use_stage(context, call_stage.make_fixed_stage(slots))


@behave.given("a queue of at most {limit:d} for {slots:d} slot")
def make_bounded_queue(context, limit, slots):
    stage = call_stage.make_fixed_stage(slots, max_queued=limit)
    use_stage(context, stage)


@behave.given("calls have taken {held:d} s each")
def run_earlier_calls(context, held):
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
def send_prioritized(context, customer, priority, count):
    send_calls(context, customer, count, priority=priority)


@behave.when("customer {customer} limited to {limit:d} sends {count:d} calls")
def send_limited(context, customer, limit, count):
    send_calls(context, customer, count, customer_limit=limit)


@behave.when(
    "customer {customer} with a limit of {within:d} s sends {count:d} calls"
)
def send_with_deadline(context, customer, within, count):
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


@behave.then("customer {customer} sent between {low:d} and {high:d} of them")
def check_share(context, customer, low, high):
    ended = len(context.calls.started) - len(context.calls.running)
    customers = [name for name, _ in context.calls.started[:ended]]
    assert low <= customers.count(customer) <= high, customers


@behave.then("customer {customer} has {count:d} running")
def check_running(context, customer, count):
    assert context.calls.count_running(customer) == count


@behave.then("they ran in order of arrival")
def check_order(context):
    numbers = [number for _, number in context.calls.started]
    assert numbers == sorted(numbers), numbers


@behave.then("{count:d} call of {customer} is refused with a retry delay")
def check_refused(context, count, customer):
    refused = context.calls.refused
    assert context.calls.count_refused(customer) == count, refused
    assert all(error.code == "not_run" for _, error in refused), refused


@behave.then("the second refusal has a longer retry delay than the first")
def check_retry_delays(context):
    delays_ms = [error.retry_after_ms for _, error in context.calls.refused]
    assert len(delays_ms) == 2, delays_ms
    assert delays_ms[0] < delays_ms[1], delays_ms


@behave.when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.calls.pass_time(seconds)


@behave.when("all calls are cancelled")
def cancel_all(context):
    for scope in context.calls.scopes:
        context.calls.stage.call(scope.cancel)


@behave.then("{count:d} calls wait")
def check_waiting(context, count):
    assert context.calls.control.count_queued() == count


@behave.then("{count:d} calls run")
def check_all_running(context, count):
    assert context.calls.control.count_running() == count


def learn_lengths(context, prompt, tokens, count=40):
    for _ in range(count):
        send_calls(context, "c", 1, prompt=prompt)
        context.calls.end_first(tokens - 1, "stop")


@behave.given(
    "an engine of {blocks:d} blocks, known long reports and known short tags"
)
def make_mixed_engine(context, blocks):
    use_stage(context, call_stage.make_predictive_stage())
    load = agent_builders.make_load(blocks=blocks)
    context.calls.stage.call(context.calls.control.note_load, load)
    learn_lengths(context, f"{'report on':30}", 1000)
    learn_lengths(context, f"{'tag for':30}", 5)
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


@behave.then("at least {minimum:d} tags have run")
def check_overtaking(context, minimum):
    assert len(context.calls.started) - 1 >= minimum, context.calls.started


@behave.then("fewer than {limit:d} tags have run")
def check_bounded(context, limit):
    assert len(context.calls.started) - 1 < limit, context.calls.started


@behave.when("the first report ends")
def end_report(context):
    context.calls.end_first(999, "stop")


@behave.then("the second report runs")
def check_second_report(context):
    numbers = [call.number for call in context.calls.running]
    assert 82 in numbers, numbers
    assert 81 not in numbers, numbers


async def run_customers(calls, count):
    for number in range(count):
        profile = agent_builders.make_profile(f"customer-{number}")
        async with calls.control.admit(profile):
            pass


@behave.when("{count:d} customers send one call each that ends at once")
def send_from_customers(context, count):
    context.calls.stage.start_task(run_customers, context.calls, count)


@behave.then("the queue tracks fewer than {limit:d} customers")
def check_tracked(context, limit):
    tracked = context.calls.control.count_customers()
    assert 0 < tracked < limit, tracked


@behave.given("a queue for {slots:d} slots where calls usually take 2 s")
def make_usual_drain(context, slots):
    context.drain = drain_rates.DrainRate()
    context.now_ms = 0.0
    context.drain.note_running(slots, context.now_ms)
    for _ in range(60):
        context.now_ms += 1000.0
        context.drain.note_running(slots, context.now_ms)
        context.drain.note_release(2000.0)


@behave.when("{count:d} long answer runs alone for {seconds:d} s")
def run_alone(context, count, seconds):
    context.drain.note_running(count, context.now_ms)
    context.now_ms += seconds * 1000.0
    context.drain.note_running(count, context.now_ms)


@behave.then(
    "the predicted wait of a call behind {ahead:d} others is less than 10 s"
)
def check_short_wait(context, ahead):
    wait_ms = context.drain.predict_wait_ms(ahead)
    assert wait_ms < 10_000, wait_ms


@behave.then(
    "the predicted wait of a call behind {ahead:d} others is more than 30 s"
)
def check_long_wait(context, ahead):
    wait_ms = context.drain.predict_wait_ms(ahead)
    assert wait_ms > 30_000, wait_ms


@behave.when("a stream runs that an earlier run of the agent started")
def hold_adopted_stream(context):
    context.calls.hold(agent_builders.make_profile("adopted"))


@behave.when("it delivers {count:d} tokens that were generated before")
def deliver_old_tokens(context, count):
    slot = context.calls.running[0].slot

    def deliver():
        for _ in range(count):
            slot.note_token(is_timed=False)

    context.calls.stage.call(deliver)


@behave.when("the stream has ended")
def end_adopted_stream(context):
    context.calls.end_first()


@behave.then("the pace is unknown")
def check_no_pace(context):
    assert context.calls.stage.call(context.calls.control.read_pace_ms) == 0


@behave.given("the target has named a limit of {per_s:g} a second")
def name_limit(context, per_s):
    named = named_limits.NamedLimit(True, per_s)
    context.calls.stage.call(context.calls.control.note_limit, named, 0.0)


@behave.when("{seconds:d} s pass, and the target names no limit any more")
def lift_limit(context, seconds):
    context.calls.pass_time(seconds)
    context.calls.stage.call(
        context.calls.control.note_limit,
        named_limits.UNNAMED,
        1e12,
    )


@behave.when("{seconds:d} s pass, and calls end as soon as they have started")
def end_all(context, seconds):
    for _ in range(seconds * 20):
        while context.calls.running:
            context.calls.end_first()
        context.calls.pass_time(0.05)


@behave.then("between {least:d} and {most:d} calls have started")
def check_started_count(context, least, most):
    assert least <= len(context.calls.started) <= most, len(
        context.calls.started
    )


@behave.then("the others were refused with a retry delay")
def check_others_refused(context):
    refused = context.calls.count_refused("one")
    assert refused == 30 - len(context.calls.started), refused

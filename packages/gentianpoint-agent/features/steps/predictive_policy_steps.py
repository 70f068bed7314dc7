"""Steps for admission by forecast memory and pace."""

import math
import random

import agent_builders
import behave
import call_stage

from gentianpoint_agent import pace_limits

_MAX_CALLS = 200
_LEARNED_ANSWERS = 150
_WINDOWS = 30


def note_load(calls, **more):
    load = agent_builders.make_load(**{"boot": "b3", **more})
    calls.stage.call(calls.control.note_load, load)


def make_calls(objective, blocks):
    calls = call_stage.make_predictive_stage(objective=objective)
    if blocks:
        note_load(calls, boot="b2", blocks=blocks)
    return calls


def learn_lengths(calls, blocks, low, high):
    draw = random.Random(7)
    for _ in range(_LEARNED_ANSWERS):
        calls.send(agent_builders.make_profile("c"))
        calls.end_first(draw.randint(low, high) - 1, "stop")
    # These tokens came without any time between them, which no engine does.
    # A report with another boot resets the pace, as after a restart.
    note_load(calls, blocks=blocks)


def start_all(calls, prompt="a prompt"):
    for _ in range(_MAX_CALLS):
        calls.send(agent_builders.make_profile("c", prompt=prompt))
        if calls.control.count_queued():
            break
    return len(calls.running)


def generate_tokens(calls, gap_ms):
    """Let each running stream generate ten tokens, ``gap_ms`` apart."""

    def generate_all():
        for call in tuple(calls.running):
            call.slot.note_token()

    for _ in range(10):
        calls.pass_time(gap_ms / 1000)
        calls.stage.call(generate_all)


@behave.given("a predictive policy for {objective} with {blocks:d} blocks")
def make_policy(context, objective, blocks):
    context.blocks = blocks
    context.prompt = "a prompt"
    context.calls = context.stage = make_calls(objective, blocks)


@behave.given("answers known to have between {low:d} and {high:d} tokens")
def learn_answers(context, low, high):
    learn_lengths(context.calls, context.blocks, low, high)


@behave.given("prompts of {tokens:d} tokens")
def set_prompt(context, tokens):
    context.prompt = "word" * (tokens // 2)


@behave.when("as many calls as it admits have started")
def start_admitted(context):
    context.started = start_all(context.calls, context.prompt)


@behave.then("between {low:d} and {high:d} run")
def check_started(context, low, high):
    assert low <= context.started <= high, context.started


@behave.given("both objectives with {blocks:d} blocks and the same answers")
def make_both(context, blocks):
    context.both = {}
    for objective in ("fewest_preemptions", "steady_pace"):
        calls = make_calls(objective, blocks)
        learn_lengths(calls, blocks, 100, 1000)
        context.both[objective] = calls


@behave.when("as many calls as each admits have started")
def start_each(context):
    context.counts = {}
    for objective, calls in context.both.items():
        context.counts[objective] = start_all(calls)
        calls.close()


@behave.when("each stream adds a tenth to the time between tokens")
def slow_down(context):
    context.counts = {}
    for objective, calls in context.both.items():
        for _ in range(_WINDOWS):
            start_all(calls)
            generate_tokens(calls, 50 + 5 * len(calls.running))
            note_load(calls, blocks=100000)
        context.counts[objective] = len(calls.running)
        calls.close()


@behave.then("{one} runs fewer than {other}")
def compare(context, one, other):
    assert context.counts[one] < context.counts[other], context.counts


@behave.when("a report {age:d} ms old says that {used:d} blocks are used")
def report(context, age, used):
    note_load(
        context.calls, blocks=context.blocks, blocks_used=used, age_ms=age
    )


@behave.when("reports say that they use {used:d} blocks")
def report_repeatedly(context, used):
    for _ in range(20):
        context.calls.pass_time(0.2)
        report(context, 0, used)


@behave.when("{count:d} of these calls has started {age:d} ms ago")
def start_earlier(context, count, age):
    context.calls.pass_time(1)
    for _ in range(count):
        context.calls.send(
            agent_builders.make_profile("c", prompt=context.prompt)
        )
    context.calls.pass_time(age / 1000)


@behave.when("{count:d} calls have started and generated a token")
def start_and_generate(context, count):
    for _ in range(count):
        context.calls.send(agent_builders.make_profile("c"))
    for call in context.calls.running:
        context.calls.stage.call(call.slot.note_token)


@behave.when("a stream is preempted")
def preempt(context):
    slot = context.calls.running[0].slot
    context.calls.stage.call(slot.note_preemption)


@behave.when("a stream is preempted and resumes")
def preempt_and_resume(context):
    preempt(context)
    slot = context.calls.running[0].slot
    context.calls.stage.call(slot.note_token)


@behave.then("no call is admitted")
def check_none_admitted(context):
    before = len(context.calls.running)
    context.calls.send(agent_builders.make_profile("c", prompt=context.prompt))
    assert len(context.calls.running) == before


@behave.then("a call is admitted")
def check_admitted(context):
    before = len(context.calls.running)
    if not context.calls.control.count_queued():
        context.calls.send(
            agent_builders.make_profile("c", prompt=context.prompt)
        )
        assert len(context.calls.running) > before
        return
    assert len(context.calls.running) > context.started


@behave.given("a pace limit that has grown to {limit:d} streams")
def make_limit(context, limit):
    context.limit = pace_limits.PaceLimit()
    while context.limit.get_limit() < limit:
        pace = pace_limits.WindowPace(10.0, 10.0, 10.0)
        context.limit.update(pace, context.limit.get_limit(), 2.5)
    context.before = context.limit.get_limit()


@behave.when(
    "the slower tokens take {slow:d} ms where the empty engine takes 10"
)
def update_once(context, slow):
    pace = pace_limits.WindowPace(12.0, 12.0, float(slow))
    context.limit.update(pace, context.before, 2.5)


@behave.then("the limit has {changed}")
def check_changed(context, changed):
    after = context.limit.get_limit()
    assert (after > context.before) == (changed == "risen"), after
    assert after != context.before


@behave.when("the slower tokens take {slow:d} ms for {windows:d} windows")
def update_repeatedly(context, slow, windows):
    context.minimum = math.inf
    for _ in range(windows):
        pace = pace_limits.WindowPace(float(slow), float(slow), float(slow))
        running = context.limit.get_limit()
        context.limit.update(pace, running, 2.5)
        context.minimum = min(context.minimum, running)


@behave.then("the limit rises again")
def check_rises(context):
    assert context.limit.get_limit() > context.minimum


def preempt_first(calls, count):
    slots = [call.slot for call in calls.running[:count]]
    for slot in slots:
        calls.stage.call(slot.note_preemption)
    for slot in slots:
        calls.stage.call(slot.note_token)


def end_all(calls):
    while calls.running:
        calls.end_first()
    calls.pass_time(1)


@behave.when("{count:d} of them are preempted, resume and end with the others")
def preempt_at_once(context, count):
    preempt_first(context.calls, count)
    for scope in context.calls.scopes:
        context.calls.stage.call(scope.cancel)
    end_all(context.calls)


@behave.when(
    "they run out of memory {times:d} times, {seconds:d} s apart, and end"
)
def preempt_repeatedly(context, times, seconds):
    for _ in range(times):
        preempt_first(context.calls, 2)
        context.calls.pass_time(seconds)
    for scope in context.calls.scopes:
        context.calls.stage.call(scope.cancel)
    end_all(context.calls)

"""Steps for the pace of an engine."""

import behave
import pace_builders

from gentianpoint_core.decisions import engine_pace


@behave.given(
    "an engine that takes {speed:g} times as long, with prompts in prefill"
    " for {share:g} of the time"
)
def make_engine(context, speed, share):
    context.engine = pace_builders.SteppingEngine(speed, share)


@behave.when("it works for {for_s:g} s")
def work(context, for_s):
    context.engine.run(for_s)


@behave.when("it takes {factor:g} times as long for {for_s:g} s")
def slow_down(context, factor, for_s):
    engine = context.engine
    context.before = engine.pace.measure(engine.now)
    began = engine.now
    engine.speed *= factor
    engine.run(for_s)
    engine.speed /= factor
    # The highest within a second from the beginning of the phase.
    context.most = engine.pace.measure(engine.now)
    while engine.now < began + 1:
        engine.run(pace_builders.POLL_S)
        context.most = max(context.most, engine.pace.measure(engine.now))


@behave.when("it is idle for {for_s:g} s")
def wait(context, for_s):
    engine = context.engine
    for _ in range(round(for_s / pace_builders.POLL_S)):
        engine.now += pace_builders.POLL_S
        engine.pace.note_status(pace_builders.make_status({}), engine.now)


@behave.when("no status comes for {for_s:g} s")
def stop_statuses(context, for_s):
    context.engine.now += for_s


@behave.when("it restarts")
def restart(context):
    engine = context.engine
    engine.restart()
    engine.now += 0.001
    engine.pace.note_status(engine.read_status(), engine.now)


@behave.when(
    "it works for {for_s:g} s, and its status is read each {each_ms:d} ms too"
)
def work_and_read(context, for_s, each_ms):
    engine = context.engine
    until = engine.now + for_s
    while engine.now < until:
        engine.run(each_ms / 1000)
        engine.pace.note_status(engine.read_status(), engine.now)


@behave.when(
    "statuses tell of a generation with {tokens} tokens, 100 ms apart"
)
def tell(context, tokens):
    note_tokens(context, [int(word) for word in tokens.split()])


@behave.when("statuses tell of {tokens:d} tokens for {for_s:d} s")
def tell_for(context, tokens, for_s):
    note_tokens(context, [tokens] * round(for_s / pace_builders.POLL_S))


def note_tokens(context, tokens):
    pace = engine_pace.EnginePace()
    now = 0.0
    for held in tokens:
        now += pace_builders.POLL_S
        pace.note_status(pace_builders.make_status({"run": held}), now)
    context.step_us = pace.measure(now).step_us


@behave.then("its step time is known within {share:g}")
def check_step(context, share):
    engine = context.engine
    found = engine.pace.measure(engine.now).step_us
    assert abs(found / engine.step_us - 1) <= share, (found, engine.step_us)


@behave.then("its prefill time is known within {share:g}")
def check_prefill(context, share):
    engine = context.engine
    found = engine.pace.measure(engine.now).prefill_us_per_k
    wanted = engine.prefill_us_per_k
    assert abs(found / wanted - 1) <= share, (found, wanted)


@behave.then(
    "within a second its step time is at least {factor:g} times that of before"
)
def check_slower(context, factor):
    found = context.most.step_us
    before = context.before.step_us
    assert found >= factor * before, (found, before)


@behave.then("its step time is unknown")
def check_step_unknown(context):
    engine = context.engine
    assert engine.pace.measure(engine.now).step_us == 0


@behave.then("its pace is unknown")
def check_unknown(context):
    engine = context.engine
    assert engine.pace.measure(engine.now) == engine_pace.Pace()


@behave.then("the step time is {words}")
def check_told(context, words):
    if words.startswith("between"):
        _, least, _, most = words.split()
        assert int(least) <= context.step_us <= int(most), context.step_us
        return
    wanted = 0 if words == "unknown" else int(words)
    assert context.step_us == wanted, context.step_us

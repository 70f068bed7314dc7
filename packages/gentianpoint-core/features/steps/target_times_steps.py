"""Steps for times that are predicted at targets."""

import behave

from gentianpoint_core.decisions import engine_pace
from gentianpoint_core.decisions import target_times


@behave.when("targets report steps of {steps} us")
def compare(context, steps):
    context.paces = target_times.ServicePaces()
    context.paces.update(
        engine_pace.Pace(int(word), 0) for word in steps.split()
    )


@behave.then("their paces {words}")
def check_paces(context, words):
    if words.startswith("were "):
        assert words == "were " + ", ".join(context.found), context.found
        return
    assert context.paces.differ == (words == "differ"), context.paces.spread


@behave.when("the ratio of the paces' quartiles is {ratios}")
def vary(context, ratios):
    paces = target_times.ServicePaces()
    context.found = []
    for ratio in ratios.split():
        upper = engine_pace.Pace(round(10_000 * float(ratio)), 0)
        paces.update([engine_pace.Pace(10_000, 0)] * 4 + [upper] * 4)
        context.found.append("different" if paces.differ else "alike")


@behave.given(
    "targets with steps of {step_us:d} us and prefill times of {prefill_us:d}"
    " us"
)
def make_targets(context, step_us, prefill_us):
    context.paces = target_times.ServicePaces()
    context.paces.update([engine_pace.Pace(step_us, prefill_us)] * 4)


@behave.when(
    "a target has steps of {step_us:d} us and a prefill time of"
    " {prefill_us:d} us"
)
def complete(context, step_us, prefill_us):
    pace = engine_pace.Pace(step_us, prefill_us)
    context.completed = context.paces.complete(pace)


@behave.then(
    "it counts as one with steps of {step_us:d} us and a prefill time of"
    " {prefill_us:d} us"
)
def check_completed(context, step_us, prefill_us):
    wanted = engine_pace.Pace(step_us, prefill_us)
    assert context.completed == wanted, context.completed

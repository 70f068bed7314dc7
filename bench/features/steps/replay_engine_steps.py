"""Steps for the engine of replays."""

import behave
import replay_builders
import trio.testing


@behave.given("a simulated engine with memory for two of three generations")
def give_little_memory(context):
    context.memory_tokens = 2500


@behave.given(
    "a simulated engine whose memory runs out as two generations grow"
)
def give_scarce_memory(context):
    context.memory_tokens = 3060


@behave.when(
    '"{first}" and "{second}" run, and "{third}" comes with urgency'
    " {urgency:d}"
)
def run_three(context, first, second, third, urgency):
    context.ended, context.engine = trio.run(
        replay_builders.run_three,
        context.memory_tokens,
        (first, second, third),
        urgency,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


@behave.then('the generations end in the order "{names}"')
def check_order(context, names):
    assert context.ended == names.split(", "), context.ended


@behave.then("the engine has preempted {count:d} generation")
@behave.then("the engine has preempted {count:d} generations")
def check_preemptions(context, count):
    assert context.engine.preemptions == count, context.engine.preemptions

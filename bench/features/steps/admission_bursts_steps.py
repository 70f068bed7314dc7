"""Steps for admission of prompts that come at once."""

import behave

from bench.features import burst_builders


@behave.when(
    "{count:d} prompts come within {spread:g} seconds to engines of"
    " {blocks:d} blocks, whose reports are {age:g} s old, with seeds"
    " {first:d} to {last:d}"
)
def run_bursts(context, count, spread, blocks, age, first, last):
    context.preemptions = {
        policy: [
            burst_builders.count_preemptions(
                policy, count, blocks, spread, age, seed
            )
            for seed in range(first, last + 1)
        ]
        for policy in ("none", "predictive")
    }


@behave.then(
    "without admission each engine has preempted at least {least:d} times"
)
def check_without(context, least):
    assert min(context.preemptions["none"]) >= least, context.preemptions


@behave.then("with predictive admission at most a third as often")
def check_with(context):
    pairs = zip(
        context.preemptions["none"],
        context.preemptions["predictive"],
        strict=True,
    )
    assert all(predicted * 3 <= without for without, predicted in pairs), (
        context.preemptions
    )

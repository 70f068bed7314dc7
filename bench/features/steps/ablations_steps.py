"""Steps for what is switched off in replays."""

from concurrent import futures
import random

import behave

from bench.replay import ablations
from bench.replay import policies
from gentianpoint_entry.forwarding import target_selection

CHOICE = ([], None, "centre-0", 1, 0.0, random.Random(1))


@behave.when(
    "each ablation is switched on in a process of its own, and chooses"
)
def switch_each(context):
    context.errors = []
    for number in range(len(ablations.ABLATIONS)):
        with futures.ProcessPoolExecutor(1) as pool:
            jobs = [
                pool.submit(ablations.switch_off, number),
                pool.submit(target_selection.choose_target, *CHOICE),
            ]
            context.errors += [job.exception() for job in jobs]


@behave.then("none of them fails")
def check_errors(context):
    assert not any(context.errors), context.errors


@behave.then("each policy that they name is known")
def check_policies(context):
    named = {ablation.policy for ablation in ablations.ABLATIONS}
    assert named <= set(policies.POLICIES), named

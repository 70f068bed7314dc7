"""Steps for what is switched off in replays."""

from concurrent import futures

import behave

from bench.replay import ablations
from bench.replay import policies


@behave.when("each ablation is switched on in a process of its own")
def switch_each(context):
    context.errors = []
    for number in range(len(ablations.ABLATIONS)):
        with futures.ProcessPoolExecutor(1) as pool:
            job = pool.submit(ablations.switch_off, number)
            context.errors.append(job.exception())


@behave.then("none of them fails")
def check_errors(context):
    assert not any(context.errors), context.errors


@behave.then("each policy that they name is known")
def check_policies(context):
    named = {ablation.policy for ablation in ablations.ABLATIONS}
    assert named <= set(policies.POLICIES), named

"""Steps that count preemptions of real stand-in engines."""

from concurrent import futures

import behave
import httpx

from features import builders
from gentianpoint_standins import processes

# Steps are long beside what a busy machine needs to bring all prompts to the
# engine: were the first answered before the last came, nothing would crowd.
_ENGINE = {"step_ms": 30, "stream_ms": 0.05, "block_tokens": 16, "seed": 5}


def run_prompts(context, count, blocks, policy):
    context.deployment.kill_all()
    context.deployment = processes.LocalDeployment()
    fixture = builders.start_fixture(
        context.deployment,
        engine={**_ENGINE, "blocks": blocks},
        spec={"queue_within_ms": 120_000, "max_queued": count},
        entry={"start_within_ms": 120_000},
        admission=policy,
    )

    def ask(number):
        # Each prompt's answer is as long on either engine: lengths are drawn
        # from the prompt and the engine's seed.
        prompt = f"question {number} of the usual kind, to be answered"
        return builders.complete(fixture.entries[0], prompt)

    with futures.ThreadPoolExecutor(count) as pool:
        answers = list(pool.map(ask, range(count)))
    load = httpx.get(f"{fixture.targets[0].target.url}/load").json()
    context.outcomes = {
        **getattr(context, "outcomes", {}),
        policy: (answers, load["preemptions"]),
    }


@behave.when(
    "{count:d} prompts come at once to an engine of {blocks:d} blocks"
    " without admission"
)
def run_without(context, count, blocks):
    run_prompts(context, count, blocks, "none")


@behave.when(
    "{count:d} prompts come at once to an engine of {blocks:d} blocks"
    " with {policy} admission"
)
def run_with(context, count, blocks, policy):
    run_prompts(context, count, blocks, policy)


@behave.then("all are answered whole by both")
def check_answers(context):
    texts = []
    for answers, _ in context.outcomes.values():
        refused = [row.text for row in answers if row.status_code != 200]
        assert not refused, refused
        texts.append([row.json()["choices"][0]["text"] for row in answers])
    assert texts[0] == texts[1]


@behave.then(
    "the engine without admission has preempted at least {least:d} times"
)
def check_crowded(context, least):
    assert context.outcomes["none"][1] >= least, context.outcomes["none"][1]


@behave.then(
    "predictive admission has had at most a third as many preemptions"
)
def check_fewer(context):
    without, predicted = (
        context.outcomes[policy][1] for policy in ("none", "predictive")
    )
    print(f"preemptions: {without} without, {predicted} with")
    assert predicted * 3 <= without, (without, predicted)

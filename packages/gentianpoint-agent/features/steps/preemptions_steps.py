"""Steps that compare the preemptions of stand-in engines."""

from concurrent import futures
import time

import behave
import httpx

from features import builders
from gentianpoint_standins import processes

_ENGINE = {"step_ms": 30, "stream_ms": 0.05, "block_tokens": 16, "seed": 5}


_OFFERED_WITHIN_S = 50.0
_POLL_S = 0.05


def wait_until_offered(entry, count):
    """Wait until an entry has offered so many calls to its agent."""
    deadline = time.monotonic() + _OFFERED_WITHIN_S
    while len(entry.log.find_events("call_offered")) < count:
        assert time.monotonic() < deadline, entry.log.tail()
        time.sleep(_POLL_S)


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

    engine = fixture.targets[0].target
    # Prompts that come over some seconds would hardly fill its memory, so it
    # makes no step until the last one has come.
    context.deployment.set_faults(engine, freeze=True)

    def ask(number):
        # Both engines answer a prompt with the same length, which is drawn
        # from the prompt and the engine's seed.
        prompt = f"question {number} of the usual kind, to be answered"
        return builders.complete(fixture.entries[0], prompt)

    with futures.ThreadPoolExecutor(count) as pool:
        asked = [pool.submit(ask, number) for number in range(count)]
        wait_until_offered(fixture.entries[0], count)
        context.deployment.set_faults(engine, freeze=False)
        answers = [call.result() for call in asked]
    load = httpx.get(f"{engine.url}/load").json()
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


@behave.then("both answer all prompts completely")
def check_answers(context):
    texts = []
    for answers, _ in context.outcomes.values():
        refused = [
            answer.text for answer in answers if answer.status_code != 200
        ]
        assert not refused, refused
        texts.append(
            [answer.json()["choices"][0]["text"] for answer in answers]
        )
    assert texts[0] == texts[1]


@behave.then(
    "the engine without admission has preempted at least {minimum:d} times"
)
def check_preempted(context, minimum):
    assert context.outcomes["none"][1] >= minimum, context.outcomes["none"][1]


@behave.then(
    "the one with predictive admission has preempted at most a third as often"
)
def check_fewer(context):
    without, predicted = (
        context.outcomes[policy][1] for policy in ("none", "predictive")
    )
    print(f"preemptions: {without} without, {predicted} with")
    assert predicted * 3 <= without, (without, predicted)

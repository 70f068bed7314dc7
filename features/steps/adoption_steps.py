"""Steps for agents that take up the streams of an earlier run."""

import behave
import httpx

from features import builders
from features.steps import at_most_once_steps

ORPHANS = {"orphan_ms": 0}
WITHIN_S = 20


def restart_agent(context):
    row = context.fixture.targets[0]
    context.agent = builders.restart_agent(context.deployment, row)


def restart_engine(context):
    row = context.fixture.targets[0]
    context.deployment.kill(row.target)
    engine = context.deployment.start_engine(
        row.target.name, listen=row.target.address
    )
    targets = [row._replace(target=engine), *context.fixture.targets[1:]]
    context.fixture = context.fixture._replace(targets=targets)


@behave.given("a deployment whose agents give orphans up at once")
def start_with_orphans(context):
    context.fixture = builders.start_fixture(
        context.deployment,
        entry=builders.FAST,
        **builders.FAST,
        **ORPHANS,
    )


@behave.when("after {count:d} tokens the agent is killed")
def kill_agent(context, count):
    context.reader.wait_for_tokens(count)
    context.deployment.kill(context.fixture.targets[0].agent)


def set_software(context, software, **faults):
    context.deployment.set_faults(
        context.fixture.targets[0].target,
        software="" if software == "no name" else software,
        **faults,
    )


@behave.given("the engine has the software {software}")
def set_first_software(context, software):
    set_software(context, software)
    # The agent signs identifiers with what the engine's last report says.
    context.fixture.targets[0].agent.log.wait_for_event(
        "engine_software_named", matches=lambda line: line["software"]
    )


@behave.when(
    "after {count:d} tokens the engine has the software {software}, and its"
    " connections break off"
)
def replace_software(context, count, software):
    context.reader.wait_for_tokens(count)
    set_software(context, software, drop=["*"])


@behave.when(
    "after {count:d} tokens the engine has the software {software}, and the"
    " agent is killed and started again"
)
def replace_software_and_agent(context, count, software):
    context.reader.wait_for_tokens(count)
    set_software(context, software)
    context.deployment.kill(context.fixture.targets[0].agent)
    restart_agent(context)


@behave.when("after {count:d} tokens the agent is killed and started again")
def kill_and_restart(context, count):
    kill_agent(context, count)
    restart_agent(context)


@behave.when("the agent is killed and started again")
def kill_and_restart_under_all(context):
    for reader in context.readers:
        reader.wait_for_tokens(2)
    context.deployment.kill(context.fixture.targets[0].agent)
    restart_agent(context)


@behave.when("the agent is started anew")
def start_anew(context):
    restart_agent(context)


@behave.when("the engine has ended it")
def wait_ended(context):
    row = context.fixture.targets[0]
    witness = context.deployment.read_witness(row.target, ended=1)
    assert witness["ended"] == 1, witness


@behave.when(
    "after {count:d} tokens agent and engine are killed and started again"
)
def kill_and_restart_both(context, count):
    kill_agent(context, count)
    restart_engine(context)
    restart_agent(context)


@behave.when("agent and engine are killed and started again")
def restart_both(context):
    context.deployment.kill(context.fixture.targets[0].agent)
    restart_engine(context)
    restart_agent(context)


@behave.when("the caller starts it again at the last entry")
def start_again(context):
    context.answer = builders.complete(
        context.fixture.entries[-1],
        context.prompt,
        builders.make_headers(generation=context.generation),
    )
    del context.pending


def ask(context, method, key):
    return httpx.request(
        method,
        f"{context.fixture.entries[-1].url}"
        f"/v1/generations/{context.generation}",
        headers=builders.make_headers(key),
        timeout=builders.CALL_TIMEOUT_S,
    )


@behave.when("the caller fetches it at the last entry")
def fetch(context):
    context.answer = ask(context, "GET", builders.CUSTOMER_KEY)
    del context.pending


@behave.when("another customer reads, cancels and starts it at the last entry")
def touch_as_other(context):
    context.agent.log.wait_for_event("generation_adopted")
    context.others = [
        ask(context, "GET", builders.OTHER_KEY),
        ask(context, "DELETE", builders.OTHER_KEY),
        builders.complete(
            context.fixture.entries[-1],
            context.prompt,
            builders.make_headers(
                builders.OTHER_KEY, generation=context.generation
            ),
        ),
    ]


@behave.when(
    "after {count:d} tokens the agent is frozen and another takes its place"
)
def freeze_and_replace(context, count):
    context.reader.wait_for_tokens(count)
    stand_still(context)
    replace_agent(context)
    context.reader.wait_for_tokens(count + 20)


@behave.when("the agents stand still")
def stand_still(context):
    context.deployment.freeze(context.fixture.targets[0].agent)


@behave.when("starts it as one that may run once at the first entry")
def start_once(context):
    at_most_once_steps.run_in_background(
        context,
        builders.complete,
        context.fixture.entries[0],
        context.prompt,
        builders.make_headers(
            generation=context.generation, **at_most_once_steps.ONCE
        ),
    )


@behave.when("another agent takes the place of the first")
def replace_agent(context):
    row = context.fixture.targets[0]
    context.fixture.entries[0].log.wait_for_event(
        "connection_lost",
        matches=lambda event: event["peer"] == row.agent.name,
    )
    context.agent = builders.replace_agent(
        context.deployment, row, "newer", **builders.FAST
    )


@behave.when("the older agent wakes up and finds its connection lost")
def wake_older(context):
    older = context.fixture.targets[0].agent
    context.deployment.thaw(older)
    older.log.wait_for_event("connection_lost", within_s=WITHIN_S)


@behave.when("after {count:d} tokens an earlier run cancels it")
def cancel_at_engine(context, count):
    context.reader.wait_for_tokens(count)
    engine = context.fixture.targets[0].target
    answer = httpx.delete(f"{engine.url}/streams/{context.reader.generation}")
    assert answer.json()["known"], answer.text


@behave.then("the agent adopted it")
def check_adopted(context):
    names = [
        event["generation"]
        for event in context.agent.log.find_events("generation_adopted")
    ]
    assert len(names) == 1, names


@behave.then("the other was told {codes}")
def check_others(context, codes):
    told = [answer.json()["error"]["code"] for answer in context.others]
    assert told == codes.split(", "), told


@behave.then(
    "each start gives the report of {count:d} tokens or says outcome_unknown"
)
def check_each(context, count):
    for answer in context.answers:
        body = answer.json()
        if answer.status_code == 200:
            assert body["usage"]["completion_tokens"] == count, answer.text
        else:
            assert body["error"]["code"] == "outcome_unknown", answer.text


@behave.then("the engines started it once at most")
def check_once_at_most(context):
    assert builders.count_starts(context.fixture) <= 1

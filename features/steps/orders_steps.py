"""Steps for orders to engines."""

import time

import behave

from features import builders

_WITHIN_S = 60.0


def make_spec(version):
    return builders.make_service(model="base", version=version)


def start(context, targets, fencing, **engine):
    context.fixture = builders.start_fixture(
        context.deployment,
        1,
        targets,
        engine={"model": "base", "version": "1", "fencing": fencing, **engine},
        spec=make_spec("1"),
        fencing="checked" if fencing else "ignored",
        lease_ms=1000,
        entry=builders.FAST,
        **builders.FAST,
    )


@behave.given(
    "a deployment with {targets:d} target whose engine {way} fencing numbers"
)
def start_with_fencing(context, targets, way):
    start(context, targets, way == "checks")


@behave.given(
    "a deployment with {targets:d} targets whose loads take {load:d} ms"
)
def start_with_loads(context, targets, load):
    start(context, targets, True, load_ms=load)


@behave.when("an operator declares version {version}")
def declare_version(context, version):
    context.deployment.declare("services", builders.MODEL, make_spec(version))


@behave.when("after {count:d} tokens an operator declares version {version}")
def declare_under_stream(context, count, version):
    context.reader.wait_for_tokens(count)
    declare_version(context, version)


def read_version(context, row):
    url = f"{row.target.url}/load"
    return context.deployment.call("GET", url)["version"]


@behave.then("the engine holds version {version}")
@behave.when("the engine has loaded version {version}")
def wait_for_version(context, version):
    row = context.fixture.targets[0]
    deadline = time.monotonic() + _WITHIN_S
    while read_version(context, row) != version:
        assert time.monotonic() < deadline, row.agent.log.tail()
        time.sleep(0.05)


@behave.when("the agent is frozen")
def freeze_agent(context):
    context.older = context.fixture.targets[0].agent
    context.older.log.wait_for_event("lease_acquired")
    context.deployment.freeze(context.older)


@behave.when("another agent takes its place")
def replace_agent(context):
    row = context.fixture.targets[0]
    context.fixture.entries[0].log.wait_for_event(
        "connection_lost",
        matches=lambda event: event["peer"] == context.older.name,
    )
    newer = context.deployment.start_agent(
        "newer",
        builders.DATA_CENTRES[0],
        builders.MODEL,
        row.target.url,
        target=context.older.name,
        fencing="checked",
        lease_ms=1000,
        log_level="debug",
    )
    context.deployment.forget_host(context.older.name)
    context.deployment.register_host(
        newer,
        builders.DATA_CENTRES[0],
        builders.MODEL,
        target=context.older.name,
    )


@behave.when("the older agent goes on and finds that it was superseded")
def thaw_older(context):
    context.deployment.thaw(context.older)
    context.older.log.wait_for_event("lease_lapsed", within_s=_WITHIN_S)


@behave.then("the engine took no order for version 1 after it")
def check_orders(context):
    row = context.fixture.targets[0]
    orders = context.deployment.read_witness(row.target)["orders"]
    taken = [entry["version"] for entry in orders if not entry["refused"]]
    assert taken == ["2"], orders


@behave.when("the engine is restarted with version 1")
def restart_engine(context):
    row = context.fixture.targets[0]
    context.deployment.kill(row.target)
    context.deployment.start_engine(
        "engine-again", listen=row.target.address, model="base", version="1"
    )


@behave.when(
    "callers ask for {tokens:d} tokens until all engines hold version 2"
)
def ask_until_loaded(context, tokens):
    context.answers = []
    deadline = time.monotonic() + _WITHIN_S
    entry = context.fixture.entries[0]
    while True:
        versions = {
            read_version(context, row) for row in context.fixture.targets
        }
        if versions == {"2"}:
            return
        assert time.monotonic() < deadline, versions
        context.answers.append(
            builders.complete(entry, f"turn-{len(context.answers)} tokens:3")
        )


@behave.then("all their answers were whole")
def check_answers(context):
    assert context.answers
    for answer in context.answers:
        assert answer.status_code == 200, answer.text

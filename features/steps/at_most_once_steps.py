"""Steps for requests that may run only once."""

from concurrent import futures
import json

import behave
import httpx

from features import builders

ONCE = {"repeatable": "false"}


def set_engine_faults(context, **faults):
    for row in context.fixture.targets:
        context.deployment.set_faults(row.target, **faults)


@behave.given("the engines lose the next start reply by {way}")
def lose_replies(context, way):
    set_engine_faults(context, lose_start_replies=1, lose_by=way)


@behave.given("the engines make no steps")
@behave.when("the engines make no steps, so that its stream goes on")
def freeze_engines(context):
    set_engine_faults(context, freeze=True)


@behave.when("the engines make steps again")
def thaw_engines(context):
    set_engine_faults(context, freeze=False)


@behave.given("the engines refuse starts")
def refuse_starts(context):
    set_engine_faults(context, refuse_starts=True)


@behave.when("the engines take starts again")
def take_starts(context):
    set_engine_faults(context, refuse_starts=False)


@behave.given(
    "a deployment of {entries:d} entry and {targets:d} plain targets"
)
def start_plain(context, entries, targets):
    context.fixture = builders.start_fixture(
        context.deployment, entries, targets, service=builders.PLAIN
    )


@behave.given(
    "a relayed deployment of {entries:d} entry and {targets:d} plain targets"
)
def start_relayed_plain(context, entries, targets):
    context.fixture = builders.start_fixture(
        context.deployment,
        entries,
        targets,
        service=builders.PLAIN,
        relayed=True,
    )


@behave.given("the plain services break off the next reply")
def break_replies(context):
    set_engine_faults(context, lose_replies=1)


@behave.given("the plain services answer late")
def answer_late(context):
    set_engine_faults(context, delay_ms=20_000)


@behave.when("the plain services answer soon")
def answer_soon(context):
    set_engine_faults(context, delay_ms=0)


@behave.when("the relay before that service gets the fault {fault}")
def set_target_relay_faults(context, fault):
    context.deployment.set_faults(
        context.runner.target_relay, **json.loads(fault)
    )


@behave.given("the agents are frozen")
def freeze_agents(context):
    for row in context.fixture.targets:
        context.deployment.freeze(row.agent)


@behave.when("the agents go on")
def thaw_agents(context):
    for row in context.fixture.targets:
        context.deployment.thaw(row.agent)


def ask(context, count, entry=None, **headers):
    context.prompt = f"billed report tokens:{count}"
    return builders.complete(
        entry or context.fixture.entries[0],
        context.prompt,
        builders.make_headers(**headers),
    )


def run_in_background(context, call, *arguments, **options):
    context.pool = futures.ThreadPoolExecutor()
    context.pending = context.pool.submit(call, *arguments, **options)


def get_answer(context):
    if hasattr(context, "pending"):
        return context.pending.result(builders.CALL_TIMEOUT_S)
    return context.answer


@behave.when("a caller asks once for a billed report of {count:d} tokens")
def ask_once(context, count):
    context.answer = ask(context, count, **ONCE)


@behave.when(
    "a caller asks once for a billed report of {count:d} tokens within"
    " {within:d} ms"
)
def ask_once_within(context, count, within):
    context.answer = ask(context, count, deadline_ms=str(within), **ONCE)


@behave.when(
    "a caller asks once for a billed report of {count:d} tokens in the"
    " background"
)
def ask_once_in_background(context, count):
    run_in_background(context, ask, context, count, **ONCE)


@behave.when(
    "a caller asks for a repeatable report of {count:d} tokens in the"
    " background"
)
def ask_in_background(context, count):
    run_in_background(context, ask, context, count)


@behave.when("starts it in the background at the first entry")
def start_in_background(context):
    run_in_background(
        context,
        builders.complete,
        context.fixture.entries[0],
        context.prompt,
        builders.make_headers(generation=context.generation),
    )


@behave.when("starts it {times:d} times through the last entries")
def start_at_last(context, times):
    headers = builders.make_headers(generation=context.generation)
    context.answers = [
        builders.complete(context.fixture.entries[-1], context.prompt, headers)
        for _ in range(times)
    ]


@behave.when("the engines have started it")
def wait_started(context):
    wait_for_witness(context, started=1)


def wait_for_witness(context, **counts):
    """Wait until one target's witness has the counts; it is the runner."""

    def watch(row):
        witness = context.deployment.read_witness(row.target, **counts)
        reached = all(witness[name] >= counts[name] for name in counts)
        return row if reached else None

    pool = futures.ThreadPoolExecutor()
    watchers = [pool.submit(watch, row) for row in context.fixture.targets]
    for done in futures.as_completed(watchers):
        if done.result() is not None:
            context.runner = done.result()
            return
    raise AssertionError(f"no target reached {counts}")


@behave.when("all relays before agents get the fault {fault}")
def set_relay_faults(context, fault):
    context.entry_opened = count_connections(context)
    for row in context.fixture.targets:
        context.deployment.set_faults(row.entry_relay, **json.loads(fault))


def count_connections(context):
    log = context.fixture.entries[0].log
    return len(log.find_events("connection_opened"))


@behave.when("the entry has a new connection")
def wait_new_connection(context):
    agent = context.runner.agent
    log = context.fixture.entries[0].log
    log.wait_for_event(
        "connection_lost", matches=lambda row: row["peer"] == agent.name
    )
    log.wait_for_event(
        "call_offered",
        matches=lambda row: (
            len(log.find_events("call_offered")) > 1
            and row["peer"] == agent.name
        ),
    )


@behave.when("the agent that runs it is killed")
def kill_agent(context):
    context.deployment.kill(context.runner.agent)


@behave.when("the agent is started again")
def restart_agent(context):
    builders.restart_agent(context.deployment, context.runner)


@behave.when("the first entry dies")
def kill_first_entry(context):
    context.deployment.kill(context.fixture.entries[0])


@behave.then("the report is whole with {count:d} tokens")
def check_report(context, count):
    answer = get_answer(context)
    assert answer.status_code == 200, answer.text
    usage = answer.json()["usage"]
    assert usage["completion_tokens"] == count, usage
    words = answer.json()["choices"][0]["text"].split()
    assert len(words) == count, answer.text


@behave.then("the caller is told {code}")
def check_told(context, code):
    answer = get_answer(context)
    assert answer.json()["error"]["code"] == code, answer.text


@behave.then("each start is told {code}")
def check_each_told(context, code):
    for answer in context.answers:
        assert answer.json()["error"]["code"] == code, answer.text


@behave.then("it is told when to come back")
def check_retry_after(context):
    assert int(get_answer(context).headers["Retry-After"]) >= 1


@behave.then("the caller got a final answer")
def check_final(context):
    answer = get_answer(context)
    assert answer.status_code in (200, 502, 503), answer.text


@behave.then("the engines started nothing that was said not to have run")
def check_truth(context):
    answer = get_answer(context)
    agent = context.fixture.targets[0].agent
    if answer.status_code == 200:
        return
    code = answer.json()["error"]["code"]
    started = builders.count_starts(context.fixture)
    assert code != "not_run" or started == 0, (answer.text, started)
    assert started <= 1, agent.log.tail()


@behave.then("the engines started nothing")
def check_nothing_started(context):
    assert builders.count_starts(context.fixture) == 0


def send_plain(context, method):
    return httpx.request(
        method,
        f"{context.fixture.entries[0].url}/services/{builders.PLAIN}/echo",
        headers={**builders.make_headers(), "X-Request-Tag": "tag-1"},
        timeout=builders.CALL_TIMEOUT_S,
    )


@behave.when("a caller sends {method} to the plain service in the background")
def send_plain_in_background(context, method):
    run_in_background(context, send_plain, context, method)


@behave.when("a plain service has run it")
def wait_plain_run(context):
    wait_for_witness(context, runs=1)


@behave.then("the status is {status:d}")
def check_plain_status(context, status):
    answer = get_answer(context)
    assert answer.status_code == status, answer.text


@behave.then("the caller sees the reply break off")
def check_broken(context):
    try:
        answer = get_answer(context)
    except httpx.RemoteProtocolError:
        return
    raise AssertionError(f"the reply looks whole: {answer.text}")


@behave.then("the call ran {times} at the plain services")
def check_plain_runs(context, times):
    runs = sum(
        context.deployment.read_witness(row.target)["tags"].get("tag-1", 0)
        for row in context.fixture.targets
    )
    assert runs == {"once": 1, "twice": 2}[times], runs

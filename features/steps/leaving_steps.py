"""Steps for hosts that leave."""

import behave
import httpx

from features import builders
from features import stream_readers
from features.steps import at_most_once_steps
from features.steps import streams_steps


@behave.given(
    "a deployment of {entries:d} {noun} within {within:d} ms and"
    " {targets:d} {kind}"
)
def start_hurried(context, entries, noun, within, targets, kind):
    context.fixture = builders.start_fixture(
        context.deployment,
        entries,
        targets,
        service=builders.PLAIN if kind == "plain target" else builders.MODEL,
        entry={"shutdown_within_ms": within},
    )


@behave.when("after {count:d} tokens the agent that serves it is told to stop")
def stop_agent(context, count):
    context.reader.wait_for_tokens(count)
    context.leaving = streams_steps.find_server(context)
    witness = context.deployment.read_witness(context.leaving.target)
    context.started_before = witness["started"]
    context.deployment.ask_to_stop(context.leaving.agent)
    wait_until_entry_knows(context, context.leaving)


def wait_until_entry_knows(context, row):
    context.fixture.entries[0].log.wait_for_event(
        "target_leaving",
        matches=lambda event: event["peer"] == row.agent.name,
    )


@behave.when("{count:d} callers ask for {tokens:d} tokens each")
def ask_many(context, count, tokens):
    context.short = [
        stream_readers.StreamReader(
            context.fixture.entries[0], f"short-{number} tokens:{tokens}"
        )
        for number in range(count)
    ]
    context.short_tokens = tokens
    for reader in context.short:
        reader.wait_for_end()


@behave.then("all the callers got whole answers")
def check_short(context):
    for reader in context.short:
        assert reader.done, reader.describe()
        assert len(reader.texts) == context.short_tokens, reader.describe()


@behave.then(
    "the stream is whole with {count:d} tokens while the agent leaves"
)
def check_whole_while_leaving(context, count):
    context.reader.wait_for_end()
    check_numbers(context.reader, count)


def check_numbers(reader, count):
    assert reader.done, reader.describe()
    assert reader.numbers == list(range(1, count + 1)), reader.describe()
    assert len(reader.texts) == count


@behave.then("the stream ends whole with {count:d} tokens")
def check_ends_whole(context, count):
    context.reader.wait_for_end()
    check_numbers(context.reader, count)


@behave.then("the stream ends as {code}")
def check_ends_as(context, code):
    context.reader.wait_for_end()
    assert context.reader.error.get("code") == code, context.reader.describe()
    generation = context.reader.error["generation"]
    assert generation == context.reader.generation


@behave.then("the last entry has the rest of its {count:d} tokens")
def check_rest(context, count):
    begun = context.reader.numbers
    rest = stream_readers.StreamReader(
        context.fixture.entries[-1],
        "",
        resume=context.reader.generation,
        after=begun[-1],
    )
    rest.wait_for_end()
    assert rest.done, rest.describe()
    assert begun + rest.numbers == list(range(1, count + 1))


@behave.then("the agent has exited with {status:d}")
def check_agent_exit(context, status):
    assert context.deployment.wait_for_exit(context.leaving.agent) == status


@behave.then("the leaving agent started nothing new")
def check_nothing_new(context):
    witness = context.deployment.read_witness(context.leaving.target)
    assert witness["started"] == context.started_before, witness


@behave.when("after {count:d} tokens the first entry is told to stop")
def stop_entry(context, count):
    context.reader.wait_for_tokens(count)
    entry = context.fixture.entries[0]
    context.deployment.ask_to_stop(entry)
    entry.log.wait_for_event("leaving_started")


@behave.when(
    "after {count:d} tokens the first entry and the first agent are told to"
    " reload"
)
def reload_both(context, count):
    context.reader.wait_for_tokens(count)
    context.deployment.ask_to_reload(context.fixture.entries[0])
    context.deployment.ask_to_reload(context.fixture.targets[0].agent)


@behave.when("a caller asks {how} for {count:d} tokens in the background")
def ask_in_background(context, how, count):
    headers = at_most_once_steps.ONCE if how == "once" else {}
    at_most_once_steps.run_in_background(
        context, at_most_once_steps.ask, context, count, **headers
    )


@behave.when("the first entry is told to stop")
def stop_first_entry(context):
    entry = context.fixture.entries[0]
    context.deployment.ask_to_stop(entry)
    entry.log.wait_for_event("leaving_started")


@behave.then("a new caller at the first entry is told {code}")
def check_new_caller(context, code):
    answer = builders.complete(context.fixture.entries[0], "tokens:3")
    assert answer.json()["error"]["code"] == code, answer.text
    assert int(answer.headers["Retry-After"]) >= 1


@behave.then("the first entry has exited with {status:d}")
def check_entry_exit(context, status):
    entry = context.fixture.entries[0]
    assert context.deployment.wait_for_exit(entry) == status


@behave.when("the host list says that the first target's host leaves")
def mark_leaving(context):
    row = context.fixture.targets[0]
    context.deployment.register_host(
        row.agent, builders.DATA_CENTRES[0], builders.MODEL, state="leaving"
    )


@behave.when("the entry has read that the first target leaves")
@behave.when("the entry has heard that the first target leaves")
def wait_first_leaves(context):
    wait_until_entry_knows(context, context.fixture.targets[0])


@behave.given("the host list is down")
def stop_host_list(context):
    context.deployment.set_faults(context.fixture.hosts, out=True)
    context.fixture.entries[0].log.wait_for_event("host_list_unavailable")


@behave.when("the first target's agent is told to stop")
def stop_first_agent(context):
    context.leaving = context.fixture.targets[0]
    context.deployment.ask_to_stop(context.leaving.agent)


@behave.when("the first target's agent has exited")
def wait_first_exit(context):
    context.deployment.wait_for_exit(context.leaving.agent)


@behave.when("the first target's engine is to be reclaimed in {within:d} ms")
def reclaim(context, within):
    context.deployment.set_faults(
        context.fixture.targets[0].target, reclaim_in_ms=within
    )


@behave.then("the first target's engine started nothing")
def check_first_nothing(context):
    witness = context.deployment.read_witness(
        context.fixture.targets[0].target
    )
    assert witness["started"] == 0, witness


def make_call(context, prompt, **body):
    return {
        "url": f"{context.fixture.entries[0].url}/v1/completions",
        "json": {"model": builders.MODEL, "prompt": prompt, **body},
        "headers": builders.make_headers(),
    }


@behave.when(
    "a caller reads a stream of {count:d} tokens as the first entry is told"
    " to stop"
)
def read_and_stop(context, count):
    context.client = httpx.Client(
        timeout=builders.CALL_TIMEOUT_S,
        limits=httpx.Limits(max_connections=1),
    )
    call = make_call(context, f"tokens:{count}", stream=True)
    with context.client.stream("POST", **call) as answer:
        lines = answer.iter_lines()
        next(lines)
        context.deployment.ask_to_stop(context.fixture.entries[0])
        assert "data: [DONE]" in list(lines)


@behave.when("goes on to ask on its connection until it is told to close it")
def go_on(context):
    context.outcomes = []
    is_open = True
    while is_open:
        try:
            answer = context.client.post(**make_call(context, "tokens:5"))
        except httpx.HTTPError as error:
            context.outcomes.append(repr(error))
            break
        context.outcomes.append(answer.status_code)
        is_open = answer.headers.get("Connection") != "close"
    context.client.close()


@behave.then("each of its requests got a final answer")
def check_final(context):
    assert set(context.outcomes) == {503}, context.outcomes

"""Steps for requests that are served end to end."""

import json

import behave
import httpx

from features import builders


def read_events(text):
    """Return the numbers of the events, and whether DONE closed them."""
    lines = text.splitlines()
    numbers = [int(row[4:]) for row in lines if row.startswith("id: ")]
    return numbers, "data: [DONE]" in lines


@behave.given("a deployment of {entries:d} entry and {targets:d} target")
@behave.given("a deployment of {entries:d} entry and {targets:d} targets")
@behave.given("a deployment of {entries:d} entries and {targets:d} target")
@behave.given("a deployment of {entries:d} entries and {targets:d} targets")
def start_deployment(context, entries, targets):
    context.fixture = builders.start_fixture(
        context.deployment, entries, targets
    )


@behave.when("a caller streams a generation of {count:d} tokens")
def stream_generation(context, count):
    entry = context.fixture.entries[0]
    context.answer = builders.complete(
        entry, f"report tokens:{count}", stream=True
    )


@behave.then("the tokens come numbered from {first:d} to {last:d}")
def check_numbers(context, first, last):
    numbers, _ = read_events(context.answer.text)
    assert numbers == list(range(first, last + 1)), context.answer.text


@behave.then("the stream ends with DONE")
def check_done(context):
    assert context.answer.text.endswith("data: [DONE]\n\n")


@behave.when("a caller asks for a whole generation of {count:d} tokens")
def ask_whole(context, count):
    entry = context.fixture.entries[0]
    context.answer = builders.complete(entry, f"report tokens:{count}")
    assert context.answer.status_code == 200, context.answer.text


@behave.then("the answer counts {count:d} completion tokens")
def check_usage(context, count):
    usage = context.answer.json()["usage"]
    assert usage["completion_tokens"] == count, usage


@behave.when("the caller resumes it after {after:d} at the last entry")
def resume(context, after):
    generation = context.answer.headers["Gentianpoint-Generation"]
    entry = context.fixture.entries[-1]
    context.answer = httpx.get(
        f"{entry.url}/v1/generations/{generation}",
        params={"after": after, "stream": "true"},
        headers=builders.make_headers(),
        timeout=builders.CALL_TIMEOUT_S,
    )


@behave.when("a caller prepares a generation of {count:d} tokens")
def prepare(context, count):
    context.prompt = f"report tokens:{count}"
    answer = builders.complete(
        context.fixture.entries[0],
        context.prompt,
        builders.make_headers(prepare="true"),
    )
    context.generation = answer.json()["id"]


@behave.when("starts it {times:d} times through all entries")
def start_prepared(context, times):
    entries = context.fixture.entries
    headers = builders.make_headers(generation=context.generation)
    context.answers = [
        builders.complete(entry, context.prompt, headers)
        for entry in [*entries, *entries][:times]
    ]


@behave.then("each start gives the same answer")
def check_same_answers(context):
    texts = {answer.json()["choices"][0]["text"] for answer in context.answers}
    assert len(texts) == 1, texts


@behave.then("the engines started it once")
def check_started_once(context):
    started = [
        context.deployment.read_witness(row.target)["started"]
        for row in context.fixture.targets
    ]
    assert sum(started) == 1, started


@behave.when("a caller sends {body} with the key {key}")
def send_body(context, body, key):
    headers = builders.make_headers()
    if key == "bad":
        headers = builders.make_headers("no-such-key")
    entry = context.fixture.entries[0]
    context.answer = httpx.post(
        f"{entry.url}/v1/completions",
        content=body,
        headers=headers,
        timeout=builders.CALL_TIMEOUT_S,
    )


@behave.then("the status is {status:d} and the code is {code}")
def check_status(context, status, code):
    answer = context.answer
    assert answer.status_code == status, answer.text
    assert json.loads(answer.text)["error"]["code"] == code


KEY_HEADER = "Idempotency-Key"
ODD_KEYS = {
    "an empty key": [(KEY_HEADER, "")],
    "a key of 256 characters": [(KEY_HEADER, "k" * 256)],
    "a key and a prepare": [
        (KEY_HEADER, "report-17"),
        ("Gentianpoint-Prepare", "true"),
    ],
    "a key and an identifier": [
        (KEY_HEADER, "report-17"),
        ("Gentianpoint-Generation", "a~b~1~c"),
    ],
    "two keys": [(KEY_HEADER, "report-17"), (KEY_HEADER, "report-18")],
}


@behave.when("a caller sends a request with {words}")
def send_odd_key(context, words):
    headers = [*builders.make_headers().items(), *ODD_KEYS[words]]
    entry = context.fixture.entries[0]
    context.answer = builders.complete(entry, "report tokens:3", headers)

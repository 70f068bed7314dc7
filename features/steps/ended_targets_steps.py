"""Steps for requests that end their targets."""

import time

import behave

from features import builders

PROMPT = "crash:1"
MAX_CALLS = 6
SHARED_WITHIN_S = 3.0


@behave.when(
    "a generation that ends its engine, which may {repeat}, is asked for"
    " until {count:d} engines have ended"
)
def ask_until_ended(context, repeat, count):
    context.headers = builders.make_headers(
        repeatable=str(repeat == "be repeated").lower()
    )
    for number in range(MAX_CALLS):
        if count_ended(context) >= count:
            break
        builders.complete(
            choose_entry(context, number), PROMPT, context.headers
        )
    assert count_ended(context) == count, count_ended(context)
    wait_until_shared(context)


def count_ended(context):
    return sum(
        context.deployment.find_exit_status(row.target) is not None
        for row in context.fixture.targets
    )


def choose_entry(context, number):
    entries = context.fixture.entries
    return entries[number % len(entries)]


def wait_until_shared(context):
    """Wait until each entry has logged that it refuses the request."""
    deadline = time.monotonic() + SHARED_WITHIN_S
    for entry in context.fixture.entries:
        while not entry.log.find_events("request_suspected"):
            assert time.monotonic() < deadline, entry.name
            time.sleep(0.02)


@behave.then("both entries refuse it as {code}, with when to come back")
def check_refused(context, code):
    check_code(context, code, context.headers)


@behave.then("both entries refuse it as {code} under a new key")
def check_key_refused(context, code):
    headers = {**builders.make_headers(), "Idempotency-Key": "a new key"}
    check_code(context, code, headers)


def check_code(context, code, headers):
    before = count_ended(context)
    for entry in context.fixture.entries:
        answer = builders.complete(entry, PROMPT, headers)
        assert answer.json()["error"]["code"] == code, answer.text
        assert int(answer.headers["Retry-After"]) >= 1, answer.headers
    assert count_ended(context) == before


@behave.given("{count:d} engines have ended")
def end_engines(context, count):
    for row in context.fixture.targets[:count]:
        context.deployment.kill(row.target)


@behave.when(
    "{count:d} generations are asked for one after another, each {times:d}"
    " times at most"
)
def ask_others(context, count, times):
    context.answers = [
        ask_as_told(context, f"g-{number} tokens:3", times)
        for number in range(count)
    ]


def ask_as_told(context, prompt, times):
    """Ask for a generation, and come back as often as told."""
    for _ in range(times):
        answer = builders.complete(context.fixture.entries[0], prompt)
        if answer.status_code == 200:
            break
        time.sleep(int(answer.headers["Retry-After"]))
    return answer


@behave.then("all of them are answered whole")
def check_all_answered(context):
    refused = [row.text for row in context.answers if row.status_code != 200]
    assert not refused, refused

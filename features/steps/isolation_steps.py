"""Steps for answers that belong to one caller."""

import time

import behave
import httpx

from features import builders
from features import stream_readers
from features.steps import at_most_once_steps


@behave.when("{count:d} callers read streams of different lengths")
def read_many(context, count):
    context.lengths = [20 + 5 * number for number in range(count)]
    context.readers = [
        stream_readers.StreamReader(
            context.fixture.entries[0], f"caller-{length} tokens:{length}"
        )
        for length in context.lengths
    ]


@behave.when(
    "the relays delay bytes by {delay:d} ms and reset connections twice"
)
def delay_and_reset(context, delay):
    for _ in range(2):
        for row in context.fixture.targets:
            context.deployment.set_faults(row.entry_relay, delay_ms=delay)
        # The pause only spreads the resets over the answers; whatever the
        # moment, the answers must be whole.
        time.sleep(0.3)
        for row in context.fixture.targets:
            context.deployment.set_faults(row.entry_relay, cut=True)


@behave.then("each stream is whole and its own")
def check_each(context):
    for reader, length in zip(context.readers, context.lengths, strict=True):
        reader.wait_for_end()
        assert reader.done, reader.describe()
        assert reader.numbers == list(range(1, length + 1)), length
        held = stream_readers.StreamReader(
            context.fixture.entries[0], "", resume=reader.generation
        )
        held.wait_for_end()
        assert held.texts == reader.texts
    generations = {reader.generation for reader in context.readers}
    assert len(generations) == len(context.readers)


def get_generation(context):
    return context.answer.headers["Gentianpoint-Generation"]


def ask_generation(context, method, key):
    entry = context.fixture.entries[0]
    return httpx.request(
        method,
        f"{entry.url}/v1/generations/{get_generation(context)}",
        headers=builders.make_headers(key),
        timeout=builders.CALL_TIMEOUT_S,
    )


@behave.when("another customer sends {method} for it")
def ask_as_other(context, method):
    context.other = ask_generation(context, method, builders.OTHER_KEY)


@behave.when("another customer starts it")
def start_as_other(context):
    context.other = builders.complete(
        context.fixture.entries[0],
        context.prompt,
        builders.make_headers(
            builders.OTHER_KEY, generation=context.generation
        ),
    )


@behave.then("the other is told {code}")
def check_other(context, code):
    assert context.other.json()["error"]["code"] == code, context.other.text


@behave.then("the caller can still read it")
def check_still_read(context):
    answer = ask_generation(context, "GET", builders.CUSTOMER_KEY)
    assert answer.status_code == 200, answer.text
    assert answer.json()["usage"]["completion_tokens"] == 6


@behave.when(
    "after {count:d} tokens the customer cancels it at the last entry"
)
def cancel_elsewhere(context, count):
    context.reader.wait_for_tokens(count)
    entry = context.fixture.entries[-1]
    answer = send_cancel(context, entry)
    assert answer.status_code == 200, answer.text


def send_cancel(context, entry):
    return httpx.delete(
        f"{entry.url}/v1/generations/{context.reader.generation}",
        headers=builders.make_headers(),
        timeout=builders.CALL_TIMEOUT_S,
    )


@behave.when(
    "after {count:d} tokens its customer cancels it with the agents frozen"
)
def cancel_frozen(context, count):
    context.reader.wait_for_tokens(count)
    at_most_once_steps.freeze_agents(context)
    context.answer = send_cancel(context, context.fixture.entries[0])


@behave.then("the engines run nothing any more")
def check_idle(context):
    for row in context.fixture.targets:
        witness = context.deployment.read_witness(row.target, cancels=1)
        assert witness["cancels"] == 1, witness
        assert witness["now"]["running"] == 0, witness


@behave.given("a service for the customer another only")
def declare_private(context):
    context.deployment.declare(
        "services", "private", {"kind": "model", "customers": ["another"]}
    )


@behave.when("a caller asks that service")
def ask_private(context):
    context.answer = builders.complete(
        context.fixture.entries[0], "hello", model="private"
    )


@behave.when("{path} is asked with the key of {who}")
def ask_with_key(context, path, who):
    headers = {
        "a customer": builders.make_headers(),
        "operators": builders.make_headers(context.deployment.operator_key),
        "nobody": {},
    }[who]
    entry = context.fixture.entries[0]
    context.answer = httpx.get(f"{entry.url}{path}", headers=headers)

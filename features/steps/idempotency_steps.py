"""Steps for calls with idempotency keys."""

from concurrent import futures

import behave
import cbor2
import httpx

from features import builders
from features import stream_readers
from features.steps import at_most_once_steps
from gentianpoint_entry import caller_bodies
from gentianpoint_entry import claim_streams
from gentianpoint_entry import key_claims
from gentianpoint_entry import request_digests

KEY = "report-17"
CUSTOMER = "rebobinados"
PROMPT = "billed report tokens:20"
MANY = 10_000


def make_keyed(key=KEY, owner=builders.CUSTOMER_KEY):
    return {**builders.make_headers(owner), "Idempotency-Key": key}


def send(entry, prompt=PROMPT, **options):
    return builders.complete(entry, prompt, make_keyed(**options))


def read_answer(answer):
    assert answer.status_code == 200, answer.text
    body = answer.json()
    return (
        answer.headers["Gentianpoint-Generation"],
        body["choices"][0]["text"],
        body["usage"]["completion_tokens"],
    )


def check_whole(answer, count):
    _, text, completion_tokens = read_answer(answer)
    assert completion_tokens == count, answer.text
    assert len(text.split()) == count, answer.text


@behave.when(
    "a caller sends a report of 20 tokens with a key in the background"
)
def send_in_background(context):
    at_most_once_steps.run_in_background(
        context, send, context.fixture.entries[0]
    )


def repeat(context, times, entry):
    context.answers = [send(entry) for _ in range(times)]


@behave.when(
    "the call with the key is repeated {times:d} times at the {which}"
)
@behave.when("the call with the key is repeated {times:d} time at the {which}")
def repeat_at(context, times, which):
    entries = context.fixture.entries
    assert which in ("first entry", "last entry")
    repeat(context, times, entries[0 if which == "first entry" else -1])


@behave.when("the first entry claims the key for it and dies")
def claim_and_die(context):
    entry = context.fixture.entries[0]
    request = caller_bodies.make_generation_request(
        caller_bodies.CompletionBody(model=builders.MODEL, prompt=PROMPT)
    )
    claim = claim_streams.KeyClaim(
        request_digests.digest_request(builders.MODEL, request),
        context.generation,
    )
    stream = key_claims.name_stream(CUSTOMER, KEY)
    httpx.post(
        f"{context.fixture.log.url}/streams/{stream}/records",
        content=cbor2.dumps(list(claim)),
    ).raise_for_status()
    context.deployment.kill(entry)


@behave.then("each repeat has the identifier that was claimed")
def check_claimed(context):
    for answer in context.answers:
        assert read_answer(answer)[0] == context.generation, answer.headers


@behave.given("the log answers after {delay:d} ms")
def slow_log(context, delay):
    context.deployment.set_faults(context.fixture.log, slow_ms=delay)


@behave.when(
    "calls with {count:d} keys come through all entries at the same moment"
)
def race(context, count):
    with futures.ThreadPoolExecutor() as pool:
        context.races = [
            [
                pool.submit(send, entry, key=f"race-{number}")
                for entry in context.fixture.entries
            ]
            for number in range(count)
        ]
    context.races = [[row.result() for row in rows] for rows in context.races]


@behave.then("the calls with one key have the same whole answer")
def check_races(context):
    for answers in context.races:
        assert len({read_answer(row) for row in answers}) == 1, answers
        check_whole(answers[0], 20)


@behave.then("the engines started {count:d} in all")
def check_starts(context, count):
    started = builders.count_starts(context.fixture)
    assert started == count, started


@behave.given("the log loses its replies by {way}")
def lose_log_replies(context, way):
    context.deployment.set_faults(
        context.fixture.log, lose_replies=MANY, lose_by=way
    )


@behave.when("the log answers again")
def keep_log_replies(context):
    context.deployment.set_faults(context.fixture.log, lose_replies=0)


@behave.given("the log is out and the entry knows")
def stop_log_and_wait(context):
    context.deployment.set_faults(context.fixture.log, out=True)
    context.fixture.entries[0].log.wait_for_event("log_unavailable")


@behave.when("the log is out for all")
def stop_log(context):
    context.deployment.set_faults(context.fixture.log, out=True)


@behave.when("the log is back and the entry knows")
def start_log(context):
    context.deployment.set_faults(context.fixture.log, out=False)
    context.fixture.entries[0].log.wait_for_event("log_available")


@behave.given("the first entry is replaced by one that can't get ready")
def replace_entry(context):
    context.deployment.kill(context.fixture.entries[0])
    context.deployment.forget_host(context.fixture.entries[0].name)
    entry = builders.start_another_entry(context.deployment, ready=False)
    entry.log.wait_for_event("log_unavailable")
    context.fixture = context.fixture._replace(entries=[entry])


@behave.when("the key comes with another request at the last entry")
def send_other(context):
    entry = context.fixture.entries[-1]
    context.answers = [send(entry, "another report tokens:20")]


@behave.when("another customer sends the same call with the same key")
def send_for_other(context):
    entry = context.fixture.entries[0]
    context.answers += [send(entry, owner=builders.OTHER_KEY)]


@behave.when("the claim of the key expires")
def expire_claim(context):
    stream = key_claims.name_stream(CUSTOMER, KEY)
    context.deployment.set_faults(
        context.fixture.log, expire_before={stream: 2}
    )


@behave.then("each repeat has the same whole answer of {count:d} tokens")
def check_same(context, count):
    assert len({read_answer(row) for row in context.answers}) == 1
    check_whole(context.answers[0], count)


@behave.then("each repeat has a whole answer of its own")
def check_own(context):
    found = {read_answer(row)[0] for row in context.answers}
    assert len(found) == len(context.answers), found


@behave.then("each repeat is told {code} and when to come back")
def check_told_with_time(context, code):
    check_told(context, code)
    for answer in context.answers:
        assert int(answer.headers["Retry-After"]) >= 1


@behave.then("each repeat is told {code}")
def check_told(context, code):
    for answer in context.answers:
        assert answer.json()["error"]["code"] == code, answer.text


@behave.given(
    "a deployment of {entries:d} entries and {targets:d} plain targets"
)
@behave.given("a deployment of {entries:d} entry and {targets:d} plain target")
def start_plain(context, entries, targets):
    at_most_once_steps.start_plain(context, entries, targets)


def send_plain(entry, body):
    return httpx.post(
        f"{entry.url}/services/{builders.PLAIN}/echo",
        content=body,
        headers={**make_keyed(), "X-Request-Tag": "tag-1"},
        timeout=builders.CALL_TIMEOUT_S,
    )


@behave.when(
    "a plain call with a key is sent {times:d} times through all entries"
)
@behave.when(
    "a plain call with a key is sent {times:d} time through all entries"
)
def repeat_plain(context, times):
    context.answers = [
        send_plain(entry, b"part 4")
        for entry in context.fixture.entries
        for _ in range(times)
    ]


@behave.when("the key comes with another plain call")
def send_other_plain(context):
    context.answers = [send_plain(context.fixture.entries[0], b"part 5")]


@behave.then("each repeat has the plain service's one answer")
def check_plain(context):
    found = {
        (row.status_code, row.content, row.headers["Gentianpoint-Generation"])
        for row in context.answers
    }
    assert len(found) == 1 and found.pop()[0] == 200, context.answers


@behave.given(
    "a deployment of {entries:d} entries and {targets:d} target that runs one"
    " call at a time"
)
def start_narrow(context, entries, targets):
    context.fixture = builders.start_fixture(
        context.deployment,
        entries,
        targets,
        admission="fixed",
        fixed_concurrency=1,
    )


@behave.when("a report with a key waits through the relay")
def wait_through_relay(context):
    context.first = stream_readers.StreamReader(
        context.relay, PROMPT, make_keyed()
    )
    wait_admitted(context, attached=False)


@behave.when("its repeat waits at the last entry")
def wait_at_last(context):
    context.repeat = stream_readers.StreamReader(
        context.fixture.entries[-1], PROMPT, make_keyed()
    )
    wait_admitted(context, attached=True)


def wait_admitted(context, attached):
    """Wait until the agent has a prepared call, or one more reader of it."""
    context.fixture.targets[0].agent.log.wait_for_event(
        "call_admitted",
        matches=lambda row: (
            not row["repeatable"] and row["attached"] == attached
        ),
    )


@behave.when("the first entry has closed the call")
def wait_closed(context):
    context.fixture.entries[0].log.wait_for_event("call_closed")


@behave.then("the repeat has a whole answer of {count:d} tokens")
def check_repeat(context, count):
    context.repeat.wait_for_end()
    assert context.repeat.done, context.repeat.describe()
    numbers = list(range(1, count + 1))
    assert context.repeat.numbers == numbers, context.repeat.describe()

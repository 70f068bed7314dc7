"""Steps for whole answers whose generation breaks off."""

from concurrent import futures
import time

import behave
import httpx

from features import builders

WITHIN_S = 30.0
POLL_S = 0.02


@behave.when("a caller asks for a whole answer of {count:d} tokens")
def ask_whole(context, count):
    start_asking(context, count, builders.make_headers())


@behave.when(
    "a caller asks for a whole answer of {count:d} tokens that runs at most "
    "once"
)
def ask_once(context, count):
    start_asking(context, count, builders.make_headers(repeatable="false"))


def start_asking(context, count, headers):
    pool = futures.ThreadPoolExecutor(1)
    context.add_cleanup(pool.shutdown)
    entry = context.fixture.entries[0]
    prompt = f"report tokens:{count}"
    context.asked = pool.submit(builders.complete, entry, prompt, headers)


@behave.when("after {count:d} tokens the {name} that generates it is killed")
def kill_server(context, count, name):
    row = wait_for_server(context, count)
    context.lost = row
    context.deployment.kill(row.agent if name == "agent" else row.target)


def wait_for_server(context, count):
    deadline = time.monotonic() + WITHIN_S
    while time.monotonic() < deadline:
        for row in context.fixture.targets:
            witness = context.deployment.read_witness(row.target)
            if witness["tokens"] >= count:
                return row
        time.sleep(POLL_S)
    raise AssertionError(f"no engine has generated {count} tokens")


def read_other_starts(context):
    """Return how often engines other than the lost one started a stream."""
    return sum(
        context.deployment.read_witness(row.target)["started"]
        for row in context.fixture.targets
        if row is not context.lost
    )


@behave.then(
    "the caller gets the {count:d} tokens of the other engine's generation"
)
def check_other(context, count):
    answer = context.asked.result()
    assert answer.status_code == 200, answer.text
    assert answer.json()["usage"]["completion_tokens"] == count
    assert read_other_starts(context) == 1
    generation = answer.headers["Gentianpoint-Generation"]
    assert not generation.startswith(f"{context.lost.agent.name}~")
    held = httpx.get(
        f"{context.fixture.entries[0].url}/v1/generations/{generation}",
        headers=builders.make_headers(),
    ).json()
    assert held["choices"][0]["text"] == answer.json()["choices"][0]["text"]


@behave.then("its answer is told {code}, and no other engine was asked")
def check_told(context, code):
    answer = context.asked.result()
    assert answer.json()["error"]["code"] == code, answer.text
    assert read_other_starts(context) == 0

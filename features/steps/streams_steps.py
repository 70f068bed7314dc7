"""Steps for streams under failure."""

import json
import socket

import behave

from features import builders
from features import stream_readers


@behave.given(
    "a relayed deployment of {entries:d} entry and {targets:d} target"
)
@behave.given(
    "a relayed deployment of {entries:d} entry and {targets:d} targets"
)
def start_relayed(context, entries, targets):
    context.fixture = builders.start_fixture(
        context.deployment,
        entries,
        targets,
        engine={"step_ms": 15},
        entry=builders.FAST,
        relayed=True,
        **builders.FAST,
    )


@behave.given("a deployment whose engine has memory for one long answer")
def start_small(context):
    context.fixture = builders.start_fixture(
        context.deployment,
        engine={"step_ms": 5, "blocks": 14, "block_tokens": 16},
        admission="none",
    )


@behave.when("a caller reads a stream of {count:d} tokens")
def read_stream(context, count):
    context.reader = stream_readers.StreamReader(
        context.fixture.entries[0], f"report tokens:{count}"
    )


@behave.when("two callers read streams of {count:d} tokens")
def read_two_streams(context, count):
    context.readers = [
        stream_readers.StreamReader(
            context.fixture.entries[0], f"{name} tokens:{count}"
        )
        for name in ("first", "second")
    ]


@behave.when(
    "after {count:d} tokens the relay before the {side} gets the fault {fault}"
)
def set_relay_fault(context, count, side, fault):
    context.reader.wait_for_tokens(count)
    row = context.fixture.targets[0]
    relay = row.entry_relay if side == "agent" else row.target_relay
    context.deployment.set_faults(relay, **json.loads(fault))


def find_server(context):
    """Return the target whose agent holds the reader's generation."""
    home = context.reader.generation.partition("~")[0]
    return next(
        row for row in context.fixture.targets if row.agent.name == home
    )


@behave.when("after {count:d} tokens the first entry is killed")
def kill_entry(context, count):
    context.reader.wait_for_tokens(count)
    context.deployment.kill(context.fixture.entries[0])
    context.reader.wait_for_end()


@behave.when("the caller resumes at the last entry")
def resume_elsewhere(context):
    context.rest = stream_readers.StreamReader(
        context.fixture.entries[-1],
        "",
        resume=context.reader.generation,
        after=context.reader.leave(),
    )


@behave.when("after {count:d} tokens the {name} that serves it is killed")
def kill_server(context, count, name):
    context.reader.wait_for_tokens(count)
    row = find_server(context)
    context.deployment.kill(row.agent if name == "agent" else row.target)


@behave.when(
    "after {count:d} tokens the {name} is frozen until its peer gives it up"
)
def freeze_process(context, count, name):
    context.reader.wait_for_tokens(count)
    entry = context.fixture.entries[0]
    agent = context.fixture.targets[0].agent
    frozen, peer = (agent, entry) if name == "agent" else (entry, agent)
    context.deployment.freeze(frozen)
    peer.log.wait_for_event("connection_lost")
    context.deployment.thaw(frozen)


@behave.when("a caller stops reading a stream of {count:d} tokens")
def stop_reading(context, count):
    body = json.dumps(
        {
            "model": builders.MODEL,
            "prompt": f"stopped tokens:{count}",
            "stream": True,
        }
    ).encode()
    host, _, port = context.fixture.entries[0].address.partition(":")
    context.stopped = socket.socket()
    context.stopped.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    context.stopped.connect((host, int(port)))
    context.stopped.sendall(
        b"POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"
        b"Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n"
        % (builders.CUSTOMER_KEY.encode(), len(body))
        + body
    )
    assert context.stopped.recv(1)


@behave.then("the stream is whole with {count:d} tokens")
def check_whole(context, count):
    check_reader(context, context.reader, count)


def check_reader(context, reader, count):
    """Compare a reader's tokens with what the agent holds."""
    reader.wait_for_end()
    assert reader.done, reader.describe()
    assert reader.numbers == list(range(1, count + 1)), reader.describe()
    check_texts(context, reader.generation, reader.texts)


def check_texts(context, generation, texts):
    """Compare texts with the generation's own."""
    held = stream_readers.StreamReader(
        context.fixture.entries[-1], "", resume=generation
    )
    held.wait_for_end()
    assert held.texts == texts, (held.describe(), texts)


@behave.then("both streams are whole with {count:d} tokens")
def check_both_whole(context, count):
    for reader in context.readers:
        check_reader(context, reader, count)


@behave.then("both parts together are whole with {count:d} tokens")
def check_parts(context, count):
    first, rest = context.reader, context.rest
    rest.wait_for_end()
    assert rest.done, rest.describe()
    numbers = first.numbers[: len(first.texts)] + rest.numbers
    assert numbers == list(range(1, count + 1)), numbers
    check_texts(context, first.generation, first.texts + rest.texts)


@behave.then("the stream ends with the error {code}")
def check_error(context, code):
    reader = context.reader
    reader.wait_for_end()
    assert reader.error.get("code") == code, reader.describe()
    assert not reader.done, reader.describe()
    count = len(reader.numbers)
    assert reader.numbers == list(range(1, count + 1)), reader.describe()


@behave.then("no other engine started it")
def check_no_other(context):
    server = find_server(context)
    for row in context.fixture.targets:
        if row is not server:
            witness = context.deployment.read_witness(row.target)
            assert witness["started"] == 0, witness


@behave.then("the engine has preempted")
def check_preempted(context):
    witness = context.deployment.read_witness(
        context.fixture.targets[0].target
    )
    assert witness["now"]["preemptions"] > 0, witness


@behave.then("the entry took no more than its window of the stopped stream")
def check_window(context):
    # The window is 256 items; sockets of 4 KiB and the server's own buffers
    # hold some hundred events more, far from 3000.
    agent = context.fixture.targets[0].agent
    context.stopped.close()
    entry = context.fixture.entries[0]
    event = entry.log.wait_for_event(
        "call_closed", matches=lambda row: row["items"] < 3000
    )
    assert event["items"] < 2900, (event, agent.log.tail())

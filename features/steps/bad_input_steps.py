"""Steps for bad input of callers and peers."""

import functools
import socket

import behave
import httpx
import trio
import websockets.exceptions
import websockets.trio.client

from features import builders
from features import stream_readers
from gentianpoint_core import codec
from gentianpoint_core import peer_connections

CLOSED_WITHIN_S = 60
HELLO = {
    "type": "hello",
    "version": codec.PROTOCOL_VERSION,
    "peer": "bad-peer",
    "incarnation": "bad-run",
    "data_centre": "zona-norte",
    "offset": 0,
    "window": 8,
    "report_ms": 500,
}
RESUME = {
    "type": "resume",
    "call": 1,
    "generation": "none",
    "customer": "rebobinados",
    "after": -1,
}
FRAMES = {
    "another version": [codec.encode_message({**HELLO, "version": 99})],
    "an oversized frame": [bytes(9 * 2**20)],
    "garbage": [b"\xff\x00garbage"],
    "a text frame": ["hello"],
    "an agent's own message": [
        codec.encode_message(HELLO),
        codec.encode_message({"type": "leaving", "reason": "none"}),
    ],
    "a negative item number": [
        codec.encode_message(HELLO),
        codec.encode_message(RESUME),
    ],
}


def make_request(words):
    usual = b'{"model": "modelo-taller", "prompt": "tokens:1"}'
    path, method, headers = "/v1/completions", "POST", {}
    body = {
        "an oversized body": b" " * (5 * 2**20),
        "broken JSON": usual[:-1],
        "deeply nested JSON": b'{"prompt": ' + b"[" * 100_000,
        "an unknown field": usual[:-1] + b', "none": 1}',
    }.get(words, usual)
    if ": " in words:
        headers = dict([words.split(": ")])
    elif words == "an unknown path":
        path = "/v2/none"
    elif words == "another method":
        method = "PUT"
    return method, path, headers, body


@behave.when("a bad caller sends {words}")
def send_bad(context, words):
    method, path, headers, body = make_request(words)
    context.bad = httpx.request(
        method,
        context.fixture.entries[0].url + path,
        headers={**builders.make_headers(), **headers},
        content=body,
        timeout=builders.CALL_TIMEOUT_S,
    )


@behave.then("the bad caller gets {status:d} with the code {code}")
def check_bad(context, status, code):
    assert context.bad.status_code == status, context.bad.text
    assert context.bad.json()["error"]["code"] == code, context.bad.text


@behave.when("a caller sends half a head and stops")
def send_half(context):
    address, _, port = context.fixture.entries[0].address.rpartition(":")
    context.half = socket.create_connection((address, int(port)))
    context.add_cleanup(context.half.close)
    context.half.sendall(b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nX-")


@behave.then("a caller asks for a whole generation of {count:d} tokens")
def ask_beside(context, count):
    answer = builders.complete(context.fixture.entries[0], f"tokens:{count}")
    assert answer.status_code == 200, answer.text


@behave.then("the entry closes the connection of the one that stopped")
def check_closed(context):
    context.half.settimeout(CLOSED_WITHIN_S)
    while context.half.recv(4096):
        pass


@behave.when("a stream of {count:d} tokens runs beside the bad peer")
def start_stream(context, count):
    context.count = count
    context.beside = stream_readers.StreamReader(
        context.fixture.entries[0], f"tokens:{count}"
    )
    context.beside.wait_for_tokens(1)


async def talk(context, words):
    agent = context.fixture.targets[0].agent
    key = context.deployment.peer_key
    if words == "a wrong key":
        key = "wrong"
    try:
        async with websockets.trio.client.connect(
            f"ws://{agent.address}",
            additional_headers={peer_connections.PEER_KEY_HEADER: key},
            compression=None,
        ) as websocket:
            for frame in FRAMES[words]:
                await websocket.send(frame)
            while True:
                context.received.append(await websocket.recv())
    except websockets.exceptions.ConnectionClosed:
        context.ended = True
    except websockets.exceptions.InvalidStatus as error:
        context.ended = error.response.status_code == 401


@behave.when("a bad peer sends the agent {words}")
def send_as_peer(context, words):
    context.received = []
    context.ended = False
    trio.run(functools.partial(talk, context, words))
    if words == "another version":
        last = codec.decode_message(context.received[-1], "agent").ok
        assert last["type"] == "reject", last


@behave.then("the agent ends its connection and logs {event}")
def check_ended(context, event):
    assert context.ended
    context.fixture.targets[0].agent.log.wait_for_event(event)


@behave.then("the stream beside it is whole")
def check_beside(context):
    context.beside.wait_for_end()
    assert context.beside.done, context.beside.describe()
    expected = list(range(1, context.count + 1))
    assert context.beside.numbers == expected, context.beside.describe()

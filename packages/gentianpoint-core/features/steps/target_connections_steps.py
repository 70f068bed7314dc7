"""Steps for connections of the own interface to a target."""

import behave
import httpx
import trio

from gentianpoint_core import http_clients
from gentianpoint_core import http_engine
from gentianpoint_core import http_plain_service
from gentianpoint_core import ports

SILENCE_MS = 5000


async def call_plain_service(url, client):
    async def check_listening():
        return True

    service = http_plain_service.HttpPlainService(
        url, client, SILENCE_MS, check_listening
    )
    async with service.send_call("GET", "/", [], b"") as answer:
        return b"".join([chunk async for chunk in answer.chunks])


async def call_engine(url, client):
    engine = http_engine.HttpEngine(url, client, SILENCE_MS)
    # The other calls differ in how they decode such a body.
    return await engine._send_request("call", "GET", "/")


async def start_stream(url, client):
    engine = http_engine.HttpEngine(url, client, SILENCE_MS)
    request = ports.StreamRequest("a", "prompt", 10, 0, "", "", "")
    async with engine.start_stream(request) as events:
        return [event async for event in events]


CALLS = {
    "plain services": call_plain_service,
    "engines": call_engine,
    "streams": start_stream,
}


@behave.when("the adapter of {targets} makes two calls")
def make_two_calls(context, targets):
    make_calls(context, targets, 2)


@behave.when("the adapter of {targets} makes one call")
def make_one_call(context, targets):
    context.error = None
    try:
        make_calls(context, targets, 1)
    except* ports.PortError as group:
        (context.error,) = group.exceptions


@behave.then("the call fails and may have run")
def check_fails(context):
    assert context.error is not None
    assert context.error.took_effect


def make_calls(context, targets, count):
    async def run():
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        port = listener.socket.getsockname()[1]
        url = f"http://127.0.0.1:{port}"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                trio.serve_listeners, context.target.serve, [listener]
            )
            async with http_clients.make_client(
                [url], httpx.Limits()
            ) as client:
                context.bodies = [
                    await CALLS[targets](url, client) for _ in range(count)
                ]
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then("the answers belong to calls 1 and 2")
def check_answers(context):
    assert context.bodies == [b"body of 1", b"body of 2"], context.bodies

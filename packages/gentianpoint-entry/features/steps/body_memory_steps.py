"""Steps for the memory of bodies, on a virtual clock."""

import json

import behave
import quart
import quart_trio
import trio
import trio.testing

from gentianpoint_core import caller_resources
from gentianpoint_core.decisions import memory_account
from gentianpoint_entry import body_memory

_BODY_BYTES = 100_000
_PAUSE_S = 3


def make_scope(*headers):
    return {
        "type": "http",
        "method": "POST",
        "scheme": "http",
        "path": "/",
        "query_string": b"",
        "root_path": "",
        "http_version": "1.1",
        "headers": [
            (b"host", b"a"),
            (b"content-length", b"%d" % _BODY_BYTES),
            *headers,
        ],
    }


def make_app(context):
    app = quart_trio.QuartTrio("gentianpoint_entry")

    @app.route("/", methods=["POST"])
    async def answer():
        return str(len(await quart.request.get_data()))

    app.before_request(body_memory.take_body_memory)
    return body_memory.BodyMiddleware(
        app.asgi_app, context.resources, _BODY_BYTES
    )


@behave.given("memory for one body of 100,000 bytes")
def make_account(context):
    size = body_memory.COPIES * _BODY_BYTES
    context.resources = caller_resources.CallerResources(
        memory_account.AccountSize(2 * size, size),
        10,
        caller_resources.SharedTime(1.0),
    )


@behave.when(
    "a caller {names} pauses in its body, and another one needs the memory"
)
def pause(context, names):
    headers = []
    if names == "that names its generation":
        headers = [(b"gentianpoint-generation", b"x")]
    app = make_app(context)
    context.sent = []

    async def receive_slowly():
        await trio.sleep(_PAUSE_S)
        return {"type": "http.request", "body": b"x", "more_body": True}

    async def receive_all():
        return {
            "type": "http.request",
            "body": b"x" * _BODY_BYTES,
            "more_body": False,
        }

    async def note(event):
        context.sent.append(event)

    async def drop(event):
        pass

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(app, make_scope(*headers), receive_slowly, note)
            await trio.sleep(_PAUSE_S / 2)
            await app(make_scope(), receive_all, drop)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@behave.then("it is refused with status {status:d} and code {code}")
def check_refusal(context, status, code):
    assert context.sent, "no answer"
    assert context.sent[0]["status"] == status, context.sent
    error = json.loads(context.sent[1]["body"])["error"]
    assert error["code"] == code, error
    assert (b"retry-after", b"1") in context.sent[0]["headers"]

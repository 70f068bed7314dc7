"""Steps for calls that are closed at the end of their request."""

import types

import behave
import quart
import quart_trio
import trio
import trio.testing

from gentianpoint_entry import answer_formats
from gentianpoint_entry import call_requests
from gentianpoint_entry import generation_answers
from gentianpoint_entry import open_calls

MOMENTS = {
    "the head is written": "http.response.start",
    "the first part is written": "http.response.body",
    "nothing is missing": "",
}


class FakeCall:
    """Call whose answer is one item and a regular end."""

    generation = "target~run~1~secret"
    request = types.SimpleNamespace(service="modelo-taller")

    def __init__(self):
        """Start with both parts still to be received."""
        self.closed = False
        self._parts = [
            call_requests.CallPart(1, ("word",), (), "", 0, 0),
            call_requests.CallPart(0, (), (), "stop", 1, 1),
        ]

    async def receive(self):
        """Return the next part."""
        return self._parts.pop(0)

    async def close(self):
        """Record that the call was closed."""
        self.closed = True


def make_app(call, respond):
    app = quart_trio.QuartTrio("gentianpoint_entry")

    @app.get("/")
    async def serve():
        return await respond(open_calls.close_after_request(call))

    app.asgi_app = open_calls.ClosingMiddleware(app.asgi_app)
    return app


@behave.given("a route that streams a generation")
def make_streaming(context):
    async def respond(call):
        responder = generation_answers.GenerationResponder(
            call, answer_formats.CompletionFormat
        )
        return await responder.make_streamed_response(False)

    context.call = FakeCall()
    context.app = make_app(context.call, respond)


@behave.given("a route that fails after its call was answered")
def make_failing(context):
    async def respond(call):
        await call.receive()
        headers = quart.Response("").headers
        headers.add("X-Odd", "a\nb")

    context.call = FakeCall()
    context.app = make_app(context.call, respond)


def make_scope():
    return {
        "type": "http",
        "asgi": {"version": "3.0"},
        "http_version": "1.1",
        "method": "GET",
        "scheme": "http",
        "path": "/",
        "raw_path": b"/",
        "query_string": b"",
        "root_path": "",
        "headers": [(b"host", b"entry")],
        "client": ("127.0.0.1", 1),
        "server": ("127.0.0.1", 2),
        "extensions": {},
        "state": {},
    }


@behave.when("its caller disconnects while {moment}")
def disconnect(context, moment):
    async def main():
        disconnected = trio.Event()
        requests = [{"type": "http.request", "body": b"", "more_body": False}]

        async def receive():
            if requests:
                return requests.pop()
            await disconnected.wait()
            return {"type": "http.disconnect"}

        async def send(event):
            if event["type"] == MOMENTS[moment]:
                disconnected.set()
                await trio.sleep_forever()

        await context.app(make_scope(), receive, send)

    trio.run(main)


@behave.then("its call is closed")
def check_closed(context):
    assert context.call.closed

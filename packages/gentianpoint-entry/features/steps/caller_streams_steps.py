"""Steps for requests on connections of the own interface."""

import json

import behave
import hypercorn.trio
import hypercorn.trio.run
import trio

from gentianpoint_core import caller_resources
from gentianpoint_core import limit_reports
from gentianpoint_core.decisions import memory_account
from gentianpoint_entry import caller_servers
from gentianpoint_entry import caller_sockets

_WITHIN_S = 20
_REQUEST = "GET /%s HTTP/1.1\r\nHost: a\r\n%s\r\n"
_STARTS = {
    "the preface of HTTP/2": "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "a request to change to HTTP/2": _REQUEST
    % (
        "",
        "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
        "HTTP2-Settings: AAMAAABkAAQAAP__\r\n",
    ),
    "a head with two lengths": _REQUEST
    % ("", "Content-Length: 0\r\nContent-Length: 0\r\n"),
    "a head of 70,000 bytes": _REQUEST % ("", f"x: {'x' * 70000}\r\n"),
    "chunks that are no chunks": _REQUEST.replace("GET", "POST")
    % ("", "Transfer-Encoding: chunked\r\n")
    + "zz\r\n",
}


class Application:
    """An application that reads each request and answers with its path."""

    def __init__(self, *, answers=True):
        self.answers = answers
        self.parts = []
        self.ended = trio.Event()

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        if scope["type"] == "lifespan":
            raise NotImplementedError
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                self.ended.set()
                return
            if event["body"]:
                self.parts.append(event["body"])
            if not event["more_body"] and self.answers:
                break
        await send(
            {"type": "http.response.start", "status": 200, "headers": []}
        )
        await send(
            {"type": "http.response.body", "body": scope["path"].encode()}
        )


def make_resources(memory_bytes=1 << 30, connections=100):
    return caller_resources.CallerResources(
        memory_account.AccountSize(memory_bytes, memory_bytes),
        connections,
        caller_resources.SharedTime(1.0),
    )


def serve(context, use):
    """Run ``use`` with the port of a server of the application."""
    original = hypercorn.trio.run.TCPServer
    caller_servers.guard_connections(
        getattr(context, "resources", make_resources()),
        limit_reports.LimitReports(lambda reason: None),
    )

    async def run():
        context.application = Application(
            answers=not getattr(context, "is_mute", False)
        )
        config = caller_sockets.CallerConfig()
        config.bind = ["127.0.0.1:0"]
        config.errorlog = None
        async with trio.open_nursery() as nursery:
            binds = await nursery.start(
                lambda task_status: hypercorn.trio.serve(
                    context.application,
                    config,
                    shutdown_trigger=trio.sleep_forever,
                    task_status=task_status,
                )
            )
            with trio.fail_after(_WITHIN_S):
                await use(int(binds[0].rpartition(":")[2]))
            nursery.cancel_scope.cancel()

    try:
        trio.run(run)
    finally:
        hypercorn.trio.run.TCPServer = original


async def exchange(port, text):
    """Send a text, and return what is answered until nothing more comes."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    received = b""
    async with stream, trio.open_nursery() as nursery:
        nursery.start_soon(stream.send_all, text.encode())
        while True:
            with trio.move_on_after(1.0 if received else _WITHIN_S) as scope:
                data = await stream.receive_some(65536)
                received += data
            if scope.cancelled_caught or not data:
                break
        nursery.cancel_scope.cancel()
    return received


def send(context, *texts):
    context.answers = []

    async def use(port):
        for text in texts:
            context.answers.append(await exchange(port, text))

    serve(context, use)


@behave.given("an application that does not answer")
def be_mute(context):
    context.is_mute = True


@behave.given("room for {count:d} connections")
def limit_connections(context, count):
    context.resources = make_resources(connections=count)


@behave.given("room for no request")
def limit_memory(context):
    context.resources = make_resources(memory_bytes=40_000)


@behave.when("a caller sends a body of 40,000 bytes in chunks of a byte")
def send_chunks(context):
    head = _REQUEST.replace("GET", "POST") % (
        "",
        "Transfer-Encoding: chunked\r\n",
    )
    send(context, head + "1\r\nx\r\n" * 40_000 + "0\r\n\r\n")


@behave.when("a caller sends three requests without waiting")
def send_ahead(context):
    send(context, "".join(_REQUEST % (name, "") for name in "abc"))


@behave.when("a caller sends two requests and closes its connection")
def send_and_leave(context):
    async def use(port):
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all((_REQUEST % ("a", "") * 2).encode())
        await trio.sleep(0.2)
        await stream.aclose()
        await context.application.ended.wait()

    serve(context, use)


@behave.when(
    "{count:d} connections that send nothing are followed by a request"
)
def send_after_others(context, count):
    async def use(port):
        streams = [
            await trio.open_tcp_stream("127.0.0.1", port) for _ in range(count)
        ]
        context.answers = [await exchange(port, _REQUEST % ("", ""))]
        for stream in streams:
            await stream.aclose()

    serve(context, use)


@behave.when("a caller sends a request, and one that names its generation")
def send_both(context):
    send(
        context,
        _REQUEST % ("", ""),
        _REQUEST % ("", "Gentianpoint-Generation: x\r\n"),
    )


@behave.when("a caller sends {start}")
def send_start(context, start):
    send(context, _STARTS[start])


@behave.then("it is answered with status {status:d}")
def check_status(context, status):
    found = [answer.split(b" ")[1:2] for answer in context.answers]
    assert found == [[b"%d" % status]], context.answers


@behave.then("it is answered with status 200 three times, in their order")
def check_order(context):
    (answer,) = context.answers
    assert answer.count(b"HTTP/1.1 200 ") == 3, answer
    places = [answer.find(b"/" + name) for name in (b"a", b"b", b"c")]
    assert -1 not in places and places == sorted(places), answer


@behave.then(
    "the application has got the whole body, in {count:d} parts at most"
)
def check_parts(context, count):
    parts = context.application.parts
    assert b"".join(parts) == b"x" * 40_000, len(b"".join(parts))
    assert len(parts) <= count, len(parts)


@behave.then("the application is told of its end")
def check_ended(context):
    assert context.application.ended.is_set()


@behave.then("they are refused as not run, and with an unknown outcome")
def check_refusals(context):
    found = [
        (answer.split(b" ")[1], json.loads(answer.partition(b"\r\n\r\n")[2]))
        for answer in context.answers
    ]
    codes = [(status, body["error"]["code"]) for status, body in found]
    assert codes == [(b"503", "not_run"), (b"502", "outcome_unknown")], codes
    assert all(b"retry-after: 1\r\n" in answer for answer in context.answers)

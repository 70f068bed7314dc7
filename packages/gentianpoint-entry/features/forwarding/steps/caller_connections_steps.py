"""Steps for callers' connections, over sockets of this host."""

import contextlib
import json

import behave
import trio

from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import caller_connections
from gentianpoint_entry.forwarding import routes

_LIMITS = routes.CallerLimits(
    header_bytes=4096, body_bytes=1000, header_ms=2000, idle_ms=2000
)
_KEPT = "Host: a\r\n"
_HEAD = f"{_KEPT}Connection: close\r\n"
"""Closing shows a reader the end without any waiting."""
_FORMS = {
    "request on a kept connection": f"GET /a/b HTTP/1.1\r\n{_KEPT}\r\n",
    "plain request": f"GET /a/b HTTP/1.1\r\n{_HEAD}\r\n",
    "request with odd path": f"GET /a%2Fb/? HTTP/1.1\r\n{_HEAD}\r\n",
    "request with a query": f"GET /a?x=1&&y=% HTTP/1.1\r\n{_HEAD}\r\n",
    "request with a length": (
        f"POST /a HTTP/1.1\r\n{_HEAD}Content-Length: 5\r\n\r\nhello"
    ),
    "request in chunks": (
        f"POST /a HTTP/1.1\r\n{_HEAD}Transfer-Encoding: chunked\r\n\r\n"
        "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"
    ),
    "head that is none": "what is this\r\n\r\n",
    "body over the limit": (
        f"POST /a HTTP/1.1\r\n{_HEAD}Content-Length: 2000\r\n\r\n" + "x" * 2000
    ),
    "chunk that is none": (
        f"POST /a HTTP/1.1\r\n{_HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\n"
    ),
}


@behave.given("a handler that repeats what it was given")
def make_repeating(context):
    async def handle(request, answer):
        given = {
            "method": request.method.decode(),
            "target": request.target.decode(),
            "body": request.body.decode(),
        }
        await answer.send_whole(200, (), json.dumps(given).encode())

    context.handler = handle
    context.is_leaving = False


@behave.given("a handler that stops in the middle of its answer")
def make_stopping(context):
    async def handle(request, answer):
        await answer.start(200, ())
        await answer.send(b"half")

    context.handler = handle
    context.is_leaving = False


@behave.given("a handler that raises an error nobody expects")
def make_raising(context):
    async def handle(request, answer):
        raise ZeroDivisionError("a fault")

    context.handler = handle
    context.is_leaving = False


@behave.given("a handler that raises an error in the middle of its answer")
def make_raising_late(context):
    async def handle(request, answer):
        await answer.start(200, ())
        await answer.send(b"half")
        raise ZeroDivisionError("a fault")

    context.handler = handle
    context.is_leaving = False


@behave.given("a handler whose answer is longer than its caller reads")
def make_long(context):
    context.is_gone = False

    async def handle(request, answer):
        try:
            await answer.send_whole(200, (), b"x" * 50_000_000)
        except caller_answers.CallerGoneError:
            context.is_gone = True

    context.handler = handle


@behave.given("a handler that waits for ever")
def make_waiting(context):
    context.was_cancelled = False

    async def handle(request, answer):
        try:
            await trio.sleep_forever()
        finally:
            context.was_cancelled = True

    context.handler = handle
    context.is_leaving = False


@behave.given("an entry that leaves")
def set_leaving(context):
    context.is_leaving = True


def exchange(context, text, *, closes=False):
    """Send a text and read what comes until the end or a pause."""

    async def run():
        connections = caller_connections.CallerConnections(
            context.handler, lambda: _LIMITS
        )
        connections.is_leaving = context.is_leaving
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        port = listener.socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                trio.serve_listeners, connections.serve, [listener]
            )
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(text.encode())
            if closes:
                await trio.sleep(0.1)
                await stream.aclose()
                while not context.was_cancelled:
                    await trio.sleep(0.01)
            else:
                await read_all(context, stream)
            nursery.cancel_scope.cancel()

    trio.run(run)


async def read_all(context, stream):
    context.data = b""
    context.was_reset = False
    context.has_ended = False
    try:
        while data := await stream.receive_some(65536):
            context.data += data
        context.has_ended = True
    except trio.BrokenResourceError:
        context.was_reset = True


@behave.when("a caller sends a {form} and closes its connection")
def send_and_close(context, form):
    exchange(context, _FORMS[form], closes=True)


@behave.when("a caller sends a {form}")
def send_form(context, form):
    exchange(context, _FORMS[form])


@behave.when("a caller sends two requests without waiting")
def send_two(context):
    first = _FORMS["request on a kept connection"]
    exchange(context, first + _FORMS["request with a length"])


def read_bodies(context):
    parts = context.data.decode().split("\r\n\r\n")[1:]
    return [json.loads(part.split("HTTP/1.1")[0]) for part in parts]


@behave.then("it is given back as {method} {target} with the body {body}")
def check_given(context, method, target, body):
    wanted = {"method": method, "target": target, "body": body}
    assert read_bodies(context) == [wanted], context.data


@behave.then("it is given back as {method} {target} with the body ")
def check_given_empty(context, method, target):
    check_given(context, method, target, "")


@behave.then("both are answered in order")
def check_both(context):
    bodies = read_bodies(context)
    assert [given["method"] for given in bodies] == ["GET", "POST"], bodies


@behave.then("it is answered with status {status:d} and the connection ends")
def check_refused(context, status):
    assert context.data.startswith(f"HTTP/1.1 {status} ".encode())
    assert context.has_ended


@behave.then("the caller's connection is reset")
def check_reset(context):
    assert context.was_reset


@behave.then("the handler is cancelled")
def check_cancelled(context):
    assert context.was_cancelled


@behave.then("the answer says that the connection closes")
def check_closes(context):
    assert b"connection: close" in context.data.lower()


async def run_leaving(context, use):
    connections = caller_connections.CallerConnections(
        context.handler, lambda: _LIMITS
    )
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    port = listener.socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, connections.serve, [listener])
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await use(stream, connections)
        nursery.cancel_scope.cancel()


@behave.when(
    "a caller connects, idle connections are closed, and it sends a request"
)
def connect_then_send(context):
    async def use(stream, connections):
        # The entry takes the connection meanwhile.
        await trio.sleep(0.1)
        connections.is_leaving = context.is_leaving
        connections.close_idle()
        await trio.sleep(0.1)
        await send_and_read(context, stream)

    trio.run(run_leaving, context, use)


async def send_and_read(context, stream):
    # Where the entry has closed, what has come is looked at.
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(_FORMS["plain request"].encode())
    await read_all(context, stream)


@behave.then("it gets an answer")
def check_some_answer(context):
    assert context.data.startswith(b"HTTP/1.1 200 "), context.data


@behave.when("a caller that has been answered sends again as idle ones close")
def send_across_close(context):
    async def use(stream, connections):
        await stream.send_all(_FORMS["request on a kept connection"].encode())
        assert (await stream.receive_some(65536)).startswith(b"HTTP/1.1 200")
        connections.is_leaving = context.is_leaving
        await trio.sleep(0.1)
        connections.close_idle()
        await trio.sleep(0.1)
        await stream.send_all(_FORMS["plain request"].encode())
        await trio.sleep(0.1)
        try:
            await stream.send_all(b"more")
        except trio.BrokenResourceError:
            context.was_reset = True

    context.was_reset = False
    trio.run(run_leaving, context, use)


@behave.then("its second request is not read")
def check_unread(context):
    # What comes at a closed socket is answered by a reset.
    assert context.was_reset


@behave.when("a caller sends half of a {form}")
def send_half(context, form):
    text = _FORMS[form].encode()
    half = len(text) - 2

    async def use(stream, connections):
        connections.is_leaving = context.is_leaving
        await stream.send_all(text[:half])
        # A first request counts for a second in any case.
        await trio.sleep(1.2)
        context.was_reading = connections.is_busy()
        await stream.send_all(text[half:])
        await read_all(context, stream)
        await trio.sleep(0.1)
        context.is_busy_after = connections.is_busy()

    trio.run(run_leaving, context, use)


@behave.then("the entry counts as busy")
def check_busy(context):
    assert context.was_reading


@behave.then("it is busy no more once the caller has its answer")
def check_answered_then_free(context):
    assert context.data.startswith(b"HTTP/1.1 200 "), context.data
    assert not context.is_busy_after


@behave.when("the time for writing ends {wait_ms:d} ms after the request")
def end_writing(context, wait_ms):
    async def use(stream, connections):
        connections.write_until = trio.current_time() + wait_ms / 1000
        await stream.send_all(_FORMS["plain request"].encode())
        # Longer than this, a caller counts as gone in any case.
        with trio.move_on_after(3):
            while not context.is_gone:
                await trio.sleep(0.01)
        context.was_told = context.is_gone

    trio.run(run_leaving, context, use)


@behave.then("the handler learns that its caller is gone")
def check_gone(context):
    assert context.was_told

"""Steps for callers' connections, over loopback sockets."""

import contextlib
import json

import behave
import trio

from gentianpoint_core import caller_resources
from gentianpoint_core import deadlines
from gentianpoint_core.decisions import memory_account
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import caller_connections
from gentianpoint_entry.forwarding import head_checks
from gentianpoint_entry.forwarding import refusals
from gentianpoint_entry.forwarding import routes

_LIMITS = routes.CallerLimits(
    header_bytes=4096, body_bytes=1000, header_ms=2000, idle_ms=2000
)
_HEADERS = "Host: a\r\n"
_CLOSE = f"{_HEADERS}Connection: close\r\n"
"""With these the server closes the connection after its answer, so that the
reader sees the end at once."""
_FORMS = {
    "request on a kept-alive connection": (
        f"GET /a/b HTTP/1.1\r\n{_HEADERS}\r\n"
    ),
    "plain request": f"GET /a/b HTTP/1.1\r\n{_CLOSE}\r\n",
    "request of HTTP/1.0": f"GET /a/b HTTP/1.0\r\n{_HEADERS}\r\n",
    "request with an odd path": f"GET /a%2Fb/? HTTP/1.1\r\n{_CLOSE}\r\n",
    "request with a query": f"GET /a?x=1&&y=% HTTP/1.1\r\n{_CLOSE}\r\n",
    "request with a length": (
        f"POST /a HTTP/1.1\r\n{_CLOSE}Content-Length: 5\r\n\r\nhello"
    ),
    "request in chunks": (
        f"POST /a HTTP/1.1\r\n{_CLOSE}Transfer-Encoding: chunked\r\n\r\n"
        "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"
    ),
    "malformed head": "what is this\r\n\r\n",
    "body over the limit": (
        f"POST /a HTTP/1.1\r\n{_CLOSE}Content-Length: 2000\r\n\r\n"
        + "x" * 2000
    ),
    "malformed chunk": (
        f"POST /a HTTP/1.1\r\n{_CLOSE}Transfer-Encoding: chunked\r\n\r\nzz\r\n"
    ),
}


@behave.given("a handler that echoes the request")
def make_echoing(context):
    async def handle(request, answer):
        echo = {
            "method": request.method.decode(),
            "target": request.target.decode(),
            "body": request.body.decode(),
        }
        await answer.send_whole(200, (), json.dumps(echo).encode())

    context.handler = handle
    context.is_shutting_down = False


@behave.given("a handler that stops in the middle of its answer")
def make_stopping(context):
    async def handle(request, answer):
        await answer.start(200, ())
        await answer.send(b"half")

    context.handler = handle
    context.is_shutting_down = False


@behave.given("an entry that ends as soon as its handler has answered")
def make_ending(context):
    async def handle(request, answer):
        await answer.send_whole(200, (), b"whole")
        context.serving.cancel()

    context.handler = handle
    context.is_shutting_down = False


@behave.given("a handler that raises an unexpected error")
def make_raising(context):
    async def handle(request, answer):
        raise ZeroDivisionError("a fault")

    context.handler = handle
    context.is_shutting_down = False


@behave.given("a handler that raises an error in the middle of its answer")
def make_raising_late(context):
    async def handle(request, answer):
        await answer.start(200, ())
        await answer.send(b"half")
        raise ZeroDivisionError("a fault")

    context.handler = handle
    context.is_shutting_down = False


@behave.given("a handler whose answer is longer than its caller reads")
def make_long(context):
    context.is_gone = False

    async def handle(request, answer):
        try:
            await answer.send_whole(200, (), b"x" * 50_000_000)
        except caller_answers.CallerGoneError:
            context.is_gone = True

    context.handler = handle


@behave.given("a handler that never returns")
def make_waiting(context):
    context.was_cancelled = False

    async def handle(request, answer):
        try:
            await trio.sleep_forever()
        finally:
            context.was_cancelled = True

    context.handler = handle
    context.is_shutting_down = False


@behave.given("an entry that shuts down")
def set_shutting_down(context):
    context.is_shutting_down = True


def make_connections(context):
    """Return connections with the check and the account of a scenario."""
    return caller_connections.CallerConnections(
        context.handler,
        lambda: _LIMITS,
        head_check=getattr(context, "head_check", None),
        resources=getattr(context, "resources", None),
    )


class Check(head_checks.OpenCheck):
    """Gives the same verdict on all heads."""

    def __init__(self, make_verdict):
        self._make_verdict = make_verdict

    def check(self, request):
        """Return the verdict."""
        return self._make_verdict()


@behave.given(
    "a check of heads by which bodies must be read within {within_ms:d} ms"
)
def check_times(context, within_ms):
    make_echoing(context)
    context.head_check = Check(
        lambda: head_checks.HeadVerdict(
            read_by=deadlines.make_deadline(within_ms)
        )
    )


@behave.given("a check of heads that refuses all with status {status:d}")
def refuse_all(context, status):
    async def handle(request, answer):
        await answer.send_whole(status, (), b"")

    # Where the body is there already, the handler refuses.
    context.handler = handle
    context.is_shutting_down = False
    context.head_check = Check(
        lambda: head_checks.HeadVerdict(
            refusals.Refusal(status, "a reason", 0)
        )
    )


@behave.given("an account for {count:d} connections")
def limit_connections(context, count):
    context.resources = caller_resources.CallerResources(
        memory_account.AccountSize(1 << 24, 1 << 23),
        count,
        caller_resources.SharedTime(1.0),
    )


@behave.when("a caller sends the head of a request {more}")
def send_head(context, more):
    fields = (
        "Expect: 100-continue\r\nContent-Length: 5\r\n"
        if more == "that waits to be continued"
        else f"Content-Length: {more.split()[-2]}\r\n"
    )
    exchange(context, f"POST /a HTTP/1.1\r\n{_HEADERS}{fields}\r\n")


@behave.when(
    "a caller sends a {part} of which a byte comes each {gap_ms:d} ms"
)
def send_slowly(context, part, gap_ms):
    head = f"POST /a HTTP/1.1\r\n{_HEADERS}Content-Length: 500\r\n"
    text = head if part == "head" else f"{head}\r\n"

    async def use(stream, connections):
        async def send():
            await stream.send_all(text.encode())
            with contextlib.suppress(trio.BrokenResourceError):
                while True:
                    await trio.sleep(gap_ms / 1000)
                    await stream.send_all(b"x")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            # Without a limit on the whole the caller would go on for ever.
            with trio.move_on_after(10):
                await read_all(context, stream)
            nursery.cancel_scope.cancel()

    trio.run(run_shutting_down, context, use)


@behave.then("both are refused with status {status:d}")
def check_both_refused(context, status):
    line = f"HTTP/1.1 {status} ".encode()
    assert context.data.count(line) == 2, context.data


@behave.when(
    "a caller sends a request, {count:d} KiB more, and closes its connection"
)
def send_ahead(context, count):
    text = _FORMS["request on a kept-alive connection"]

    async def use(stream, connections):
        await stream.send_all(text.encode())
        more = text.encode() * (count * 1024 // len(text))
        with trio.move_on_after(0.5):
            await stream.send_all(more)
        await stream.aclose()
        with trio.move_on_after(3):
            while not context.was_cancelled:
                await trio.sleep(0.01)
        context.was_cancelled_in_time = context.was_cancelled

    trio.run(run_shutting_down, context, use)
    context.was_cancelled = context.was_cancelled_in_time


@behave.when(
    "{count:d} idle connections are followed by a caller that sends a request"
)
def connect_many(context, count):
    async def use(stream, connections):
        port = stream.socket.getpeername()[1]
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(count):
                idle = await trio.open_tcp_stream("127.0.0.1", port)
                await stack.enter_async_context(idle)
                # It is accepted meanwhile.
                await trio.sleep(0.01)
            caller = await trio.open_tcp_stream("127.0.0.1", port)
            await stack.enter_async_context(caller)
            await send_and_read(context, caller)

    trio.run(run_shutting_down, context, use)


def exchange(context, text, *, closes=False):
    """Send a text and read the answers until the connection ends.

    With ``closes``, close the connection instead and wait until the handler
    is cancelled.
    """

    async def run():
        connections = make_connections(context)
        connections.is_shutting_down = context.is_shutting_down
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        port = listener.socket.getsockname()[1]
        context.serving = trio.CancelScope()

        async def serve():
            with context.serving:
                await trio.serve_listeners(connections.serve, [listener])

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
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
    first = _FORMS["request on a kept-alive connection"]
    exchange(context, first + _FORMS["request with a length"])


def read_bodies(context):
    parts = context.data.decode().split("\r\n\r\n")[1:]
    return [json.loads(part.split("HTTP/1.1")[0]) for part in parts]


@behave.then(
    "the echo has the method {method}, target {target} and body {body}"
)
def check_echo(context, method, target, body):
    expected = {"method": method, "target": target, "body": body}
    assert read_bodies(context) == [expected], context.data


@behave.then("the echo has the method {method}, target {target} and body ")
def check_empty_echo(context, method, target):
    check_echo(context, method, target, "")


@behave.then("both are answered in order")
def check_both(context):
    bodies = read_bodies(context)
    assert [body["method"] for body in bodies] == ["GET", "POST"], bodies


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


async def run_shutting_down(context, use):
    connections = make_connections(context)
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
        # Meanwhile the entry accepts the connection.
        await trio.sleep(0.1)
        connections.is_shutting_down = context.is_shutting_down
        connections.close_idle()
        await trio.sleep(0.1)
        await send_and_read(context, stream)

    trio.run(run_shutting_down, context, use)


async def send_and_read(context, stream):
    # If the entry has closed the connection, what was received is checked.
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(_FORMS["plain request"].encode())
    await read_all(context, stream)


@behave.then("it gets an answer")
def check_some_answer(context):
    assert context.data.startswith(b"HTTP/1.1 200 "), context.data


@behave.when(
    "a caller that was answered sends again as idle connections are closed"
)
def send_across_close(context):
    async def use(stream, connections):
        await stream.send_all(
            _FORMS["request on a kept-alive connection"].encode()
        )
        assert (await stream.receive_some(65536)).startswith(b"HTTP/1.1 200")
        connections.is_shutting_down = context.is_shutting_down
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
    trio.run(run_shutting_down, context, use)


@behave.then("its second request is not read")
def check_unread(context):
    # The host answers data for a closed socket with a reset.
    assert context.was_reset


@behave.when("a caller sends half of a {form}")
def send_half(context, form):
    text = _FORMS[form].encode()
    half = len(text) - 2

    async def use(stream, connections):
        connections.is_shutting_down = context.is_shutting_down
        await stream.send_all(text[:half])
        # A new connection counts as busy for a second in any case.
        await trio.sleep(1.2)
        context.was_busy = connections.is_busy()
        await stream.send_all(text[half:])
        await read_all(context, stream)
        await trio.sleep(0.1)
        context.is_still_busy = connections.is_busy()

    trio.run(run_shutting_down, context, use)


@behave.then("the entry counts as busy")
def check_busy(context):
    assert context.was_busy


@behave.then("it is no longer busy once the caller has its answer")
def check_no_longer_busy(context):
    assert context.data.startswith(b"HTTP/1.1 200 "), context.data
    assert not context.is_still_busy


@behave.when("the time for writing ends {wait_ms:d} ms after the request")
def end_writing(context, wait_ms):
    async def use(stream, connections):
        connections.write_deadline = trio.current_time() + wait_ms / 1000
        await stream.send_all(_FORMS["plain request"].encode())
        # Shorter than the write timeout, which ends the write in any case.
        with trio.move_on_after(3):
            while not context.is_gone:
                await trio.sleep(0.01)
        context.was_told = context.is_gone

    trio.run(run_shutting_down, context, use)


@behave.then("the handler learns that its caller is gone")
def check_gone(context):
    assert context.was_told

"""Steps for bodies of answers, as their readers see them."""

import functools

import behave
import httpx
import scripted_target
import trio
import trio.testing

from gentianpoint_core import answer_bodies
from gentianpoint_core import connection_pools
from gentianpoint_core import http_engine
from gentianpoint_core import http_log
from gentianpoint_core import http_plain_service
from gentianpoint_core import ports
from gentianpoint_core.decisions import answer_ends

SILENCE_MS = 5000
CONNECT_MS = 2000


@behave.given('a sender that answers "{script}" and then {then}')
def make_sender(context, script, then):
    context.script = script
    context.ends = then == "ends"


async def read_by_pool(address, sent=b""):
    pool = connection_pools.ConnectionPool(address, CONNECT_MS)
    request = connection_pools.ExchangeRequest(
        b"POST" if sent else b"GET", b"/", ((b"Host", b"a"),), sent
    )

    def is_answer(exchange):
        return exchange.find_header(b"x-request") == b"1"

    try:
        async with pool.exchange(request, is_answer) as exchange:
            return await exchange.receive_whole_body()
    finally:
        pool.close()


async def read_by_plain_service(address, sent=b""):
    pool = connection_pools.ConnectionPool(address, CONNECT_MS)
    async with httpx.AsyncClient(trust_env=False) as client:
        service = http_plain_service.HttpPlainService(
            f"http://{address}", client, SILENCE_MS, pool.check_listening
        )
        try:
            method = "POST" if sent else "GET"
            async with service.send_call(method, "/", [], sent) as answer:
                return b"".join([chunk async for chunk in answer.chunks])
        finally:
            pool.close()


async def append_to_log(address, sent=b"record"):
    async with httpx.AsyncClient(trust_env=False) as client:
        log = http_log.HttpLog(f"http://{address}", client)
        return await log.append_record("stream", sent)


def run_reader(context, read):
    context.body = context.error = None
    target = scripted_target.ScriptedTarget()
    # The connections that ask whether it listens get no answer.
    target.scripts = [[context.script], ["nothing"], ["nothing"]]

    async def run():
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        port = listener.socket.getsockname()[1]

        async def serve(stream):
            if context.ends:
                listener.socket.close()
            await target.serve(stream)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_until_closed, serve, listener)
            try:
                context.body = await read(f"127.0.0.1:{port}")
            except ports.PortError as error:
                context.error = error
            nursery.cancel_scope.cancel()

    trio.run(run)


async def serve_until_closed(serve, listener):
    async with trio.open_nursery() as nursery:
        while True:
            try:
                stream = await listener.accept()
            except trio.ClosedResourceError:
                return
            nursery.start_soon(serve, stream)


@behave.when("the connection pool reads the body")
def read_pool(context):
    run_reader(context, read_by_pool)


async def read_by_pool_until_closed(address):
    pool = connection_pools.ConnectionPool(address, CONNECT_MS)
    request = connection_pools.ExchangeRequest(
        b"GET", b"/", ((b"Host", b"a"),), b""
    )
    failures = []

    async def read(exchange):
        try:
            await exchange.receive_whole_body()
        except ports.PortError as error:
            failures.append(error)

    async with (
        trio.open_nursery() as nursery,
        pool.exchange(request, connection_pools.accept_next) as exchange,
    ):
        nursery.start_soon(read, exchange)
        await trio.testing.wait_all_tasks_blocked(0.05)
    raise failures[0]


PAUSE_S = 0.4


async def read_by_pool_slowly(address):
    pool = connection_pools.ConnectionPool(address, CONNECT_MS)
    request = connection_pools.ExchangeRequest(
        b"GET", b"/", ((b"Host", b"a"),), b""
    )
    try:
        async with pool.exchange(
            request, connection_pools.accept_next
        ) as exchange:
            chunks = answer_bodies.receive_complete(
                exchange.receive_body(),
                is_delimited=exchange.is_delimited,
                ask_sender=pool.check_sender,
                peer=address,
            )
            return await read_slowly(chunks)
    finally:
        pool.close()


async def read_by_plain_service_slowly(address):
    pool = connection_pools.ConnectionPool(address, CONNECT_MS)
    async with httpx.AsyncClient(trust_env=False) as client:
        service = http_plain_service.HttpPlainService(
            f"http://{address}", client, SILENCE_MS, pool.check_listening
        )
        try:
            async with service.send_call("GET", "/", [], b"") as answer:
                return await read_slowly(answer.chunks)
        finally:
            pool.close()


async def read_slowly(chunks):
    body = b""
    async for chunk in chunks:
        body += chunk
        await trio.sleep(PAUSE_S)
    return body


@behave.when("the connection pool reads the body, and pauses for 0.4 s")
def read_pool_slowly(context):
    run_reader(context, read_by_pool_slowly)


@behave.when(
    "the adapter of plain services reads the body, and pauses for 0.4 s"
)
def read_plain_slowly(context):
    run_reader(context, read_by_plain_service_slowly)


@behave.when(
    "the connection pool reads the body, and another task ends the exchange"
)
def read_until_closed(context):
    run_reader(context, read_by_pool_until_closed)


LONG_REQUEST = bytes(8 << 20)


@behave.when("the connection pool sends a long request and reads the body")
def read_pool_long(context):
    run_reader(context, functools.partial(read_by_pool, sent=LONG_REQUEST))


@behave.when(
    "the adapter of plain services sends a long request and reads the body"
)
def read_plain_long(context):
    run_reader(
        context, functools.partial(read_by_plain_service, sent=LONG_REQUEST)
    )


@behave.when("the adapter of the log appends a long record")
def append_long(context):
    run_reader(context, functools.partial(append_to_log, sent=LONG_REQUEST))


async def start_stream(address):
    async with httpx.AsyncClient(trust_env=False) as client:
        engine = http_engine.HttpEngine(
            f"http://{address}", client, SILENCE_MS
        )
        prompt = "a" * len(LONG_REQUEST)
        request = ports.StreamRequest("a", prompt, 10, 0, "", "", "")
        async with engine.start_stream(request) as events:
            return [event async for event in events]


@behave.when("the adapter of engines starts a stream with a long prompt")
def start_long_stream(context):
    run_reader(context, start_stream)


@behave.then("no event ends the stream")
def check_no_end(context):
    assert context.error is None, context.error
    assert not any(event.end for event in context.body), context.body


@behave.when("the adapter of plain services reads the body")
def read_plain(context):
    run_reader(context, read_by_plain_service)


@behave.when("the adapter of the log appends a record")
def append(context):
    run_reader(context, append_to_log)


@behave.then("the body is {outcome}")
def check_body(context, outcome):
    if outcome == "whole":
        assert context.error is None, context.error
        assert context.body == b"body of 1", context.body
        return
    assert context.error is not None, context.body
    assert context.error.took_effect


FINDINGS = {
    "the sender goes on": answer_ends.Sender.GOES_ON,
    "some process listens": answer_ends.Sender.LISTENS,
    "the sender has ended": answer_ends.Sender.ENDED,
}


@behave.given("a process with a connection that was opened {when} an answer")
def open_connection(context, when):
    context.is_older = when == "before"


@behave.when("nothing happens")
def leave(context):
    context.ends = context.is_succeeded = False


@behave.when("it ends")
def end(context):
    context.ends, context.is_succeeded = True, False


@behave.when("it ends, and another one listens at its address")
def replace(context):
    context.ends = context.is_succeeded = True


@behave.then("the connection pool finds that {finding}")
def check_sender(context, finding):
    async def run():
        first = await make_listener(0)
        port = first.socket.getsockname()[1]
        pool = connection_pools.ConnectionPool(f"127.0.0.1:{port}", CONNECT_MS)
        assert await pool.check_listening()
        accepted = await first.accept()
        offset_s = 1.0 if context.is_older else -1.0
        alive_at = trio.current_time() + offset_s
        if context.ends:
            await accepted.aclose()
            await first.aclose()
        second = await make_listener(port) if context.is_succeeded else None
        await trio.sleep(0.05)
        found = await pool.check_sender(alive_at)
        pool.close()
        if second is not None:
            await second.aclose()
        assert found is FINDINGS[finding], found

    trio.run(run)


async def make_listener(port):
    return (await trio.open_tcp_listeners(port, host="127.0.0.1"))[0]

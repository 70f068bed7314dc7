"""Steps for answers without an end, over loopback sockets."""

import behave
import endless_target
import httpx
import trio

from gentianpoint_core import connection_pools
from gentianpoint_core import http_clients
from gentianpoint_core import http_engine
from gentianpoint_core import http_log
from gentianpoint_core import ports

_TIMEOUT_S = 20
_SILENCE_MS = 2000


@behave.given("a target that sends {words} without an end")
def make_target(context, words):
    context.target = endless_target.EndlessTarget(words)


def run_calls(context, *calls):
    """Make calls one after the other, each given the target's address."""
    context.errors = []

    async def run():
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                trio.serve_listeners, context.target.serve, [listener]
            )
            for call in calls:
                error = None
                with trio.fail_after(_TIMEOUT_S):
                    try:
                        await call(address)
                    except ports.PortError as caught:
                        error = caught
                context.errors.append(error)
            with trio.fail_after(_TIMEOUT_S):
                await context.target.was_closed.wait()
            nursery.cancel_scope.cancel()

    trio.run(run)


async def exchange(address):
    request = connection_pools.ExchangeRequest(
        b"GET", b"/", ((b"Host", b"a"),), b""
    )

    def is_answer(exchange):
        return exchange.find_header(b"x-request") == b"1"

    pool = connection_pools.ConnectionPool(address, 2000)
    async with pool.exchange(request, is_answer) as answer:
        await answer.receive_whole_body()


def make_client(address):
    return http_clients.make_client([f"http://{address}"], httpx.Limits())


async def read_load(address):
    async with make_client(address) as client:
        engine = http_engine.HttpEngine(
            f"http://{address}", client, _SILENCE_MS
        )
        await engine.read_load()


async def read_stream(address):
    request = ports.StreamRequest(
        **{name: "" for name in ports.StreamRequest._fields}
    )
    async with make_client(address) as client:
        engine = http_engine.HttpEngine(
            f"http://{address}", client, _SILENCE_MS
        )
        async with engine.start_stream(request) as events:
            async for _ in events:
                pass


async def read_log(address):
    async with make_client(address) as client:
        log = http_log.HttpLog(f"http://{address}", client)
        await log.read_records("stream", 0, 10, 0)


@behave.when("a request is sent to it, and then another one")
def send_two(context):
    run_calls(context, exchange, exchange)


@behave.when("an engine's {call} is called there, and its load is read then")
def call_engine(context, call):
    calls = {"load": read_load, "stream": read_stream}

    async def read_again(address):
        # The answer is a good one, if no report.
        async with make_client(address) as client:
            answer = await client.get(f"http://{address}/load")
        assert answer.status_code == 200

    run_calls(context, calls[call], read_again)


@behave.when("the log is read there, and then once more")
def read_log_twice(context):
    run_calls(context, read_log, read_log)


@behave.then("the first one fails, and the second one is answered")
def check_both(context):
    assert context.errors[0] is not None
    assert context.errors[1] is None, context.errors[1]


@behave.then("the first one fails")
def check_first(context):
    assert context.errors[0] is not None


@behave.then("the target could send at most {mib:d} MiB until it was closed")
def check_bytes(context, mib):
    assert context.target.sent_bytes <= mib << 20, context.target.sent_bytes

"""Steps for exchanges on kept connections."""

import behave
import scripted_target
import trio

from gentianpoint_core import connection_pools
from gentianpoint_core import ports


@behave.given("a target that on its first connection sends: {words}")
def make_target(context, words):
    context.target = scripted_target.ScriptedTarget()
    context.target.scripts.append([part.strip() for part in words.split(",")])


@behave.given("that on its second connection sends: {words}")
def extend_target(context, words):
    context.target.scripts.append([words])


@behave.given("an address where nobody listens")
def make_nobody(context):
    context.target = None


async def send(pool, number):
    request = connection_pools.ExchangeRequest(
        b"GET", b"/", ((b"Host", b"a"),), b""
    )
    wanted = str(number).encode()

    def is_answer(exchange):
        return exchange.find_header(b"x-request") == wanted

    async with pool.exchange(request, is_answer) as exchange:
        return b"".join([part async for part in exchange.receive_body()])


def run_requests(context, numbers):
    context.bodies = []
    context.error = None

    async def run():
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        port = listener.socket.getsockname()[1]
        pool = connection_pools.ConnectionPool(f"127.0.0.1:{port}", 2000)
        async with trio.open_nursery() as nursery:
            if context.target is None:
                listener.socket.close()
            else:
                nursery.start_soon(
                    trio.serve_listeners, context.target.serve, [listener]
                )
            for number in numbers:
                try:
                    context.bodies.append(await send(pool, number))
                except ports.PortError as error:
                    context.error = error
                await wait_unasked(context)
            pool.close()
            nursery.cancel_scope.cancel()

    trio.run(run)


async def wait_unasked(context):
    """Wait until the target has done what it does unasked."""
    target = context.target
    while target is not None and not target.is_waiting:
        await trio.sleep(0.01)


@behave.when("requests 1 and 2 are sent")
def send_two(context):
    run_requests(context, (1, 2))


@behave.when("request 1 is sent")
def send_one(context):
    run_requests(context, (1,))


@behave.then("the answers are of requests 1 and 2")
def check_answers(context):
    assert context.bodies == [b"body of 1", b"body of 2"], context.bodies


@behave.then("there were {count:d} connections")
def check_connections(context, count):
    assert context.target.connections == count, context.target.connections


@behave.then("it fails, and may have run")
def check_unknown(context):
    assert context.error is not None
    assert context.error.took_effect


@behave.then("it fails, and has surely not run")
def check_not_run(context):
    assert context.error is not None
    assert not context.error.took_effect

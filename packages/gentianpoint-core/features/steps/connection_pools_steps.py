"""Steps for requests on pooled connections."""

import behave
import scripted_target
import trio

from gentianpoint_core import connection_pools
from gentianpoint_core import ports


@behave.given("a target that on its first connection sends: {script}")
def make_target(context, script):
    context.target = scripted_target.ScriptedTarget()
    context.target.scripts.append([part.strip() for part in script.split(",")])


@behave.given("that on its second connection sends: {script}")
def add_script(context, script):
    context.target.scripts.append([script])


@behave.given("an address without a listener")
def omit_target(context):
    context.target = None


_PLAIN = connection_pools.ExchangeRequest(
    b"GET", b"/", ((b"Host", b"a"),), b""
)


async def send(pool, number, parts, request, *, is_identified=True):
    expected = str(number).encode()

    def is_answer(exchange):
        return exchange.find_header(b"x-request") == expected

    options = (is_answer,) if is_identified else ()
    async with pool.exchange(request, *options) as exchange:
        parts[:] = [part async for part in exchange.receive_body()]
        return b"".join(parts)


def run_requests(context, numbers, request=_PLAIN, unidentified=()):
    context.bodies = []
    context.parts = []
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
                    context.bodies.append(
                        await send(
                            pool,
                            number,
                            context.parts,
                            request,
                            is_identified=number not in unidentified,
                        )
                    )
                except ports.PortError as error:
                    context.error = error
                await wait_for_target(context)
            pool.close()
            nursery.cancel_scope.cancel()

    trio.run(run)


async def wait_for_target(context):
    """Wait until the target has sent everything unrequested."""
    target = context.target
    while target is not None and not target.is_waiting:
        await trio.sleep(0.01)


@behave.when("request 1 is sent with a body of {size:d} MiB")
def send_long(context, size):
    body = bytes(size << 20)
    run_requests(context, (1,), _PLAIN._replace(method=b"POST", body=body))


@behave.when("request 1 is sent with a line end in a header")
def send_line_end(context):
    headers = (*_PLAIN.headers, (b"X", b"a\r\nY: b"))
    context.target.is_waiting = True
    run_requests(context, (1,), _PLAIN._replace(headers=headers))


@behave.then("its body came whole")
def check_whole(context):
    assert context.bodies == [b"body of 1"], (context.bodies, context.error)


@behave.when("requests 1 and 2 are sent")
def send_two(context):
    run_requests(context, (1, 2))


@behave.when(
    "request 1 is sent, and 2 as a call that its response can't identify"
)
def send_unidentified(context):
    run_requests(context, (1, 2), unidentified=(2,))


@behave.when("request 1 is sent")
def send_one(context):
    run_requests(context, (1,))


@behave.then("the responses belong to requests 1 and 2")
def check_responses(context):
    assert context.bodies == [b"body of 1", b"body of 2"], context.bodies


@behave.then("{count:d} connections were opened")
def check_connections(context, count):
    assert context.target.connections == count, context.target.connections


@behave.then("it fails and may have run")
def check_unknown(context):
    assert context.error is not None
    assert context.error.took_effect


@behave.then("the target {did} the connection")
def check_disconnected(context, did):
    assert context.error.disconnected == (did == "closed")


@behave.then("it fails and certainly has not run")
def check_not_run(context):
    assert context.error is not None
    assert not context.error.took_effect


@behave.then("its body came whole, in {count:d} part")
def check_parts(context, count):
    assert context.bodies == [b"body of 1"], context.bodies
    assert len(context.parts) == count, context.parts

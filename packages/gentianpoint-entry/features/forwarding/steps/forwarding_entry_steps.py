"""Steps for an entry that is told to stop, over loopback sockets."""

import signal

import behave
import forwarding_builders
import trio

from gentianpoint_core import option_types
from gentianpoint_entry.forwarding import entry_server
from gentianpoint_entry.forwarding import forwarding_entry
from gentianpoint_entry.forwarding import request_handling
from gentianpoint_entry.forwarding import routes
from gentianpoint_standins import addresses

_LIMITS = routes.CallerLimits(
    header_bytes=4096, body_bytes=1000, header_ms=2000, idle_ms=2000
)
_REQUEST = b"GET /a/b HTTP/1.1\r\nHost: host.example\r\n\r\n"


@behave.given("a {kind} at an entry that stops within {stop_ms:d} ms")
def make_entry(context, kind, stop_ms):
    is_plain = kind == "plain call"
    route_kind = routes.RouteKind.ONCE if is_plain else routes.RouteKind.STREAM
    context.route = forwarding_builders.make_route(route_kind)
    context.calls = forwarding_builders.ScriptedCalls()
    context.stop_s = stop_ms / 1000


@behave.when("the entry is told to stop while the request is served")
def stop_entry(context):
    context.more_signals = []
    run_to_end(context)


@behave.when("the entry is told to stop, and gets {name} while it shuts down")
def stop_twice(context, name):
    context.more_signals = [signal.Signals[name]]
    run_to_end(context)


def run_to_end(context):
    context.unhandled = []
    before = {
        number: signal.signal(number, record_signal(context))
        for number in (signal.SIGTERM, signal.SIGHUP)
    }
    try:
        trio.run(run_entry, context)
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


def record_signal(context):
    # On closing, a receiver raises again the signals that it still holds.
    return lambda number, frame: context.unhandled.append(number)


@behave.then("the entry has shut down gracefully")
def check_graceful(context):
    assert not context.unhandled, context.unhandled


async def run_entry(context):
    shared = forwarding_builders.make_forwarder(["a"], context.calls)
    handling = request_handling.RequestHandler(
        shared,
        forwarding_builders.send_refusal,
        lambda: server.stops_at,
    )

    async def handle(raw, answer):
        request = forwarding_builders.make_request(context.route, None)
        await handling.serve(request, answer)

    server = entry_server.EntryServer(
        handle, lambda: _LIMITS, lambda: True, context.stop_s
    )
    callers = addresses.reserve_address()
    listen_addresses = entry_server.ListenAddresses(
        callers, addresses.reserve_address(), addresses.reserve_address()
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            forwarding_entry.run_entry,
            server,
            listen_addresses,
            (),
            (),
            lambda: None,
            lambda: None,
            handling.give_up_unanswered,
        )
        stream = await connect(callers)
        await stream.send_all(_REQUEST)
        while not context.calls.open:
            await trio.sleep(0.01)
        signal.raise_signal(signal.SIGTERM)
        for number in context.more_signals:
            while server.stops_at is None:
                await trio.sleep(0.01)
            signal.raise_signal(number)
        context.data = await read_all(stream)


async def connect(address):
    host, port = option_types.split_address(address)
    while True:
        try:
            return await trio.open_tcp_stream(host, port)
        except OSError:
            await trio.sleep(0.01)


async def read_all(stream):
    data = b""
    try:
        while chunk := await stream.receive_some(65536):
            data += chunk
    except trio.BrokenResourceError:
        data += b" then a reset"
    return data


@behave.then("the caller reads an answer with status {status:d}")
def check_answer(context, status):
    assert context.data.startswith(b"HTTP/1.1 %d " % status), context.data
    assert not context.data.endswith(b"reset"), context.data

"""Steps for the end of a target, as its agent finds it."""

import socket
import struct

import behave
import trio
import trio.testing
import watch_builders

from gentianpoint_agent import target_watch


@behave.given("a target whose address {does}")
def make_address(context, does):
    context.does = does


async def reset(stream):
    stream.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    stream.socket.close()


async def keep(stream):
    await trio.sleep_forever()


@behave.when("a run at it breaks off")
def find_end(context):
    async def run():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        watch = target_watch.TcpTargetWatch(
            "target", f"http://127.0.0.1:{port}"
        )
        handler = keep if context.does == "takes connections" else reset
        async with trio.open_nursery() as nursery:
            if context.does == "refuses connections":
                listeners[0].socket.close()
            else:
                nursery.start_soon(trio.serve_listeners, handler, listeners)
            context.end = await watch.find_end()
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then("its end is {found}")
def check_found(context, found):
    assert bool(context.end) == (found == "found"), context.end


@behave.given("a target that ends, and ends again {seconds:d} seconds later")
def make_ending(context, seconds):
    context.seconds = seconds


@behave.when("{count:d} runs break off each time")
def break_off(context, count):
    async def run():
        watch = watch_builders.SteadyTarget("target")
        watch.has_ended = True
        ends = set()
        for _ in range(2):
            for _ in range(count):
                ends.add(await watch.find_end())
                await trio.sleep(0.1)
            await trio.sleep(context.seconds)
        return ends

    clock = trio.testing.MockClock(autojump_threshold=0)
    context.ends = trio.run(run, clock=clock)


@behave.then("they name {count:d} ends")
def check_ends(context, count):
    assert len(context.ends) == count, context.ends
    assert all(context.ends)

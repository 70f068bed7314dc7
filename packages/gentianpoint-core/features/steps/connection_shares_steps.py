"""Steps for idle connections to targets."""

import behave
import trio

from gentianpoint_core import connection_pools
from gentianpoint_core.decisions import connection_shares

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@behave.given("{count:d} entries that share the connections to a target")
def make_shares(context, count):
    names = [
        f"10.0.{number // 200}.{number % 200}:80" for number in range(count)
    ]
    members = frozenset(names)
    context.shares = [
        connection_shares.ConnectionShares(name, lambda: members)
        for name in names
    ]


@behave.when(
    "it accepts {limit:d} connections and runs {slots:d} requests at once"
)
def find_most(context, limit, slots):
    context.kept = [
        item.find_most_idle("target", limit, slots) for item in context.shares
    ]


@behave.then("all of them keep at most {most:d} idle connections together")
def check_sum(context, most):
    assert sum(context.kept) == most, sum(context.kept)


@behave.then("between {low:d} and {high:d} are kept by each of them")
def check_each(context, low, high):
    assert low <= min(context.kept) and max(context.kept) <= high


class _Target:
    """Answers each request once as many as expected have come."""

    def __init__(self):
        self.expected = 3
        self.opened = 0
        self.came = 0
        self.all_came = trio.Event()

    async def serve(self, stream):
        self.opened += 1
        data = b""
        while True:
            try:
                part = await stream.receive_some(4096)
            except trio.BrokenResourceError:
                return
            if not part:
                return
            data += part
            if b"\r\n\r\n" not in data:
                continue
            data = b""
            self.came += 1
            if self.came >= self.expected:
                self.all_came.set()
            await self.all_came.wait()
            await stream.send_all(_ANSWER)


@behave.when(
    "3 requests use a pool at once that may keep 1 connection, and 3 more"
    " follow"
)
def use_pool(context):
    context.target = _Target()
    context.opened = []

    async def ask(pool):
        request = connection_pools.ExchangeRequest(
            b"GET", b"/", ((b"Host", b"a"),), b""
        )
        async with pool.exchange(
            request, connection_pools.accept_next
        ) as exchange:
            async for _ in exchange.receive_body():
                pass

    async def run():
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        port = listener.socket.getsockname()[1]
        pool = connection_pools.ConnectionPool(
            f"127.0.0.1:{port}", 2000, find_most_idle=lambda: 1
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                trio.serve_listeners, context.target.serve, [listener]
            )
            async with trio.open_nursery() as callers:
                for _ in range(3):
                    callers.start_soon(ask, pool)
            context.opened.append(context.target.opened)
            for _ in range(3):
                await ask(pool)
            context.opened.append(context.target.opened)
            pool.close()
            nursery.cancel_scope.cancel()

    trio.run(run)


@behave.then("3 connections were opened and 1 of them is used again")
def check_opened(context):
    assert context.opened == [3, 3], context.opened

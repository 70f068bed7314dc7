"""One process of engines, for streams that a single process can't write.

Started by :mod:`bench.few_entries` as ``python -m bench.engine_process PLAN``;
the plan is a JSON file. It ends when its standard input is closed.
"""

from collections import abc
import json
import pathlib
import random
import struct
import sys
import typing

import trio

from bench.soak import facts as seen
from bench.soak import http_serving
from bench.soak import platform_log
from bench.soak import platform_targets
from gentianpoint_core import connection_pools
from gentianpoint_core import ports

__all__ = ("EnginePlan", "main")

_CONNECT_MS: typing.Final = 1000.0


class EnginePlan(typing.TypedDict):
    """Which engines a process serves."""

    seed: int
    """Seed of what they draw."""
    log: str
    """IP:PORT of the log."""
    event_bytes: int
    """Length of an event."""
    places: list[list[typing.Any]]
    """Fields of each engine's :class:`platform_targets.TargetPlace`."""


class _RemoteLog(platform_log.PlatformLog):
    """The log in another process, to which engines only append."""

    def __init__(self, address: str, source: random.Random) -> None:
        super().__init__(source)
        self._connections: typing.Final = connection_pools.ConnectionPool(
            address, _CONNECT_MS
        )

    async def append(
        self,
        topic: str,
        key: str,
        fields: typing.Optional[abc.Mapping[str, typing.Any]],
    ) -> float:
        """Append a record; return when that was done."""
        value = b"" if fields is None else json.dumps(fields).encode()
        content = bytes([len(key)]) + key.encode() + value
        request = connection_pools.ExchangeRequest(
            b"POST",
            f"/api/log-append?topic={topic}&part=0".encode(),
            [(b"Host", b"log")],
            struct.pack(">I", len(content)) + content,
        )
        try:
            async with self._connections.exchange(request) as exchange:
                await exchange.receive_whole_body()
        except ports.PortError as error:
            # The next heartbeat writes the entry again.
            print(f"heartbeat of {key} failed: {error}", file=sys.stderr)
        return trio.current_time()


async def _serve(plan: EnginePlan) -> None:
    source = random.Random(plan["seed"])
    log = _RemoteLog(plan["log"], source)
    facts = seen.Facts()
    async with trio.open_nursery() as nursery:
        for fields in plan["places"]:
            place = platform_targets.TargetPlace(*fields)
            target = platform_targets.Target(place, log, facts, source)
            target.event_bytes = plan["event_bytes"]
            target.undelimited_share = 0.0
            await http_serving.open_server(nursery, place.own, target.serve)
            nursery.start_soon(target.run)
        await trio.to_thread.run_sync(sys.stdin.read, abandon_on_cancel=True)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Serve the engines of the plan that the first argument names."""
    trio.run(_serve, json.loads(pathlib.Path(sys.argv[1]).read_text()))


if __name__ == "__main__":
    main()

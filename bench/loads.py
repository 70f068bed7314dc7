"""A load of callers on an entry, and what entry and agents use for it."""

from collections import abc
import re
import time
import typing

import trio

from bench import deployments
from bench import measures
from gentianpoint_standins import processes

__all__ = (
    "Delays",
    "Load",
    "PathBench",
    "Used",
    "find_quantile",
    "put_load",
)

_IDLE_S: typing.Final = 3.0
_TEXT: typing.Final = re.compile(rb'"text":" (\d+)"')
_END: typing.Final = b"0\r\n\r\n"


class Delays(typing.NamedTuple):
    """What callers saw, milliseconds."""

    first: list[float]
    """From the request to the first token."""
    added: list[float]
    """From the engine's making of a token to its arrival."""


def _make_request(tokens: int) -> bytes:
    body = (
        f'{{"model":"{deployments.SERVICE}","stream":true,'
        f'"prompt":"tokens:{tokens}"}}'
    ).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
        f"Authorization: Bearer {deployments.CUSTOMER_KEY}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def _read_answer(stream: trio.SocketStream, delays: Delays) -> None:
    started = time.monotonic()
    is_first = True
    tail = b""
    while not tail.endswith(_END):
        data = await stream.receive_some(65536)
        now = time.monotonic()
        if not data:
            raise EOFError("the entry closed the connection")
        for text in _TEXT.findall(data):
            if is_first:
                delays.first.append((now - started) * 1000)
            else:
                delays.added.append(now * 1000 - int(text) / 1000)
            is_first = False
        tail = (tail + data)[-len(_END) :]


class Load(typing.NamedTuple):
    """Requests that callers make, each one after the other."""

    callers: int
    """Callers at the same time."""
    requests: int
    """Requests of all callers."""
    tokens: int
    """Tokens of each answer."""


async def _call(address: str, load: Load, delays: Delays) -> None:
    host, _, port = address.rpartition(":")
    request = _make_request(load.tokens)
    stream = await trio.open_tcp_stream(host, int(port))
    async with stream:
        for _ in range(load.requests // load.callers):
            await stream.send_all(request)
            await _read_answer(stream, delays)


async def put_load(address: str, load: Load) -> Delays:
    """Make the requests of a load and return what callers saw."""
    delays = Delays([], [])
    async with trio.open_nursery() as nursery:
        for _ in range(load.callers):
            nursery.start_soon(_call, address, load, delays)
    return delays


class Used(typing.NamedTuple):
    """What a load cost, in processor seconds beyond idling."""

    entry_s: float
    """Processor time of the entry."""
    agents_s: float
    """Processor time of all agents together."""


class PathBench:
    """An entry, its agents and what they use when idle."""

    def __init__(
        self,
        entry: processes.ProcessHandle,
        agents: abc.Sequence[processes.ProcessHandle],
    ) -> None:
        """Measure what the processes use when idle."""
        self._address: typing.Final = entry.address
        self._pids: typing.Final = (entry.pid, *(row.pid for row in agents))
        idle = deployments.measure_usage(self._pids, _IDLE_S)
        self._idle: typing.Final = [row.cpu_s / row.wall_s for row in idle]

    def run(self, load: Load) -> tuple[Used, Delays]:
        """Return the cost of a load and the delays of its callers."""
        before = [measures.read_cpu_s(pid) for pid in self._pids]
        started = time.monotonic()
        delays = trio.run(put_load, self._address, load)
        took = time.monotonic() - started
        used = [
            measures.read_cpu_s(pid) - cpu - idle * took
            for pid, cpu, idle in zip(
                self._pids, before, self._idle, strict=True
            )
        ]
        return Used(used[0], sum(used[1:])), delays


def find_quantile(values: abc.Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

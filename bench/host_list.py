"""Cost of one reading of the host list against its length."""

import gzip
import hashlib
import time
import typing

import httpx
import msgspec
import trio

from bench import measures
from bench import memory_gains
from gentianpoint_core import http_host_list
from gentianpoint_core import ports
from gentianpoint_entry import link_pool

__all__ = ("measure",)

_HOSTS: typing.Final = (100, 500, 1000, 3080)
_REPEATS: typing.Final = 5
_SERVICES: typing.Final = 11
_DATA_CENTRES: typing.Final = 16
_AGENTS_IN_TEN: typing.Final = 9
_LINKS: typing.Final = 8
_MICROSECONDS: typing.Final = 1e6


def _scramble(number: int) -> str:
    """Return a name that compresses as badly as names of real hosts."""
    return hashlib.sha256(str(number).encode()).hexdigest()[:6]


def make_hosts(count: int) -> list[ports.Host]:
    """Return hosts with names and addresses of the usual length."""
    hosts = []
    for number in range(count):
        is_agent = number % 10 < _AGENTS_IN_TEN
        hosts.append(
            ports.Host(
                f"host-{_scramble(number)}",
                "agent" if is_agent else "entry",
                f"modelo-{number % _SERVICES}" if is_agent else "",
                f"modelo-{_scramble(-number)}" if is_agent else "",
                f"10.{number * 7 % 256}.{number * 31 % 251}.17:8090",
                f"zona-norte-{number % _DATA_CENTRES}",
                "live",
            )
        )
    return hosts


def _time_reading(body: bytes) -> list[float]:
    """Return microseconds to decode a list and choose, repeated."""

    def answer(request: httpx.Request) -> httpx.Response:
        return httpx.Response(200, content=body)

    async def read() -> float:
        transport = httpx.MockTransport(answer)
        async with httpx.AsyncClient(transport=transport) as client:
            hosts = http_host_list.HttpHostList("http://hosts", client)
            began = time.process_time()
            found = await hosts.read_hosts()
            link_pool.choose_hosts(found, "entry-1", "zona-norte-1", _LINKS)
            return (time.process_time() - began) * _MICROSECONDS

    trio.run(read)
    return [trio.run(read) for _ in range(_REPEATS)]


def _measure_memory(count: int) -> int:
    return memory_gains.measure_gain(make_hosts, count)


def measure() -> list[measures.Series]:
    """Return the series of this program."""
    bodies = [
        msgspec.json.encode(
            {"hosts": [host._asdict() for host in make_hosts(count)]}
        )
        for count in _HOSTS
    ]
    return [
        measures.Series(
            "hosts.bytes",
            "bytes",
            "host",
            _HOSTS,
            [[len(body)] for body in bodies],
        ),
        measures.Series(
            "hosts.gzip_bytes",
            "bytes",
            "host",
            _HOSTS,
            [[len(gzip.compress(body))] for body in bodies],
        ),
        measures.Series(
            "hosts.cpu",
            "us",
            "host",
            _HOSTS,
            [_time_reading(body) for body in bodies],
        ),
        measures.Series(
            "hosts.memory",
            "bytes",
            "host",
            _HOSTS,
            [[_measure_memory(count)] for count in _HOSTS],
        ),
    ]


if __name__ == "__main__":
    measures.write_series(measure())

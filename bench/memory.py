"""Memory of processes: at rest, for each stream, for each buffered token.

Memory at rest is split into what the interpreter and the libraries take when
they are imported and what the process adds before it has a peer.
"""

from collections import abc
import subprocess
import sys
import time
import typing

import trio

from bench import deployments
from bench import loads
from bench import measures
from bench import memory_gains
from gentianpoint_agent import generations
from gentianpoint_standins import processes

__all__ = ("keep_generations", "measure")

_STREAMS: typing.Final = (32, 96, 192)
_BUFFERED: typing.Final = (20_000, 100_000, 400_000)
_GENERATION_TOKENS: typing.Final = 200
_REPEATS: typing.Final = 3
_STEP_MS: typing.Final = 500
_TOKENS: typing.Final = 20
_READ_AFTER_S: typing.Final = 5.0
_IMPORT: typing.Final = (
    "{}\nimport pathlib, resource\n"
    "pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])\n"
    "print(pages * resource.getpagesize())"
)
_IMPORTS: typing.Final = {
    "interpreter": "",
    "entry": "import gentianpoint_entry.entry",
    "agent": "import gentianpoint_agent.agent",
}


def _measure_imports() -> list[measures.Series]:
    series = []
    for name, statement in _IMPORTS.items():
        values = [
            float(
                subprocess.check_output(
                    [sys.executable, "-c", _IMPORT.format(statement)]
                )
            )
            for _ in range(_REPEATS)
        ]
        series.append(
            measures.make_figure(f"memory.{name}_imports", "bytes", values)
        )
    return series


def keep_generations(tokens: int) -> list[generations.Generation]:
    """Return ended answers that together have so many tokens."""
    kept = []
    for number in range(tokens // _GENERATION_TOKENS):
        generation = generations.Generation(
            f"modelo-taller-0123-0a1b2c3d4e5f-{number}", "banco", False, True
        )
        for place in range(_GENERATION_TOKENS):
            generation.add_text(f" pal{place}")
        kept.append(generation)
    return kept


def _measure_buffered() -> measures.Series:
    return measures.Series(
        "memory.buffered_token",
        "bytes",
        "token",
        _BUFFERED,
        [
            [memory_gains.measure_gain(keep_generations, count)]
            for count in _BUFFERED
        ],
    )


async def _read_under_load(
    handles: abc.Sequence[processes.ProcessHandle], address: str, count: int
) -> list[float]:
    found: list[float] = []

    async def read() -> None:
        await trio.sleep(_READ_AFTER_S)
        found.extend(measures.read_memory(row.pid) for row in handles)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read)
        await loads.put_load(address, loads.Load(count, count, _TOKENS))
    return found


def _measure_streams() -> list[measures.Series]:
    with (
        deployments.open_stub_engine(_STEP_MS) as engine,
        deployments.open_deployment() as deployment,
    ):
        entry = deployment.start_entry(
            "entry-1", deployments.DATA_CENTRE, log_level="warning"
        )
        agent = deployments.start_agent(deployment, "agent-1", engine)
        time.sleep(1)
        handles = (entry, agent)
        at_rest = [float(measures.read_memory(row.pid)) for row in handles]
        deployments.declare_service(deployment)
        deployments.wait_until_served(entry)
        rows = [
            trio.run(_read_under_load, handles, entry.address, count)
            for count in _STREAMS
        ]
    series = []
    for place, role in enumerate(("entry", "agent")):
        series += [
            measures.make_figure(
                f"memory.{role}_at_rest", "bytes", [at_rest[place]]
            ),
            measures.Series(
                f"memory.{role}_stream",
                "bytes",
                "stream",
                _STREAMS,
                [[row[place]] for row in rows],
            ),
        ]
    return series


def measure() -> list[measures.Series]:
    """Return the series of this program."""
    return [
        *_measure_imports(),
        _measure_buffered(),
        *_measure_streams(),
    ]


if __name__ == "__main__":
    measures.write_series(measure())

"""What a process costs until it is ready, and what it holds then.

The two binaries are started with their defaults. Processor time is read at
the moment at which a process serves; memory a second later, when nothing of
the start is left to do. The proportional share of memory counts a page that
several processes map, such as a library's code, once for all of them.
"""

from collections import abc
import time
import typing

from bench import deployments
from bench import measures
from gentianpoint_standins import processes

__all__ = ("measure",)

_REPEATS: typing.Final = 5
_SETTLE_S: typing.Final = 1.0


class _Cost(typing.NamedTuple):
    """What one process cost."""

    cpu_ms: float
    """Processor time until it was ready, milliseconds."""
    resident: float
    """Resident memory, bytes."""
    proportional: float
    """Proportional share of memory, bytes."""


def _watch_start(
    start: abc.Callable[[str], processes.ProcessHandle], name: str
) -> _Cost:
    handle = start(name)
    cpu_ms = measures.read_cpu_s(handle.pid) * 1000
    time.sleep(_SETTLE_S)
    return _Cost(
        cpu_ms,
        measures.read_memory(handle.pid),
        measures.read_proportional_memory(handle.pid),
    )


def _measure_role(
    role: str, start: abc.Callable[[str], processes.ProcessHandle]
) -> list[measures.Series]:
    costs = [
        _watch_start(start, f"{role}-{number}") for number in range(_REPEATS)
    ]
    return [
        measures.make_figure(
            f"start.{role}_cpu", "ms", [row.cpu_ms for row in costs], "process"
        ),
        measures.make_figure(
            f"start.{role}_resident",
            "bytes",
            [row.resident for row in costs],
            "process",
        ),
        measures.make_figure(
            f"start.{role}_proportional",
            "bytes",
            [row.proportional for row in costs],
            "process",
        ),
    ]


def measure() -> list[measures.Series]:
    """Return the series of this program."""
    with (
        deployments.open_stub_engine(1000) as engine,
        deployments.open_deployment() as deployment,
    ):

        def start_entry(name: str) -> processes.ProcessHandle:
            return deployment.start_entry(name, deployments.DATA_CENTRE)

        def start_agent(name: str) -> processes.ProcessHandle:
            return deployments.start_agent(deployment, name, engine)

        return _measure_role("entry", start_entry) + _measure_role(
            "agent", start_agent
        )


if __name__ == "__main__":
    measures.write_series(measure())

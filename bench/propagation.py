"""Time from an operator's write to being in force at every process.

Real entries and agents; each entry has connections to a third of the agents
or more. The time runs
from the moment before the operator's call until the last process has logged
that it applies the change.
"""

from collections import abc
from concurrent import futures
import datetime
import math
import time
import typing

from bench import deployments
from bench import measures
from gentianpoint_standins import processes

__all__ = ("measure",)

_ENTRIES_AND_AGENTS: typing.Final = (
    (1, 2),
    (3, 9),
    (6, 18),
    (12, 36),
    (30, 120),
)
"""The largest, 150 processes, stays well under half of the memory."""
_WRITES: typing.Final = 6
_LINKED_SHARE: typing.Final = 3
_WITHIN_S: typing.Final = 60.0
_STARTS_AT_ONCE: typing.Final = 8


def _find_applied(handle: processes.ProcessHandle, revision: int) -> float:
    """Return the time at which a process applied a revision, or later."""
    field = "revision" if handle.kind == "agent" else "offset"
    event = handle.log.wait_for_event(
        "configuration_applied",
        _WITHIN_S,
        lambda event: event[field] >= revision,
    )
    stamp = str(event["timestamp"]).replace("Z", "+00:00")
    return datetime.datetime.fromisoformat(stamp).timestamp()


def _time_write(
    deployment: processes.LocalDeployment,
    handles: abc.Sequence[processes.ProcessHandle],
    number: int,
) -> float:
    began = time.time()
    answer = deployment.declare(
        "services",
        deployments.SERVICE,
        {"kind": "model", "customers": ["*"], "max_queued": number},
    )
    last = max(_find_applied(row, answer["revision"]) for row in handles)
    return (last - began) * 1000


def _measure_size(entries: int, agents: int) -> list[float]:
    with (
        deployments.open_stub_engine(1000) as engine,
        deployments.open_deployment() as deployment,
        futures.ThreadPoolExecutor(_STARTS_AT_ONCE) as pool,
    ):
        starts = [
            pool.submit(
                deployment.start_entry,
                f"entry-{number}",
                deployments.DATA_CENTRE,
                links_per_service=math.ceil(agents / _LINKED_SHARE),
            )
            for number in range(entries)
        ]
        starts += [
            pool.submit(
                deployments.start_agent,
                deployment,
                f"agent-{number}",
                engine,
                log_level="info",
            )
            for number in range(agents)
        ]
        handles = [start.result() for start in starts]
        for handle in handles[:entries]:
            deployment.register_host(handle, deployments.DATA_CENTRE)
        deployments.declare_service(deployment)
        for handle in handles:
            _find_applied(handle, 1)
        return [
            _time_write(deployment, handles, number)
            for number in range(_WRITES)
        ]


def measure() -> list[measures.Series]:
    """Return the series of this program."""
    sizes = [sum(pair) for pair in _ENTRIES_AND_AGENTS]
    values = [_measure_size(*pair) for pair in _ENTRIES_AND_AGENTS]
    return [
        measures.Series(
            "propagation.in_force", "ms", "process", sizes, values
        ),
    ]


if __name__ == "__main__":
    measures.write_series(measure())

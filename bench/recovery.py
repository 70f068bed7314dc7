"""What entries do when agents go: connections elsewhere, and tries.

Twelve entries with connections to three of six agents each, real processes
throughout. One agent is killed, then a rack: two agents and two entries at
once, while the host list still shows them. Counted are the connections that
entries open to other agents in their place, the time until the last of them
and the processor time that it took an entry. Then this program listens at the
address of a killed agent and counts how often entries try it.
"""

from collections import abc
from concurrent import futures
import datetime
import socket
import time
import typing

from bench import deployments
from bench import measures
from gentianpoint_core import option_types
from gentianpoint_standins import processes

__all__ = ("measure",)

_ENTRIES: typing.Final = 12
_AGENTS: typing.Final = 6
_LINKS: typing.Final = 3
_STARTS_AT_ONCE: typing.Final = 6
_SETTLE_S: typing.Final = 3.0
_WATCH_S: typing.Final = 4.0
_COUNT_S: typing.Final = 5.0
_RARELY_MS: typing.Final = 60_000
_OPENED: typing.Final = "connection_opened"


class _Opened(typing.NamedTuple):
    """A connection that an entry opened."""

    peer: str
    """Host of the agent."""
    at: float
    """Time of the log line, seconds since the epoch."""


def _list_opened(entry: processes.ProcessHandle) -> list[_Opened]:
    return [
        _Opened(
            str(event["peer"]),
            datetime.datetime.fromisoformat(
                str(event["timestamp"]).replace("Z", "+00:00")
            ).timestamp(),
        )
        for event in entry.log.find_events(_OPENED)
    ]


class _Deployment(typing.NamedTuple):
    """The processes of one measurement."""

    entries: abc.Sequence[processes.ProcessHandle]
    agents: abc.Sequence[processes.ProcessHandle]


def _start(deployment: processes.LocalDeployment, engine: str) -> _Deployment:
    # The list is read once a minute, as at the target: what happens before
    # is the entries' own work. All are on it before the first one reads it.
    with futures.ThreadPoolExecutor(_STARTS_AT_ONCE) as pool:
        starts = [
            pool.submit(
                deployments.start_agent, deployment, f"agent-{number}", engine
            )
            for number in range(_AGENTS)
        ]
        agents = [start.result() for start in starts]
        for number in range(_ENTRIES):
            _show_entry(deployment, f"entry-{number}")
        starts = [
            pool.submit(
                deployment.start_entry,
                f"entry-{number}",
                deployments.DATA_CENTRE,
                links_per_service=_LINKS,
                hosts_poll_ms=_RARELY_MS,
            )
            for number in range(_ENTRIES)
        ]
        entries = [start.result() for start in starts]
    deployments.declare_service(deployment)
    time.sleep(_SETTLE_S)
    return _Deployment(entries, agents)


def _show_entry(deployment: processes.LocalDeployment, name: str) -> None:
    """Put an entry on the host list before it runs."""
    row = {
        "role": "entry",
        "service": "",
        "target": "",
        "address": "127.0.0.1:1",
        "data_centre": deployments.DATA_CENTRE,
        "state": "live",
    }
    deployment.call("PUT", f"{deployment.hosts_url}/hosts/{name}", row)


def _measure_loss(
    deployment: processes.LocalDeployment,
    running: _Deployment,
    name: str,
    gone: abc.Sequence[processes.ProcessHandle],
) -> list[measures.Series]:
    left = [row for row in running.entries if row not in gone]
    lost = {row.name for row in gone}
    links_before = [_list_opened(row) for row in left]
    pids = [row.pid for row in left]
    idle = deployments.measure_usage(pids, _WATCH_S)
    began = time.time()
    for row in gone:
        deployment.kill(row)
    used = deployments.measure_usage(pids, _WATCH_S)
    opened = [
        [link for link in _list_opened(row) if link.at > began] for row in left
    ]
    broken = sum(link.peer in lost for links in links_before for link in links)
    times = [link.at for links in opened for link in links]
    extra_ms = [
        (after.cpu_s - before.cpu_s) * 1000
        for before, after in zip(idle, used, strict=True)
    ]
    last_ms = (max(times) - began) * 1000 if times else 0.0
    return [
        measures.make_figure(f"recovery.{name}_broken", "links", [broken]),
        measures.make_figure(f"recovery.{name}_opened", "links", [len(times)]),
        measures.make_figure(f"recovery.{name}_last", "ms", [last_ms]),
        measures.make_figure(
            f"recovery.{name}_entry_cpu", "ms", extra_ms, "entry"
        ),
    ]


def _count_tries(address: str) -> int:
    """Return how often somebody connects to a killed agent's address."""
    listener = socket.create_server(option_types.split_address(address))
    listener.settimeout(0.2)
    tries = 0
    until = time.monotonic() + _COUNT_S
    with listener:
        while time.monotonic() < until:
            try:
                listener.accept()[0].close()
            except TimeoutError:
                continue
            tries += 1
    return tries


def measure() -> list[measures.Series]:
    """Return the series of this program."""
    with (
        deployments.open_stub_engine(1000) as engine,
        deployments.open_deployment() as deployment,
    ):
        running = _start(deployment, engine)
        agents = running.agents
        series = _measure_loss(deployment, running, "agent", agents[:1])
        linked = sum(
            agents[0].name in {link.peer for link in _list_opened(row)}
            for row in running.entries
        )
        tries = _count_tries(agents[0].address)
        series.append(
            measures.make_figure(
                "recovery.tries",
                "1/s",
                [tries / _COUNT_S / max(1, linked)],
                "lost link",
            )
        )
        rack = [*agents[1:3], *running.entries[:2]]
        return series + _measure_loss(deployment, running, "rack", rack)


if __name__ == "__main__":
    measures.write_series(measure())

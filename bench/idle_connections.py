"""Cost of connections that carry no call: time, memory and bytes.

Real processes, with stand-ins for their peers inside this program: many
entries at one agent, then many agents at one entry. Heartbeats and reports
are made frequent in turn, so that each has a slope of its own. Bytes and
segments are read from the kernel's record of the connection.
"""

from collections import abc
import functools
import socket
import struct
import time
import typing

import trio
import websockets.trio.connection
import websockets.trio.server

from bench import deployments
from bench import measures
from gentianpoint_core import codec
from gentianpoint_core import logs
from gentianpoint_core import peer_connections
from gentianpoint_core import ports
from gentianpoint_entry import agent_links
from gentianpoint_entry import link_settings
from gentianpoint_standins import processes

__all__ = ("measure",)

_CONNECTIONS: typing.Final = (8, 32, 96)
_RATE_CONNECTIONS: typing.Final = 32
_PERIODS_MS: typing.Final = (100, 200, 800)
_HEARTBEAT_MS: typing.Final = 1000
_SILENCE_MS: typing.Final = 60_000
_RARELY_MS: typing.Final = 60_000
_SETTLE_S: typing.Final = 0.8
_WATCH_S: typing.Final = 2.0
_REPEATS: typing.Final = 2
_BYTES_WATCH_S: typing.Final = 8.0
_MICROSECONDS: typing.Final = 1e6
_TCP_INFO_BYTES: typing.Final = 144
_TCP_INFO_TAIL: typing.Final = struct.Struct("<QQII")
_TCP_INFO_TAIL_AT: typing.Final = 120
HEADER_BYTES: typing.Final = 52
"""IP and TCP header with time stamps, which each segment has."""


async def _do_nothing(_: agent_links.AgentLink) -> None:
    await trio.sleep_forever()


def _make_link(
    agent: processes.ProcessHandle, number: int, peer_key: str
) -> agent_links.AgentLink:
    return agent_links.AgentLink(
        ports.Host(
            agent.name,
            "agent",
            deployments.SERVICE,
            agent.name,
            agent.address,
            deployments.DATA_CENTRE,
            "live",
        ),
        link_settings.LinkSettings(
            f"entry-{number}",
            f"incarnation-{number}",
            deployments.DATA_CENTRE,
            peer_key,
            _HEARTBEAT_MS,
            _SILENCE_MS,
            256,
            1 << 20,
        ),
        lambda: None,
    )


class _Watched(typing.NamedTuple):
    """What a process used while its peers did nothing else."""

    cpu_us: list[float]
    """Microseconds of processor time a second, repeated."""
    memory: float
    """Resident memory, bytes."""


async def _watch(pid: int) -> _Watched:
    values = []
    for _ in range(_REPEATS):
        before = measures.read_cpu_s(pid)
        began = time.monotonic()
        await trio.sleep(_WATCH_S)
        took = time.monotonic() - began
        used = measures.read_cpu_s(pid) - before
        values.append(used / took * _MICROSECONDS)
    return _Watched(values, measures.read_memory(pid))


async def _watch_agent(
    agent: processes.ProcessHandle, count: int, peer_key: str
) -> _Watched:
    async with trio.open_nursery() as nursery:
        for number in range(count):
            link = _make_link(agent, number, peer_key)
            nursery.start_soon(link.run, _do_nothing)
        await trio.sleep(_SETTLE_S)
        watched = await _watch(agent.pid)
        nursery.cancel_scope.cancel()
    return watched


def _end_agent(
    deployment: processes.LocalDeployment, agent: processes.ProcessHandle
) -> None:
    """End an agent; on the list an entry would go on to try it."""
    deployment.kill(agent)
    deployment.forget_host(agent.name)


def _measure_agent(
    deployment: processes.LocalDeployment, engine: str
) -> list[measures.Series]:
    agent = deployments.start_agent(deployment, "agent-c", engine)
    rows = [
        trio.run(_watch_agent, agent, count, deployment.peer_key)
        for count in _CONNECTIONS
    ]
    _end_agent(deployment, agent)
    series = _make_connection_series("agent", rows)
    rates = []
    for period in _PERIODS_MS:
        busy = deployments.start_agent(
            deployment,
            f"agent-r{period}",
            engine,
            heartbeat_ms=_RARELY_MS,
            silence_ms=_RARELY_MS,
            report_ms=period,
        )
        rates.append(
            trio.run(
                _watch_agent, busy, _RATE_CONNECTIONS, deployment.peer_key
            ).cpu_us
        )
        _end_agent(deployment, busy)
    sizes = [_RATE_CONNECTIONS * 1000 / period for period in _PERIODS_MS]
    series.append(
        measures.Series("idle.agent_report_cpu", "us", "report", sizes, rates)
    )
    return series


def _make_connection_series(
    role: str, rows: abc.Sequence[_Watched]
) -> list[measures.Series]:
    return [
        measures.Series(
            f"idle.{role}_cpu",
            "us/s",
            "connection",
            _CONNECTIONS,
            [row.cpu_us for row in rows],
        ),
        measures.Series(
            f"idle.{role}_memory",
            "bytes",
            "connection",
            _CONNECTIONS,
            [[row.memory] for row in rows],
        ),
    ]


class _Peers(typing.NamedTuple):
    """How the agents that this program stands for behave."""

    agents: int
    """Number of agents."""
    heartbeat_ms: int
    """Time between their heartbeats."""
    report_ms: int
    """Time between their reports."""
    busy: bool = False
    """Whether they beat as connections that carry calls do."""


_REPORT: typing.Final = {
    "type": "report",
    "running": 19,
    "queued": 3,
    "memory_used": 0.8123456789,
    "memory_predicted": 0.9123456789,
    "pace_ms": 29.123456789,
    "queue_wait_ms": 123.456789,
    "age_ms": 212,
    "prefixes": [],
}


class _AgentPeers:
    """Agents inside this program, one port each."""

    def __init__(self, peers: _Peers) -> None:
        self._peers: typing.Final = peers
        self.connections: typing.Final[
            list[websockets.trio.connection.Connection]
        ] = []

    def _is_busy(self) -> bool:
        return self._peers.busy

    async def _report(
        self, connection: peer_connections.PeerConnection
    ) -> None:
        while True:
            await connection.send(_REPORT)
            await trio.sleep(self._peers.report_ms / 1000)

    async def _serve(
        self, name: str, websocket: websockets.trio.server.ServerConnection
    ) -> None:
        connection = peer_connections.PeerConnection(
            websocket, "entry", self._peers.heartbeat_ms, _SILENCE_MS
        )
        try:
            await connection.receive()
            await connection.send(
                {
                    "type": "welcome",
                    "version": codec.PROTOCOL_VERSION,
                    "peer": name,
                    "incarnation": name,
                    "data_centre": deployments.DATA_CENTRE,
                    "service": deployments.SERVICE,
                    "target": name,
                    "offset": 0,
                    "leaving": False,
                }
            )
            self.connections.append(websocket)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.keep_alive, self._is_busy)
                nursery.start_soon(self._report, connection)
                while True:
                    await connection.receive()
        except* peer_connections.PeerConnectionError:
            pass  # The entry was killed, which ends its measurement.

    async def serve(self, task_status: trio.TaskStatus[list[int]]) -> None:
        """Listen for all agents and tell the ports."""
        ports_taken = []
        async with trio.open_nursery() as nursery:
            for number in range(self._peers.agents):
                server = await nursery.start(
                    functools.partial(
                        websockets.trio.server.serve,
                        functools.partial(self._serve, f"agent-{number}"),
                        0,
                        host="127.0.0.1",
                        compression=None,
                        ping_interval=None,
                    )
                )
                listener = server.listeners[0]
                ports_taken.append(listener.socket.getsockname()[1])
            task_status.started(ports_taken)


def _read_traffic(
    websocket: websockets.trio.connection.Connection,
) -> tuple[int, int]:
    """Return the payload bytes and segments of both directions so far."""
    stream = typing.cast(trio.SocketStream, websocket.stream)
    info = stream.socket.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
    )
    acked, received, out, came = _TCP_INFO_TAIL.unpack_from(
        info, _TCP_INFO_TAIL_AT
    )
    return acked + received, out + came


class _EntryWatched(typing.NamedTuple):
    watched: _Watched
    payload: list[float]
    segments: list[float]


async def _watch_entry(
    deployment: processes.LocalDeployment, peers: _Peers, watch_s: float
) -> _EntryWatched:
    agents = _AgentPeers(peers)
    async with trio.open_nursery() as nursery:
        taken = await nursery.start(agents.serve)
        for number, port in enumerate(taken):
            row = {
                "role": "agent",
                "service": deployments.SERVICE,
                "target": f"agent-{number}",
                "address": f"127.0.0.1:{port}",
                "data_centre": deployments.DATA_CENTRE,
                "state": "live",
            }
            url = f"{deployment.hosts_url}/hosts/agent-{number}"
            await trio.to_thread.run_sync(deployment.call, "PUT", url, row)
        entry = await trio.to_thread.run_sync(
            functools.partial(
                deployment.start_entry,
                f"entry-{peers.agents}-{peers.report_ms}-{peers.heartbeat_ms}",
                deployments.DATA_CENTRE,
                log_level="warning",
                links_per_service=peers.agents,
                silence_ms=_SILENCE_MS,
            )
        )
        while len(agents.connections) < peers.agents:
            await trio.sleep(0.1)
        await trio.sleep(_SETTLE_S)
        before = [_read_traffic(row) for row in agents.connections]
        began = time.monotonic()
        watched = await _watch(entry.pid)
        await trio.sleep(max(0.0, watch_s - (time.monotonic() - began)))
        took = time.monotonic() - began
        after = [_read_traffic(row) for row in agents.connections]
        deployment.kill(entry)
        for number in range(peers.agents):
            deployment.forget_host(f"agent-{number}")
        nursery.cancel_scope.cancel()
    pairs = list(zip(before, after, strict=True))
    return _EntryWatched(
        watched,
        [(late[0] - early[0]) / took for early, late in pairs],
        [(late[1] - early[1]) / took for early, late in pairs],
    )


def _measure_entry(
    deployment: processes.LocalDeployment,
) -> list[measures.Series]:
    rows = [
        trio.run(
            _watch_entry,
            deployment,
            _Peers(count, _HEARTBEAT_MS, 500),
            _BYTES_WATCH_S if count == _RATE_CONNECTIONS else 0.0,
        )
        for count in _CONNECTIONS
    ]
    series = _make_connection_series("entry", [row.watched for row in rows])
    traffic = rows[_CONNECTIONS.index(_RATE_CONNECTIONS)]
    series += [
        measures.make_figure(
            "idle.payload", "bytes/s", traffic.payload, "connection"
        ),
        measures.make_figure(
            "idle.segments", "1/s", traffic.segments, "connection"
        ),
    ]
    for kind in ("report", "heartbeat"):
        rates = []
        for period in _PERIODS_MS:
            peers = _Peers(
                _RATE_CONNECTIONS,
                period if kind == "heartbeat" else _RARELY_MS,
                period if kind == "report" else _RARELY_MS,
                busy=kind == "heartbeat",
            )
            found = trio.run(_watch_entry, deployment, peers, 0.0)
            rates.append(found.watched.cpu_us)
        sizes = [_RATE_CONNECTIONS * 1000 / period for period in _PERIODS_MS]
        series.append(
            measures.Series(f"idle.entry_{kind}_cpu", "us", kind, sizes, rates)
        )
    return series


def measure() -> list[measures.Series]:
    """Return the series of this program."""
    logs.configure_logs("bench", "error")
    with (
        deployments.open_stub_engine(1000) as engine,
        deployments.open_deployment() as deployment,
    ):
        return _measure_agent(deployment, engine) + _measure_entry(deployment)


if __name__ == "__main__":
    measures.write_series(measure())

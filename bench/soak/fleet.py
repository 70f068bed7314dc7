"""The parts of one soak: the log, targets, entries, agents and relays.

Each process has an IP number of its own on the loopback network, since the
platform gives all hosts the same ports.
"""

from collections import abc
import json
import pathlib
import random
import socket
import sys
import typing

import trio

from bench.soak import callers
from bench.soak import configurations
from bench.soak import dialects
from bench.soak import facts as seen
from bench.soak import http_serving
from bench.soak import kinds
from bench.soak import platform_log
from bench.soak import platform_targets
from bench.soak import players
from bench.soak import programs
from gentianpoint_core import option_types
from gentianpoint_standins import relay

__all__ = (
    "Fleet",
    "FleetSize",
    "NetworkSlot",
    "open_relay",
    "start_configured",
)

_FIRST_SLOT: typing.Final = 40
_LAST_SLOT: typing.Final = 250
_GUARD_PORT: typing.Final = 20001
_FRONT_PORT: typing.Final = 8740
_CONTROL_PORT: typing.Final = 8748
_READY_PORT: typing.Final = 8749
_TARGET_PORT: typing.Final = 8900
_LISTED_PORT: typing.Final = 8901
_LOG_PORT: typing.Final = 8742
_PEER_PORTS: typing.Final = (7200, 7215)
_DATA_CENTRES: typing.Final = 3
_MOST_SEEDS: typing.Final = 3
_MAX_DESCRIPTORS: typing.Final = 3075
_READY_S: typing.Final = 30.0


class FleetSize(typing.NamedTuple):
    """How many processes a soak has."""

    entries: int = 3
    """Entries."""
    engines: int = 3
    """Engines, each with an agent."""
    plain: int = 2
    """Targets of the plain service."""
    memory_mb: int = 150
    """Memory of a host, in MiB."""


class NetworkSlot:
    """A part of the loopback network that no other soak uses."""

    def __init__(self) -> None:
        """Take a free one; raises :class:`OSError` when there is none."""
        self._guard: typing.Final = socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        )
        self.number: typing.Final = self._find_free()

    def _find_free(self) -> int:
        for number in range(_FIRST_SLOT, _LAST_SLOT):
            try:
                self._guard.bind((f"127.{number}.0.1", _GUARD_PORT))
            except OSError:
                # Another soak has it.
                continue
            return number
        raise OSError("no part of the loopback network is free")

    def find_ip(self, group: int, number: int) -> str:
        """Return the IP number of one host."""
        return f"127.{self.number}.{group}.{number + 1}"

    def release(self) -> None:
        """Let others have it."""
        self._guard.close()


class Fleet(players.Parts):
    """All parts of a soak."""

    def __init__(
        self,
        size: FleetSize,
        folder: pathlib.Path,
        slot: NetworkSlot,
        facts: seen.Facts,
        source: random.Random,
        *,
        relays_targets: bool = True,
        served_elsewhere: abc.Collection[int] = (),
    ) -> None:
        """Put the parts together; settings and output go into ``folder``.

        Without ``relays_targets`` nothing stands before the targets, which is
        cheaper, and they can't be cut off. Other processes serve the targets
        with the numbers ``served_elsewhere``.
        """
        self._served_elsewhere: typing.Final = served_elsewhere
        self._size: typing.Final = size
        self._relays_targets: typing.Final = relays_targets
        self._folder: typing.Final = folder
        self._slot: typing.Final = slot
        self._facts: typing.Final = facts
        self.log: typing.Final = platform_log.PlatformLog(source)
        self.log_address: typing.Final = f"{slot.find_ip(0, 0)}:{_LOG_PORT}"
        count = size.engines + size.plain
        self.targets: typing.Final = [
            platform_targets.Target(
                self._place_target(number), self.log, facts, source
            )
            for number in range(count)
        ]
        self.log_relays = [
            relay.Relay(self.log_address) for _ in range(size.entries)
        ]
        self.entries = [
            self._place_entry(number) for number in range(size.entries)
        ]
        self.agents = [
            self._make_agent(number) for number in range(size.engines)
        ]

    def _place_target(self, number: int) -> platform_targets.TargetPlace:
        ip = self._slot.find_ip(2, number)
        is_engine = number < self._size.engines
        port = _LISTED_PORT if self._relays_targets else _TARGET_PORT
        return platform_targets.TargetPlace(
            number,
            kinds.ENGINES if is_engine else kinds.PLAIN,
            f"centre-{number % _DATA_CENTRES}",
            f"{ip}:{port}",
            f"{ip}:{_TARGET_PORT}",
        )

    def _place_entry(self, number: int) -> callers.EntryPlace:
        ip = self._slot.find_ip(1, number)
        settings = self._make_settings(f"entry-{number}", ip, number)
        settings["platform"] = {
            "address": f"{self._slot.find_ip(3, number)}:{_LOG_PORT}"
        }
        settings["listen"] = {
            "front": f"{ip}:{_FRONT_PORT}",
            "ready": f"{ip}:{_READY_PORT}",
            "control": f"{ip}:{_CONTROL_PORT}",
        }
        program = self._make_program(f"entry-{number}", "entry.py", settings)
        return callers.EntryPlace(
            program, f"{ip}:{_FRONT_PORT}", f"{ip}:{_READY_PORT}"
        )

    def _make_agent(self, number: int) -> programs.Program:
        target = self.targets[number].place
        ip = self._slot.find_ip(2, number)
        settings = self._make_settings(f"agent-{number}", ip, number)
        settings["app"] = target.own
        settings["service"] = target.service
        return self._make_program(f"agent-{number}", "agent.py", settings)

    def _make_settings(
        self, name: str, ip: str, number: int
    ) -> dict[str, typing.Any]:
        seeds = [
            f"{self._slot.find_ip(1, entry)}:{_CONTROL_PORT}"
            for entry in range(min(_MOST_SEEDS, self._size.entries))
        ]
        return {
            "node_name": name,
            "ip": ip,
            "zone": f"centre-{number % _DATA_CENTRES}",
            "port_range": list(_PEER_PORTS),
            "seeds": seeds,
            "platform": {"address": self.log_address},
            "limits": {
                "cpu_share": 0.387,
                "cpu_cores": 1,
                "memory_mb": self._size.memory_mb,
                "max_fds": _MAX_DESCRIPTORS,
                "link_mbps": 10.0,
                "disk_mb": 0,
            },
            "bounds": {
                "grace_s": 8,
                "retry_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": 58,
                "drain_ms": 2000,
                "config_ms": 2000,
            },
        }

    def _make_program(
        self, name: str, script: str, settings: abc.Mapping[str, typing.Any]
    ) -> programs.Program:
        path = self._folder / f"{name}.toml"
        path.write_text(_write_toml(settings))
        return programs.Program(
            name,
            [sys.executable, str(programs.ROOT / "platform" / script)],
            {"GENTIANPOINT_CONFIG": str(path)},
            path.with_suffix(".log"),
            self._facts,
        )

    async def run(self, task_status: typing.Any) -> None:
        """Serve the stand-ins and run the programs, until cancelled.

        ``task_status`` is told once all that listens here does.
        """
        async with trio.open_nursery() as nursery:
            await http_serving.open_server(
                nursery, self.log_address, self.log.serve
            )
            for number, item in enumerate(self.log_relays):
                address = f"{self._slot.find_ip(3, number)}:{_LOG_PORT}"
                await open_relay(nursery, item, address)
            for target in self.targets:
                if target.place.number in self._served_elsewhere:
                    continue
                await http_serving.open_server(
                    nursery, target.place.own, target.serve
                )
                nursery.start_soon(target.run)
            for place in self.entries:
                nursery.start_soon(place.program.run)
            for agent in self.agents:
                nursery.start_soon(agent.run)
            task_status.started()

    def note_runs(self, facts: seen.Facts) -> None:
        """Note until when targets served; they note each run themselves."""
        for target in self.targets:
            target.note_end()


async def start_configured(
    nursery: trio.Nursery, parts: Fleet
) -> callers.Balancer:
    """Run a fleet with its first configuration until all entries are ready.

    Raises :class:`trio.TooSlowError` if that takes too long.
    """
    await nursery.start(parts.run)
    balancer = callers.Balancer(parts.entries, dialects.PlatformDialect())
    nursery.start_soon(balancer.run)
    await parts.log.append(
        platform_log.CONFIGURATION,
        "config",
        configurations.make_configuration(1),
    )
    with trio.fail_after(_READY_S):
        await balancer.wait_all_ready()
    return balancer


async def open_relay(
    nursery: trio.Nursery, item: relay.Relay, address: str
) -> None:
    """Let a relay take connections at an address."""
    host, port = option_types.split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host)
    nursery.start_soon(trio.serve_listeners, item.accept, listeners)


def _write_toml(fields: abc.Mapping[str, typing.Any]) -> str:
    """Return settings as text; JSON's values are those of the format too."""
    lines = []
    tables = []
    for name, value in fields.items():
        if isinstance(value, dict):
            tables.append(f"[{name}]")
            tables += [f"{key} = {json.dumps(value[key])}" for key in value]
        else:
            lines.append(f"{name} = {json.dumps(value)}")
    return "\n".join([*lines, *tables]) + "\n"

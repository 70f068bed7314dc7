"""Processes of a local deployment, for tests, benches and the demo.

This is a developer's tool: unlike the product's processes, it starts
others. ::

    with processes.LocalDeployment() as deployment:
        deployment.start_log()
        deployment.start_hosts()
        engine = deployment.start_engine("taller-1", blocks=64)
        entry = deployment.start_entry("entrada-1", "zona-norte")
        agent = deployment.start_agent(
            "taller-1", "zona-norte", "modelo-taller", engine.url
        )
        deployment.register_host(agent, "zona-norte", "modelo-taller")
        deployment.declare("services", "modelo-taller", {...})

Each option of a process is a keyword: ``step_ms=5`` is ``--step-ms 5``,
``fencing=False`` is ``--no-fencing``.
"""

import contextlib
import hashlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing
import uuid

import httpx

from gentianpoint_standins import addresses
from gentianpoint_standins import process_logs

__all__ = (
    "DeploymentError",
    "LocalDeployment",
    "ProcessHandle",
    "make_flags",
)

Option: typing.TypeAlias = typing.Union[str, int, float, bool]
"""Value of a process's option."""

_READY_WITHIN_S: typing.Final = 30.0
_STOP_WITHIN_S: typing.Final = 5.0
_POLL_S: typing.Final = 0.02
_CALL_TIMEOUT_S: typing.Final = 10.0
_BINARIES: typing.Final = pathlib.Path(sys.executable).parent


class DeploymentError(Exception):
    """A process did not start, or refused what the deployment needs."""


class ProcessHandle(typing.NamedTuple):
    """A process that was started."""

    name: str
    """Name within the deployment."""
    kind: str
    """Kind of process, such as ``engine`` or ``agent``."""
    url: str
    """Base URL at which it listens."""
    address: str
    """IP number and port at which it listens."""
    pid: int
    """Identifier of the process."""
    log: process_logs.ProcessLog
    """What it printed."""
    control_url: str = ""
    """Base URL that controls a relay; empty for others."""


def make_flags(options: typing.Mapping[str, Option]) -> list[str]:
    """Return the flags for ``options``."""
    flags = []
    for name, value in options.items():
        flag = name.replace("_", "-")
        if isinstance(value, bool):
            flags.append(f"--{flag}" if value else f"--no-{flag}")
        else:
            flags += [f"--{flag}", str(value)]
    return flags


def _make_environment(peer_key: str) -> dict[str, str]:
    """Return the environment without settings of the developer's shell.

    The peer key goes by a variable: flags can be seen by every user of the
    machine.
    """
    kept = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("GENTIANPOINT_")
    }
    return {**kept, "GENTIANPOINT_PEER_KEY": peer_key}


class LocalDeployment:
    """Processes on this machine that belong together."""

    def __init__(
        self,
        folder: typing.Optional[pathlib.Path] = None,
        *,
        detached: bool = False,
        operator_key: str = "",
    ) -> None:
        """Keep logs in ``folder``, or in one that goes when all stops.

        With ``detached`` the processes outlive this one.
        """
        self._cleanup: typing.Final = contextlib.ExitStack()
        self._folder: typing.Final = folder or pathlib.Path(
            self._cleanup.enter_context(tempfile.TemporaryDirectory())
        )
        self._folder.mkdir(parents=True, exist_ok=True)
        self._detached: typing.Final = detached
        self.operator_key: typing.Final = operator_key or uuid.uuid4().hex
        self.peer_key: typing.Final = uuid.uuid4().hex
        self._started: typing.Final[
            dict[int, subprocess.Popen[typing.Any]]
        ] = {}
        self._client: typing.Final = httpx.Client(timeout=_CALL_TIMEOUT_S)
        self.handles: typing.Final[list[ProcessHandle]] = []
        self.log_url = ""
        self.hosts_url = ""
        self.weights_url = ""

    def __enter__(self) -> "LocalDeployment":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop_all()

    # Starting.

    def _launch(
        self, name: str, command: list[str]
    ) -> tuple[int, process_logs.ProcessLog]:
        count = sum(handle.name == name for handle in self.handles)
        suffix = f"-{count + 1}" if count else ""
        path = self._folder / f"{name}{suffix}.log"
        with path.open("wb") as output:
            process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=_make_environment(self.peer_key),
                start_new_session=self._detached,
            )
        self._started[process.pid] = process
        return process.pid, process_logs.ProcessLog(path)

    def _keep(self, handle: ProcessHandle) -> ProcessHandle:
        self.handles.append(handle)
        return handle

    def _require_running(
        self, name: str, pid: int, log: process_logs.ProcessLog
    ) -> None:
        status = self._started[pid].poll()
        if status is not None:
            raise DeploymentError(f"{name} ended with {status}:\n{log.tail()}")

    def find_exit_status(self, handle: ProcessHandle) -> typing.Optional[int]:
        """Return the exit status of a process; None while it runs."""
        return self._started[handle.pid].poll()

    def start_standin(
        self, kind: str, name: str, **options: Option
    ) -> ProcessHandle:
        """Start the stand-in module ``kind`` and wait until it listens."""
        module = f"gentianpoint_standins.{kind}"
        command = [sys.executable, "-m", module, *make_flags(options)]
        pid, log = self._launch(name, command)
        deadline = time.monotonic() + _READY_WITHIN_S
        while not (events := log.find_events("listening")):
            self._require_running(name, pid, log)
            if time.monotonic() > deadline:
                raise DeploymentError(f"{name} does not listen")
            time.sleep(_POLL_S)
        url = str(events[0]["url"])
        control = str(events[0].get("control_url", ""))
        address = url.partition("//")[2]
        return self._keep(
            ProcessHandle(name, kind, url, address, pid, log, control)
        )

    def start_log(self, name: str = "log", **options: Option) -> ProcessHandle:
        """Start a log service, which later processes use."""
        handle = self.start_standin("log", name, **options)
        self.log_url = handle.url
        return handle

    def start_hosts(
        self, name: str = "hosts", **options: Option
    ) -> ProcessHandle:
        """Start a host list, which later processes use."""
        handle = self.start_standin("hosts", name, **options)
        self.hosts_url = handle.url
        return handle

    def start_weights(
        self, name: str = "weights", **options: Option
    ) -> ProcessHandle:
        """Start a weight store, which later engines and agents use."""
        handle = self.start_standin("weights", name, **options)
        self.weights_url = handle.url
        return handle

    def start_engine(self, name: str, **options: Option) -> ProcessHandle:
        """Start an engine."""
        if self.weights_url:
            options.setdefault("weights_url", self.weights_url)
        return self.start_standin("engine", name, **options)

    def start_plain(self, name: str, **options: Option) -> ProcessHandle:
        """Start a plain service, whose answers carry its name."""
        options.setdefault("target_name", name)
        return self.start_standin("plain", name, **options)

    def start_relay(
        self, to: str, name: str = "relay", **options: Option
    ) -> ProcessHandle:
        """Start a relay that passes connections on to the address ``to``."""
        return self.start_standin("relay", name, to=to, **options)

    def start_entry(
        self, name: str, data_centre: str, **options: Option
    ) -> ProcessHandle:
        """Start an entry and wait until it answers that it is ready."""
        handle = self.launch_entry(name, data_centre, **options)
        self.wait_for_entry(handle)
        return handle

    def wait_for_entry(self, handle: ProcessHandle) -> None:
        """Wait until an entry answers that it is ready."""
        self._wait_until_ready(handle, self._answers_health)

    def launch_entry(
        self, name: str, data_centre: str, **options: Option
    ) -> ProcessHandle:
        """Start an entry without waiting, as when it can't get ready."""
        options.setdefault("listen", addresses.reserve_address())
        options.setdefault("log_url", self.log_url)
        options.setdefault("peer_key", self.peer_key)
        options.setdefault("hosts_url", self.hosts_url)
        options.setdefault(
            "operator_key_hash",
            hashlib.sha256(self.operator_key.encode()).hexdigest(),
        )
        options.update(name=name, data_centre=data_centre)
        command = [str(_BINARIES / "gentianpoint"), "entry"]
        return self._start_product("entry", name, command, options)

    def start_agent(
        self,
        name: str,
        data_centre: str,
        service: str,
        target_url: str,
        **options: Option,
    ) -> ProcessHandle:
        """Start an agent and wait until it takes connections.

        Its target has the agent's name unless ``target`` says otherwise.
        """
        options.setdefault("listen", addresses.reserve_address())
        options.setdefault("log_url", self.log_url)
        options.setdefault("peer_key", self.peer_key)
        options.setdefault("target", name)
        if self.weights_url:
            options.setdefault("weights_url", self.weights_url)
        options.update(
            name=name,
            data_centre=data_centre,
            service=service,
            target_url=target_url,
        )
        command = [str(_BINARIES / "gentianpoint-agent")]
        handle = self._start_product("agent", name, command, options)
        self._wait_until_ready(handle, self._takes_connections)
        return handle

    def _start_product(
        self,
        kind: str,
        name: str,
        command: list[str],
        options: typing.Mapping[str, Option],
    ) -> ProcessHandle:
        pid, log = self._launch(name, [*command, *make_flags(options)])
        address = str(options["listen"])
        return self._keep(
            ProcessHandle(name, kind, f"http://{address}", address, pid, log)
        )

    def _wait_until_ready(
        self,
        handle: ProcessHandle,
        is_ready: typing.Callable[[ProcessHandle], bool],
    ) -> None:
        deadline = time.monotonic() + _READY_WITHIN_S
        while not is_ready(handle):
            self._require_running(handle.name, handle.pid, handle.log)
            if time.monotonic() > deadline:
                raise DeploymentError(
                    f"{handle.name} is not ready:\n{handle.log.tail()}"
                )
            time.sleep(_POLL_S)

    def _answers_health(self, handle: ProcessHandle) -> bool:
        try:
            answer = self._client.get(f"{handle.url}/health")
        except httpx.HTTPError:
            return False
        return answer.status_code == 200

    def _takes_connections(self, handle: ProcessHandle) -> bool:
        host, _, port = handle.address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), 1.0).close()
        except OSError:
            return False
        return True

    # Platform and administration.

    def register_host(
        self,
        handle: ProcessHandle,
        data_centre: str,
        service: str = "",
        *,
        target: str = "",
        address: str = "",
        state: str = "live",
    ) -> None:
        """Register an entry or agent at the host list.

        ``address`` puts a relay in front of it; ``target`` defaults to the
        agent's name.
        """
        is_agent = handle.kind == "agent"
        row = {
            "role": handle.kind,
            "service": service,
            "target": (target or handle.name) if is_agent else "",
            "address": address or handle.address,
            "data_centre": data_centre,
            "state": state,
        }
        self.call("PUT", f"{self.hosts_url}/hosts/{handle.name}", row)

    def forget_host(self, name: str) -> None:
        """Take a host off the host list."""
        self.call("DELETE", f"{self.hosts_url}/hosts/{name}")

    def set_faults(
        self, handle: ProcessHandle, **faults: typing.Any
    ) -> typing.Any:
        """Change the faults of a stand-in."""
        url = handle.control_url or handle.url
        return self.call("POST", f"{url}/faults", faults)

    def read_witness(
        self, handle: ProcessHandle, within_s: float = 20.0, **counts: int
    ) -> typing.Any:
        """Return a stand-in's witness once its ``counts`` are reached."""
        asked = {"wait_ms": int(within_s * 1000), **counts} if counts else {}
        answer = self._client.get(
            f"{handle.control_url or handle.url}/witness",
            params=asked,
            timeout=within_s + _CALL_TIMEOUT_S,
        )
        return answer.raise_for_status().json()

    def declare(
        self,
        kind: str,
        name: str,
        spec: typing.Mapping[str, typing.Any],
        base: int = -1,
    ) -> typing.Any:
        """Declare a resource through the first entry that runs.

        ``kind`` is ``services`` or ``customers``.
        """
        entry = next(
            row
            for row in self.handles
            if row.kind == "entry" and self.is_running(row)
        )
        return self.call(
            "PUT",
            f"{entry.url}/admin/v1/{kind}/{name}",
            {"spec": spec, "base": base, "change": uuid.uuid4().hex},
        )

    def call(
        self,
        method: str,
        url: str,
        body: typing.Optional[typing.Any] = None,
    ) -> typing.Any:
        """Make a call with the operator's key and return its answer."""
        answer = self._client.request(
            method,
            url,
            json=body,
            headers={"Authorization": f"Bearer {self.operator_key}"},
        )
        if answer.is_error:
            raise DeploymentError(
                f"{method} {url}: {answer.status_code} {answer.text}"
            )
        return answer.json() if answer.content else None

    # Stopping.

    def freeze(self, handle: ProcessHandle) -> None:
        """Stop a process where it stands, as an overloaded host would."""
        self._started[handle.pid].send_signal(signal.SIGSTOP)

    def thaw(self, handle: ProcessHandle) -> None:
        """Let a frozen process go on."""
        self._started[handle.pid].send_signal(signal.SIGCONT)

    def kill(self, handle: ProcessHandle) -> None:
        """End a process at once, and wait until it is gone."""
        self._started[handle.pid].kill()
        self._started[handle.pid].wait()

    def ask_to_stop(self, handle: ProcessHandle) -> None:
        """Ask a process to stop gracefully."""
        self._started[handle.pid].terminate()

    def ask_to_reload(self, handle: ProcessHandle) -> None:
        """Tell a process that its settings may have changed."""
        self._started[handle.pid].send_signal(signal.SIGHUP)

    def wait_for_exit(
        self, handle: ProcessHandle, within_s: float = 30.0
    ) -> int:
        """Wait until a process has ended, and return its exit code."""
        return self._started[handle.pid].wait(within_s)

    def is_running(self, handle: ProcessHandle) -> bool:
        """Tell whether a process still runs."""
        return self._started[handle.pid].poll() is None

    def kill_all(self) -> None:
        """End all processes at once, as a test does that is over."""
        for process in self._started.values():
            process.kill()
        for process in self._started.values():
            process.wait()
        self._client.close()
        self._cleanup.close()

    def stop_all(self) -> None:
        """Stop all processes, the last started first."""
        running = [row for row in self._started.values() if row.poll() is None]
        for process in reversed(running):
            process.send_signal(signal.SIGCONT)
            process.terminate()
        deadline = time.monotonic() + _STOP_WITHIN_S
        for process in running:
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._client.close()
        self._cleanup.close()

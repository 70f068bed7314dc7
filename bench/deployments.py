"""Deployments of real processes for measurements."""

from collections import abc
import contextlib
import hashlib
import subprocess
import sys
import time
import typing

import httpx

from bench import measures
from gentianpoint_standins import processes

__all__ = (
    "CUSTOMER_KEY",
    "DATA_CENTRE",
    "SERVICE",
    "Usage",
    "declare_service",
    "measure_usage",
    "open_deployment",
    "open_stub_engine",
    "start_agent",
    "wait_until_served",
)

SERVICE: typing.Final = "modelo-taller"
CUSTOMER_KEY: typing.Final = "key-of-the-bench"
DATA_CENTRE: typing.Final = "zona-norte"
_STOP_WITHIN_S: typing.Final = 5.0
_SERVED_WITHIN_S: typing.Final = 20.0


class Usage(typing.NamedTuple):
    """What a process used in a stretch of time."""

    cpu_s: float
    """Processor time, seconds."""
    wall_s: float
    """Length of the stretch, seconds."""


@contextlib.contextmanager
def open_stub_engine(step_ms: float) -> abc.Iterator[str]:
    """Run a stub engine and give its URL."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.stub_engine", str(step_ms)],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        port = int(process.stdout.readline())
        yield f"http://127.0.0.1:{port}"
    finally:
        process.terminate()
        process.wait(_STOP_WITHIN_S)


@contextlib.contextmanager
def open_deployment() -> abc.Iterator[processes.LocalDeployment]:
    """Run a log and a host list."""
    deployment = processes.LocalDeployment()
    try:
        deployment.start_log()
        deployment.start_hosts()
        yield deployment
    finally:
        deployment.kill_all()


def start_agent(
    deployment: processes.LocalDeployment,
    name: str,
    url: str,
    **options: processes.Option,
) -> processes.ProcessHandle:
    """Start an agent beside the engine at ``url`` and register it."""
    options.setdefault("log_level", "warning")
    agent = deployment.start_agent(name, DATA_CENTRE, SERVICE, url, **options)
    deployment.register_host(agent, DATA_CENTRE, SERVICE)
    return agent


def declare_service(deployment: processes.LocalDeployment) -> None:
    """Declare the service and one customer."""
    digest = hashlib.sha256(CUSTOMER_KEY.encode()).hexdigest()
    deployment.declare("customers", "banco", {"key_hashes": [digest]})
    deployment.declare(
        "services", SERVICE, {"kind": "model", "customers": ["*"]}
    )


def measure_usage(pids: abc.Sequence[int], wall_s: float) -> list[Usage]:
    """Return what processes use while this one sleeps."""
    before = [measures.read_cpu_s(pid) for pid in pids]
    started = time.monotonic()
    time.sleep(wall_s)
    took = time.monotonic() - started
    return [
        Usage(measures.read_cpu_s(pid) - cpu, took)
        for pid, cpu in zip(pids, before, strict=True)
    ]


def wait_until_served(entry: processes.ProcessHandle) -> None:
    """Wait until a request through ``entry`` is answered."""
    deadline = time.monotonic() + _SERVED_WITHIN_S
    while time.monotonic() < deadline:
        answer = httpx.post(
            f"{entry.url}/v1/completions",
            json={"model": SERVICE, "prompt": "tokens:1"},
            headers={"Authorization": f"Bearer {CUSTOMER_KEY}"},
        )
        if answer.status_code == 200:
            return
        time.sleep(0.1)
    raise TimeoutError("the deployment does not serve")

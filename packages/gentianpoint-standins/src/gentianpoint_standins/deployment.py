"""Keeps a local deployment running: ``make up`` and ``make down``.

``python -m gentianpoint_standins.deployment up --profile taller`` starts
the processes, declares services and customers, and writes
``.run/deployment.json`` when all is ready. ``down`` ends the processes
named there. Their logs are in ``.run/logs``.
"""

from collections import abc
import concurrent.futures
import contextlib
import functools
import hashlib
import os
import pathlib
import signal
import sys
import time
import typing
import uuid

import typer

from gentianpoint_standins import deployment_files
from gentianpoint_standins import processes
from gentianpoint_standins import profiles

__all__ = ("app", "down", "start_profile", "up")

_FOLDER: typing.Final = pathlib.Path(".run")
_PAGE: typing.Final = _FOLDER / "deployment.json"
_STARTS_AT_ONCE: typing.Final = 6
_READY_WITHIN_S: typing.Final = 30.0
_STOP_WITHIN_S: typing.Final = 10.0
_POLL_S: typing.Final = 0.05

app: typing.Final = typer.Typer(
    help="Start and stop a local deployment.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)


class _Running(typing.NamedTuple):
    """A process and where it belongs in the profile."""

    service: str
    target: profiles.TargetProfile
    handle: processes.ProcessHandle


def _start_together(
    starts: abc.Sequence[abc.Callable[[], _Running]],
) -> list[_Running]:
    with concurrent.futures.ThreadPoolExecutor(_STARTS_AT_ONCE) as pool:
        return [done.result() for done in [pool.submit(s) for s in starts]]


def _start_target(
    local: processes.LocalDeployment,
    service: profiles.ServiceProfile,
    target: profiles.TargetProfile,
) -> _Running:
    name = f"{target.host}-target"
    if service.spec["kind"] == "plain":
        handle = local.start_plain(name, target_name=target.host)
    else:
        handle = local.start_engine(name, **service.options)
    return _Running(service.name, target, handle)


def _start_agent(
    local: processes.LocalDeployment,
    behind: _Running,
    options: abc.Mapping[str, processes.Option],
) -> _Running:
    is_plain = behind.handle.kind == "plain"
    handle = local.start_agent(
        behind.target.host,
        behind.target.data_centre,
        behind.service,
        behind.handle.url,
        target_kind="plain" if is_plain else "engine",
        **options,
    )
    local.register_host(handle, behind.target.data_centre, behind.service)
    return _Running(behind.service, behind.target, handle)


def _start_entry(
    local: processes.LocalDeployment,
    host: profiles.TargetProfile,
    options: abc.Mapping[str, processes.Option],
) -> _Running:
    handle = local.start_entry(host.host, host.data_centre, **options)
    local.register_host(handle, host.data_centre)
    return _Running("", host, handle)


def _declare_customers(
    local: processes.LocalDeployment, profile: profiles.Profile
) -> list[deployment_files.Customer]:
    customers = []
    for customer in profile.customers:
        key = f"{customer.name}-{uuid.uuid4().hex}"
        digest = hashlib.sha256(key.encode()).hexdigest()
        spec = {"key_hashes": [digest], "weight": customer.weight}
        local.declare("customers", customer.name, spec)
        customers.append(
            deployment_files.Customer(name=customer.name, key=key)
        )
    return customers


def _describe_service(
    handle: processes.ProcessHandle,
) -> deployment_files.PlatformService:
    return {"url": handle.url, "pid": handle.pid}


def start_profile(
    local: processes.LocalDeployment,
    profile: profiles.Profile,
    options: abc.Mapping[str, processes.Option],
) -> deployment_files.Deployment:
    """Start a profile in ``local`` and return its page when it is ready.

    ``options`` go to entries and agents alike, such as ``trace_log=True``.
    """
    log = local.start_log()
    hosts = local.start_hosts()
    weights = local.start_weights()
    targets = _start_together(
        [
            functools.partial(_start_target, local, service, target)
            for service in profile.services
            for target in service.targets
        ]
    )
    agents = _start_together(
        [
            functools.partial(_start_agent, local, target, options)
            for target in targets
        ]
    )
    entries = _start_together(
        [
            functools.partial(_start_entry, local, host, options)
            for host in profile.entries
        ]
    )
    customers = _declare_customers(local, profile)
    revisions = {
        service.name: int(
            local.declare("services", service.name, service.spec)["revision"]
        )
        for service in profile.services
    }
    _wait_until_serving(entries, agents, revisions, max(revisions.values()))
    return {
        "entries": [
            {
                "url": row.handle.url,
                "pid": row.handle.pid,
                "host": row.target.host,
            }
            for row in entries
        ],
        "agents": [
            {
                "service": row.service,
                "target": row.target.host,
                "pid": row.handle.pid,
                "host": row.target.host,
            }
            for row in agents
        ],
        "targets": [
            {
                "service": row.service,
                "url": row.handle.url,
                "pid": row.handle.pid,
                "host": row.target.host,
            }
            for row in targets
        ],
        "platform": {
            "log": _describe_service(log),
            "hosts": _describe_service(hosts),
            "weights": _describe_service(weights),
        },
        "customers": customers,
        "operator": {"key": local.operator_key},
    }


def _wait_until_serving(
    entries: abc.Sequence[_Running],
    agents: abc.Sequence[_Running],
    revisions: abc.Mapping[str, int],
    last: int,
) -> None:
    """Wait until all that was declared is in force on each process.

    ``last`` is the last change; ``revisions`` are those of the services.
    Each entry has to be connected to each agent, too.
    """
    for entry in entries:
        _wait_for_offset(entry.handle, "offset", last)
        for agent in agents:
            entry.handle.log.wait_for_event(
                "connection_opened",
                _READY_WITHIN_S,
                functools.partial(_names_peer, agent.handle.name),
            )
    for agent in agents:
        revision = revisions[agent.service]
        _wait_for_offset(agent.handle, "revision", revision)


def _names_peer(name: str, event: dict[str, typing.Any]) -> bool:
    return bool(event["peer"] == name)


def _wait_for_offset(
    handle: processes.ProcessHandle, field: str, least: int
) -> None:
    handle.log.wait_for_event(
        "configuration_applied",
        _READY_WITHIN_S,
        lambda event: bool(event[field] >= least),
    )


def _is_running(pid: int) -> bool:
    """Tell whether ``pid`` is a process of a deployment that still runs.

    After a while the number may belong to someone else's process, which
    must not be ended; the command line tells.
    """
    folder = pathlib.Path(f"/proc/{pid}")
    try:
        state = (folder / "stat").read_text().rpartition(")")[2].split()[0]
        command = (folder / "cmdline").read_bytes()
    except OSError:
        return False
    return state != "Z" and b"gentianpoint" in command


def _send(pids: abc.Iterable[int], number: signal.Signals) -> None:
    for pid in pids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, number)


def _stop(pids: abc.Sequence[int]) -> None:
    """Ask processes to stop, and end those that do not in time."""
    running = [pid for pid in pids if _is_running(pid)]
    _send(running, signal.SIGCONT)
    _send(running, signal.SIGTERM)
    deadline = time.monotonic() + _STOP_WITHIN_S
    while running and time.monotonic() < deadline:
        time.sleep(_POLL_S)
        running = [pid for pid in running if _is_running(pid)]
    _send(running, signal.SIGKILL)


@app.command()
def up(
    profile: typing.Annotated[
        profiles.ProfileName, typer.Option(help="Size of the deployment.")
    ],
) -> None:
    """Start a deployment and leave it running."""
    page = deployment_files.load_deployment(_PAGE)
    if page and any(map(_is_running, deployment_files.list_pids(page))):
        sys.exit(f"{_PAGE} names running processes; stop them: make down")
    _PAGE.unlink(missing_ok=True)
    local = processes.LocalDeployment(_FOLDER / "logs", detached=True)
    try:
        started = start_profile(local, profiles.PROFILES[profile], {})
    except (processes.DeploymentError, TimeoutError) as error:
        local.stop_all()
        sys.exit(f"the deployment did not start: {error}")
    except BaseException:
        local.stop_all()
        raise
    deployment_files.save_deployment(_PAGE, started)
    _print_summary(started)


def _print_summary(page: deployment_files.Deployment) -> None:
    count = len(deployment_files.list_pids(page))
    print(f"{count} processes run; {_PAGE} tells where.")
    for entry in page["entries"]:
        print(f"entry {entry['host']}: {entry['url']}")
    print(f"logs: {_FOLDER / 'logs'}; stop with: make down")


@app.command()
def down() -> None:
    """Stop the deployment that ``up`` started."""
    page = deployment_files.load_deployment(_PAGE)
    if page is None:
        print(f"nothing to stop: there is no {_PAGE}")
        return
    pids = deployment_files.list_pids(page)
    product = len(page["entries"]) + len(page["agents"])
    _stop(pids[:product])
    _stop(pids[product:])
    _PAGE.unlink()
    print(f"{len(pids)} processes stopped")


if __name__ == "__main__":
    app()

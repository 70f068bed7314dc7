"""Builders of deployments, resources and requests for the features."""

from collections import abc
from concurrent import futures
import typing

import httpx

from gentianpoint_entry import authentication
from gentianpoint_standins import addresses
from gentianpoint_standins import processes

CUSTOMER_KEY: typing.Final = "key-of-rebobinados"
OTHER_KEY: typing.Final = "key-of-another"
MODEL: typing.Final = "modelo-taller"
PLAIN: typing.Final = "app-banco"
FAST: typing.Final[abc.Mapping[str, processes.Option]] = {
    "heartbeat_ms": 100,
    "silence_ms": 500,
}
"""Settings with which a silent connection is soon found."""
DATA_CENTRES: typing.Final = ("zona-norte", "zona-sur", "zona-oeste")
CALL_TIMEOUT_S: typing.Final = 60.0


class Target(typing.NamedTuple):
    """An engine or plain service with its agent and relays."""

    target: processes.ProcessHandle
    agent: processes.ProcessHandle
    entry_relay: typing.Optional[processes.ProcessHandle]
    """Relay between entries and the agent, if there is one."""
    target_relay: typing.Optional[processes.ProcessHandle]
    """Relay between the agent and its target, if there is one."""


class Fixture(typing.NamedTuple):
    """The processes of one scenario."""

    deployment: processes.LocalDeployment
    log: processes.ProcessHandle
    hosts: processes.ProcessHandle
    entries: abc.Sequence[processes.ProcessHandle]
    targets: abc.Sequence[Target]


def make_headers(key: str = CUSTOMER_KEY, **more: str) -> dict[str, str]:
    """Return headers of a caller; ``prepare="true"`` adds ours."""
    headers = {"Authorization": f"Bearer {key}"}
    for name, value in more.items():
        words = [word.capitalize() for word in name.split("_")]
        headers["-".join(["Gentianpoint", *words])] = value
    return headers


def make_customer(key: str, **more: typing.Any) -> dict[str, typing.Any]:
    """Return the specification of a customer with one key."""
    return {"key_hashes": [authentication.hash_key(key)], **more}


def make_service(kind: str = "model", **more: typing.Any) -> dict[str, object]:
    """Return the specification of a service for all customers."""
    return {"kind": kind, "customers": ["*"], **more}


def start_target(
    deployment: processes.LocalDeployment,
    number: int,
    service: str = MODEL,
    engine: abc.Mapping[str, processes.Option] = {},
    relayed: bool = False,
    **agent: processes.Option,
) -> Target:
    """Start an engine, or a plain service, with its agent.

    All start at the same time, which halves the wait. With ``relayed`` a
    relay stands before the agent and one before its target.
    """
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    address = addresses.reserve_address()
    agent.setdefault("log_level", "debug")
    agent.setdefault("listen", addresses.reserve_address())
    start = deployment.start_engine
    name = f"engine-{number}"
    if service == PLAIN:
        start = deployment.start_plain
        name = f"plain-{number}"
        agent.setdefault("target_kind", "plain")
    with futures.ThreadPoolExecutor() as pool:
        target = pool.submit(start, name, listen=address, **engine)
        relays: list[typing.Optional[processes.ProcessHandle]] = [None, None]
        if relayed:
            starts = [
                pool.submit(deployment.start_relay, to, name=f"{side}-{name}")
                for side, to in (
                    ("before-agent", str(agent["listen"])),
                    ("before-target", address),
                )
            ]
            relays = [row.result() for row in starts]
        handle = deployment.start_agent(
            f"{service}-{number}",
            data_centre,
            service,
            relays[1].url if relays[1] else f"http://{address}",
            **agent,
        )
        deployment.register_host(
            handle,
            data_centre,
            service,
            address=relays[0].address if relays[0] else "",
        )
        return Target(target.result(), handle, relays[0], relays[1])


def start_another_entry(
    deployment: processes.LocalDeployment,
    ready: bool = True,
    **options: processes.Option,
) -> processes.ProcessHandle:
    """Start one more entry; ``ready`` waits until it serves."""
    number = sum(row.kind == "entry" for row in deployment.handles)
    return _start_entry(deployment, number, options, ready)


def _start_entry(
    deployment: processes.LocalDeployment,
    number: int,
    options: abc.Mapping[str, processes.Option],
    ready: bool = True,
) -> processes.ProcessHandle:
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    handle = deployment.launch_entry(
        f"entry-{number}",
        data_centre,
        **{"log_level": "debug", "hosts_poll_ms": 100, **options},
    )
    if ready:
        deployment.wait_for_entry(handle)
    deployment.register_host(handle, data_centre)
    return handle


def wait_for_link(entry: processes.ProcessHandle, target: Target) -> None:
    """Wait until an entry has greeted a target's agent."""
    entry.log.wait_for_event(
        "connection_opened",
        matches=lambda event: event["peer"] == target.agent.name,
    )


def start_fixture(
    deployment: processes.LocalDeployment,
    entries: int = 1,
    targets: int = 1,
    service: str = MODEL,
    engine: abc.Mapping[str, processes.Option] = {},
    spec: abc.Mapping[str, typing.Any] = {},
    entry: abc.Mapping[str, processes.Option] = {},
    relayed: bool = False,
    **agent: processes.Option,
) -> Fixture:
    """Start a deployment, declare its service and wait until it serves."""
    with futures.ThreadPoolExecutor() as pool:
        log_start = pool.submit(deployment.start_log)
        hosts = deployment.start_hosts()
        log = log_start.result()
        entry_starts = [
            pool.submit(_start_entry, deployment, number, entry)
            for number in range(entries)
        ]
        target_starts = [
            pool.submit(
                start_target,
                deployment,
                number,
                service,
                engine,
                relayed,
                **agent,
            )
            for number in range(targets)
        ]
        running = [start.result() for start in entry_starts]
        started = [start.result() for start in target_starts]
    kind = "plain" if service == PLAIN else "model"
    deployment.declare("customers", "rebobinados", make_customer(CUSTOMER_KEY))
    deployment.declare("customers", "another", make_customer(OTHER_KEY))
    revision = deployment.declare(
        "services", service, {**make_service(kind), **spec}
    )["revision"]
    for handle in running:
        handle.log.wait_for_event(
            "configuration_applied",
            matches=lambda event: event["offset"] >= revision,
        )
        for row in started:
            wait_for_link(handle, row)
    for row in started:
        row.agent.log.wait_for_event(
            "configuration_applied",
            matches=lambda event: event["revision"] >= revision,
        )
    return Fixture(deployment, log, hosts, running, started)


def complete(
    entry: processes.ProcessHandle,
    prompt: str,
    headers: typing.Optional[abc.Mapping[str, str]] = None,
    **body: typing.Any,
) -> httpx.Response:
    """Ask for a completion and return the whole answer."""
    return httpx.post(
        f"{entry.url}/v1/completions",
        json={"model": MODEL, "prompt": prompt, **body},
        headers=headers or make_headers(),
        timeout=CALL_TIMEOUT_S,
    )


def count_starts(fixture: Fixture) -> int:
    """Return how many generations the engines started, by their witness."""
    return sum(
        fixture.deployment.read_witness(row.target)["started"]
        for row in fixture.targets
        if fixture.deployment.is_running(row.target)
    )


def restart_agent(
    deployment: processes.LocalDeployment,
    row: Target,
    **options: processes.Option,
) -> processes.ProcessHandle:
    """Start a target's agent again, at its address."""
    parts = row.agent.name.rpartition("-")
    return deployment.start_agent(
        row.agent.name,
        DATA_CENTRES[int(parts[2]) % len(DATA_CENTRES)],
        parts[0],
        row.target.url,
        listen=row.agent.address,
        log_level="debug",
        **options,
    )


def replace_agent(
    deployment: processes.LocalDeployment,
    row: Target,
    name: str,
    **options: processes.Option,
) -> processes.ProcessHandle:
    """Start another agent beside a target, in the place of the first.

    The host list names the new one instead of the old.
    """
    parts = row.agent.name.rpartition("-")
    data_centre = DATA_CENTRES[int(parts[2]) % len(DATA_CENTRES)]
    newer = deployment.start_agent(
        name,
        data_centre,
        parts[0],
        row.target.url,
        target=row.agent.name,
        log_level="debug",
        **options,
    )
    deployment.forget_host(row.agent.name)
    deployment.register_host(
        newer, data_centre, parts[0], target=row.agent.name
    )
    return newer

"""Operators' calls, and what the features look for in their answers."""

from collections import abc
import concurrent.futures
import hashlib
import time
import typing

import httpx

from gentianpoint_standins import processes

CALL_TIMEOUT_S: typing.Final = 30.0
WITHIN_S: typing.Final = 40.0
_POLL_S: typing.Final = 0.05


def make_key_hash(key: str) -> str:
    """Return the digest under which a customer's key is declared."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_operator(deployment: processes.LocalDeployment) -> dict[str, str]:
    """Return the headers of an operator."""
    return {"Authorization": f"Bearer {deployment.operator_key}"}


def call(
    deployment: processes.LocalDeployment,
    entry: processes.ProcessHandle,
    method: str,
    path: str,
    body: typing.Optional[abc.Mapping[str, typing.Any]] = None,
) -> httpx.Response:
    """Call the administration API of an entry as an operator."""
    return httpx.request(
        method,
        f"{entry.url}/admin/v1/{path}",
        json=body,
        headers=make_operator(deployment),
        timeout=CALL_TIMEOUT_S,
    )


def put_customer(
    deployment: processes.LocalDeployment,
    entry: processes.ProcessHandle,
    name: str,
    **body: typing.Any,
) -> httpx.Response:
    """Declare a customer with one key, named after the customer."""
    spec = {"key_hashes": [make_key_hash(f"key-of-{name}")]}
    spec.update(body.pop("spec", {}))
    return call(
        deployment, entry, "PUT", f"customers/{name}", {"spec": spec, **body}
    )


def call_at_once(
    calls: abc.Sequence[abc.Callable[[], httpx.Response]],
) -> list[httpx.Response]:
    """Make calls at the same time and return their answers in order."""
    with concurrent.futures.ThreadPoolExecutor(len(calls)) as pool:
        return [job.result() for job in [pool.submit(c) for c in calls]]


def list_all(
    deployment: processes.LocalDeployment, entry: processes.ProcessHandle
) -> dict[str, typing.Any]:
    """Return the offset and all resources as an entry has them."""
    answers = {
        kind: call(deployment, entry, "GET", kind).json()
        for kind in ("services", "customers")
    }
    return {kind: answer["items"] for kind, answer in answers.items()}


def read_offset(
    deployment: processes.LocalDeployment, entry: processes.ProcessHandle
) -> int:
    """Return the configuration offset of an entry."""
    answer = call(deployment, entry, "GET", "services").json()
    return int(answer["revision"])


def wait_for_offset(entry: processes.ProcessHandle, offset: int) -> None:
    """Wait until an entry has a configuration offset in force."""
    entry.log.wait_for_event(
        "configuration_applied",
        within_s=WITHIN_S,
        matches=lambda event: event["offset"] >= offset,
    )


def wait_for_snapshot(
    entries: abc.Iterable[processes.ProcessHandle], offset: int
) -> None:
    """Wait until one of the entries wrote a snapshot of ``offset``."""
    rows = tuple(entries)
    wait_until(
        lambda: any(
            event["offset"] >= offset
            for entry in rows
            for event in entry.log.find_events("snapshot_written")
        ),
        f"a snapshot of offset {offset}",
    )


def wait_until(is_so: abc.Callable[[], bool], what: str) -> None:
    """Wait until something holds; the limit only ends a broken test."""
    deadline = time.monotonic() + WITHIN_S
    while not is_so():
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited in vain for {what}")
        time.sleep(_POLL_S)

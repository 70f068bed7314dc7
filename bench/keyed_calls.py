"""What an idempotency key costs: time, appends and bytes.

``python -m bench.keyed_calls`` sends the same calls without a key, with a
fresh key each, and once more with those keys, at several rates, through two
entries, and prints a JSON line and then a row for each. Calls without a key
are not repeatable either, so that all are prepared first. Bytes are counted
by a relay before the log; what the entries read and write there by
themselves, measured in as long a time without calls, is taken off.
"""

from collections import abc
from concurrent import futures
import json
import statistics
import sys
import time
import typing

import httpx

from bench import deployments
from bench import measures
from gentianpoint_standins import processes

_RATES: typing.Final = (5, 20, 80)
_CALLS: typing.Final = 160
_ENTRIES: typing.Final = 2
_AGENTS: typing.Final = 4
_CALLERS: typing.Final = 32
_STEP_MS: typing.Final = 1
_CALL_WITHIN_S: typing.Final = 30.0
_SETTLE_S: typing.Final = 3.0
_STREAM_PREFIX: typing.Final = "idempotency-"
_SHARE: typing.Final = 0.95


class _Stage(typing.NamedTuple):
    deployment: processes.LocalDeployment
    relay: processes.ProcessHandle
    log: processes.ProcessHandle
    entries: abc.Sequence[processes.ProcessHandle]


class _Row(typing.NamedTuple):
    """Figures of one kind of calls at one rate."""

    kind: str
    """``no key``, ``fresh key`` or ``repeated key``."""
    rate: int
    """Calls a second."""
    median_ms: float
    """Time to the whole answer."""
    late_ms: float
    """Time that 95 of 100 stay under."""
    appends: float
    """Appends in streams of keys, for each call."""
    wire_bytes: float
    """Bytes between the entries and the log, for each call."""
    entry_cpu_ms: float
    """Processor time of the entries, for each call."""
    refused: int
    """Calls that were not answered with 200."""


def _read_bytes(stage: _Stage) -> int:
    witness = stage.deployment.read_witness(stage.relay)
    return int(witness["forward"] + witness["backward"])


def _read_cpu_ms(stage: _Stage) -> float:
    return sum(measures.read_cpu_s(row.pid) for row in stage.entries) * 1000


def _count_claims(stage: _Stage) -> int:
    records = stage.deployment.read_witness(stage.log)["records"]
    return sum(
        count
        for name, count in records.items()
        if name.startswith(_STREAM_PREFIX)
    )


def _call(
    client: httpx.Client, entry: processes.ProcessHandle, key: str
) -> tuple[float, int]:
    headers = {
        "Authorization": f"Bearer {deployments.CUSTOMER_KEY}",
        "Gentianpoint-Repeatable": "false",
    }
    if key:
        headers["Idempotency-Key"] = key
    began = time.monotonic()
    answer = client.post(
        f"{entry.url}/v1/completions",
        json={"model": deployments.SERVICE, "prompt": "tokens:1"},
        headers=headers,
    )
    return (time.monotonic() - began) * 1000, answer.status_code


def _send_all(
    stage: _Stage, rate: int, keys: abc.Sequence[str]
) -> list[tuple[float, int]]:
    with (
        httpx.Client(timeout=_CALL_WITHIN_S) as client,
        futures.ThreadPoolExecutor(_CALLERS) as pool,
    ):
        began = time.monotonic()
        calls = []
        for number, key in enumerate(keys):
            time.sleep(max(0.0, began + number / rate - time.monotonic()))
            entry = stage.entries[number % len(stage.entries)]
            calls.append(pool.submit(_call, client, entry, key))
        return [call.result() for call in calls]


def _measure_kind(
    stage: _Stage, kind: str, rate: int, keys: abc.Sequence[str]
) -> _Row:
    idle = _read_bytes(stage)
    time.sleep(_SETTLE_S)
    idle_per_s = (_read_bytes(stage) - idle) / _SETTLE_S
    claims, sent, began = _count_claims(stage), _read_bytes(stage), time.time()
    cpu_ms = _read_cpu_ms(stage)
    results = _send_all(stage, rate, keys)
    took = time.time() - began
    cpu_ms = _read_cpu_ms(stage) - cpu_ms
    times = sorted(row[0] for row in results)
    moved = _read_bytes(stage) - sent - idle_per_s * took
    return _Row(
        kind,
        rate,
        round(statistics.median(times), 1),
        round(times[int(_SHARE * len(times))], 1),
        (_count_claims(stage) - claims) / len(keys),
        round(max(0.0, moved) / len(keys)),
        round(cpu_ms / len(keys), 1),
        sum(row[1] != httpx.codes.OK for row in results),
    )


def _start(deployment: processes.LocalDeployment, engine: str) -> _Stage:
    log = deployment.handles[0]
    relay = deployment.start_relay(log.address, name="before-log")
    deployment.log_url = relay.url
    entries = [
        deployment.start_entry(f"entry-{number}", deployments.DATA_CENTRE)
        for number in range(_ENTRIES)
    ]
    for entry in entries:
        deployment.register_host(entry, deployments.DATA_CENTRE)
    for number in range(_AGENTS):
        deployments.start_agent(deployment, f"agent-{number}", engine)
    deployments.declare_service(deployment)
    for entry in entries:
        deployments.wait_until_served(entry)
    return _Stage(deployment, relay, log, entries)


def measure() -> list[_Row]:
    """Return the rows of all kinds and rates."""
    rows = []
    with (
        deployments.open_stub_engine(_STEP_MS) as engine,
        deployments.open_deployment() as deployment,
    ):
        stage = _start(deployment, engine)
        for rate in _RATES:
            keys = [f"rate-{rate}-{number}" for number in range(_CALLS)]
            for kind, sent in (
                ("no key", [""] * _CALLS),
                ("fresh key", keys),
                ("repeated key", keys),
            ):
                rows.append(_measure_kind(stage, kind, rate, sent))
                print(json.dumps(rows[-1]._asdict()))
    return rows


def main() -> int:
    """Print the rows."""
    for row in measure():
        print(
            f"{row.kind:13} {row.rate:4}/s  median {row.median_ms:7.1f} ms  "
            f"95 in 100 {row.late_ms:7.1f} ms  {row.appends:5.2f} appends  "
            f"{row.wire_bytes:6.0f} bytes  "
            f"{row.entry_cpu_ms:5.1f} ms of processor  {row.refused} refused"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())

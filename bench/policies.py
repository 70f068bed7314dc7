"""Compares the policies on the users' scenarios, with real processes.

Each run starts engines, agents and an entry anew, sends one scenario with
one seed and reads what callers saw and how often the engines preempted. The
policies take turns on the same seeds, so that a slow moment of the machine
hits all of them::

    python -m bench.policies --users taller guia --scenarios busy overload

The results go to ``bench/results/policies.json``; a table of medians with
the spread is printed.
"""

import argparse
from collections import abc
from concurrent import futures
import functools
import json
import os
import pathlib
import statistics
import sys
import threading
import typing

import trio

from gentianpoint_entry import authentication
from gentianpoint_entry.load import arrivals
from gentianpoint_entry.load import callers
from gentianpoint_entry.load import results
from gentianpoint_entry.load import scenarios
from gentianpoint_standins import processes

_FOLDER: typing.Final = pathlib.Path(__file__).parent
_RESULTS: typing.Final = _FOLDER / "results/policies.json"
_ENGINES: typing.Final = 3
_LOST_AT_S: typing.Final = 10.0
_SLOW_FACTOR: typing.Final = 3.0
_DRIFT_A_MINUTE: typing.Final = 2.0
_LINKED_WITHIN_S: typing.Final = 20.0
_OBJECTIVES: typing.Final = {
    "taller": "fewest_preemptions",
    "guia": "steady_pace",
}


class Policy(typing.NamedTuple):
    """A way to place and admit."""

    placement: str
    """Value of the entries' ``--placement``."""
    admission: str
    """Value of the agents' ``--admission``."""


class EngineVariant(typing.NamedTuple):
    """Parameters of the stand-in engines, which the system never sees."""

    blocks: int
    """Blocks of cache memory."""
    step_ms: float
    """Time of a step without streams."""
    load_lag_ms: int
    """Age of the load figures."""


POLICIES: typing.Final[abc.Mapping[str, Policy]] = {
    "ours": Policy("two_choices", "predictive"),
    "round robin": Policy("round_robin", "none"),
    "fewest outstanding": Policy("fewest_outstanding", "none"),
    "fixed": Policy("fewest_outstanding", "fixed"),
    "reserve maximum": Policy("fewest_outstanding", "reserve_maximum"),
}
VARIANTS: typing.Final[abc.Mapping[str, EngineVariant]] = {
    "plain": EngineVariant(120, 10.0, 200),
    "small and late": EngineVariant(80, 10.0, 600),
    "large and slow": EngineVariant(200, 18.0, 200),
}
_LENGTHS: typing.Final[abc.Mapping[str, abc.Mapping[str, float]]] = {
    "ticket": {"mean": 6.0, "spread": 0.5, "cap": 32},
    "report": {"mean": 200.0, "spread": 0.9, "cap": 1500},
    "phrase": {"mean": 16.0, "spread": 0.6, "cap": 128},
    "check": {"mean": 40.0, "spread": 0.6, "cap": 256},
    "script": {"mean": 180.0, "spread": 1.0, "cap": 1500},
}


class RunKey(typing.NamedTuple):
    """One run of the comparison."""

    user: str
    """``taller`` or ``guia``."""
    scenario: str
    """Scenario without the user's name."""
    variant: str
    """Engine variant."""
    policy: str
    """Name of the policy."""
    seed: int
    """Seed of arrivals and lengths."""


class _Deployment(typing.NamedTuple):
    """The processes of one run."""

    local: processes.LocalDeployment
    entry: processes.ProcessHandle
    engines: abc.Sequence[processes.ProcessHandle]
    agents: abc.Sequence[processes.ProcessHandle]


def _start(
    local: processes.LocalDeployment,
    key: RunKey,
    scenario: scenarios.Scenario,
) -> _Deployment:
    policy, variant = POLICIES[key.policy], VARIANTS[key.variant]
    local.start_log()
    local.start_hosts()
    entry = local.start_entry(
        "entry-1", "zona-norte", placement=policy.placement, hosts_poll_ms=200
    )

    def start_pair(
        number: int,
    ) -> tuple[processes.ProcessHandle, processes.ProcessHandle]:
        name = f"engine-{number}"
        engine = local.start_engine(
            name, seed=key.seed, stream_ms=0.2, **variant._asdict()
        )
        agent = local.start_agent(
            f"agent-{number}",
            "zona-norte",
            scenario.service,
            engine.url,
            admission=policy.admission,
        )
        local.register_host(agent, "zona-norte", scenario.service)
        return engine, agent

    with futures.ThreadPoolExecutor() as pool:
        pairs = list(pool.map(start_pair, range(_ENGINES)))
    engines, agents = zip(*pairs, strict=True)
    _declare(local, key, scenario)
    for agent in agents:
        entry.log.wait_for_event(
            "connection_opened",
            _LINKED_WITHIN_S,
            functools.partial(_is_of_peer, agent.name),
        )
    return _Deployment(local, entry, engines, agents)


def _is_of_peer(peer: str, event: abc.Mapping[str, typing.Any]) -> bool:
    return bool(event["peer"] == peer)


def _declare(
    local: processes.LocalDeployment,
    key: RunKey,
    scenario: scenarios.Scenario,
) -> None:
    for customer in scenario.customers:
        local.declare(
            "customers",
            customer.name,
            {"key_hashes": [authentication.hash_key(customer.name)]},
        )
    local.declare(
        "services",
        scenario.service,
        {
            "kind": "model",
            "customers": ["*"],
            "objective": _OBJECTIVES[key.user],
            "max_tokens": 1500,
            "queue_within_ms": 15_000,
        },
    )


def _set_lengths(run: _Deployment, key: RunKey) -> None:
    drift = _DRIFT_A_MINUTE if key.scenario == "drift" else 0.0
    classes = {
        name: {**fields, "drift": drift} for name, fields in _LENGTHS.items()
    }
    for engine in run.engines:
        run.local.call("POST", f"{engine.url}/distributions", classes)


def _bring_about_fault(
    run: _Deployment, key: RunKey
) -> typing.Optional[threading.Timer]:
    if key.scenario == "slow-target":
        run.local.set_faults(run.engines[0], slow_factor=_SLOW_FACTOR)
    if key.scenario != "target-lost":
        return None
    timer = threading.Timer(_LOST_AT_S, run.local.kill, [run.agents[0]])
    timer.start()
    return timer


def run_once(key: RunKey) -> dict[str, typing.Any]:
    """Run one scenario with one policy and seed; return its figures."""
    path = _FOLDER / f"scenarios/{key.user}-{key.scenario}.yaml"
    scenario = scenarios.load_scenario(path)
    planned = arrivals.draw_arrivals(scenario, key.seed)
    local = processes.LocalDeployment()
    try:
        run = _start(local, key, scenario)
        _set_lengths(run, key)
        timer = _bring_about_fault(run, key)
        target = callers.LoadTarget(
            [run.entry.url],
            {row.name: row.name for row in scenario.customers},
            scenario.service,
        )
        seen = results.LoadResults()
        trio.run(callers.send_load, target, planned, seen.add)
        if timer is not None:
            timer.join()
        witnesses = [
            local.read_witness(engine)["now"] for engine in run.engines
        ]
    finally:
        local.kill_all()
    return {
        **key._asdict(),
        **seen.summarize(),
        "preemptions": sum(row["preemptions"] for row in witnesses),
        "redone_tokens": sum(row["redone_tokens"] for row in witnesses),
    }


class _Column(typing.NamedTuple):
    """A figure of the table."""

    title: str
    path: abc.Sequence[str]


_COLUMNS: typing.Final = (
    _Column("preemptions", ("preemptions",)),
    _Column("stall ms/req", ("stall_ms_per_request",)),
    _Column("gap p99 ms", ("time_between_tokens_ms", "p99")),
    _Column("first p95 ms", ("first_token_ms", "p95")),
    _Column("goodput tok/s", ("goodput_tokens_per_s",)),
    _Column("answered", ("answered_share",)),
    _Column("least share", ("least_customer_share",)),
)


def _pick(row: abc.Mapping[str, typing.Any], path: abc.Sequence[str]) -> float:
    value: typing.Any = row
    for name in path:
        value = value[name]
    return float(value)


def print_table(rows: abc.Sequence[abc.Mapping[str, typing.Any]]) -> None:
    """Print medians over seeds with the lowest and highest value."""
    print("| user | scenario | engines | policy | seeds | ", end="")
    print(" | ".join(column.title for column in _COLUMNS) + " |")
    print("|---" * (5 + len(_COLUMNS)) + "|")
    groups: dict[tuple[str, ...], list[abc.Mapping[str, typing.Any]]] = {}
    for row in rows:
        place = tuple(
            str(row[name])
            for name in ("user", "scenario", "variant", "policy")
        )
        groups.setdefault(place, []).append(row)
    for place, group in sorted(groups.items()):
        cells = [*place, str(len(group))]
        for column in _COLUMNS:
            values = [_pick(row, column.path) for row in group]
            cells.append(
                f"{statistics.median(values):.4g} "
                f"({min(values):.4g} to {max(values):.4g})"
            )
        print("| " + " | ".join(cells) + " |")


def _read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--users", nargs="+", default=["taller", "guia"])
    parser.add_argument("--scenarios", nargs="+", default=["busy", "overload"])
    parser.add_argument("--variants", nargs="+", default=["plain"])
    parser.add_argument("--policies", nargs="+", default=list(POLICIES))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument(
        "--at-once", type=int, default=1, help="Runs beside each other."
    )
    parser.add_argument("--output", type=pathlib.Path, default=_RESULTS)
    parser.add_argument(
        "--show",
        action="store_true",
        help="Run nothing; print the table of the output file.",
    )
    return parser.parse_args()


def main() -> int:
    """Run all combinations and write the results."""
    arguments = _read_arguments()
    if arguments.show:
        print_table(json.loads(arguments.output.read_text()))
        return 0
    keys = [
        RunKey(user, scenario, variant, policy, seed)
        for seed in range(1, arguments.seeds + 1)
        for user in arguments.users
        for scenario in arguments.scenarios
        for variant in arguments.variants
        for policy in arguments.policies
    ]
    rows: list[dict[str, typing.Any]] = []
    with futures.ProcessPoolExecutor(arguments.at_once) as pool:
        for row in pool.map(run_once, keys):
            row["load_average"] = os.getloadavg()[0]
            rows.append(row)
            print(len(rows), "of", len(keys), file=sys.stderr, flush=True)
    arguments.output.write_text(json.dumps(rows, indent=1) + "\n")
    print_table(rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Cost and delay of a request and of a token through an entry and an agent.

A stub engine steps all streams each 30 ms. The cost of a step with N streams
on one connection is a line in N: its slope is the cost of a token, its value
at zero that of a message. The cost of the requests themselves, measured with
answers of one token, is taken off.
"""

from collections import abc
import typing

from bench import deployments
from bench import loads
from bench import measures

__all__ = (
    "STEP_MS",
    "TOKENS",
    "Runs",
    "measure",
    "measure_delays",
    "measure_requests",
    "measure_steps",
    "run_steps",
)

STEP_MS: typing.Final = 30
"""Time of the stub engine's step, milliseconds."""
TOKENS: typing.Final = 120
"""Tokens of an answer."""
_STREAMS: typing.Final = (1, 4, 8, 16, 32)
_REQUESTS: typing.Final = (40, 120, 240)
_REPEATS: typing.Final = 2
_CALLERS: typing.Final = 8
_MICROSECONDS: typing.Final = 1e6
Runs: typing.TypeAlias = abc.Sequence[
    abc.Sequence[tuple[loads.Used, loads.Delays]]
]
"""Repeats at each size."""


def measure_requests(bench: loads.PathBench) -> list[measures.Series]:
    """Return the cost of requests whose answer has one token."""
    runs = [
        [bench.run(loads.Load(_CALLERS, count, 1))[0] for _ in range(_REPEATS)]
        for count in _REQUESTS
    ]
    return [
        measures.Series(
            f"request.{role}_cpu",
            "us",
            "request",
            _REQUESTS,
            [
                [getattr(used, field) * _MICROSECONDS for used in repeats]
                for repeats in runs
            ],
        )
        for role, field in (("entry", "entry_s"), ("agent", "agents_s"))
    ]


def run_steps(
    bench: loads.PathBench, streams: abc.Sequence[int], repeats: int
) -> Runs:
    """Run the streams together, some more at each size."""
    return [
        [bench.run(loads.Load(count, count, TOKENS)) for _ in range(repeats)]
        for count in streams
    ]


def measure_steps(
    name: str,
    runs: Runs,
    streams: abc.Sequence[int],
    requests: abc.Sequence[measures.Series],
) -> list[measures.Series]:
    """Return the cost of one step against the number of streams."""
    series = []
    for role, field, cost in zip(
        ("entry", "agent"), ("entry_s", "agents_s"), requests, strict=True
    ):
        request_us = measures.fit_series(cost).slope
        values = [
            [
                (getattr(used, field) * _MICROSECONDS - count * request_us)
                / TOKENS
                for used, _ in repeats
            ]
            for count, repeats in zip(streams, runs, strict=True)
        ]
        series.append(
            measures.Series(
                f"{name}.{role}_step_cpu", "us", "stream", streams, values
            )
        )
    return series


def measure_delays(
    name: str, runs: Runs, streams: abc.Sequence[int]
) -> list[measures.Series]:
    """Return how much later a token is there, and when the first is."""
    series = []
    for word, share in (("median", 0.5), ("p95", 0.95)):
        for kind in ("added", "first"):
            values = [
                [
                    loads.find_quantile(getattr(seen, kind), share)
                    for _, seen in repeats
                ]
                for repeats in runs
            ]
            series.append(
                measures.Series(
                    f"{name}.{kind}_{word}", "ms", "stream", streams, values
                )
            )
    return series


def measure() -> list[measures.Series]:
    """Return the series of this program."""
    with (
        deployments.open_stub_engine(STEP_MS) as engine,
        deployments.open_deployment() as deployment,
    ):
        entry = deployment.start_entry(
            "entry-1", deployments.DATA_CENTRE, log_level="warning"
        )
        agent = deployments.start_agent(deployment, "agent-1", engine)
        deployments.declare_service(deployment)
        deployments.wait_until_served(entry)
        bench = loads.PathBench(entry, [agent])
        requests = measure_requests(bench)
        runs = run_steps(bench, _STREAMS, _REPEATS)
        steps = measure_steps("one_link", runs, _STREAMS, requests)
        delays = measure_delays("one_link", runs, _STREAMS)
        return requests + steps + delays


if __name__ == "__main__":
    measures.write_series(measure())

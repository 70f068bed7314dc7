"""Cost of tokens at an entry whose streams come from many agents.

At the target size an entry's streams are spread thin over its connections,
so a message carries one or two tokens. Eight agents stand for them here;
the cost of a step is a line in the streams for a fixed number of agents.
"""

import typing

from bench import deployments
from bench import loads
from bench import measures
from bench import token_path

__all__ = ("measure",)

_AGENTS: typing.Final = 8
_STREAMS: typing.Final = (16, 64, 128)
_REPEATS: typing.Final = 2


def measure() -> list[measures.Series]:
    """Return the series of this program."""
    with (
        deployments.open_stub_engine(token_path.STEP_MS) as engine,
        deployments.open_deployment() as deployment,
    ):
        entry = deployment.start_entry(
            "entry-1", deployments.DATA_CENTRE, log_level="warning"
        )
        agents = [
            deployments.start_agent(deployment, f"agent-{number}", engine)
            for number in range(_AGENTS)
        ]
        deployments.declare_service(deployment)
        deployments.wait_until_served(entry)
        bench = loads.PathBench(entry, agents)
        requests = token_path.measure_requests(bench)
        runs = token_path.run_steps(bench, _STREAMS, _REPEATS)
        name = "eight_links"
        steps = token_path.measure_steps(name, runs, _STREAMS, requests)
        return steps + token_path.measure_delays(name, runs, _STREAMS)


if __name__ == "__main__":
    measures.write_series(measure())

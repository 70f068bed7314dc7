"""Runs the load of a scenario file and reports its results."""

import functools
import pathlib
import sys
import typing

import msgspec
import trio
import typer

from gentianpoint_entry.load import arrivals
from gentianpoint_entry.load import callers
from gentianpoint_entry.load import reports
from gentianpoint_entry.load import results
from gentianpoint_entry.load import scenarios

__all__ = ("LoadOptions", "run_load")

_PROGRESS_INTERVAL_S: typing.Final = 1.0
"""Interval between two lines of progress, seconds."""


class _DeploymentFile(msgspec.Struct):
    """The fields of a deployment file that the load generator needs."""

    customers: list[dict[str, str]]
    entries: list[dict[str, typing.Any]] = []


def _read_target(
    deployment: pathlib.Path, entries: typing.Sequence[str], service: str
) -> callers.LoadTarget:
    try:
        decoded = msgspec.json.decode(
            deployment.read_bytes(), type=_DeploymentFile
        )
    except (OSError, msgspec.DecodeError) as error:
        raise typer.BadParameter(f"{deployment}: {error}") from error
    urls = entries or [str(row["url"]) for row in decoded.entries]
    keys = {row["name"]: row["key"] for row in decoded.customers}
    return callers.LoadTarget(urls, keys, service)


async def _show_progress(
    measured: results.LoadResults, scheduled: int
) -> None:
    while True:
        await trio.sleep(_PROGRESS_INTERVAL_S)
        ended = measured.count_requests()
        gap = measured.token_gaps.get_quantile_value(0.99) or 0.0
        print(
            f"{ended}/{scheduled} ended, {measured.good_tokens} tokens, "
            f"99th percentile of time between tokens {gap:.0f} ms, "
            f"outcomes {measured.outcomes}",
            file=sys.stderr,
        )


async def _run_load(
    target: callers.LoadTarget,
    scheduled: typing.Sequence[arrivals.Arrival],
    measured: results.LoadResults,
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_show_progress, measured, len(scheduled))
        await callers.send_load(target, scheduled, measured.add)
        nursery.cancel_scope.cancel()


class LoadOptions(typing.NamedTuple):
    """Options of the command line."""

    scenario: pathlib.Path
    """Scenario file."""
    deployment: pathlib.Path
    """File with the entries and the customers' keys."""
    entries: typing.Sequence[str]
    """URLs of entries; if empty, those of the deployment file."""
    seed: int
    """Random seed of arrivals and prompts."""
    json_file: typing.Optional[pathlib.Path]
    """File for the results as JSON."""
    html_file: typing.Optional[pathlib.Path]
    """File for the HTML report with plots."""


def run_load(options: LoadOptions) -> None:
    """Send the load, print the results and write the reports."""
    try:
        scenario = scenarios.load_scenario(options.scenario)
    except scenarios.ScenarioError as error:
        raise typer.BadParameter(str(error)) from error
    target = _read_target(
        options.deployment, options.entries, scenario.service
    )
    scheduled = arrivals.draw_arrivals(scenario, options.seed)
    measured = results.LoadResults()
    trio.run(functools.partial(_run_load, target, scheduled, measured))
    summary = {
        "scenario": scenario.name,
        "seed": options.seed,
        **measured.summarize(),
    }
    print(msgspec.json.format(msgspec.json.encode(summary)).decode())
    if options.json_file is not None:
        reports.write_json(options.json_file, summary)
    if options.html_file is not None:
        title = f"{scenario.name}, seed {options.seed}"
        reports.write_html(options.html_file, title, summary, measured)

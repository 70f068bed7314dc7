"""Runs a load from a scenario file to its reports."""

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

__all__ = ("LoadOrder", "run_load")

_PROGRESS_S: typing.Final = 1.0


class _KeysFile(msgspec.Struct):
    """The part of a deployment file that names customers and entries."""

    customers: list[dict[str, str]]
    entries: list[dict[str, typing.Any]] = []


def _read_target(
    deployment: pathlib.Path, entries: typing.Sequence[str], service: str
) -> callers.LoadTarget:
    try:
        known = msgspec.json.decode(deployment.read_bytes(), type=_KeysFile)
    except (OSError, msgspec.DecodeError) as error:
        raise typer.BadParameter(f"{deployment}: {error}") from error
    urls = entries or [str(row["url"]) for row in known.entries]
    keys = {row["name"]: row["key"] for row in known.customers}
    return callers.LoadTarget(urls, keys, service)


async def _show_progress(run: results.LoadResults, planned: int) -> None:
    while True:
        await trio.sleep(_PROGRESS_S)
        ended = run.count_requests()
        gap = run.gaps.get_quantile_value(0.99) or 0.0
        print(
            f"{ended}/{planned} ended, {run.good_tokens} tokens, "
            f"99th percentile between tokens {gap:.0f} ms, "
            f"outcomes {run.outcomes}",
            file=sys.stderr,
        )


async def _run_load(
    target: callers.LoadTarget,
    planned: typing.Sequence[arrivals.Arrival],
    run: results.LoadResults,
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_show_progress, run, len(planned))
        await callers.send_load(target, planned, run.add)
        nursery.cancel_scope.cancel()


class LoadOrder(typing.NamedTuple):
    """What the command line asks for."""

    scenario: pathlib.Path
    """Scenario file."""
    deployment: pathlib.Path
    """File with entries and customers' keys."""
    entries: typing.Sequence[str]
    """URLs of entries; empty for those of the deployment."""
    seed: int
    """Seed of arrivals and prompts."""
    json_file: typing.Optional[pathlib.Path]
    """File for the figures."""
    html_file: typing.Optional[pathlib.Path]
    """File for the report with plots."""


def run_load(order: LoadOrder) -> None:
    """Send the load, print the figures and write the reports."""
    try:
        chosen = scenarios.load_scenario(order.scenario)
    except scenarios.ScenarioError as error:
        raise typer.BadParameter(str(error)) from error
    target = _read_target(order.deployment, order.entries, chosen.service)
    planned = arrivals.draw_arrivals(chosen, order.seed)
    run = results.LoadResults()
    trio.run(functools.partial(_run_load, target, planned, run))
    summary = {
        "scenario": chosen.name,
        "seed": order.seed,
        **run.summarize(),
    }
    print(msgspec.json.format(msgspec.json.encode(summary)).decode())
    if order.json_file is not None:
        reports.write_json(order.json_file, summary)
    if order.html_file is not None:
        title = f"{chosen.name}, seed {order.seed}"
        reports.write_html(order.html_file, title, summary, run)

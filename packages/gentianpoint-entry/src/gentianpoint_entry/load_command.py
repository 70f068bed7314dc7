"""The command ``gentianpoint load``."""

import importlib
import pathlib
import typing

import typer

__all__ = ("register_load_command",)

_RUNNER: typing.Final = "gentianpoint_entry.load.runner"


def register_load_command(app: typer.Typer) -> None:
    """Add the command to ``app``."""

    @app.command("load")
    def send(
        scenario: typing.Annotated[
            pathlib.Path, typer.Option(help="Scenario file, YAML.")
        ],
        deployment: typing.Annotated[
            pathlib.Path,
            typer.Option(help="File with entries and customers' keys."),
        ] = pathlib.Path(".run/deployment.json"),
        entry: typing.Annotated[
            typing.Optional[list[str]],
            typer.Option(help="URL of an entry; several allowed."),
        ] = None,
        seed: typing.Annotated[
            int, typer.Option(help="Seed of arrivals and prompts.")
        ] = 1,
        json_file: typing.Annotated[
            typing.Optional[pathlib.Path],
            typer.Option("--json", help="File for the figures."),
        ] = None,
        html_file: typing.Annotated[
            typing.Optional[pathlib.Path],
            typer.Option("--html", help="File for the report with plots."),
        ] = None,
    ) -> None:
        """Send a load of a scenario and report what callers see."""
        # Plots and random numbers take some 40 MB, which an entry that runs
        # from the same binary must not carry: they are imported here.
        runner = importlib.import_module(_RUNNER)
        order = runner.LoadOrder(
            scenario, deployment, entry or (), seed, json_file, html_file
        )
        runner.run_load(order)

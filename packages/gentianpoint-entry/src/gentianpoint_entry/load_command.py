"""The command ``gentianpoint load``: sends a load and measures it."""

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
            typer.Option(
                help="File with the entries and the customers' keys."
            ),
        ] = pathlib.Path(".run/deployment.json"),
        entry: typing.Annotated[
            typing.Optional[list[str]],
            typer.Option(help="URL of an entry; can be repeated."),
        ] = None,
        seed: typing.Annotated[
            int, typer.Option(help="Random seed of arrivals and prompts.")
        ] = 1,
        json_file: typing.Annotated[
            typing.Optional[pathlib.Path],
            typer.Option("--json", help="File for the results as JSON."),
        ] = None,
        html_file: typing.Annotated[
            typing.Optional[pathlib.Path],
            typer.Option(
                "--html", help="File for the HTML report with plots."
            ),
        ] = None,
    ) -> None:
        """Send the load of a scenario and report what callers measure."""
        # Matplotlib and NumPy take some 40 MB. They are imported only here
        # because an entry, which shares the executable, must not hold them.
        runner = importlib.import_module(_RUNNER)
        options = runner.LoadOptions(
            scenario, deployment, entry or (), seed, json_file, html_file
        )
        runner.run_load(options)

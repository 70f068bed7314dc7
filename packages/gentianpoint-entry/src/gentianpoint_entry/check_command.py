"""The command ``gentianpoint check``: validates a deploy folder."""

import pathlib
import typing

import typer

from gentianpoint_entry import deploy_check

__all__ = ("register_check_command",)


def register_check_command(app: typer.Typer) -> None:
    """Add the command to ``app``."""

    @app.command("check")
    def check(
        folder: typing.Annotated[
            pathlib.Path, typer.Argument(help="Deploy folder.")
        ] = pathlib.Path("deploy"),
        settings: typing.Annotated[
            typing.Optional[list[pathlib.Path]],
            typer.Option(help="Settings file of a process; may be repeated."),
        ] = None,
    ) -> None:
        """Report the problems of a deploy folder and settings files."""
        problems = list(deploy_check.check_folder(folder))
        for path in settings or ():
            problems += deploy_check.check_settings(folder, path)
        for problem in problems:
            typer.echo(problem)
        if problems:
            raise typer.Exit(1)
        typer.echo("no problems found")

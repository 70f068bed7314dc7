"""The command ``gentianpoint summary``: what became of all requests."""

import pathlib
import typing

import typer

from gentianpoint_entry import log_lines
from gentianpoint_entry import loss_summary

__all__ = ("register_summary_command",)


def register_summary_command(app: typer.Typer) -> None:
    """Add the command to ``app``."""

    @app.command("summary")
    def summary(
        files: typing.Annotated[
            typing.Optional[list[pathlib.Path]],
            typer.Argument(help="Files with log lines; none for input."),
        ] = None,
    ) -> None:
        """Count requests by route and by what kept them from being in time."""
        texts = list(log_lines.open_texts(files))
        counts = loss_summary.count_causes(texts)
        leaving = loss_summary.count_leaving(texts)
        for row in (
            *loss_summary.make_table(counts),
            *loss_summary.make_leaving_table(leaving),
        ):
            typer.echo(row)
        if not counts:
            typer.echo("no line tells of a request", err=True)
            raise typer.Exit(1)

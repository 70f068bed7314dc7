"""The command ``gentianpoint summary``: what became of all requests."""

from collections import abc
import pathlib
import typing

import typer

from gentianpoint_entry import log_lines
from gentianpoint_entry import loss_summary
from gentianpoint_entry import lost_worth

__all__ = ("register_summary_command",)


def register_summary_command(app: typer.Typer) -> None:
    """Add the command to ``app``."""

    @app.command("summary")
    def summary(
        files: typing.Annotated[
            typing.Optional[list[pathlib.Path]],
            typer.Argument(help="Files with log lines; none for input."),
        ] = None,
        worth: typing.Annotated[
            typing.Optional[list[str]],
            typer.Option(
                metavar="ROUTE=ON_TIME[,LATE]",
                help="What an answer of a route is worth in time, and late.",
            ),
        ] = None,
    ) -> None:
        """Count requests by route and by what kept them from being in time.

        With --worth, the last column is the share of all worth that the
        cause took.
        """
        worths = _parse_worths(worth or ())
        texts = list(log_lines.open_texts(files))
        counts = loss_summary.count_causes(texts)
        leaving = loss_summary.count_leaving(texts)
        losses = lost_worth.weigh_losses(
            loss_summary.list_judged(texts), worths
        )
        for row in (
            *loss_summary.make_table(counts, losses),
            *loss_summary.make_leaving_table(leaving),
        ):
            typer.echo(row)
        if not counts:
            typer.echo("no line tells of a request", err=True)
            raise typer.Exit(1)


def _parse_worths(
    texts: abc.Iterable[str],
) -> abc.Mapping[str, lost_worth.Worth]:
    try:
        return dict(lost_worth.parse_worth(text) for text in texts)
    except ValueError as error:
        raise typer.BadParameter(str(error), param_hint="--worth") from error

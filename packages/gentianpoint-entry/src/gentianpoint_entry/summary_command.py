"""The command ``gentianpoint summary``: counts how requests ended."""

from collections import abc
import pathlib
import typing

import typer

from gentianpoint_entry import log_lines
from gentianpoint_entry import lost_worth
from gentianpoint_entry import outcome_summary

__all__ = ("register_summary_command",)


def register_summary_command(app: typer.Typer) -> None:
    """Add the command to ``app``."""

    @app.command("summary")
    def summary(
        files: typing.Annotated[
            typing.Optional[list[pathlib.Path]],
            typer.Argument(
                help="Files with log lines; standard input if none."
            ),
        ] = None,
        worth: typing.Annotated[
            typing.Optional[list[str]],
            typer.Option(
                metavar="ROUTE=ON_TIME[,LATE]",
                help="Value of an answer on a route, in time and late.",
            ),
        ] = None,
    ) -> None:
        """Count requests by route and by why they were not answered in time.

        With --worth, the last column is the share of the total value that
        was lost by the cause.
        """
        values_by_route = _parse_answer_values(worth or ())
        texts = list(log_lines.read_text_lines(files))
        counts = outcome_summary.count_causes(texts)
        leaving = outcome_summary.count_leaving(texts)
        losses = lost_worth.compute_lost_shares(
            outcome_summary.classify_requests(texts), values_by_route
        )
        for row in (
            *outcome_summary.format_table(counts, losses),
            *outcome_summary.format_leaving_table(leaving),
        ):
            typer.echo(row)
        if not counts:
            typer.echo("no log line mentions a request", err=True)
            raise typer.Exit(1)


def _parse_answer_values(
    texts: abc.Iterable[str],
) -> abc.Mapping[str, lost_worth.AnswerValue]:
    try:
        return dict(lost_worth.parse_answer_value(text) for text in texts)
    except ValueError as error:
        raise typer.BadParameter(str(error), param_hint="--worth") from error

"""The command ``gentianpoint explain``: a request's way from log lines."""

from collections import abc
import pathlib
import typing

import typer

from gentianpoint_entry import log_lines
from gentianpoint_entry import loss_summary

__all__ = ("explain_request", "register_explain_command")

_SHOWN_APART: typing.Final = frozenset(
    ("event", "host", "number", "request", "severity", "timestamp")
)
_NEAR: typing.Final = ("target", "source", "peer", "address")
"""Fields by which lines of other processes belong to a request's way."""
_OF_PROCESS: typing.Final = frozenset(
    (
        "entry_started",
        "leaving_started",
        "lines_left_out",
        "log_available",
        "log_unavailable",
        "process_stopped",
        "shutdown_overdue",
    )
)
"""Events of a whole process that concern all requests there."""
_ENDS: typing.Final = frozenset(("entry_started", "process_stopped"))
"""Events by which a process is known to have ended, the one before too."""
_OF_LISTING: typing.Final = frozenset(
    ("connection_opened", "target_announced", "target_listed")
)
"""Events that each process has for each target as it learns of it; those of
other processes tell nothing of a request."""


def explain_request(
    texts: abc.Iterable[str], request: str
) -> abc.Sequence[str]:
    """Return a request's way, a line a step, in the order of time.

    With it come the lines of all processes that tell of a target that the
    request was at, while it was under way: its notice, its loss, its moves;
    and what its entries tell of themselves. What became of it stands last.
    """
    lines = log_lines.sort_lines(texts)
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    way = [
        *own,
        *_find_around(lines, own),
        *_find_ends(lines, own),
    ]
    way.sort(key=lambda line: line.timestamp)
    return [
        *map(_describe, way),
        *(
            f"{host}: {cause}"
            for host, cause in loss_summary.find_causes(lines, request)
        ),
    ]


def _find_around(
    lines: abc.Sequence[log_lines.Line], own: abc.Sequence[log_lines.Line]
) -> abc.Iterator[log_lines.Line]:
    """Yield the lines of no request that tell of what a request met."""
    names = {name for line in own for name in _list_names(line)}
    hosts = {line.fields.get("host") for line in own}
    for line in lines:
        if not own[0].timestamp <= line.timestamp <= own[-1].timestamp:
            continue
        if "request" in line.fields:
            continue
        event = line.fields["event"]
        if line.fields.get("host") in hosts:
            is_near = event in _OF_PROCESS or bool(names & _list_names(line))
        else:
            is_near = event not in _OF_LISTING and bool(
                names & _list_names(line)
            )
        if is_near:
            yield line


def _find_ends(
    lines: abc.Sequence[log_lines.Line], own: abc.Sequence[log_lines.Line]
) -> abc.Iterator[log_lines.Line]:
    """Yield what became of entries that have no line of a request's end."""
    last = {line.fields.get("host"): line for line in own}
    for host, line in last.items():
        if line.fields["event"] == "request_ended":
            continue
        for later in lines:
            if (
                later.timestamp > own[-1].timestamp
                and later.fields.get("host") == host
                and later.fields["event"] in _ENDS
            ):
                yield later
                break


def _list_names(line: log_lines.Line) -> abc.Set[str]:
    found = (line.fields.get(name) for name in _NEAR)
    return {name for name in found if isinstance(name, str) and name}


def _describe(line: log_lines.Line) -> str:
    fields = line.fields
    details = ", ".join(
        f"{name} {value}"
        for name, value in fields.items()
        if name not in _SHOWN_APART and value not in ("", None)
    )
    place = str(fields.get("host", "?"))
    number = fields.get("number", "")
    return f"{line.timestamp} {place:20} {number} {fields['event']}: {details}"


def register_explain_command(app: typer.Typer) -> None:
    """Add the command to ``app``."""

    @app.command("explain")
    def explain(
        request: typing.Annotated[
            str, typer.Argument(help="Identifier of the request.")
        ],
        files: typing.Annotated[
            typing.Optional[list[pathlib.Path]],
            typer.Argument(help="Files with log lines; none for input."),
        ] = None,
    ) -> None:
        """Print a request's way from the log lines of many processes."""
        steps = explain_request(log_lines.open_texts(files), request)
        for step in steps:
            typer.echo(step)
        if not steps:
            typer.echo(f"no line tells of {request}", err=True)
            raise typer.Exit(1)

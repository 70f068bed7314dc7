"""The command ``gentianpoint explain``: one request's log timeline."""

from collections import abc
import pathlib
import typing

import typer

from gentianpoint_entry import log_lines
from gentianpoint_entry import outcome_summary

__all__ = ("explain_request", "register_explain_command")

_NON_DETAIL_FIELDS: typing.Final = frozenset(
    ("event", "host", "number", "request", "severity", "timestamp")
)
"""Fields that are printed before the details or left out."""
_PROCESS_NAME_FIELDS: typing.Final = ("target", "source", "peer", "address")
"""Fields that name a process; a line of another process belongs to a timeline
if it names a process that the request's own lines name."""
_PROCESS_EVENTS: typing.Final = frozenset(
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
"""Events that affect every request of the process that logs them."""
_PROCESS_END_EVENTS: typing.Final = frozenset(
    ("entry_started", "process_stopped")
)
"""Events that show that a process ended; a start shows it of the previous
one."""
_DISCOVERY_EVENTS: typing.Final = frozenset(
    ("connection_opened", "target_announced", "target_listed")
)
"""Events that every process logs for every target it discovers; those of
other processes say nothing about a request."""


def explain_request(
    texts: abc.Iterable[str], request: str
) -> abc.Sequence[str]:
    """Return the timeline of a request, one line per event, sorted by time.

    Besides the request's own lines it has those that any process logged in
    the meantime about the request's targets, such as that a target is
    leaving or lost or that a generation moved, and those of its entries
    about themselves. The last lines say how the request ended.
    """
    lines = log_lines.parse_sorted(texts)
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    timeline = [
        *own,
        *_find_related(lines, own),
        *_find_process_ends(lines, own),
    ]
    timeline.sort(key=lambda line: line.timestamp)
    return [
        *map(_format_line, timeline),
        *(
            f"{host}: {cause}"
            for host, cause in outcome_summary.find_causes(lines, request)
        ),
    ]


def _find_related(
    lines: abc.Sequence[log_lines.Line], own: abc.Sequence[log_lines.Line]
) -> abc.Iterator[log_lines.Line]:
    """Yield related lines that belong to no request, while it ran."""
    names = {name for line in own for name in _list_process_names(line)}
    hosts = {line.fields.get("host") for line in own}
    for line in lines:
        if not own[0].timestamp <= line.timestamp <= own[-1].timestamp:
            continue
        if "request" in line.fields:
            continue
        event = line.fields["event"]
        if line.fields.get("host") in hosts:
            is_related = event in _PROCESS_EVENTS or bool(
                names & _list_process_names(line)
            )
        else:
            is_related = event not in _DISCOVERY_EVENTS and bool(
                names & _list_process_names(line)
            )
        if is_related:
            yield line


def _find_process_ends(
    lines: abc.Sequence[log_lines.Line], own: abc.Sequence[log_lines.Line]
) -> abc.Iterator[log_lines.Line]:
    """Yield the end of each process that did not log the request's end."""
    last = {line.fields.get("host"): line for line in own}
    for host, line in last.items():
        if line.fields["event"] == "request_ended":
            continue
        for later in lines:
            if (
                later.timestamp > own[-1].timestamp
                and later.fields.get("host") == host
                and later.fields["event"] in _PROCESS_END_EVENTS
            ):
                yield later
                break


def _list_process_names(line: log_lines.Line) -> abc.Set[str]:
    found = (line.fields.get(name) for name in _PROCESS_NAME_FIELDS)
    return {name for name in found if isinstance(name, str) and name}


def _format_line(line: log_lines.Line) -> str:
    fields = line.fields
    details = ", ".join(
        f"{name} {value}"
        for name, value in fields.items()
        if name not in _NON_DETAIL_FIELDS and value not in ("", None)
    )
    host = str(fields.get("host", "?"))
    number = fields.get("number", "")
    return f"{line.timestamp} {host:20} {number} {fields['event']}: {details}"


def register_explain_command(app: typer.Typer) -> None:
    """Add the command to ``app``."""

    @app.command("explain")
    def explain(
        request: typing.Annotated[
            str, typer.Argument(help="Identifier of the request.")
        ],
        files: typing.Annotated[
            typing.Optional[list[pathlib.Path]],
            typer.Argument(
                help="Files with log lines; standard input if none."
            ),
        ] = None,
    ) -> None:
        """Print the timeline of a request from the logs of many processes."""
        steps = explain_request(log_lines.read_text_lines(files), request)
        for step in steps:
            typer.echo(step)
        if not steps:
            typer.echo(f"no log line mentions request {request}", err=True)
            raise typer.Exit(1)

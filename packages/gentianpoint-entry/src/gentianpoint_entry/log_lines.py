"""Parses the log lines of many processes for the operators' commands."""

from collections import abc
import json
import pathlib
import sys
import typing

__all__ = ("Line", "parse_lines", "parse_sorted", "read_text_lines")


class Line(typing.NamedTuple):
    """One log line."""

    timestamp: str
    """Timestamp as written; its text order is the order of time."""
    fields: abc.Mapping[str, typing.Any]
    """All fields of the line, the timestamp included."""


def parse_lines(texts: abc.Iterable[str]) -> abc.Iterator[Line]:
    """Yield the log lines in texts; a prefix before the brace is ignored."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except (ValueError, RecursionError):
            # Output of another program, or a truncated line.
            continue
        if isinstance(fields, dict) and isinstance(fields.get("event"), str):
            yield Line(str(fields.get("timestamp", "")), fields)


def parse_sorted(texts: abc.Iterable[str]) -> abc.Sequence[Line]:
    """Return the log lines in texts, sorted by time."""
    return sorted(parse_lines(texts), key=lambda line: line.timestamp)


def read_text_lines(
    files: typing.Optional[abc.Sequence[pathlib.Path]],
) -> abc.Iterable[str]:
    """Return the lines of files, or of standard input if there are none."""
    if not files:
        return sys.stdin
    return [
        line
        for path in files
        for line in path.read_text(errors="replace").splitlines()
    ]

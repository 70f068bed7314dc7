"""Log lines of many processes, as the commands for on-call engineers read
them."""

from collections import abc
import json
import pathlib
import sys
import typing

__all__ = ("Line", "open_texts", "read_lines", "sort_lines")


class Line(typing.NamedTuple):
    """One log line."""

    timestamp: str
    """Its time as written, which sorts as text."""
    fields: abc.Mapping[str, typing.Any]
    """All of its fields."""


def read_lines(texts: abc.Iterable[str]) -> abc.Iterator[Line]:
    """Yield the log lines in texts; a prefix before the brace is left out."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except (ValueError, RecursionError):
            # Output of something else, or a line that was cut.
            continue
        if isinstance(fields, dict) and isinstance(fields.get("event"), str):
            yield Line(str(fields.get("timestamp", "")), fields)


def sort_lines(texts: abc.Iterable[str]) -> abc.Sequence[Line]:
    """Return the log lines in texts in the order of time."""
    return sorted(read_lines(texts), key=lambda line: line.timestamp)


def open_texts(
    files: typing.Optional[abc.Sequence[pathlib.Path]],
) -> abc.Iterable[str]:
    """Return the lines of files, of the standard input without any."""
    if not files:
        return sys.stdin
    return [
        line
        for path in files
        for line in path.read_text(errors="replace").splitlines()
    ]

"""What a process that a developer tool started has printed."""

from collections import abc
import pathlib
import time
import typing

import msgspec

__all__ = ("ProcessLog",)

_POLL_S: typing.Final = 0.02


class ProcessLog:
    """Lines of a process's standard output and error, kept in a file.

    A file rather than a pipe, since a deployment outlives the tool that
    started it, and a process that writes to a pipe without a reader dies.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Read the lines in the file at ``path``."""
        self.path: typing.Final = path

    def read_lines(self) -> list[str]:
        """Return all whole lines so far."""
        text = self.path.read_text(errors="replace")
        return text.split("\n")[:-1]

    def read_events(self) -> list[dict[str, typing.Any]]:
        """Return the lines that are JSON objects, decoded."""
        events = []
        for line in self.read_lines():
            if line.startswith("{"):
                events.append(_decode(line))
        return [event for event in events if event]

    def find_events(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the events called ``name``."""
        return [row for row in self.read_events() if row.get("event") == name]

    def wait_for_event(
        self,
        name: str,
        within_s: float = 20.0,
        matches: abc.Callable[[dict[str, typing.Any]], bool] = lambda event: (
            True
        ),
    ) -> dict[str, typing.Any]:
        """Wait for an event called ``name`` that ``matches``.

        Raises TimeoutError with the last lines after ``within_s`` seconds.
        """
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            for event in self.find_events(name):
                if matches(event):
                    return event
            time.sleep(_POLL_S)
        raise TimeoutError(f"no event {name} in {self.path}:\n{self.tail()}")

    def tail(self, count: int = 15) -> str:
        """Return the last lines."""
        return "\n".join(self.read_lines()[-count:])


def _decode(line: str) -> dict[str, typing.Any]:
    try:
        return msgspec.json.decode(line.encode(), type=dict)
    except msgspec.DecodeError:
        return {}

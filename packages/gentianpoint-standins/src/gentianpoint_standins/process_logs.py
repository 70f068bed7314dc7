"""What a process that a developer tool started has printed."""

from collections import abc
import pathlib
import threading
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
        self._lock: typing.Final = threading.Lock()
        self._lines: typing.Final[list[str]] = []
        self._events: typing.Final[list[dict[str, typing.Any]]] = []
        self._read_bytes = 0

    def _read_on(self) -> None:
        """Read what was added since the last call, up to a whole line.

        A bench looks at logs of many megabytes over and over; reading them
        from the start each time would take the time that it measures.
        """
        with self.path.open("rb") as file:
            file.seek(self._read_bytes)
            whole, newline, _ = file.read().rpartition(b"\n")
        self._read_bytes += len(whole) + len(newline)
        for data in whole.split(b"\n") if newline else ():
            self._lines.append(data.decode(errors="replace"))
            if data.startswith(b"{"):
                self._events.append(_decode(data))

    def read_lines(self) -> list[str]:
        """Return all whole lines so far."""
        with self._lock:
            self._read_on()
            return list(self._lines)

    def read_events(self) -> list[dict[str, typing.Any]]:
        """Return the lines that are JSON objects, decoded."""
        with self._lock:
            self._read_on()
            return list(self._events)

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


def _decode(line: bytes) -> dict[str, typing.Any]:
    try:
        return msgspec.json.decode(line, type=dict)
    except msgspec.DecodeError:
        return {}

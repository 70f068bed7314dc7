"""Non-blocking, rate-limited output of log lines.

Lines go to standard output, which may be a pipe that nobody reads. A blocking
write would stall every request of the process, so lines that do not fit into
a bounded buffer are dropped and counted. Frequent events, such as refusals
under load, are limited to a number of lines per second for each event; the
rest are dropped and counted too.
"""

import collections
import os
import time
import typing

__all__ = ("BoundedWriter", "EventRateLimiter")

_BUFFER_BYTES: typing.Final = 262144
"""Size of the buffer in bytes; holds some seconds of lines at usual load."""
_MAX_LINES_PER_SECOND: typing.Final = 100
"""Largest number of lines per event and second. At 400 bytes a line, an event
writes at most 40 KB a second."""


class BoundedWriter:
    """Writes lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which is set to non-blocking mode."""
        os.set_blocking(descriptor, False)
        self._descriptor: typing.Final = descriptor
        self._buffer = bytearray()
        self.dropped_lines = 0

    def write(self, text: str) -> int:
        """Buffer a text; drop it and count its lines if it does not fit."""
        data = text.encode()
        if len(self._buffer) + len(data) > _BUFFER_BYTES:
            self.dropped_lines += text.count("\n")
        else:
            self._buffer += data
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so the error can't be logged either.
                self._buffer.clear()
                return
            del self._buffer[:written]


class EventRateLimiter:
    """Limits the number of lines of each event per second."""

    def __init__(
        self, read_clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        """Use the seconds of ``read_clock``."""
        self._read_clock: typing.Final = read_clock
        self._second = 0
        self._lines: typing.Final[collections.Counter[str]] = (
            collections.Counter()
        )

    def allow(self, event: str) -> bool:
        """Count a line of ``event`` and return whether to write it."""
        self._lines[event] += 1
        return self._lines[event] <= _MAX_LINES_PER_SECOND

    def take_dropped_lines(self) -> typing.Mapping[str, int]:
        """Return the dropped lines of the last second by event.

        Resets the counts. Returns nothing while the current second lasts.
        """
        second = int(self._read_clock())
        if second == self._second:
            return {}
        self._second = second
        dropped_lines = {
            event: count - _MAX_LINES_PER_SECOND
            for event, count in self._lines.items()
            if count > _MAX_LINES_PER_SECOND
        }
        self._lines.clear()
        return dropped_lines

"""Log lines that never hold a process up and never flood its reader.

Lines go to standard output, which may be a pipe that nobody reads. A write
that waited would stop every request of the process, so what does not fit is
left out and counted. The same holds for events that come in great numbers,
such as refusals under load: of each event some lines a second are enough to
see what happens, and the count tells the rest.
"""

import collections
import os
import time
import typing

__all__ = ("BoundedWriter", "EventRates")

_MOST_HELD_BYTES: typing.Final = 262144
"""Bytes that wait for a reader; some seconds of lines under usual load."""
_MOST_LINES: typing.Final = 100
"""Lines of one event in one second. At four hundred bytes each, an event that
comes all the time writes 40 KB a second."""


class BoundedWriter:
    """Writes lines to a descriptor without ever waiting."""

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which is set not to block."""
        os.set_blocking(descriptor, False)
        self._descriptor: typing.Final = descriptor
        self._held = bytearray()
        self.left_out = 0

    def write(self, text: str) -> int:
        """Take a text; one that does not fit is left out and counted."""
        data = text.encode()
        if len(self._held) + len(data) > _MOST_HELD_BYTES:
            self.left_out += text.count("\n")
        else:
            self._held += data
        return len(text)

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self._held:
            try:
                written = os.write(self._descriptor, self._held)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will read again; there is no place left to say so.
                self._held.clear()
                return
            del self._held[:written]


class EventRates:
    """Counts the lines of each event in the current second."""

    def __init__(
        self, read_clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        """Count by seconds of ``read_clock``."""
        self._read_clock: typing.Final = read_clock
        self._second = 0
        self._lines: typing.Final[collections.Counter[str]] = (
            collections.Counter()
        )

    def admit(self, event: str) -> bool:
        """Tell whether a line of ``event`` is to be written."""
        self._lines[event] += 1
        return self._lines[event] <= _MOST_LINES

    def take_left_out(self) -> typing.Mapping[str, int]:
        """Return what was left out in the second that is over, by event.

        Empty while the second lasts.
        """
        second = int(self._read_clock())
        if second == self._second:
            return {}
        self._second = second
        left_out = {
            event: count - _MOST_LINES
            for event, count in self._lines.items()
            if count > _MOST_LINES
        }
        self._lines.clear()
        return left_out

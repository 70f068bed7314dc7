"""Splits a stream into events and checks that they follow each other.

A target may break off in the middle of an event, repeat events after a resume,
or skip some. Callers must get each event once, whole and in order, so bytes
are forwarded only as whole events whose numbers follow each other.
"""

from collections import abc
import re
import typing

from gentianpoint_core.decisions import answer_ends

__all__ = ("EventOrder", "EventOrderError", "EventReader", "StreamEvent")

_EVENT_END: typing.Final = re.compile(rb"\n\r?\n|\r\r")
"""Two line ends, of which each may be LF, CRLF or CR."""
_MAX_EVENT_BYTES: typing.Final = 1 << 20
"""Longest event, in bytes, that is buffered until its end; real events are far
shorter."""
_MAX_ID_DIGITS: typing.Final = 18
"""Most digits of an identifier that is parsed as a number. Python refuses to
parse numbers of thousands of digits."""


class StreamEvent(typing.NamedTuple):
    """One event as it was received."""

    data: bytes
    """Its bytes, including the blank line that ends it."""
    number: typing.Optional[int]
    """Its identifier, if it has one that is a number."""


class EventOrderError(Exception):
    """An event does not follow the one before, or does not end."""


class EventReader:
    """Splits the bytes of one stream into events."""

    def __init__(self) -> None:
        """Start before the first byte."""
        self._buffered = b""

    @property
    def partial_bytes(self) -> int:
        """Number of bytes of an event that has not ended."""
        # Blank lines between events belong to none.
        return len(self._buffered) if self._buffered.strip(b"\r\n") else 0

    def find_content_end(self) -> answer_ends.ContentEnd:
        """Tell whether a stream that ends here ends inside an event."""
        if self.partial_bytes:
            return answer_ends.ContentEnd.MISSED
        return answer_ends.ContentEnd.UNSAID

    async def read_events(
        self, chunks: abc.AsyncIterator[bytes]
    ) -> abc.AsyncIterator[StreamEvent]:
        """Yield whole events; an event that does not end is dropped.

        Blank lines after the last event are passed on as they are.
        """
        async for chunk in chunks:
            self._buffered += chunk
            while (event := self.take_event()) is not None:
                yield event
            if len(self._buffered) > _MAX_EVENT_BYTES:
                raise EventOrderError("an event exceeds the size limit")
        if self._buffered and not self.partial_bytes:
            yield StreamEvent(self._buffered, _read_number(self._buffered))

    def take_event(self) -> typing.Optional[StreamEvent]:
        """Return the next event if it has been read whole, else None."""
        end = _EVENT_END.search(self._buffered)
        if end is None:
            return None
        data = self._buffered[: end.end()]
        self._buffered = self._buffered[end.end() :]
        return StreamEvent(data, _read_number(data))


def _read_number(data: bytes) -> typing.Optional[int]:
    for line in data.splitlines():
        if line.startswith(b"id:"):
            return _parse_number(line[3:].strip())
    return None


def _parse_number(text: bytes) -> typing.Optional[int]:
    # In bytes only ASCII characters are digits; in a str many others are.
    is_number = text.isdigit() and len(text) <= _MAX_ID_DIGITS
    return int(text) if is_number else None


class EventOrder:
    """Checks the numbers of the events that a caller is given.

    Within a run numbers only have to rise, by however much: a connection
    delivers in order, and a target may count tokens, of which an event has
    one or several. Where one run goes on for another, numbers alone tell
    whether events are missing in between::

        order = EventOrder("")
        for number in (4, 8, 10):
            order.accept(StreamEvent(b"", number))
        order.begin_run()
        order.accept(StreamEvent(b"", 14))  # 18 would raise EventOrderError.
    """

    def __init__(self, last_event_id: str) -> None:
        """Start after the last event that the caller has already, if any."""
        self.last = _parse_number(last_event_id.encode())
        self._largest_rise: typing.Optional[int] = None
        # True until the first new event of a run.
        self._is_joining = False

    def begin_run(self) -> None:
        """Note that the events to come are those of another run."""
        self._is_joining = True

    def accept(self, event: StreamEvent) -> bool:
        """Tell whether an event is new; False for one given before.

        Raises :class:`EventOrderError` when the first new event of a run is
        further from the last one than any two events were before.
        """
        if event.number is None:
            return True
        if self.last is None:
            self.last = event.number
            return True
        if event.number <= self.last:
            return False
        rise = event.number - self.last
        largest = self._largest_rise
        if self._is_joining and largest is not None and rise > largest:
            raise EventOrderError(
                f"event {event.number} of another run follows {self.last},"
                f" expected a rise of {largest} at most"
            )
        self.last = event.number
        self._largest_rise = rise if largest is None else max(rise, largest)
        self._is_joining = False
        return True

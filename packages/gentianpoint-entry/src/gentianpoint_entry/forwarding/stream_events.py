"""Events of a stream, one by one, and whether they follow each other.

A target may break off in the middle of an event, repeat events after a
resume, or leave some out. Callers must get each event once, whole and in
order, so bytes are passed on only as whole events whose numbers follow.
"""

from collections import abc
import re
import typing

__all__ = ("EventOrder", "EventOrderError", "StreamEvent", "split_events")

_EVENT_END: typing.Final = re.compile(rb"\n\n|\r\n\r\n")
_MOST_EVENT_BYTES: typing.Final = 1 << 20
"""Longest event that is held until its end; far above any real one."""
_MOST_DIGITS: typing.Final = 18
"""Digits of the longest identifier that counts as a number. Python reads no
number of thousands of digits."""


class StreamEvent(typing.NamedTuple):
    """One event as it came."""

    data: bytes
    """Its bytes, with the blank line that ends it."""
    number: typing.Optional[int]
    """Its identifier, if it has one that is a number."""


class EventOrderError(Exception):
    """An event does not follow the one before."""


async def split_events(
    chunks: abc.AsyncIterator[bytes],
) -> abc.AsyncIterator[StreamEvent]:
    """Yield whole events; what is left over at the end is one too.

    An error of ``chunks`` goes through, and the unfinished event with it.
    """
    held = b""
    async for chunk in chunks:
        held += chunk
        while end := _EVENT_END.search(held):
            data, held = held[: end.end()], held[end.end() :]
            yield StreamEvent(data, _read_number(data))
        if len(held) > _MOST_EVENT_BYTES:
            raise EventOrderError("an event has no end")
    if held:
        yield StreamEvent(held, _read_number(held))


def _read_number(data: bytes) -> typing.Optional[int]:
    for line in data.split(b"\n"):
        if line.startswith(b"id:"):
            return _parse_number(line[3:].strip())
    return None


def _parse_number(text: bytes) -> typing.Optional[int]:
    # Digits of bytes are those of ASCII; a text has many others.
    is_number = text.isdigit() and len(text) <= _MOST_DIGITS
    return int(text) if is_number else None


class EventOrder:
    """Follows the numbers of the events that a caller has been given."""

    def __init__(self, last_event_id: str) -> None:
        """Start after the event that the caller has already, if any."""
        self.last = _parse_number(last_event_id.encode())
        self._step: typing.Optional[int] = None

    def take(self, event: StreamEvent) -> bool:
        """Tell whether an event is new; False for one that was given before.

        Raises :class:`EventOrderError` when events are missing before it.
        The step between numbers is learned from the first two.
        """
        if event.number is None:
            return True
        if self.last is None:
            self.last = event.number
            return True
        if event.number <= self.last:
            return False
        step = event.number - self.last
        if self._step is None:
            self._step = step
        if step != self._step:
            raise EventOrderError(
                f"event {event.number} after {self.last}, steps of"
                f" {self._step}"
            )
        self.last = event.number
        return True

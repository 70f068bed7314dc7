"""Answers of targets that are broken, or that come early and are sound."""

import enum
import typing

__all__ = ("ANSWERS", "PART", "WHOLE", "Answer", "Ending", "Framing")

_EVENTS: typing.Final = tuple(
    b"id: %d\ndata: event %d of 3\n\n" % (number, number)
    for number in (1, 2, 3)
)
PART: typing.Final = _EVENTS[0]
"""The part that broken answers bring; it ends between two events."""
WHOLE: typing.Final = b"".join(_EVENTS)
"""The whole body."""
_ENDS_AFTER_S: typing.Final = 0.005


class Framing(enum.Enum):
    """What the head of an answer says of the end of its body."""

    CONNECTION = enum.auto()
    """Nothing: it ends with the connection."""
    LENGTH = enum.auto()
    """The length of the whole body, also where only a part is sent."""
    CHUNKS = enum.auto()
    """Chunks; the last one follows a whole body only."""


class Ending(enum.Enum):
    """What a target does once it has sent an answer."""

    RESET = enum.auto()
    """Resets the connection."""
    CLOSE = enum.auto()
    """Closes the connection with the rest of the request unread."""
    SHUTDOWN_THEN_RESET = enum.auto()
    """Ends its sending side, and resets the connection later."""
    SHUTDOWN_THEN_READ = enum.auto()
    """Ends its sending side, and reads the rest of the request."""
    STAY = enum.auto()
    """Leaves the connection open."""


class Answer(typing.NamedTuple):
    """An answer, and how its connection ends."""

    ending: Ending
    """What the target does after it."""
    framing: Framing = Framing.CONNECTION
    """How its body is framed."""
    sent: bytes = WHOLE
    """What it brings of the whole body."""
    ends_after_s: float = _ENDS_AFTER_S
    """Time from the body to the end, in seconds."""
    status: bytes = b"200"
    """Status in its head."""
    version: bytes = b"HTTP/1.1"
    """Version of HTTP in its head."""
    reason: bytes = b" OK"
    """What follows the status, with a blank before it."""
    interim: bytes = b""
    """Interim response that precedes it."""
    bad_line: bytes = b""
    """Line of its head that is no field."""

    def encode(self, fields: typing.Sequence[bytes]) -> bytes:
        """Return its bytes, with ``fields`` as the first lines of its head.

        The line that is no field follows these, and precedes the framing.
        """
        status_line = b"%b %b%b" % (self.version, self.status, self.reason)
        lines = [status_line, *fields]
        if self.bad_line:
            lines.append(self.bad_line)
        body = self.sent
        match self.framing:
            case Framing.LENGTH:
                lines.append(b"Content-Length: %d" % len(WHOLE))
            case Framing.CHUNKS:
                lines.append(b"Transfer-Encoding: chunked")
                body = b"%x\r\n%b\r\n" % (len(body), body)
                if self.sent == WHOLE:
                    body += b"0\r\n\r\n"
        return self.interim + b"\r\n".join(lines) + b"\r\n\r\n" + body


def _make_bad_head(bad_line: bytes = b"", status: bytes = b"200") -> Answer:
    return Answer(
        Ending.STAY, Framing.LENGTH, status=status, bad_line=bad_line
    )


_STATUS_ZERO: typing.Final = _make_bad_head(status=b"000")
_EARLY_HINTS: typing.Final = b"HTTP/1.1 103 Early Hints\r\n\r\n"


ANSWERS: typing.Final = {
    "a part, then a reset at once": Answer(
        Ending.RESET, sent=PART, ends_after_s=0.0
    ),
    "a part, then a reset after 5 ms": Answer(Ending.RESET, sent=PART),
    "a part, then a reset after 200 ms": Answer(
        Ending.RESET, sent=PART, ends_after_s=0.2
    ),
    "a part, then a close": Answer(Ending.CLOSE, sent=PART),
    "a part, then a shutdown and a reset": Answer(
        Ending.SHUTDOWN_THEN_RESET, sent=PART
    ),
    "a part of its length, then a reset": Answer(
        Ending.RESET, Framing.LENGTH, sent=PART
    ),
    "a part in chunks, then a reset": Answer(
        Ending.RESET, Framing.CHUNKS, sent=PART
    ),
    "its whole length, then a reset": Answer(Ending.RESET, Framing.LENGTH),
    "its whole length, then a close": Answer(Ending.CLOSE, Framing.LENGTH),
    "all its chunks, then a reset": Answer(Ending.RESET, Framing.CHUNKS),
    "a whole body, then a shutdown": Answer(Ending.SHUTDOWN_THEN_READ),
    "status 000": _STATUS_ZERO,
    "status 000 after 103": _STATUS_ZERO._replace(interim=_EARLY_HINTS),
    "status 000 in HTTP/1.0": _STATUS_ZERO._replace(version=b"HTTP/1.0"),
    "status 000, no reason": _STATUS_ZERO._replace(reason=b""),
    "status 000 in chunks": _STATUS_ZERO._replace(framing=Framing.CHUNKS),
    "status 000, then a close": _STATUS_ZERO._replace(
        ending=Ending.CLOSE, framing=Framing.CONNECTION
    ),
    "status 0": _make_bad_head(status=b"0"),
    "status 00": _make_bad_head(status=b"00"),
    "status 0000": _make_bad_head(status=b"0000"),
    "status +00": _make_bad_head(status=b"+00"),
    "no status": _make_bad_head(status=b""),
    "status 099": _make_bad_head(status=b"099"),
    "a blank in a name": _make_bad_head(b"X Note: 1"),
    "a blank in the length's name": _make_bad_head(b"Content Length: 9"),
    "a blank after a name": _make_bad_head(b"Content-Length : 9"),
    "a blank before a name": _make_bad_head(b" Content-Length: 9"),
    "a tab before a name": _make_bad_head(b"\tX-Note: 1"),
    "a tab in a name": _make_bad_head(b"X\tNote: 1"),
    "byte 00 in a name": _make_bad_head(b"X\x00Note: 1"),
    "byte 01 in a name": _make_bad_head(b"X\x01Note: 1"),
    "byte 0b in a name": _make_bad_head(b"X\x0bNote: 1"),
    "byte 0d in a name": _make_bad_head(b"X\rNote: 1"),
    "byte 7f in a name": _make_bad_head(b"X\x7fNote: 1"),
    "no name": _make_bad_head(b": 1"),
}
"""Answers by the names that features give them."""

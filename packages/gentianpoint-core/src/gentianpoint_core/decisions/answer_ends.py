"""Decides whether an answer that has ended is complete.

A length that is met, or the last chunk, proves that the sender ended the
answer itself. Without either, an answer ends with its connection, which also
ends when the sender breaks the answer off. Then the content may tell: a stream
of events does not end inside an event. Where the content does not tell, an
answer counts as complete only if the start of the target that sent it has
ended it by itself: its connection was not reset, it was not told to stop, and
it still goes on. That a process listens at its address tells this only if the
end was read as it came, since another start may have taken the address
meanwhile.
"""

import enum
import typing

__all__ = (
    "AnswerEnd",
    "ContentEnd",
    "Sender",
    "Verdict",
    "find_no_content_end",
    "judge_end",
)


class ContentEnd(enum.Enum):
    """What the content says about its end."""

    UNSAID = enum.auto()
    """It may end here or anywhere else, as the bytes of a file may."""
    MISSED = enum.auto()
    """More has to follow, as inside an event."""


class Sender(enum.Enum):
    """What is known of an answer's sender after the end of the answer."""

    NOT_ASKED = enum.auto()
    GOES_ON = enum.auto()
    """The same start goes on."""
    LISTENS = enum.auto()
    """A process takes connections at its address, maybe another start."""
    ENDED = enum.auto()
    """It refuses connections, or another start has its address."""
    UNKNOWN = enum.auto()
    """Nothing answers, as when a link is cut."""


class AnswerEnd(typing.NamedTuple):
    """How an answer ended."""

    is_delimited: bool
    """True when its length was met, or its last chunk arrived."""
    content: ContentEnd
    """What its content says."""
    was_told_to_stop: bool = False
    """True if its sender was told to stop, or may have been."""
    is_late: bool = False
    """True if the end may have come so long before it was read that another
    start listens by now."""
    was_reset: bool = False
    """True if its connection was reset, also where that failed a write of the
    request and not a read of the answer."""
    sender: Sender = Sender.NOT_ASKED
    """What is known of its sender since."""


class Verdict(enum.Enum):
    """Whether an answer is complete."""

    COMPLETE = enum.auto()
    BROKEN_OFF = enum.auto()
    ASK_SENDER = enum.auto()
    """That depends on whether its sender goes on."""


def judge_end(end: AnswerEnd) -> Verdict:
    """Return whether an answer is complete.

    >>> judge_end(AnswerEnd(True, ContentEnd.UNSAID)).name
    'COMPLETE'
    >>> judge_end(AnswerEnd(True, ContentEnd.MISSED)).name
    'BROKEN_OFF'
    >>> judge_end(AnswerEnd(False, ContentEnd.UNSAID)).name
    'ASK_SENDER'
    >>> stopped = AnswerEnd(False, ContentEnd.UNSAID, was_told_to_stop=True)
    >>> judge_end(stopped).name
    'BROKEN_OFF'
    >>> judge_end(AnswerEnd(False, ContentEnd.UNSAID, was_reset=True)).name
    'BROKEN_OFF'
    >>> judge_end(AnswerEnd(True, ContentEnd.UNSAID, was_reset=True)).name
    'COMPLETE'
    >>> late = AnswerEnd(False, ContentEnd.UNSAID, is_late=True)
    >>> judge_end(late._replace(sender=Sender.LISTENS)).name
    'BROKEN_OFF'
    """
    if end.content is ContentEnd.MISSED:
        return Verdict.BROKEN_OFF
    if end.is_delimited:
        return Verdict.COMPLETE
    if end.was_told_to_stop:
        return Verdict.BROKEN_OFF
    if end.was_reset:
        return Verdict.BROKEN_OFF
    if end.sender is Sender.GOES_ON:
        return Verdict.COMPLETE
    if end.sender is Sender.LISTENS and not end.is_late:
        return Verdict.COMPLETE
    if end.sender is Sender.NOT_ASKED:
        return Verdict.ASK_SENDER
    return Verdict.BROKEN_OFF


def find_no_content_end() -> ContentEnd:
    """Return what content says that has no end of its own."""
    return ContentEnd.UNSAID

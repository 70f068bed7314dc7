"""Decides whether an answer that has ended is complete.

A length that is met, or the last chunk, proves that the sender ended the
answer itself. Without either, an answer ends with its connection, which also
ends when the sender breaks the answer off. Then the content may tell: a stream
of events does not end inside an event. Where the content does not tell, an
answer counts as complete only if its sender still listens, and was not told to
stop: what was stopped ends like what is complete.
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
    """It takes connections."""
    ENDED = enum.auto()
    """It refuses connections."""
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
    sender: Sender = Sender.NOT_ASKED
    """What is known of its sender since."""


class Verdict(enum.Enum):
    """Whether an answer is complete."""

    COMPLETE = enum.auto()
    BROKEN_OFF = enum.auto()
    ASK_SENDER = enum.auto()
    """That depends on whether its sender still listens."""


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
    """
    if end.content is ContentEnd.MISSED:
        return Verdict.BROKEN_OFF
    if end.is_delimited:
        return Verdict.COMPLETE
    if end.was_told_to_stop:
        return Verdict.BROKEN_OFF
    if end.sender is Sender.GOES_ON:
        return Verdict.COMPLETE
    if end.sender is Sender.NOT_ASKED:
        return Verdict.ASK_SENDER
    return Verdict.BROKEN_OFF


def find_no_content_end() -> ContentEnd:
    """Return what content says that has no end of its own."""
    return ContentEnd.UNSAID

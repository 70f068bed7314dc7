"""States of generations and requests, and the steps between them.

The tables are the part of the dispatch specification that code must follow
event by event: the model in :mod:`spec.dispatch` moves its generations only
along :data:`GENERATION_STEPS`, and :mod:`spec.replay` holds recorded events
against both tables.
"""

import typing

__all__ = (
    "ACCEPT",
    "ADMIT",
    "ASK",
    "ASKED",
    "CANCEL",
    "CANCELLED",
    "DIE",
    "END",
    "ENDED",
    "FINISH",
    "FINISHED",
    "GENERATION_STEPS",
    "INCOMPLETE",
    "LOSE_REPLY",
    "NEW",
    "OFFER",
    "OFFERED",
    "PREPARED",
    "QUEUED",
    "READ",
    "READING",
    "REFUSE",
    "REFUSED",
    "REQUEST_STEPS",
    "RETRY",
    "RETRYING",
    "RUNNING",
    "UNKNOWN",
    "Steps",
)

Steps: typing.TypeAlias = typing.Mapping[str, typing.Mapping[str, str]]
"""For each state, the steps it allows and the states they lead to."""

PREPARED: typing.Final = "prepared"
"""The identifier was given out and nothing was offered under it."""
QUEUED: typing.Final = "queued"
"""The agent admitted the request and has not asked the engine yet."""
ASKED: typing.Final = "asked"
"""The engine was asked to start and has not answered yet."""
RUNNING: typing.Final = "running"
"""The engine generates, or did so for a while."""
ENDED: typing.Final = "ended"
"""The engine gave the regular end."""
INCOMPLETE: typing.Final = "incomplete"
"""The engine died, or had no more time, before the end."""
REFUSED: typing.Final = "refused"
"""The generation was not started and never will be."""
UNKNOWN: typing.Final = "unknown"
"""Whether the engine started it can't be told."""
CANCELLED: typing.Final = "cancelled"
"""The generation was cancelled and never starts again."""

ADMIT: typing.Final = "admit"
ASK: typing.Final = "ask"
ACCEPT: typing.Final = "accept"
LOSE_REPLY: typing.Final = "lose reply"
REFUSE: typing.Final = "refuse"
CANCEL: typing.Final = "cancel"
END: typing.Final = "end"
DIE: typing.Final = "die"

GENERATION_STEPS: typing.Final[Steps] = {
    PREPARED: {ADMIT: QUEUED, REFUSE: REFUSED, CANCEL: CANCELLED},
    QUEUED: {ASK: ASKED, REFUSE: REFUSED, CANCEL: CANCELLED},
    ASKED: {
        ACCEPT: RUNNING,
        REFUSE: REFUSED,
        LOSE_REPLY: UNKNOWN,
        CANCEL: CANCELLED,
        END: ENDED,
        DIE: INCOMPLETE,
    },
    RUNNING: {
        ACCEPT: RUNNING,
        LOSE_REPLY: UNKNOWN,
        CANCEL: CANCELLED,
        END: ENDED,
        DIE: INCOMPLETE,
    },
    ENDED: {},
    INCOMPLETE: {},
    REFUSED: {},
    UNKNOWN: {},
    CANCELLED: {},
}
"""A generation at its agent. Nothing leads back to the engine."""

NEW: typing.Final = "new"
"""The entry has the request."""
OFFERED: typing.Final = "offered"
"""An agent was asked to run it."""
RETRYING: typing.Final = "retrying"
"""The last attempt did not run, or what ran may run again."""
READING: typing.Final = "reading"
"""A known generation is read; no other one may answer any more."""
FINISHED: typing.Final = "finished"
"""The caller has its final answer."""

OFFER: typing.Final = "offer"
RETRY: typing.Final = "retry"
READ: typing.Final = "read"
FINISH: typing.Final = "finish"

REQUEST_STEPS: typing.Final[Steps] = {
    NEW: {OFFER: OFFERED, RETRY: RETRYING, READ: READING, FINISH: FINISHED},
    OFFERED: {RETRY: RETRYING, READ: READING, FINISH: FINISHED},
    RETRYING: {OFFER: OFFERED, RETRY: RETRYING, FINISH: FINISHED},
    READING: {READ: READING, FINISH: FINISHED},
    FINISHED: {},
}
"""A request at one entry. A repeated offer of one attempt is no step."""

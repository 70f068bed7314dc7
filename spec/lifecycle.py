"""States of a generation and the steps between them.

The table is the part of the dispatch specification that code must follow
event by event: the model in :mod:`spec.dispatch` moves its generations only
through :func:`advance`, and :mod:`spec.replay` holds recorded events against
the same table.
"""

import typing

__all__ = (
    "ADMIT",
    "CANCEL",
    "CANCELLED",
    "DIE",
    "END",
    "ENDED",
    "GENERATION_STEPS",
    "INCOMPLETE",
    "LOSE_REPLY",
    "PREPARED",
    "QUEUED",
    "REFUSE",
    "REFUSED",
    "RUNNING",
    "START",
    "UNKNOWN",
    "advance",
)

PREPARED: typing.Final = "prepared"
"""The identifier was given out and nothing was offered under it."""
QUEUED: typing.Final = "queued"
"""The agent admitted the request and has not asked the engine yet."""
RUNNING: typing.Final = "running"
"""The engine generates."""
ENDED: typing.Final = "ended"
"""The engine gave the regular end."""
INCOMPLETE: typing.Final = "incomplete"
"""The engine died before the end."""
REFUSED: typing.Final = "refused"
"""The generation was not started and never will be."""
UNKNOWN: typing.Final = "unknown"
"""The engine's reply to the start was lost."""
CANCELLED: typing.Final = "cancelled"
"""The generation was cancelled and never starts again."""

ADMIT: typing.Final = "admit"
START: typing.Final = "start"
LOSE_REPLY: typing.Final = "lose reply"
REFUSE: typing.Final = "refuse"
CANCEL: typing.Final = "cancel"
END: typing.Final = "end"
DIE: typing.Final = "die"

GENERATION_STEPS: typing.Final[
    typing.Mapping[str, typing.Mapping[str, str]]
] = {
    PREPARED: {ADMIT: QUEUED, REFUSE: REFUSED, CANCEL: CANCELLED},
    QUEUED: {
        START: RUNNING,
        LOSE_REPLY: UNKNOWN,
        REFUSE: REFUSED,
        CANCEL: CANCELLED,
    },
    RUNNING: {END: ENDED, DIE: INCOMPLETE, CANCEL: CANCELLED},
    ENDED: {},
    INCOMPLETE: {},
    REFUSED: {},
    UNKNOWN: {},
    CANCELLED: {},
}
"""For each state, the steps it allows and the states they lead to."""


def advance(state: str, step: str) -> typing.Optional[str]:
    """Return the state after ``step``, or None when it is not allowed."""
    return GENERATION_STEPS[state].get(step)

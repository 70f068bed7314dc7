"""Records of the log's stream in which agents settle who orders engines."""

import typing

import msgspec

__all__ = (
    "ASK",
    "CLAIM",
    "DONE",
    "ORDER_STREAM",
    "RENEWAL",
    "START",
    "WEIGHTS",
    "OrderRecord",
    "name_service_turns",
)

ORDER_STREAM: typing.Final = "engine-orders"
"""Stream of the log that holds the records of all targets."""
CLAIM: typing.Final = "claim"
"""A run of an agent is the one that orders its target's engine."""
RENEWAL: typing.Final = "renewal"
"""The lease of a run goes on."""
ASK: typing.Final = "ask"
"""A target queues for a turn."""
START: typing.Final = "start"
"""A target takes its turn, or keeps it up."""
DONE: typing.Final = "done"
"""A target gives its turn, or its place in the queue, back."""
WEIGHTS: typing.Final = "weights"
"""Name of the turns to read from the weight store, of all services."""


def name_service_turns(service: str) -> str:
    """Return the name of the turns of one service's targets to be away."""
    return f"service:{service}"


class OrderRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One record of the stream."""

    kind: str
    """One of the kinds above."""
    target: str
    """Target whose engine gets the orders."""
    incarnation: str
    """Run of the agent that wrote it."""
    turns: str = ""
    """Name of the turns that it is about; empty for claims and renewals."""
    units: int = 0
    """What the turn takes of its limit, such as bytes."""

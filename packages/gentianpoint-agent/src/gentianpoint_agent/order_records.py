"""Records with which agents agree who orders engines and holds turns."""

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
"""A run of an agent claims the right to order its target's engine."""
RENEWAL: typing.Final = "renewal"
"""A run of an agent renews its lease."""
ASK: typing.Final = "ask"
"""A target requests a turn."""
START: typing.Final = "start"
"""A target starts or renews its turn."""
DONE: typing.Final = "done"
"""A target ends its turn or withdraws its request."""
WEIGHTS: typing.Final = "weights"
"""Name of the turns to read from the weight store, for all services."""


def name_service_turns(service: str) -> str:
    """Return the name of the turns to stop serving, for one service."""
    return f"service:{service}"


class OrderRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """One record of the stream."""

    kind: str
    """One of ``claim``, ``renewal``, ``ask``, ``start`` and ``done``."""
    target: str
    """Target whose engine gets the orders."""
    incarnation: str
    """Run of the agent that appended the record."""
    turns: str = ""
    """Name of the turns concerned; empty for claims and renewals."""
    units: int = 0
    """Share of the limit that the turn uses, such as bytes."""

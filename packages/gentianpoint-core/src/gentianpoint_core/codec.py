"""Encoding of messages between entries and agents.

A message is a CBOR map whose ``type`` names one of the classes in
``schema/messages.json``. Unknown fields are ignored, so that a newer peer of
the same protocol version may add fields. A missing or invalid field is an
error, and the receiver closes the connection.
"""

from collections import abc
import typing

import cbor2
import expression
import msgspec

from gentianpoint_core import errors
from gentianpoint_core.generated import messages

__all__ = (
    "OLDEST_VERSION",
    "PROTOCOL_VERSION",
    "MessageMap",
    "choose_version",
    "decode_message",
    "encode_message",
)

PROTOCOL_VERSION: typing.Final = 1
"""Newest protocol version that this code supports."""
OLDEST_VERSION: typing.Final = 1
"""Oldest protocol version that this code supports."""

MessageMap = abc.Mapping[str, typing.Any]
"""A decoded message; ``type`` identifies the generated class."""

_MESSAGE_CLASSES: typing.Final[abc.Mapping[str, typing.Any]] = {
    "hello": messages.Hello,
    "welcome": messages.Welcome,
    "offer": messages.Offer,
    "prepare": messages.Prepare,
    "prepared": messages.Prepared,
    "resume": messages.Resume,
    "retract": messages.Retract,
    "cancel": messages.Cancel,
    "cancelled": messages.Cancelled,
    "release": messages.Release,
    "acknowledge": messages.Acknowledge,
    "configure": messages.Configure,
    "configured": messages.Configured,
    "heartbeat": messages.Heartbeat,
    "admitted": messages.Admitted,
    "refused": messages.Refused,
    "items": messages.Items,
    "ended": messages.Ended,
    "report": messages.Report,
    "leaving": messages.Leaving,
    "reject": messages.Reject,
    "engine_state": messages.EngineState,
    "state_wanted": messages.StateWanted,
    "state_found": messages.StateFound,
    "room_wanted": messages.RoomWanted,
    "room_found": messages.RoomFound,
    "room_returned": messages.RoomReturned,
    "origins_told": messages.OriginsTold,
    "origin_wanted": messages.OriginWanted,
    "origin_found": messages.OriginFound,
    "turns_wanted": messages.TurnsWanted,
    "turns_lent": messages.TurnsLent,
    "gossip": messages.Gossip,
    "engine_here": messages.EngineHere,
    "records_wanted": messages.RecordsWanted,
    "records_found": messages.RecordsFound,
    "move_wanted": messages.MoveWanted,
    "move_turn": messages.MoveTurn,
    "move_done": messages.MoveDone,
}


def choose_version(newest: int, oldest: int) -> typing.Optional[int]:
    """Return the newest version that a peer and this code both support.

    Returns None if there is none. During a rolling upgrade, entries and
    agents of two versions must work together: if they required equal
    versions, the entries of each version would lose the targets of the other.

    >>> choose_version(newest=7, oldest=1)
    1
    """
    version = min(newest, PROTOCOL_VERSION)
    if version < max(oldest, OLDEST_VERSION):
        return None
    return version


def encode_message(message: abc.Mapping[str, typing.Any]) -> bytes:
    """Return the CBOR bytes of a message."""
    return cbor2.dumps(message)


def decode_message(
    data: typing.Union[bytes, str], peer: str
) -> expression.Result[MessageMap, errors.Failure]:
    """Return the message in ``data``, or why it is invalid.

    ``peer`` names the sender in the failure. Never raises, whatever the input
    is.
    """
    step = "decode message"
    if isinstance(data, str):
        return expression.Error(
            errors.Failure(
                step, peer, "a text frame instead of a binary frame"
            )
        )
    try:
        decoded = cbor2.loads(data)
    except Exception as error:  # Invalid input must never stop a process.
        return expression.Error(errors.Failure(step, peer, repr(error)))
    if not isinstance(decoded, dict):
        return expression.Error(errors.Failure(step, peer, "not a map"))
    message_type = decoded.get("type")
    message_class = (
        _MESSAGE_CLASSES.get(message_type)
        if isinstance(message_type, str)
        else None
    )
    if message_class is None:
        return expression.Error(
            errors.Failure(step, peer, f"unknown type {message_type!r}")
        )
    try:
        return expression.Ok(msgspec.convert(decoded, message_class))
    except (msgspec.ValidationError, ValueError, RecursionError) as error:
        return expression.Error(errors.Failure(step, peer, str(error)))

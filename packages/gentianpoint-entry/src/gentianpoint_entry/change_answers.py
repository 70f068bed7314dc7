"""Converts changes and resources to the JSON that operators get."""

import typing

import msgspec
import quart

from gentianpoint_core import configuration
from gentianpoint_entry import pending_changes
from gentianpoint_entry import status_tracker

__all__ = (
    "ChangeRow",
    "InForceRow",
    "ResourceRow",
    "describe_change",
    "describe_in_force",
    "describe_resource",
    "make_json_answer",
)

ACCEPTED: typing.Final = "accepted"
"""State of a change that was applied to the configuration."""
REFUSED: typing.Final = "refused"
"""State of a change that the configuration's rules refused."""
PENDING: typing.Final = "pending"
"""State of a change whose outcome this entry doesn't know yet."""
_JSON: typing.Final = "application/json"


class ResourceRow(typing.TypedDict):
    """A resource as it appears in an answer."""

    kind: str
    """``service`` or ``customer``."""
    name: str
    """Name of the resource."""
    revision: int
    """Offset of the last accepted change of the resource."""
    spec: typing.Any
    """The specification as it was declared."""


class InForceRow(typing.TypedDict):
    """On how many hosts a change is in force."""

    n: int
    """Number of live hosts on which the change is known to be in force."""
    of: int
    """Number of live hosts."""
    lagging: list[str]
    """Names of hosts on which it isn't in force, up to a maximum number."""


class ChangeRow(typing.TypedDict):
    """A change as it appears in an answer."""

    change: str
    """Identifier of the change."""
    state: str
    """``pending``, ``accepted`` or ``refused``."""
    kind: str
    """Kind of the resource."""
    name: str
    """Name of the resource."""
    action: str
    """``put`` or ``delete``."""
    revision: int
    """Offset of the change's record; 0 while pending."""
    reason: str
    """Why it was refused; empty otherwise."""


def describe_resource(item: configuration.Resource) -> ResourceRow:
    """Return the JSON object for a resource."""
    return {
        "kind": item.kind,
        "name": item.name,
        "revision": item.revision,
        "spec": msgspec.json.decode(item.spec),
    }


def describe_change(
    change: typing.Union[
        configuration.ChangeOutcome, pending_changes.PendingChange
    ],
) -> ChangeRow:
    """Return the JSON object for an outcome or a pending change."""
    state = PENDING
    revision = 0
    reason = ""
    if isinstance(change, configuration.ChangeOutcome):
        state = ACCEPTED if change.accepted else REFUSED
        revision = change.offset
        reason = change.reason
    return {
        "change": change.change,
        "state": state,
        "kind": change.kind,
        "name": change.name,
        "action": change.action,
        "revision": revision,
        "reason": reason,
    }


def describe_in_force(progress: status_tracker.InForce) -> InForceRow:
    """Return the JSON object for the hosts that have a change."""
    return {
        "n": progress.in_force_count,
        "of": progress.live_count,
        "lagging": list(progress.lagging),
    }


def make_json_answer(body: object, status: int = 200) -> quart.Response:
    """Return an HTTP response with a JSON body."""
    return quart.Response(
        msgspec.json.encode(body), status=status, content_type=_JSON
    )

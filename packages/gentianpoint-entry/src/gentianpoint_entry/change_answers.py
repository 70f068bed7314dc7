"""How changes and resources look to operators."""

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
"""State of a change that is in the configuration."""
REFUSED: typing.Final = "refused"
"""State of a change that the rule refused."""
PENDING: typing.Final = "pending"
"""State of a change whose outcome isn't known here."""
_JSON: typing.Final = "application/json"


class ResourceRow(typing.TypedDict):
    """A resource in an answer."""

    kind: str
    """``service`` or ``customer``."""
    name: str
    """Name of the resource."""
    revision: int
    """Offset of the record that was accepted last."""
    spec: typing.Any
    """The specification as it was declared."""


class InForceRow(typing.TypedDict):
    """On how many hosts a change is in force."""

    n: int
    """Live hosts known to have it."""
    of: int
    """Live hosts."""
    lagging: list[str]
    """Names of some of the others."""


class ChangeRow(typing.TypedDict):
    """A change in an answer."""

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
    """Offset of its record; 0 while pending."""
    reason: str
    """Why it was refused; empty otherwise."""


def describe_resource(item: configuration.Resource) -> ResourceRow:
    """Return a resource as operators see it."""
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
    """Return a change as operators see it."""
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


def describe_in_force(found: status_tracker.InForce) -> InForceRow:
    """Return where a change is in force as operators see it."""
    return {"n": found.n, "of": found.of, "lagging": list(found.lagging)}


def make_json_answer(body: object, status: int = 200) -> quart.Response:
    """Return the HTTP answer with a JSON body."""
    return quart.Response(
        msgspec.json.encode(body), status=status, content_type=_JSON
    )

"""The desired state of an engine, and the next order that leads to it."""

import typing

from gentianpoint_core import ports
from gentianpoint_core.generated import resources

__all__ = (
    "LOAD",
    "ROLE",
    "UNLOAD",
    "DesiredState",
    "choose_order",
    "make_desired_state",
)

LOAD: typing.Final = "load"
"""Order to load a version of a model or an adapter."""
UNLOAD: typing.Final = "unload"
"""Order to unload everything."""
ROLE: typing.Final = "role"
"""Order to take a role."""
_UNLOADED: typing.Final = "unloaded"
"""State of a service whose engines hold nothing."""


class DesiredState(typing.NamedTuple):
    """What an engine is to hold."""

    unloaded: bool
    """True if it is to hold nothing."""
    model: str
    """Model; empty for whatever is loaded."""
    adapter: str
    """Adapter; empty for none."""
    version: str
    """Version of both."""
    role: str
    """Role; empty for whichever the engine has."""


def make_desired_state(spec: resources.ServiceSpec) -> DesiredState:
    """Return the desired state that ``spec`` declares."""
    return DesiredState(
        spec.get("state", "") == _UNLOADED,
        spec.get("model", ""),
        spec.get("adapter", ""),
        spec.get("version", ""),
        spec.get("role", ""),
    )


def choose_order(desired: DesiredState, load: ports.EngineLoad) -> str:
    """Return the next order towards ``desired``; empty if none is needed.

    Loading precedes the role: an engine that took the role with the old
    model would answer callers of the new role with that model.
    """
    if desired.unloaded:
        return UNLOAD if load.model or load.adapter else ""
    held = (load.model, load.adapter, load.version)
    if desired.model and held != desired[1:4]:
        return LOAD
    if desired.role and desired.role != load.role:
        return ROLE
    return ""

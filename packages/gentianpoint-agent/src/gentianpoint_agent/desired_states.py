"""What an engine shall hold by its service's resource, and what is amiss."""

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
UNLOAD: typing.Final = "unload"
ROLE: typing.Final = "role"
_UNLOADED: typing.Final = "unloaded"


class DesiredState(typing.NamedTuple):
    """What an engine shall hold."""

    unloaded: bool
    """True when it shall hold nothing."""
    model: str
    """Model; empty for whatever is loaded."""
    adapter: str
    """Adapter; empty for none."""
    version: str
    """Version of both."""
    role: str
    """Role; empty for whichever the engine has."""


def make_desired_state(spec: resources.ServiceSpec) -> DesiredState:
    """Return what ``spec`` wants."""
    return DesiredState(
        spec.get("state", "") == _UNLOADED,
        spec.get("model", ""),
        spec.get("adapter", ""),
        spec.get("version", ""),
        spec.get("role", ""),
    )


def choose_order(wanted: DesiredState, load: ports.EngineLoad) -> str:
    """Return the next order that leads to ``wanted``; empty for none.

    What is loaded comes before the role: an engine that took the role with
    the old model would answer callers of the new role with it.
    """
    if wanted.unloaded:
        return UNLOAD if load.model or load.adapter else ""
    held = (load.model, load.adapter, load.version)
    if wanted.model and held != wanted[1:4]:
        return LOAD
    if wanted.role and wanted.role != load.role:
        return ROLE
    return ""

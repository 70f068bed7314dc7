"""The page that tells what runs: ``.run/deployment.json``."""

import pathlib
import typing

import msgspec

__all__ = (
    "Agent",
    "Customer",
    "Deployment",
    "Entry",
    "Operator",
    "Platform",
    "PlatformService",
    "Target",
    "list_pids",
    "load_deployment",
    "save_deployment",
)


class Entry(typing.TypedDict):
    """An entry."""

    url: str
    """Base URL for callers and operators."""
    pid: int
    """Identifier of its process."""
    host: str
    """Name of its host."""


class Agent(typing.TypedDict):
    """An agent."""

    service: str
    """Service of its target."""
    target: str
    """Name of its target."""
    pid: int
    """Identifier of its process."""
    host: str
    """Name of its host."""


class Target(typing.TypedDict):
    """An engine or plain service."""

    service: str
    """Service that it belongs to."""
    url: str
    """Its base URL."""
    pid: int
    """Identifier of its process."""
    host: str
    """Name of its host."""


class PlatformService(typing.TypedDict):
    """A stand-in of the platform."""

    url: str
    """Its base URL."""
    pid: int
    """Identifier of its process."""


class Platform(typing.TypedDict):
    """All stand-ins of the platform."""

    log: PlatformService
    """The log service."""
    hosts: PlatformService
    """The host list."""
    weights: PlatformService
    """The weight store."""


class Customer(typing.TypedDict):
    """A customer."""

    name: str
    """Its name."""
    key: str
    """Its bearer key."""


class Operator(typing.TypedDict):
    """The operators."""

    key: str
    """Their bearer key."""


class Deployment(typing.TypedDict):
    """The whole page."""

    entries: list[Entry]
    """Entries."""
    agents: list[Agent]
    """Agents."""
    targets: list[Target]
    """Targets."""
    platform: Platform
    """The platform."""
    customers: list[Customer]
    """Customers."""
    operator: Operator
    """Operators."""


def load_deployment(path: pathlib.Path) -> typing.Optional[Deployment]:
    """Return the page at ``path``, or None when there is none."""
    if not path.exists():
        return None
    return msgspec.json.decode(path.read_bytes(), type=Deployment)


def save_deployment(path: pathlib.Path, deployment: Deployment) -> None:
    """Write the page in one step, so that no reader sees half of it."""
    written = path.with_suffix(".new")
    text = msgspec.json.format(msgspec.json.encode(deployment), indent=2)
    written.write_bytes(text + b"\n")
    written.replace(path)


def list_pids(deployment: Deployment) -> list[int]:
    """Return all processes, the product's own first."""
    rows = [
        *deployment["entries"],
        *deployment["agents"],
        *deployment["targets"],
    ]
    platform = deployment["platform"]
    services = [platform["log"], platform["hosts"], platform["weights"]]
    return [row["pid"] for row in [*rows, *services]]

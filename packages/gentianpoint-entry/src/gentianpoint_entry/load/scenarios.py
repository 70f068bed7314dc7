"""Scenario files: what load is sent.

A scenario is a YAML file that says how long, how many requests a second, of
which kinds and by which customers::

    name: busy
    seconds: 30
    rate: 12
    kinds:
      - {name: ticket, share: 0.7, prefix_chars: 300, priority_key: false}
      - {name: report, share: 0.3, prefix_chars: 900, repeatable: false}
    customers:
      - {name: grande, share: 0.5}
    bursts:
      - {from_s: 10, to_s: 15, factor: 3}

How long answers are is never in it: engines decide that.
"""

import pathlib

import msgspec
import yaml

__all__ = (
    "Burst",
    "CustomerShare",
    "RequestKind",
    "Scenario",
    "ScenarioError",
    "load_scenario",
)


class ScenarioError(Exception):
    """A scenario file can't be used; the text names the field."""


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of request."""

    name: str
    """Name; prompts carry it as ``kind:NAME``."""
    share: float
    """Share of the requests."""
    prefix_chars: int = 0
    """Characters that all prompts of a template share."""
    templates: int = 1
    """Number of templates, each with a prefix of its own."""
    prompt_chars: int = 120
    """Characters of a prompt after the prefix, in the mean."""
    max_tokens: int = 0
    """Limit that the caller sends; 0 for none."""
    repeatable: bool = True
    """False when the request may run at most once."""
    deadline_ms: int = 0
    """Time in which the answer has to be whole, milliseconds; 0 for none."""


class CustomerShare(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One customer and its share of the requests."""

    name: str
    """Name of the customer."""
    share: float
    """Share of the requests."""


class Burst(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A time in which more requests come."""

    from_s: float
    """Begin, seconds from the start."""
    to_s: float
    """End, seconds from the start."""
    factor: float
    """Factor on the rate."""


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole scenario."""

    name: str
    """Name, for the report."""
    service: str
    """Service that is asked."""
    seconds: float
    """Time in which requests are sent, seconds."""
    rate: float
    """Requests a second in the mean; arrivals are a Poisson process."""
    kinds: list[RequestKind]
    """Kinds of requests."""
    customers: list[CustomerShare]
    """Customers who ask."""
    bursts: list[Burst] = []
    """Times of more requests."""


def load_scenario(path: pathlib.Path) -> Scenario:
    """Return the scenario in a file, or raise with the field's path."""
    try:
        decoded = yaml.safe_load(path.read_text())
        scenario = msgspec.convert(decoded, Scenario)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{path}: {error}") from error
    if not scenario.kinds or not scenario.customers:
        raise ScenarioError(f"{path}: kinds and customers must not be empty")
    return scenario

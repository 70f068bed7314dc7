"""Loads scenario files, which define the load to send.

A scenario is a YAML file with the duration, the request rate, the kinds of
requests and the customers that send them::

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

It does not define the length of answers, which engines decide.
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
    """A scenario file is invalid; the message names the field."""


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of request."""

    name: str
    """Name; prompts contain it as ``kind:NAME``."""
    share: float
    """Share of all requests, relative to the shares of the other kinds."""
    prefix_chars: int = 0
    """Length of the prefix that all prompts of a template share."""
    templates: int = 1
    """Number of templates, each with its own prefix."""
    prompt_chars: int = 120
    """Mean length of a prompt after its prefix, characters."""
    max_tokens: int = 0
    """Token limit that the request sends; 0 for none."""
    repeatable: bool = True
    """Whether the request may run more than once."""
    deadline_ms: int = 0
    """Deadline of the complete answer, milliseconds; 0 for none."""


class CustomerShare(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One customer and its share of all requests."""

    name: str
    """Name of the customer."""
    share: float
    """Share of all requests, relative to the shares of other customers."""


class Burst(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A period with a different request rate."""

    from_s: float
    """Start of the period, seconds from the start of the load."""
    to_s: float
    """End of the period, seconds from the start of the load."""
    factor: float
    """Factor that the request rate is multiplied by."""


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Definition of a load."""

    name: str
    """Name that reports show."""
    service: str
    """Name of the service that requests are sent to."""
    seconds: float
    """Duration of the load, seconds."""
    rate: float
    """Mean requests per second; arrivals are a Poisson process."""
    kinds: list[RequestKind]
    """Kinds of requests."""
    customers: list[CustomerShare]
    """Customers that send requests."""
    bursts: list[Burst] = []
    """Periods with a different rate; where they overlap, the highest factor
    applies."""


def load_scenario(path: pathlib.Path) -> Scenario:
    """Return the scenario in a file; raise ``ScenarioError`` if invalid."""
    try:
        decoded = yaml.safe_load(path.read_text())
        scenario = msgspec.convert(decoded, Scenario)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{path}: {error}") from error
    if not scenario.kinds or not scenario.customers:
        raise ScenarioError(f"{path}: kinds and customers must not be empty")
    return scenario

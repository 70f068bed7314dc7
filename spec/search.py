"""Runs the model checker and shows what it found.

The search is breadth first and exhaustive: a property holds when no
reachable state breaks it, and a counterexample is a shortest one. A search
that can't finish is never taken as a pass.
"""

from collections import abc
import contextlib
import gc
import typing

import minicheck

__all__ = (
    "Counterexample",
    "SafetyReport",
    "can_always_reach_goal",
    "check_properties",
    "find_counterexample",
    "format_counterexample",
)

MAX_STATES: typing.Final = 200_000


class Counterexample(typing.NamedTuple):
    """A shortest way to break a property."""

    violated: str
    """Name of the property that the last state breaks."""
    actions: tuple[str, ...]
    """Labels of the actions, from the initial state on."""
    last: typing.Mapping[str, typing.Any]
    """Fields of the last state."""


class SafetyReport(typing.NamedTuple):
    """Result of an exhaustive search."""

    states: int
    """Reachable states."""
    exhaustive: bool
    """Whether every reachable state was seen."""
    counterexamples: tuple[Counterexample, ...]
    """One for each property that does not hold."""


def check_properties(protocol: minicheck.Protocol) -> SafetyReport:
    """Search all reachable states for one that breaks a property."""
    with _pause_collector():
        result = minicheck.check_safety(protocol, MAX_STATES)
    found = [
        _make_counterexample(name, verdict["counterexample"])
        for name, verdict in result["properties"].items()
        if verdict["holds"] is False
    ]
    return SafetyReport(
        result["reachable_states"], result["exhaustive"], tuple(found)
    )


def find_counterexample(
    protocol: minicheck.Protocol, property_name: str
) -> typing.Optional[Counterexample]:
    """Search for a shortest way to break one property, and stop there."""
    holds = protocol.invariants[property_name]
    found: list[typing.Any] = []

    def expand(state: typing.Any) -> typing.Any:
        # The search is breadth first, so the first broken state is a
        # nearest one; nothing is expanded after it.
        if not found and not holds(protocol.d(state)):
            found.append(state)
        return () if found else protocol.transitions(state)

    narrowed = minicheck.Protocol(
        name=protocol.name,
        candidate=protocol.candidate,
        fields=protocol.fields,
        initial=protocol.initial,
        transitions=expand,
        invariants={property_name: holds},
    )
    report = check_properties(narrowed)
    return report.counterexamples[0] if report.counterexamples else None


def can_always_reach_goal(
    protocol: minicheck.Protocol,
) -> tuple[bool, typing.Optional[Counterexample]]:
    """Tell whether the goal stays reachable from every reachable state.

    The counterexample is the way to a nearest state from which it is not.
    """
    with _pause_collector():
        result = minicheck.check_liveness(protocol)
    if result["holds"]:
        return True, None
    if result["holds"] is None:
        raise RuntimeError(f"{protocol.name}: {result['note']}")
    return False, _make_counterexample("goal", result["counterexample"])


def format_counterexample(found: Counterexample) -> str:
    """Return the actions, one a line, and the property they break."""
    lines = [f"  {i}. {label}" for i, label in enumerate(found.actions, 1)]
    return "\n".join([*lines, f"  breaks: {found.violated}"])


@contextlib.contextmanager
def _pause_collector() -> abc.Iterator[None]:
    """Run without the collector of cycles.

    States are tuples without cycles; walking over all of them again and
    again takes about a third of a search's time.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _make_counterexample(
    name: str, trace: typing.Sequence[typing.Mapping[str, typing.Any]]
) -> Counterexample:
    actions = tuple(str(step["label"]) for step in trace[1:])
    return Counterexample(name, actions, trace[-1]["state"])

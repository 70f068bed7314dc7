"""Prints states, bounds and verdicts of all specifications.

``python -m spec.report`` prints a table; ``python -m spec.report dispatch
start retract_is_acknowledged not_run_is_true`` prints the shortest way in
which the property breaks when the guard is taken out.
"""

import sys
import time
import typing

from spec import catalogue
from spec import claims
from spec import configuration
from spec import dispatch
from spec import fencing
from spec import moves
from spec import search
from spec import turns

__all__ = ("describe_scope", "main")


def describe_scope(specification: str, scope: str) -> str:
    """Return the bounds of a scope that are not zero."""
    scopes: typing.Mapping[str, typing.Any] = {
        "dispatch": dispatch.SCOPES,
        "configuration": configuration.SCOPES,
        "fencing": fencing.SCOPES,
        "turns": turns.SCOPES,
        "moves": moves.SCOPES,
        "claims": claims.SCOPES,
    }[specification]
    bounds: list[str] = []
    for name, value in scopes[scope]._asdict().items():
        if hasattr(value, "_asdict"):
            rows = value._asdict().items()
            bounds += [f"{key} {count}" for key, count in rows if count]
        elif name in ("requests", "changes", "bodies"):
            bounds.append(f"{name} {len(value)}")
        elif name != "name":
            bounds.append(f"{name} {value}")
    return ", ".join(bounds)


def _print_table() -> None:
    for name, specification in catalogue.SPECIFICATIONS.items():
        for scope in specification.scopes:
            began = time.monotonic()
            protocol = specification.build(scope, None)
            report = search.check_properties(protocol)
            reachable, _ = search.can_always_reach_goal(protocol)
            took = time.monotonic() - began
            broken = [found.violated for found in report.counterexamples]
            print(f"{name}, {scope}: {describe_scope(name, scope)}")
            print(
                f"  {report.states} states, exhaustive {report.exhaustive}, "
                f"broken: {', '.join(broken) or 'none'}, "
                f"goal always reachable: {reachable}, {took:.1f} s"
            )


def _print_counterexample(
    name: str, scope: str, guard: str, property_name: str
) -> int:
    protocol = catalogue.SPECIFICATIONS[name].build(scope, guard)
    found = search.find_counterexample(protocol, property_name)
    if found is None:
        print("no counterexample")
        return 1
    print(search.format_counterexample(found))
    return 0


def main() -> int:
    """Print the table, or the counterexample that the arguments name."""
    if len(sys.argv) == 5:
        return _print_counterexample(*sys.argv[1:])
    _print_table()
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""The capacity page on one day played with fleets of several sizes."""

import json
import typing

from bench.capacity import sizes
from bench.capacity import tables

__all__ = ("write_sweep",)


class _Sweep(typing.TypedDict):
    """Figures of the busiest process, or of the longest time."""

    hosts: list[int]
    """Hosts of the project's own, by play."""
    target: int
    """Hosts for which the figures are carried on."""
    rows: list[tuple[str, list[float], float]]
    """What was measured, its figures, and the figure at the target."""


def write_sweep() -> str:
    """Return the measured figures, and where they lead."""
    path = sizes.ROOT / "bench" / "results" / "sweep.json"
    sweep: _Sweep = json.loads(path.read_text())
    head = (
        "busiest or longest",
        *(f"{count} hosts" for count in sweep["hosts"]),
        f"at {sweep['target']}, carried on",
    )
    rows = [
        (name, *map(tables.show, figures), tables.show(leads_to))
        for name, figures, leads_to in sweep["rows"]
    ]
    return (
        "One day with losses, played on fleets that differ in "
        "size only. The last column carries the growth of the last three "
        "sizes on; it was not played. What breaks first is the news that a "
        "target leaves: 3 s are allowed for it.\n\n"
        + tables.make_table(head, rows)
    )

"""The capacity page on agents' reports on the users' platform."""

from collections import abc
import typing

from bench.capacity import sizes
from bench.capacity import tables
from gentianpoint_agent import engine_feed
from gentianpoint_core import codec

__all__ = ("write_platform_path",)

_ENGINES: typing.Final = (6, 25, sizes.AGENTS)
"""Engines of the smallest and of the largest deployment there today, and of
the target."""
_STATE: typing.Final[abc.Mapping[str, typing.Any]] = {
    "type": "engine_state",
    "running": 19,
    "waiting": 3,
    "used_tokens": 28_480,
    "total_tokens": 34_359,
    "unread_tokens": 13_008,
    "born_ms": 1_750_000_000_000,
    "leaving": False,
    "leaves_in_ms": -1,
    "age_ms": 12,
    "silent": False,
}
"""A report with as many digits as there are under load."""


def _count_bytes_s() -> float:
    """Return the bytes a second of one agent to one entry."""
    message = len(codec.encode_message(_STATE))
    packet = message + sizes.FRAME_BYTES + 2 * sizes.SEGMENT_HEADER
    return packet / engine_feed.ASK_S


def write_platform_path() -> str:
    """Return what agents' reports cost an entry, by engines."""
    each = _count_bytes_s()
    rows = [
        (
            f"{engines:,}",
            f"{tables.show_bytes(engines * each)}/s",
            f"{engines * each / sizes.BUDGET_BYTES_S:,.1f}",
        )
        for engines in _ENGINES
    ]
    most = int(sizes.BUDGET_BYTES_S // each)
    return (
        "There each entry hears each agent, and while an engine generates its "
        f"report changes with each question, every {engine_feed.ASK_S:g} s. "
        "Worked out from the encoded message, its frame, headers and "
        "acknowledgement; not measured beyond today's deployments:\n\n"
        + tables.make_table(
            ("engines", "reports to one entry", "times 5 KB/s"), rows
        )
        + "\n\nEngines whose reports fit into the budget, under load: "
        f"{most}. So this path **breaks** at the target, and as to bytes it "
        "breaks today already: "
        "entries have to hear a few agents each, as on the own interface, or "
        "reports have to come less often the more there are, with notices at "
        "once all the same. Neither is built."
    )

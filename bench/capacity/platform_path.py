"""The capacity page on news among entries on the users' platform."""

import typing

from bench.capacity import sizes
from bench.capacity import tables
from gentianpoint_core import codec
from gentianpoint_entry.forwarding import engine_reports
from gentianpoint_entry.forwarding import entry_peers
from gentianpoint_entry.forwarding import members
from gentianpoint_entry.forwarding import targets

__all__ = ("write_platform_path",)


class _Fleet(typing.NamedTuple):
    """A deployment."""

    entries: int
    """Entries."""
    engines: int
    """Engines, each with an agent."""


_FLEETS: typing.Final = (
    _Fleet(5, 6),
    _Fleet(28, 25),
    _Fleet(68, 31),
    _Fleet(sizes.ENTRIES, sizes.AGENTS),
)
"""The smallest and the largest deployments there today, and the target."""
_ADDRESS: typing.Final = "10.12.100.100:18766"
_REPORT: typing.Final = targets.EngineReport(
    sampled_at=0.0,
    running=19,
    waiting=3,
    used_tokens=28_480,
    total_tokens=34_359,
    is_leaving=False,
    leaves_at=None,
    is_silent=False,
    pending_prefill_tokens=13_008,
    started_ms=1_750_000_000_000,
    agent_run=1_750_000_000,
    sequence_number=10_000,
)
"""A report with as many digits as there are under load."""


def _count_row_bytes() -> int:
    """Return the bytes of one engine's report among others."""
    row = engine_reports.pack_report(_REPORT, now=0.5)
    return len(codec.encode_message({"agent": _ADDRESS, "row": row}))


def _count_beat_bytes() -> int:
    """Return the bytes of one member's beat among others."""
    return len(codec.encode_message({_ADDRESS: 10_000}))


def _count_links(fleet: _Fleet) -> int:
    """Return the connections of an entry to others, on average."""
    if fleet.entries <= members.MAX_FULL_MESH_PEERS + 1:
        return fleet.entries - 1
    return 2 * members.count_outbound_links()


def _measure_beats_s(fleet: _Fleet) -> float:
    """Return the most bytes of beats that an entry sends a second."""
    beat_s = members.compute_beat_interval_s(fleet.entries)
    beats = fleet.entries * _count_links(fleet) / beat_s
    return beats * _count_beat_bytes()


def _measure_reports_s(fleet: _Fleet) -> float:
    """Return the most bytes of reports that an entry sends a second."""
    if fleet.entries <= members.MAX_FULL_MESH_PEERS:
        return 0.0
    rows = (
        fleet.engines * _count_links(fleet) / entry_peers.MAX_SEND_INTERVAL_S
    )
    return rows * _count_row_bytes()


def write_platform_path() -> str:
    """Return what news among entries costs an entry, by deployment."""
    rows = [
        (
            f"{fleet.entries:,}",
            f"{fleet.engines:,}",
            f"{_count_links(fleet)}",
            f"{tables.show_bytes(_measure_beats_s(fleet))}/s",
            f"{tables.show_bytes(_measure_reports_s(fleet))}/s",
        )
        for fleet in _FLEETS
    ]
    return (
        "Worked out from the encoded rows for the worst case, in which each "
        "beat and each report goes over every connection of an entry; a "
        "connection brings each at most once in each direction, so about half "
        "of it is sent. Frames and headers are not among it.\n\n"
        + tables.make_table(
            (
                "entries",
                "engines",
                "connections to entries",
                "beats",
                "reports, all engines busy",
            ),
            rows,
        )
        + "\n\nBeats hold at the target, since they come less often the more "
        "entries there are. Reports **break** there, at any pause that keeps "
        "them useful: entries have to hear of a part of the engines only. "
        "That is not built."
    )

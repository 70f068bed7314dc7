"""The capacity page on the load that the system puts on the platform."""

from bench.capacity import recovery
from bench.capacity import sizes
from bench.capacity import tables

__all__ = ("write_platform",)


def write_platform(model: sizes.Model) -> str:
    """Return the table of calls and bytes at the platform."""
    processes = model.count_processes()
    entries = sizes.ENTRIES * processes
    polls = entries / sizes.LOG_POLL_S
    changes = sizes.CHANGES_DAY / sizes.DAY_S
    record = model.slope("configuration.record_bytes") * 4 / 3
    state = model.slope("configuration.snapshot_bytes") * sizes.CUSTOMERS
    snapshot_s = _snapshot_pause_s(changes)
    rows = [
        (
            "log",
            "long polls of entries (built)",
            tables.show(polls),
            f"{tables.show_bytes(polls * sizes.LOG_POLL_BYTES)}/s",
        ),
        (
            "log",
            "records to entries (built)",
            tables.show(changes * entries),
            f"{tables.show_bytes(changes * entries * record)}/s",
        ),
        (
            "log",
            "snapshots written, one each 200 records or 10 minutes, state "
            f"of {tables.show_bytes(state)} (built)",
            tables.show(1 / snapshot_s),
            f"{tables.show_bytes(state / snapshot_s)}/s",
        ),
        (
            "log",
            "status records appended (built)",
            tables.show(entries * model.status_s()),
            tables.show_bytes(
                entries * model.status_s() * model.status_bytes(processes)
            )
            + "/s",
        ),
        (
            "log",
            "reads of a snapshot by restarted entries (built)",
            tables.show(recovery.entry_starts_s()),
            f"{tables.show_bytes(recovery.entry_starts_s() * state)}/s",
        ),
        (
            "host list",
            "readings by entries, paced by their own size (built)",
            tables.show(entries / model.hosts_pause_s(processes)),
            tables.show_bytes(
                entries / model.hosts_pause_s(processes) * model.hosts_bytes()
            )
            + "/s",
        ),
        (
            "weight store",
            "loads by agents that are replaced, by turns within the rate "
            "that is declared (built)",
            tables.show(recovery.agent_starts_s()),
            "a model's bytes each",
        ),
    ]
    return tables.make_table(("service", "load", "calls/s", "bytes"), rows)


def _snapshot_pause_s(changes_s: float) -> float:
    return min(200 / changes_s, 600.0)

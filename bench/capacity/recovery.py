"""The capacity page on recovery, measured and worked out."""

from bench.capacity import sizes
from bench.capacity import tables

__all__ = (
    "agent_starts_s",
    "entry_starts_s",
    "write_cut",
    "write_measured_recovery",
    "write_recovery",
)


def entry_starts_s() -> float:
    """Return how many entries start in a second."""
    hosts = sizes.ENTRIES + sizes.AGENTS
    share = sizes.ENTRIES / hosts
    return share * (sizes.REPLACED_DAY + sizes.FAILED_DAY) / (sizes.DAY_S)


def agent_starts_s() -> float:
    """Return how many agents start in a second."""
    return (
        sizes.REPLACED_DAY + sizes.FAILED_DAY
    ) / sizes.DAY_S - entry_starts_s()


def write_recovery(model: sizes.Model) -> str:
    """Return what recovery takes at the sizes of the target."""
    links_of_agent = model.agent.links
    greeting = sizes.RECONNECT_BYTES + sum(
        model.wire(name)
        for name in ("hello", "welcome", "configure", "configured")
    )
    hosts = sizes.ENTRIES + sizes.AGENTS
    rows = []
    for name, agents, entries in (
        ("one agent host", 1.0, 0.0),
        ("one entry host", 0.0, 1.0),
        (
            f"a rack of {sizes.RACK_HOSTS} hosts",
            sizes.RACK_HOSTS * sizes.AGENTS / hosts,
            sizes.RACK_HOSTS * sizes.ENTRIES / hosts,
        ),
        (
            "a data centre",
            sizes.AGENTS / sizes.DATA_CENTRES,
            sizes.ENTRIES / sizes.DATA_CENTRES,
        ),
    ):
        opened = agents * links_of_agent
        left = sizes.ENTRIES - entries
        streams = agents * model.agent.streams + entries * model.entry.streams
        rows.append(
            (
                name,
                tables.show(opened),
                tables.show_bytes(opened * greeting),
                f"{tables.show_bytes(opened * greeting / left)}",
                tables.show(streams),
                tables.show(streams / left),
            )
        )
    return tables.make_table(
        (
            "what goes",
            "connections opened elsewhere",
            "bytes of greeting, all",
            "for each entry left",
            "streams broken",
            "for each entry left",
        ),
        rows,
    )


def write_measured_recovery(model: sizes.Model) -> str:
    """Return what was measured in the small."""
    rows = []
    for name, words in (
        ("agent", "one agent host"),
        ("rack", "a rack: two agents and two entries at once"),
    ):
        rows.append(
            (
                words,
                f"{model.slope(f'recovery.{name}_broken'):.0f}",
                f"{model.slope(f'recovery.{name}_opened'):.0f}",
                f"{tables.show(model.slope(f'recovery.{name}_last'))} ms",
                f"{tables.show(model.slope(f'recovery.{name}_entry_cpu'))} ms",
            )
        )
    return (
        "Measured with twelve entries of three connections each, six agents, "
        "all killed at once, while the host list still showed them:\n\n"
        + tables.make_table(
            (
                "what goes",
                "connections of the entries left broken",
                "opened to other agents",
                "until the last, on the wall's clock",
                "processor time of an entry left, in 4 s",
            ),
            rows,
        )
        + "\n\nUntil the host list drops it, an entry tries a lost agent "
        f"{model.slope('recovery.tries'):.1f} times a second."
    )


def write_cut(model: sizes.Model) -> str:
    """Return what a cut between regions leaves."""
    records = sizes.CHANGES_DAY / 24
    size = records * model.slope("configuration.record_bytes") * 4 / 3
    cpu_ms = records * model.slope("configuration.fold_cpu_mean") / 1000
    entries = sizes.ENTRIES / sizes.REGIONS
    return (
        f"After an hour's cut of a region its {entries:.0f} entries each "
        f"read {records:.0f} records, {tables.show_bytes(size)} and "
        f"{cpu_ms:.0f} ms of processor time; together "
        f"{tables.show_bytes(size * entries)} from the log. Agents get one "
        "`configure` from each entry linked to them. The region's entries "
        "keep their own data centre's agents "
        "first, so no connection moves for a cut between regions."
    )

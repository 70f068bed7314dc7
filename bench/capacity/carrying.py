"""The capacity page on carrying tokens: processor time, delays, shares."""

from bench import measures
from bench.capacity import sizes
from bench.capacity import tables

__all__ = ("write_carrying", "write_delays", "write_share")


def write_carrying(model: sizes.Model) -> str:
    """Return the table of what carrying costs each role."""
    rows = []
    for name, role in (("entry", model.entry), ("agent", model.agent)):
        tokens_bytes = role.tokens_s * model.slope(
            "message.items_by_token_bytes"
        ) + role.carrying_messages_s * (
            model.intercept("message.items_by_token_bytes")
            + sizes.FRAME_BYTES
            + 2 * sizes.SEGMENT_HEADER
        )
        rows.append(
            (
                name,
                tables.show(role.requests_s),
                tables.show(role.tokens_s),
                tables.show(role.streams),
                tables.show(role.busy_links),
                tables.show(role.carrying_messages_s),
                f"{tables.show_bytes(tokens_bytes)}/s",
                f"{role.carrying_cpu:.0%}",
                tables.show_bytes(role.carrying_memory),
            )
        )
    return tables.make_table(
        (
            "role",
            "requests/s",
            "tokens/s",
            "streams",
            "connections with streams",
            "messages/s",
            "bytes of items/s",
            "share of a core",
            "memory for streams and kept tokens",
        ),
        rows,
    )


def write_delays(model: sizes.Model) -> str:
    """Return the figures of the time that a token is under way."""
    rows = []
    for setting in ("one_link", "eight_links"):
        sizes = measures.find_series(
            model.series, f"{setting}.added_median"
        ).sizes
        for place, size in enumerate(sizes):
            cells = [
                tables.show(model.mean_at(f"{setting}.{kind}_{word}", place))
                for kind in ("added", "first")
                for word in ("median", "p95")
            ]
            agents = "1" if setting == "one_link" else "8"
            rows.append((agents, tables.show(size), *cells))
    return tables.make_table(
        (
            "agents",
            "streams",
            "added to a token, median ms",
            "95 in 100, ms",
            "request to first token, median ms",
            "95 in 100, ms",
        ),
        rows,
    )


def _find_load(model: sizes.Model, program: str) -> str:
    for run in model.results["runs"]:
        if run["program"] == program:
            return f"{run['load_before'][0]} to {run['load_after'][0]}"
    raise KeyError(program)


def write_share(model: sizes.Model) -> str:
    """Return what shares of a processor each hop takes."""
    sizes = measures.find_series(
        model.series, "eight_links.added_median"
    ).sizes
    rows = []
    for place, size in enumerate(sizes):
        median = model.mean_at("eight_links.added_median", place)
        late = model.mean_at("eight_links.added_p95", place)
        rows.append(f"{late - median:.0f} ms at {size:.0f} streams")
    alone = model.mean_at("one_link.first_median", 0)
    return (
        "So gaps stretch, in 95 of 100, with eight agents and at a load "
        f"average of {_find_load(model, 'entry_spread')} on this machine, by "
        "up to "
        + ", ".join(rows)
        + f", against {model.entry.streams:.0f} streams of an entry host at "
        f"the target, {model.entry.streams / model.count_processes():.0f} in "
        f"each of {model.count_processes()} processes. 30 ms between tokens "
        "holds with an engine that steps faster by as much, and is **not "
        "shown** for one process a host at the full number of streams. A "
        "request alone has its first token "
        f"after {alone:.0f} ms, {alone / 1600:.1%} of 1.6 s."
    )

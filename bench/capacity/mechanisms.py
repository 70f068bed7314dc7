"""The capacity page on the mechanism that carries each size."""

from bench.capacity import control
from bench.capacity import sizes
from bench.capacity import tables
from gentianpoint_entry import host_watch

__all__ = ("write_mechanisms",)


def write_mechanisms(model: sizes.Model) -> str:
    """Return the table of mechanisms, each with its figures."""
    links = model.links
    processes = model.count_processes()
    rows = (
        (
            "which connections exist",
            f"each entry takes {model.links_per_service} agents of each "
            "service, more when entries are few, its own data centre first, "
            f"the rest by rendezvous hash: {links} for an entry host, "
            f"{model.agent.links:.1f} for an agent, "
            f"{links * sizes.ENTRIES:,} in all instead of "
            f"{sizes.ENTRIES * sizes.AGENTS:,}; one that can't be "
            "reached three times is passed over for the next",
            "built",
            "more services: 22 of them double an entry's connections",
        ),
        (
            "liveness",
            "any message is a sign of life; a heartbeat is sent only when "
            f"nothing else was, each {model.beat_s:.0f} s while the "
            f"connection carries calls, each {model.idle_beat_s:.0f} s "
            "while it carries none",
            "built",
            "connections of an entry, see control bytes",
        ),
        (
            "load reports",
            "entries ask for a period that grows with their connections: "
            f"{model.report_s:.1f} s at the target, prefixes each "
            f"{model.prefixes_s:.0f} s; own sends since the last report "
            "fill the gap",
            "built",
            "the margin of an entry's bytes: one more service of the "
            "platform costs each entry four connections; reports riding on "
            "`admitted` and `ended` are designed for that, and open",
        ),
        (
            "who reads the log",
            "entries by long poll; agents get their service's resource on "
            "their connections when it changes, and nothing of customers",
            "built",
            f"{processes * sizes.ENTRIES / sizes.LOG_POLL_S:.0f} idle "
            "polls a "
            "second at the log; a longer wait lowers it in proportion",
        ),
        (
            "snapshot and retention",
            "the newest snapshot in the log, written in turns each "
            "`snapshot-records` or `snapshot-interval-ms`, and the records "
            "after it; from a peer while the log is out",
            "built",
            f"a start with 48,000 customers takes {_decode_s(model):.2f} s "
            "of processor time from a snapshot, measured without the "
            f"transfer, and {_replay_s(model):.0f} s from single records",
        ),
        (
            "in force on how many",
            "each entry writes a status record with its agents' digests "
            "after a change and each minute; only an entry that is asked "
            "reads them",
            "built",
            f"{tables.show(processes * sizes.ENTRIES * model.status_s())} "
            "appends a second "
            "at the log; an append is counted with the processor time of a "
            "caller's whole request, which is more",
        ),
        (
            "host list",
            "a reading is followed by a pause that grows with its size, "
            f"{model.hosts_pause_s():.0f} s at the target if the platform "
            "compresses its answer",
            "built",
            "without compression the pause is "
            f"{_plain_pause_s(model):.0f} s; reading only what changed would "
            "need a word of the platform",
        ),
        (
            "batching of tokens",
            "tokens of all streams on a connection are gathered for "
            "`batch-ms`",
            "built",
            "writes to callers: one for each token and stream",
        ),
        (
            "slow callers",
            "a window of 256 items a call; the rest stays at the agent",
            "built",
            "memory of the agent, by `retain-bytes`",
        ),
        (
            "retries",
            "a budget a service and entry, a share of fresh requests, at "
            "most 3 attempts",
            "built",
            "nothing here",
        ),
        (
            "admission and placement",
            "predicted lengths at the agent; choices at the entry by reports "
            "and own sends",
            "built",
            "its share of a request's cost is in the slopes; reports are "
            f"up to {model.report_s:.1f} s old at the target",
        ),
        (
            "entry processes of the peak",
            f"one process uses one core, and the peak needs "
            f"{model.entry.carrying_cpu:.1f} cores an entry host, so "
            f"{model.count_processes()} processes, each an entry of its own "
            "behind the balancer; `processes-on-host` shares links, reports "
            "and readings of the host list among them",
            "built",
            f"{control.find_most(model, control.fits_bytes) + 1} processes "
            "break the bytes of control, "
            f"{control.find_most(model, control.fits_cpu) + 1} the processor "
            "time",
        ),
        (
            "weight store",
            "turns through the log, over all services, within the bytes that "
            "ten seconds of the declared rate carry; besides, a quarter of a "
            "service's targets at a time",
            "built",
            "calls to read the log, which grow with the square of the "
            "targets that come back at once (weight_turns in the slopes; "
            "[design/orders.md](design/orders.md) has 386 targets)",
        ),
    )
    return tables.make_table(
        ("matter", "mechanism", "state", "what breaks first, and when"), rows
    )


def _replay_s(model: sizes.Model) -> float:
    return model.slope("configuration.fold_cpu_mean") * (sizes.CUSTOMERS / 1e6)


def _decode_s(model: sizes.Model) -> float:
    return (
        model.slope("configuration.snapshot_start_cpu")
        * sizes.CUSTOMERS
        / 1000
    )


def _plain_pause_s(model: sizes.Model) -> float:
    size = model.slope("hosts.bytes") * (sizes.ENTRIES + sizes.AGENTS)
    return host_watch.compute_poll_interval_ms(1000, round(size)) / 1000

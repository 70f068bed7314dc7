"""The words of docs/CAPACITY.md, around the figures of the model."""

from collections import abc
import typing

from bench import capacity
from bench import measures
from gentianpoint_entry import host_watch

__all__ = ("write_page",)

_MOST_PROCESSES: typing.Final = 8
"""Entry processes of a host that are worked out at most."""
_KB: typing.Final = 1e3
_MB: typing.Final = 1e6
Row: typing.TypeAlias = abc.Sequence[str]
"""Cells of one row of a table."""


def _make_table(head: Row, rows: abc.Iterable[Row]) -> str:
    lines = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def _show(value: float) -> str:
    if value and abs(value) < 0.01:
        return f"{value:.2g}"
    if abs(value) < 10:
        return f"{value:.2f}"
    if abs(value) < 1000:
        return f"{value:.0f}"
    return f"{value:,.0f}"


def _show_bytes(value: float) -> str:
    if abs(value) < _KB:
        return f"{value:.0f} B"
    if abs(value) < _MB:
        return f"{value / _KB:.1f} KB"
    return f"{value / _MB:.1f} MB"


def _judge(value: float, budget: float) -> str:
    share = value / budget
    if share <= 1:
        return f"holds, {1 - share:.0%} left"
    return f"**breaks**, {share:.1f} times the budget"


def _write_runs(model: capacity.Model) -> str:
    machine = model.results["machine"]
    rows = [
        (
            run["program"],
            run["commit"],
            run["date"],
            f"{run['seconds']:.0f} s",
            f"{run['load_before'][0]} to {run['load_after'][0]}",
        )
        for run in model.results["runs"]
    ]
    return (
        f"Machine: {machine['processor']}, {machine['cores']} cores, Python "
        f"{machine['python']}, Linux {machine['kernel']}. Other work shared "
        "it, so processor time was read and not the clock; the load average "
        "of the last minute stands beside each run.\n\n"
        + _make_table(
            ("program in bench/", "commit", "when", "took", "load average"),
            rows,
        )
    )


def _write_slopes(model: capacity.Model) -> str:
    rows = []
    for series in model.series:
        fit = measures.fit_series(series)
        single = len(series.sizes) == 1
        rows.append(
            (
                series.name,
                f"{_show(fit.slope)} {series.unit}",
                series.per or "process",
                "" if single else _show(fit.intercept),
                "" if single else " ".join(_show(s) for s in series.sizes),
                "" if single else f"{fit.residual:.0%}",
                "" if single else f"{fit.exponent:.2f}",
                f"{fit.spread:.0%}",
            )
        )
    return _make_table(
        (
            "series",
            "slope",
            "for each",
            "at zero",
            "sizes",
            "residual",
            "exponent",
            "spread",
        ),
        rows,
    )


def _write_control(
    rows: abc.Iterable[tuple[str, float, float, float]],
    control: capacity.Budget,
) -> str:
    cells = [
        (name, _show(messages), _show(size), f"{cpu:.3%}")
        for name, messages, size, cpu in rows
    ]
    cells.append(
        (
            "all",
            "",
            _show(control.bytes_s),
            f"{control.cpu:.3%}",
        )
    )
    return _make_table(
        ("control", "messages/s", "bytes/s on the wire", "share of a core"),
        cells,
    )


def _write_budget(name: str, role: capacity.Role) -> list[Row]:
    control = role.control
    whole = role.at_rest + control.memory
    return [
        (
            name,
            "processor",
            f"{control.cpu:.2%} of a core",
            "2.2%",
            _judge(control.cpu, capacity.BUDGET_CPU),
        ),
        (
            name,
            "network",
            f"{_show_bytes(control.bytes_s)}/s",
            "5 KB/s",
            _judge(control.bytes_s, capacity.BUDGET_BYTES_S),
        ),
        (
            name,
            "memory, control state alone",
            _show_bytes(control.memory),
            "64 MB",
            _judge(control.memory, capacity.BUDGET_MEMORY),
        ),
        (
            name,
            f"memory, whole process ({_show_bytes(role.imports)} of it "
            "interpreter and libraries)",
            _show_bytes(whole),
            "64 MB",
            _judge(whole, capacity.BUDGET_MEMORY),
        ),
    ]


def _write_host(model: capacity.Model) -> list[Row]:
    """Return what all entry processes that a host needs cost together."""
    count = model.count_processes()
    control = model.find_host_control(count)
    whole = control.memory + count * model.entry.at_rest
    rows = (
        (
            "processor",
            f"{control.cpu:.2%} of a core",
            "2.2%",
            _judge(control.cpu, capacity.BUDGET_CPU),
        ),
        (
            "network",
            f"{_show_bytes(control.bytes_s)}/s",
            "5 KB/s",
            _judge(control.bytes_s, capacity.BUDGET_BYTES_S),
        ),
        (
            "memory, control state alone",
            _show_bytes(control.memory),
            "64 MB",
            _judge(control.memory, capacity.BUDGET_MEMORY),
        ),
        (
            "memory, whole processes",
            _show_bytes(whole),
            "64 MB",
            _judge(whole, capacity.BUDGET_MEMORY),
        ),
    )
    return [(f"entry host with {count} processes", *row) for row in rows]


def _find_most(
    model: capacity.Model, fits: abc.Callable[[capacity.Budget], bool]
) -> int:
    """Return the most entry processes of a host that fit; 0 for none."""
    counts = range(1, _MOST_PROCESSES + 1)
    return max(
        (row for row in counts if fits(model.find_host_control(row))),
        default=0,
    )


def _write_processes(model: capacity.Model) -> str:
    """Return how the control of a host grows with its entry processes."""
    rows = []
    for count in range(1, 5):
        control = model.find_host_control(count)
        links = model.count_links(count) * capacity.SERVICES
        rows.append(
            (
                str(count),
                str(links),
                str(links * count),
                f"{_show_bytes(control.bytes_s)}/s",
                f"{control.cpu:.2%}",
                _show_bytes(control.memory + count * model.entry.at_rest),
            )
        )
    return _make_table(
        (
            "entry processes of a host",
            "connections of each",
            "of all",
            "bytes of control, all",
            "share of a core, all",
            "memory, all",
        ),
        rows,
    )


def _write_start(model: capacity.Model) -> str:
    rows = [
        (
            role,
            f"{_show(model.slope(f'start.{role}_cpu'))} ms",
            _show_bytes(model.slope(f"start.{role}_resident")),
            _show_bytes(model.slope(f"start.{role}_proportional")),
        )
        for role in ("entry", "agent")
    ]
    table = _make_table(
        (
            "role",
            "processor time until it serves",
            "resident memory then",
            "proportional share, beside five to ten like it",
        ),
        rows,
    )
    starts = capacity.REPLACED_DAY + capacity.FAILED_DAY
    return (
        f"Measured with the binaries' defaults, and paid {starts} times a "
        f"day in all.\n\n{table}"
    )


def _write_carrying(model: capacity.Model) -> str:
    rows = []
    for name, role in (("entry", model.entry), ("agent", model.agent)):
        tokens_bytes = role.tokens_s * model.slope(
            "message.items_by_token_bytes"
        ) + role.carrying_messages_s * (
            model.intercept("message.items_by_token_bytes")
            + capacity.FRAME_BYTES
            + 2 * capacity.SEGMENT_HEADER
        )
        rows.append(
            (
                name,
                _show(role.requests_s),
                _show(role.tokens_s),
                _show(role.streams),
                _show(role.busy_links),
                _show(role.carrying_messages_s),
                f"{_show_bytes(tokens_bytes)}/s",
                f"{role.carrying_cpu:.0%}",
                _show_bytes(role.carrying_memory),
            )
        )
    return _make_table(
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


def _write_delays(model: capacity.Model) -> str:
    rows = []
    for setting in ("one_link", "eight_links"):
        sizes = measures.find_series(
            model.series, f"{setting}.added_median"
        ).sizes
        for place, size in enumerate(sizes):
            cells = [
                _show(model.mean_at(f"{setting}.{kind}_{word}", place))
                for kind in ("added", "first")
                for word in ("median", "p95")
            ]
            agents = "1" if setting == "one_link" else "8"
            rows.append((agents, _show(size), *cells))
    return _make_table(
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


def _find_load(model: capacity.Model, program: str) -> str:
    for run in model.results["runs"]:
        if run["program"] == program:
            return f"{run['load_before'][0]} to {run['load_after'][0]}"
    raise KeyError(program)


def _write_share(model: capacity.Model) -> str:
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


def _write_platform(model: capacity.Model) -> str:
    processes = model.count_processes()
    entries = capacity.ENTRIES * processes
    polls = entries / capacity.LOG_POLL_S
    changes = capacity.CHANGES_DAY / capacity.DAY_S
    record = model.slope("configuration.record_bytes") * 4 / 3
    state = model.slope("configuration.snapshot_bytes") * capacity.CUSTOMERS
    snapshot_s = _snapshot_pause_s(changes)
    rows = [
        (
            "log",
            "long polls of entries (built)",
            _show(polls),
            f"{_show_bytes(polls * capacity.LOG_POLL_BYTES)}/s",
        ),
        (
            "log",
            "records to entries (built)",
            _show(changes * entries),
            f"{_show_bytes(changes * entries * record)}/s",
        ),
        (
            "log",
            "snapshots written, one each 200 records or 10 minutes, state "
            f"of {_show_bytes(state)} (built)",
            _show(1 / snapshot_s),
            f"{_show_bytes(state / snapshot_s)}/s",
        ),
        (
            "log",
            "status records appended (built)",
            _show(entries * model.status_s()),
            _show_bytes(
                entries * model.status_s() * model.status_bytes(processes)
            )
            + "/s",
        ),
        (
            "log",
            "reads of a snapshot by restarted entries (built)",
            _show(_entry_starts_s()),
            f"{_show_bytes(_entry_starts_s() * state)}/s",
        ),
        (
            "host list",
            "readings by entries, paced by their own size (built)",
            _show(entries / model.hosts_pause_s(processes)),
            _show_bytes(
                entries / model.hosts_pause_s(processes) * model.hosts_bytes()
            )
            + "/s",
        ),
        (
            "weight store",
            "loads by agents that are replaced, by turns within the rate "
            "that is declared (built)",
            _show(_agent_starts_s()),
            "a model's bytes each",
        ),
    ]
    return _make_table(("service", "load", "calls/s", "bytes"), rows)


def _snapshot_pause_s(changes_s: float) -> float:
    return min(200 / changes_s, 600.0)


def _entry_starts_s() -> float:
    hosts = capacity.ENTRIES + capacity.AGENTS
    share = capacity.ENTRIES / hosts
    return (
        share
        * (capacity.REPLACED_DAY + capacity.FAILED_DAY)
        / (capacity.DAY_S)
    )


def _agent_starts_s() -> float:
    return (
        capacity.REPLACED_DAY + capacity.FAILED_DAY
    ) / capacity.DAY_S - _entry_starts_s()


def _write_recovery(model: capacity.Model) -> str:
    links_of_agent = model.agent.links
    greeting = capacity.RECONNECT_BYTES + sum(
        model.wire(name)
        for name in ("hello", "welcome", "configure", "configured")
    )
    hosts = capacity.ENTRIES + capacity.AGENTS
    rows = []
    for name, agents, entries in (
        ("one agent host", 1.0, 0.0),
        ("one entry host", 0.0, 1.0),
        (
            f"a rack of {capacity.RACK_HOSTS} hosts",
            capacity.RACK_HOSTS * capacity.AGENTS / hosts,
            capacity.RACK_HOSTS * capacity.ENTRIES / hosts,
        ),
        (
            "a data centre",
            capacity.AGENTS / capacity.DATA_CENTRES,
            capacity.ENTRIES / capacity.DATA_CENTRES,
        ),
    ):
        opened = agents * links_of_agent
        left = capacity.ENTRIES - entries
        streams = agents * model.agent.streams + entries * model.entry.streams
        rows.append(
            (
                name,
                _show(opened),
                _show_bytes(opened * greeting),
                f"{_show_bytes(opened * greeting / left)}",
                _show(streams),
                _show(streams / left),
            )
        )
    return _make_table(
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


def _write_measured_recovery(model: capacity.Model) -> str:
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
                f"{_show(model.slope(f'recovery.{name}_last'))} ms",
                f"{_show(model.slope(f'recovery.{name}_entry_cpu'))} ms",
            )
        )
    return (
        "Measured with twelve entries of three connections each, six agents, "
        "all killed at once, while the host list still showed them:\n\n"
        + _make_table(
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


def _write_cut(model: capacity.Model) -> str:
    records = capacity.CHANGES_DAY / 24
    size = records * model.slope("configuration.record_bytes") * 4 / 3
    cpu_ms = records * model.slope("configuration.fold_cpu_mean") / 1000
    entries = capacity.ENTRIES / capacity.REGIONS
    return (
        f"After an hour's cut of a region its {entries:.0f} entries each "
        f"read {records:.0f} records, {_show_bytes(size)} and {cpu_ms:.0f} "
        f"ms of processor time; together {_show_bytes(size * entries)} from "
        "the log. Agents get one `configure` from each entry linked to "
        "them. The region's entries keep their own data centre's agents "
        "first, so no connection moves for a cut between regions."
    )


def _write_sizes() -> str:
    return _make_table(
        ("what", "size"),
        (
            ("entry hosts", _show(capacity.ENTRIES)),
            ("agents, one a replica", _show(capacity.AGENTS)),
            ("requests a second", _show(capacity.REQUESTS_S)),
            ("tokens a second", _show(capacity.TOKENS_S)),
            (
                "tokens of an answer, mean",
                _show(capacity.TOKENS_S / capacity.REQUESTS_S),
            ),
            ("customers", _show(capacity.CUSTOMERS)),
            ("models, each a service", _show(capacity.SERVICES)),
            ("data centres", _show(capacity.DATA_CENTRES)),
            ("changes a day", _show(capacity.CHANGES_DAY)),
            ("hosts that fail a day", _show(capacity.FAILED_DAY)),
            (
                "hosts restarted or replaced a day",
                _show(capacity.REPLACED_DAY),
            ),
        ),
    )


def _write_mechanisms(model: capacity.Model) -> str:
    links = model.links
    processes = model.count_processes()
    rows = (
        (
            "which connections exist",
            f"each entry takes {model.links_per_service} agents of each "
            "service, more when entries are few, its own data centre first, "
            f"the rest by rendezvous hash: {links} for an entry host, "
            f"{model.agent.links:.1f} for an agent, "
            f"{links * capacity.ENTRIES:,} in all instead of "
            f"{capacity.ENTRIES * capacity.AGENTS:,}; one that can't be "
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
            f"{processes * capacity.ENTRIES / capacity.LOG_POLL_S:.0f} idle "
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
            f"{_show(processes * capacity.ENTRIES * model.status_s())} "
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
            f"{_find_most(model, _fits_bytes) + 1} processes break the bytes "
            f"of control, {_find_most(model, _fits_cpu) + 1} the processor "
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
    return _make_table(
        ("matter", "mechanism", "state", "what breaks first, and when"), rows
    )


def _fits_bytes(control: capacity.Budget) -> bool:
    return control.bytes_s <= capacity.BUDGET_BYTES_S


def _fits_cpu(control: capacity.Budget) -> bool:
    return control.cpu <= capacity.BUDGET_CPU


def _replay_s(model: capacity.Model) -> float:
    return model.slope("configuration.fold_cpu_mean") * (
        capacity.CUSTOMERS / 1e6
    )


def _decode_s(model: capacity.Model) -> float:
    return (
        model.slope("configuration.snapshot_start_cpu")
        * capacity.CUSTOMERS
        / 1000
    )


def _plain_pause_s(model: capacity.Model) -> float:
    size = model.slope("hosts.bytes") * (capacity.ENTRIES + capacity.AGENTS)
    return host_watch.compute_pause_ms(1000, round(size)) / 1000


def _write_verdict(model: capacity.Model) -> str:
    entry = model.entry
    agent = model.agent
    host = model.find_host_control(model.count_processes())
    return (
        f"Tokens come first: an entry host has to carry "
        f"{entry.tokens_s:,.0f} tokens and {entry.requests_s:.0f} requests a "
        f"second, which takes {entry.carrying_cpu:.1f} cores, and one entry "
        "process uses one core. Entries share nothing, so "
        f"{model.count_processes()} processes on a host, each an entry of "
        "its own behind the balancer, carry it, and share the host's control. "
        "In a profile most of the "
        "time goes to the web server's and the kernel's work for one write "
        "to one caller, so what would lower it is fewer writes. An agent "
        f"needs {agent.carrying_cpu:.0%} of a core.\n\n"
        "Memory comes second: the interpreter and libraries take "
        f"{_show_bytes(entry.imports)} of an entry and "
        f"{_show_bytes(agent.imports)} of an agent, so a whole process "
        "is measured against 64 MB with them and without. The state of "
        f"control is {_show_bytes(entry.control.memory)} and "
        f"{_show_bytes(agent.control.memory)}; the libraries have to shrink "
        "for the budget to hold with them. What serving does not need is not "
        "imported (a feature keeps it so); what is left is mostly trio, the "
        "web framework and the client. The customers, "
        f"{_show_bytes(model.slope('configuration.memory'))} each, are most "
        "of the state, and each process of a host has its own copy: "
        f"{_show_bytes(host.memory)} for {model.count_processes()} of them. "
        "Open: a copy that takes less for a customer, or only those that "
        "call.\n\n"
        "Bytes come third: heartbeats to and load reports from an entry's "
        "agents, paced to fit, and what each process of a host polls."
    )


def write_page(model: capacity.Model) -> str:
    """Return the whole page."""
    budget = _make_table(
        ("role", "what", "at the target", "budget", "verdict"),
        _write_budget("entry", model.entry)
        + _write_host(model)
        + _write_budget("agent", model.agent),
    )
    parts = (
        _INTRODUCTION,
        "## Sizes\n\n" + _write_sizes(),
        "## Control against its budget\n\n" + budget,
        "### Entry processes of a host\n\n" + _write_processes(model),
        _PROCESSES_NOTE,
        f"### Entry host with {model.count_processes()} processes\n\n"
        + _write_control(
            model.entry_control_rows(model.count_processes()),
            model.find_host_control(model.count_processes()),
        ),
        "### Agent\n\n"
        + _write_control(model.agent_control_rows(), model.agent.control),
        _CONTROL_NOTE,
        "## A start\n\n" + _write_start(model),
        "## Carrying tokens\n\n" + _write_carrying(model),
        _CARRYING_NOTE.strip() + "\n\n" + _write_delays(model),
        _write_share(model),
        "## What breaks first\n\n" + _write_verdict(model),
        "## Mechanisms\n\n" + _write_mechanisms(model),
        "## Load on the platform\n\n"
        "Worked out from the rates above and measured sizes; the platform "
        "itself is a stand-in here.\n\n" + _write_platform(model),
        "## Recovery\n\n" + _write_measured_recovery(model),
        "At the target, worked out from measured sizes of messages: each "
        "connection that is lost is replaced by one to the next agent in the "
        "hash's order.\n\n" + _write_recovery(model),
        _RECOVERY_NOTE.strip() + "\n\n" + _write_cut(model),
        "## A change in force everywhere\n\n" + _write_propagation(model),
        "## Slopes\n\n" + _write_runs(model),
        _SLOPES_NOTE.strip() + "\n\n" + _write_slopes(model),
    )
    return "\n\n".join(part.strip() for part in parts) + "\n"


def _write_propagation(model: capacity.Model) -> str:
    series = measures.find_series(model.series, "propagation.in_force")
    fit = measures.fit_series(series)
    slowest = max(value for values in series.values for value in values)
    return (
        "Measured with real processes, from before the operator's call to "
        "the last process's log line: with "
        f"{', '.join(_show(size) for size in series.sizes)} processes, "
        f"{_show(fit.intercept)} ms and {_show(fit.slope)} ms for each "
        f"process (exponent {fit.exponent:.2f}, residual "
        f"{fit.residual:.0%}); the slowest write took {_show(slowest)} ms. "
        "All processes shared one machine, so most of the slope is this "
        "machine's processor; at the target each host does its own part. "
        "What remains there is the log's answer to "
        f"{capacity.ENTRIES} long polls, not measured beyond these sizes, "
        "against 7 s."
    )


_INTRODUCTION: typing.Final = """
# Capacity

What each role costs at the size that the project builds towards, and which
mechanism carries it. Developers: the sizes below are what every design is
made for, so that no second one is needed in two years; what runs today still
comes first.

`bench/capacity.py` writes this page from `bench/results/latest.json`, which
`make bench` measures; edit `bench/capacity_page.py`, not this page. Each
figure is a measured slope times a size or a default of the settings. What
can't be measured on one machine is worked out, and said to be.
"""

_PROCESSES_NOTE: typing.Final = """
A host's processes share its links: each has half as many with two of them,
and the entries in all have as many for an agent as before. What each has to
itself are its long polls, its idle loop, its folding of records and its
memory.
"""

_CONTROL_NOTE: typing.Final = """
Bytes on the wire count the message, its frame, IP and TCP headers and the
acknowledgements, as measured on idle connections. At the peak heartbeats of
connections that carry calls are mostly replaced by the calls' own messages;
those that remain are not in this table. The row of the long polls counts the
processor time of an idle process as a whole.
"""

_CARRYING_NOTE: typing.Final = """
Worked out from the cost of a request, of a step with its messages, and of a
token. Engines step at different times at the target, while the stub engine
steps all streams at once, so more wake-ups come than were measured.

The share of our hops in 30 ms between tokens and 1.6 s to the first: the
time from the engine's making of a token to its arrival at the caller,
measured with a stub engine. A delay that stays the same moves a stream and
does not stretch the time between its tokens; what stretches it is the
difference between the median and 95 in 100. `batch-ms` is 5 of the
milliseconds. All streams start at the same moment here, so the first token
waits for the starts of all others, which the peak's even arrivals don't do.
These times, unlike processor time, suffer from other work on the machine.
"""

_RECOVERY_NOTE: typing.Final = """
Entries try a lost agent again after 50 ms, then twice as long each time up
to one second, until the host list drops it. After three tries they connect to
the next agent, as many more as they want at most, so an entry that is itself
cut off tries twice its agents a second and no more. Callers of an entry that
is gone come back through the balancer, and resume by the generation's
identifier or ask again.
"""

_SLOPES_NOTE: typing.Final = """
A slope is the line through the means of the repeats; the residual is the
largest distance from it as a share of the largest mean; an exponent clearly
above 1 would grow faster than a line, one below 1 has a fixed part. The
spread is the largest standard deviation of repeats as a share of their mean.
"""

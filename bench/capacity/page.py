"""The words of docs/CAPACITY.md, around the figures of the model."""

import typing

from bench import measures
from bench.capacity import carrying
from bench.capacity import control
from bench.capacity import fleet_sweep
from bench.capacity import mechanisms
from bench.capacity import platform_load
from bench.capacity import platform_path
from bench.capacity import recovery
from bench.capacity import sizes
from bench.capacity import tables

__all__ = ("write_page",)


def _write_runs(model: sizes.Model) -> str:
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
        + tables.make_table(
            ("program in bench/", "commit", "when", "took", "load average"),
            rows,
        )
    )


def _write_slopes(model: sizes.Model) -> str:
    rows = []
    for series in model.series:
        fit = measures.fit_series(series)
        single = len(series.sizes) == 1
        rows.append(
            (
                series.name,
                f"{tables.show(fit.slope)} {series.unit}",
                series.per or "process",
                "" if single else tables.show(fit.intercept),
                ""
                if single
                else " ".join(tables.show(s) for s in series.sizes),
                "" if single else f"{fit.residual:.0%}",
                "" if single else f"{fit.exponent:.2f}",
                f"{fit.spread:.0%}",
            )
        )
    return tables.make_table(
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


def _write_sizes() -> str:
    return tables.make_table(
        ("what", "size"),
        (
            ("entry hosts", tables.show(sizes.ENTRIES)),
            ("agents, one a replica", tables.show(sizes.AGENTS)),
            ("accelerators, two a replica", tables.show(2 * sizes.AGENTS)),
            ("requests a second", tables.show(sizes.REQUESTS_S)),
            ("tokens a second", tables.show(sizes.TOKENS_S)),
            (
                "tokens of an answer, mean",
                tables.show(sizes.TOKENS_S / sizes.REQUESTS_S),
            ),
            ("customers", tables.show(sizes.CUSTOMERS)),
            ("models, each a service", tables.show(sizes.SERVICES)),
            ("data centres", tables.show(sizes.DATA_CENTRES)),
            ("changes a day", tables.show(sizes.CHANGES_DAY)),
            ("hosts that fail a day", tables.show(sizes.FAILED_DAY)),
            (
                "hosts restarted or replaced a day",
                tables.show(sizes.REPLACED_DAY),
            ),
        ),
    )


def _write_verdict(model: sizes.Model) -> str:
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
        f"{tables.show_bytes(entry.imports)} of an entry and "
        f"{tables.show_bytes(agent.imports)} of an agent, so a whole process "
        "is measured against 64 MB with them and without. The state of "
        f"control is {tables.show_bytes(entry.control.memory)} and "
        f"{tables.show_bytes(agent.control.memory)}; the libraries have to "
        "shrink for the budget to hold with them. What serving does not need "
        "is not imported (a feature keeps it so); what is left is mostly "
        "trio, the "
        "web framework and the client. The customers, "
        f"{tables.show_bytes(model.slope('configuration.memory'))} each, are "
        "most of the state, and each process of a host has its own copy: "
        f"{tables.show_bytes(host.memory)} for {model.count_processes()} of "
        "them. Open: a copy that takes less for a customer, or only those "
        "that call.\n\n"
        "Bytes come third: heartbeats to and load reports from an entry's "
        "agents, paced to fit, and what each process of a host polls."
    )


def write_page(model: sizes.Model) -> str:
    """Return the whole page."""
    budget = tables.make_table(
        ("role", "what", "at the target", "budget", "verdict"),
        control.write_budget("entry", model.entry)
        + control.write_host(model)
        + control.write_budget("agent", model.agent),
    )
    parts = (
        _INTRODUCTION,
        "## Sizes\n\n" + _write_sizes(),
        "## Control against its budget\n\n" + budget,
        "### Entry processes of a host\n\n" + control.write_processes(model),
        _PROCESSES_NOTE,
        f"### Entry host with {model.count_processes()} processes\n\n"
        + control.write_control(
            model.entry_control_rows(model.count_processes()),
            model.find_host_control(model.count_processes()),
        ),
        "### Agent\n\n"
        + control.write_control(
            model.agent_control_rows(), model.agent.control
        ),
        _CONTROL_NOTE,
        "## A start\n\n" + control.write_start(model),
        "## Carrying tokens\n\n" + carrying.write_carrying(model),
        _CARRYING_NOTE.strip() + "\n\n" + carrying.write_delays(model),
        carrying.write_share(model),
        "## What breaks first\n\n" + _write_verdict(model),
        "## Mechanisms\n\n" + mechanisms.write_mechanisms(model),
        "## Load on the platform\n\n"
        "Worked out from the rates above and measured sizes; the platform "
        "itself is a stand-in here.\n\n" + platform_load.write_platform(model),
        "### News on the users' platform\n\n"
        + platform_path.write_platform_path(),
        "### Fleets of several sizes\n\n" + fleet_sweep.write_sweep(),
        "## Recovery\n\n" + recovery.write_measured_recovery(model),
        "At the target, worked out from measured sizes of messages: each "
        "connection that is lost is replaced by one to the next agent in the "
        "hash's order.\n\n" + recovery.write_recovery(model),
        _RECOVERY_NOTE.strip() + "\n\n" + recovery.write_cut(model),
        "## A change in force everywhere\n\n" + _write_propagation(model),
        "## Slopes\n\n" + _write_runs(model),
        _SLOPES_NOTE.strip() + "\n\n" + _write_slopes(model),
    )
    return "\n\n".join(part.strip() for part in parts) + "\n"


def _write_propagation(model: sizes.Model) -> str:
    series = measures.find_series(model.series, "propagation.in_force")
    fit = measures.fit_series(series)
    slowest = max(value for values in series.values for value in values)
    return (
        "Measured with real processes, from before the operator's call to "
        "the last process's log line: with "
        f"{', '.join(tables.show(size) for size in series.sizes)} processes, "
        f"{tables.show(fit.intercept)} ms and {tables.show(fit.slope)} ms for "
        f"each process (exponent {fit.exponent:.2f}, residual "
        f"{fit.residual:.0%}); the slowest write took "
        f"{tables.show(slowest)} ms. All processes shared one machine, so "
        "most of the slope is this machine's processor; at the target each "
        "host does its own part. "
        "What remains there is the log's answer to "
        f"{sizes.ENTRIES} long polls, not measured beyond these sizes, "
        "against 7 s."
    )


_INTRODUCTION: typing.Final = """
# Capacity

What each role costs at the size that the project builds towards, and which
mechanism carries it. Developers: the sizes below are what every design is
made for, so that no second one is needed in two years; what runs today still
comes first.

`python -m bench.capacity` writes this page from `bench/results/latest.json`,
which `make bench` measures; edit `bench/capacity/`, not this page. Each
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

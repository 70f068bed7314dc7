"""The capacity page on control: what each role spends, against its budget."""

from collections import abc
import typing

from bench.capacity import sizes
from bench.capacity import tables

__all__ = (
    "find_most",
    "fits_bytes",
    "fits_cpu",
    "write_budget",
    "write_control",
    "write_host",
    "write_processes",
    "write_start",
)

_MOST_PROCESSES: typing.Final = 8
"""Entry processes of a host that are worked out at most."""


def write_control(
    rows: abc.Iterable[tuple[str, float, float, float]],
    control: sizes.Budget,
) -> str:
    """Return the table of the messages and state of control."""
    cells = [
        (name, tables.show(messages), tables.show(size), f"{cpu:.3%}")
        for name, messages, size, cpu in rows
    ]
    cells.append(
        (
            "all",
            "",
            tables.show(control.bytes_s),
            f"{control.cpu:.3%}",
        )
    )
    return tables.make_table(
        ("control", "messages/s", "bytes/s on the wire", "share of a core"),
        cells,
    )


def write_budget(name: str, role: sizes.Role) -> list[tables.Row]:
    """Return the rows that hold a role against its budget."""
    control = role.control
    whole = role.at_rest + control.memory
    return [
        (
            name,
            "processor",
            f"{control.cpu:.2%} of a core",
            "2.2%",
            tables.judge(control.cpu, sizes.BUDGET_CPU),
        ),
        (
            name,
            "network",
            f"{tables.show_bytes(control.bytes_s)}/s",
            "5 KB/s",
            tables.judge(control.bytes_s, sizes.BUDGET_BYTES_S),
        ),
        (
            name,
            "memory, control state alone",
            tables.show_bytes(control.memory),
            "64 MB",
            tables.judge(control.memory, sizes.BUDGET_MEMORY),
        ),
        (
            name,
            f"memory, whole process ({tables.show_bytes(role.imports)} of it "
            "interpreter and libraries)",
            tables.show_bytes(whole),
            "64 MB",
            tables.judge(whole, sizes.BUDGET_MEMORY),
        ),
    ]


def write_host(model: sizes.Model) -> list[tables.Row]:
    """Return what all entry processes that a host needs cost together."""
    count = model.count_processes()
    control = model.find_host_control(count)
    whole = control.memory + count * model.entry.at_rest
    rows = (
        (
            "processor",
            f"{control.cpu:.2%} of a core",
            "2.2%",
            tables.judge(control.cpu, sizes.BUDGET_CPU),
        ),
        (
            "network",
            f"{tables.show_bytes(control.bytes_s)}/s",
            "5 KB/s",
            tables.judge(control.bytes_s, sizes.BUDGET_BYTES_S),
        ),
        (
            "memory, control state alone",
            tables.show_bytes(control.memory),
            "64 MB",
            tables.judge(control.memory, sizes.BUDGET_MEMORY),
        ),
        (
            "memory, whole processes",
            tables.show_bytes(whole),
            "64 MB",
            tables.judge(whole, sizes.BUDGET_MEMORY),
        ),
    )
    return [(f"entry host with {count} processes", *row) for row in rows]


def find_most(
    model: sizes.Model, fits: abc.Callable[[sizes.Budget], bool]
) -> int:
    """Return the most entry processes of a host that fit; 0 for none."""
    counts = range(1, _MOST_PROCESSES + 1)
    return max(
        (row for row in counts if fits(model.find_host_control(row))),
        default=0,
    )


def write_processes(model: sizes.Model) -> str:
    """Return how the control of a host grows with its entry processes."""
    rows = []
    for count in range(1, 5):
        control = model.find_host_control(count)
        links = model.count_links(count) * sizes.SERVICES
        rows.append(
            (
                str(count),
                str(links),
                str(links * count),
                f"{tables.show_bytes(control.bytes_s)}/s",
                f"{control.cpu:.2%}",
                tables.show_bytes(
                    control.memory + count * model.entry.at_rest
                ),
            )
        )
    return tables.make_table(
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


def write_start(model: sizes.Model) -> str:
    """Return what a start costs."""
    rows = [
        (
            role,
            f"{tables.show(model.slope(f'start.{role}_cpu'))} ms",
            tables.show_bytes(model.slope(f"start.{role}_resident")),
            tables.show_bytes(model.slope(f"start.{role}_proportional")),
        )
        for role in ("entry", "agent")
    ]
    table = tables.make_table(
        (
            "role",
            "processor time until it serves",
            "resident memory then",
            "proportional share, beside five to ten like it",
        ),
        rows,
    )
    starts = sizes.REPLACED_DAY + sizes.FAILED_DAY
    return (
        f"Measured with the binaries' defaults, and paid {starts} times a "
        f"day in all.\n\n{table}"
    )


def fits_bytes(control: sizes.Budget) -> bool:
    """Tell whether control keeps to its bytes a second."""
    return control.bytes_s <= sizes.BUDGET_BYTES_S


def fits_cpu(control: sizes.Budget) -> bool:
    """Tell whether control keeps to its processor time."""
    return control.cpu <= sizes.BUDGET_CPU

"""How the capacity page writes tables and figures."""

from collections import abc
import typing

__all__ = ("KB", "MB", "Row", "judge", "make_table", "show", "show_bytes")

KB: typing.Final = 1e3
MB: typing.Final = 1e6
Row: typing.TypeAlias = abc.Sequence[str]
"""Cells of one row of a table."""


def make_table(head: Row, rows: abc.Iterable[Row]) -> str:
    """Return a table in Markdown."""
    lines = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def show(value: float) -> str:
    """Return a figure with as many digits as it is worth."""
    if value and abs(value) < 0.01:
        return f"{value:.2g}"
    if abs(value) < 10:
        return f"{value:.2f}"
    if abs(value) < 1000:
        return f"{value:.0f}"
    return f"{value:,.0f}"


def show_bytes(value: float) -> str:
    """Return a number of bytes with its unit."""
    if abs(value) < KB:
        return f"{value:.0f} B"
    if abs(value) < MB:
        return f"{value / KB:.1f} KB"
    return f"{value / MB:.1f} MB"


def judge(value: float, budget: float) -> str:
    """Return whether a figure keeps to its budget, in words."""
    share = value / budget
    if share <= 1:
        return f"holds, {1 - share:.0%} left"
    return f"**breaks**, {share:.1f} times the budget"

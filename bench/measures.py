"""What all measurements share: series, fits and readings of a process.

A series holds what was measured at several sizes, each several times. Its
slope is what the capacity page multiplies; the residual and the exponent on
a log-log scale tell whether a line describes it at all, so that something
that grows faster than a line is seen.

Processor time is read from ``/proc`` and not from the clock on the wall,
since other work shares the machine.
"""

from collections import abc
import json
import os
import pathlib
import statistics
import sys
import time
import typing

import numpy

__all__ = (
    "Fit",
    "Series",
    "fit_series",
    "find_series",
    "make_figure",
    "print_series",
    "read_cpu_s",
    "read_memory",
    "read_process_cpu_s",
    "read_proportional_memory",
    "write_series",
)

_TICKS_A_SECOND: typing.Final = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES: typing.Final = os.sysconf("SC_PAGE_SIZE")
_KILOBYTE: typing.Final = 1024
_USER_TICKS_FIELD: typing.Final = 11
_SYSTEM_TICKS_FIELD: typing.Final = 12


class Series(typing.NamedTuple):
    """Values measured at several sizes."""

    name: str
    """Name, such as ``token.entry_cpu``."""
    unit: str
    """Unit of the values."""
    per: str
    """What the sizes count."""
    sizes: abc.Sequence[float]
    """Sizes, one for each group of values."""
    values: abc.Sequence[abc.Sequence[float]]
    """Values of the repeats at each size."""


class Fit(typing.NamedTuple):
    """A line through a series."""

    slope: float
    """Units for one more of what the sizes count."""
    intercept: float
    """Units at size zero."""
    residual: float
    """Largest distance of a mean from the line, as a share of the largest."""
    exponent: float
    """Slope on a log-log scale; above 1 it grows faster than a line."""
    spread: float
    """Largest standard deviation of repeats, as a share of their mean."""


def make_figure(
    name: str, unit: str, values: abc.Sequence[float], per: str = ""
) -> Series:
    """Return a series of one size."""
    return Series(name, unit, per, (1.0,), (tuple(values),))


def _compute_spread(values: abc.Sequence[float]) -> float:
    mean = statistics.fmean(values)
    if len(values) < 2 or not mean:
        return 0.0
    return statistics.stdev(values) / abs(mean)


def fit_series(series: Series) -> Fit:
    """Return the line through a series; a single figure is its own slope."""
    means = [statistics.fmean(values) for values in series.values]
    spread = max(_compute_spread(values) for values in series.values)
    if len(means) < 2:
        return Fit(means[0], 0.0, 0.0, 1.0, spread)
    sizes = numpy.array(series.sizes, dtype=float)
    heights = numpy.array(means)
    slope, intercept = numpy.polyfit(sizes, heights, 1)
    distances = numpy.abs(slope * sizes + intercept - heights)
    residual = float(distances.max() / max(abs(heights).max(), 1e-12))
    exponent = 0.0
    if heights.min() > 0 and sizes.min() > 0:
        exponent = numpy.polyfit(numpy.log(sizes), numpy.log(heights), 1)[0]
    return Fit(
        float(slope), float(intercept), residual, float(exponent), spread
    )


def find_series(rows: abc.Iterable[Series], name: str) -> Series:
    """Return the series of a name; raises KeyError."""
    for row in rows:
        if row.name == name:
            return row
    raise KeyError(name)


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process so far, seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / _TICKS_A_SECOND


def read_process_cpu_s() -> float:
    """Return the processor time of this process so far, seconds."""
    return time.process_time()


def read_memory(pid: int) -> int:
    """Return the resident memory of a process, bytes."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * _PAGE_BYTES


def read_proportional_memory(pid: int) -> int:
    """Return the proportional share of memory of a process, bytes."""
    text = pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text()
    for line in text.splitlines():
        name, _, rest = line.partition(":")
        if name == "Pss":
            return int(rest.split()[0]) * _KILOBYTE
    raise ValueError("the kernel gives no proportional share")


def print_series(rows: abc.Iterable[Series]) -> None:
    """Print a table of the fits."""
    print(
        f"{'series':34} {'slope':>11} {'at zero':>11} {'unit':14}"
        f"{'per':12} {'resid':>6} {'expon':>6} {'spread':>6}  sizes"
    )
    for row in rows:
        fit = fit_series(row)
        sizes = " ".join(f"{size:g}" for size in row.sizes)
        print(
            f"{row.name:34} {fit.slope:11.4g} {fit.intercept:11.4g} "
            f"{row.unit:14}{row.per:12} {fit.residual:6.1%} "
            f"{fit.exponent:6.2f} {fit.spread:6.1%}  {sizes}"
        )


def write_series(rows: abc.Sequence[Series]) -> None:
    """Print the table, and write JSON to the path in the first argument."""
    print_series(rows)
    if len(sys.argv) > 1:
        body = json.dumps([row._asdict() for row in rows])
        pathlib.Path(sys.argv[1]).write_text(body)

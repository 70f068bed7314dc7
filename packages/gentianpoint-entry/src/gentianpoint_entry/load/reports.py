"""Reports of a run: JSON and a self-contained HTML page with plots."""

from collections import abc
import html
import io
import pathlib
import typing

import matplotlib
import matplotlib.figure
import msgspec

from gentianpoint_entry.load import results

__all__ = ("write_html", "write_json")

_QUANTILES: typing.Final = tuple(step / 200 for step in range(1, 200))
_PAGE: typing.Final = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{title}</title>
<style>body{{font-family:sans-serif;margin:2em;max-width:60em}}
td,th{{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}}
td:first-child{{text-align:left}}</style></head><body>
<h1>{title}</h1><table>{rows}</table>{plots}</body></html>
"""


def write_json(
    path: pathlib.Path, summary: abc.Mapping[str, typing.Any]
) -> None:
    """Write the figures of a run as JSON."""
    data = msgspec.json.format(msgspec.json.encode(summary), indent=2)
    path.write_bytes(data + b"\n")


def _draw_quantiles(
    title: str, sketches: abc.Mapping[str, typing.Any], unit: str
) -> str:
    matplotlib.rcParams["svg.hashsalt"] = "gentianpoint"
    drawing = matplotlib.figure.Figure(figsize=(7, 3.2))
    axes = drawing.subplots()
    for name, sketch in sketches.items():
        values = [sketch.get_quantile_value(q) or 0.0 for q in _QUANTILES]
        axes.plot(values, _QUANTILES, label=name)
    axes.set_xscale("symlog")
    axes.set_xlabel(unit)
    axes.set_ylabel("share of all")
    axes.set_title(title)
    axes.grid(visible=True, alpha=0.3)
    output = io.StringIO()
    drawing.savefig(output, format="svg", bbox_inches="tight")
    text = output.getvalue()
    return text[text.index("<svg") :]


def _flatten(
    values: abc.Mapping[str, typing.Any], prefix: str = ""
) -> abc.Iterator[tuple[str, str]]:
    for name, value in values.items():
        label = f"{prefix}{name}"
        if isinstance(value, abc.Mapping):
            yield from _flatten(value, f"{label} ")
        elif isinstance(value, float):
            yield label, f"{value:.2f}"
        else:
            yield label, str(value)


def write_html(
    path: pathlib.Path,
    title: str,
    summary: abc.Mapping[str, typing.Any],
    run: results.LoadResults,
) -> None:
    """Write a page that needs nothing but itself."""
    rows = "".join(
        f"<tr><td>{html.escape(name)}</td><td>{html.escape(value)}</td></tr>"
        for name, value in _flatten(summary)
    )
    plots = "".join(
        _draw_quantiles(name, {name: sketch}, "milliseconds")
        for name, sketch in (
            ("time between tokens", run.gaps),
            ("time to the first token", run.first),
            ("stall time of a stream", run.stalls),
        )
    )
    page = _PAGE.format(title=html.escape(title), rows=rows, plots=plots)
    path.write_text(page)

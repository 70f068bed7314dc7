"""Runs all measurements and writes ``bench/results/latest.json``.

Each program runs on its own, one after the other, since they would disturb
each other's figures. Beside the figures stand the machine, the commit and
the load, which tell how far they can be trusted.
"""

import datetime
import json
import os
import pathlib
import platform
import subprocess
import sys
import tempfile
import time
import typing

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
RESULTS: typing.Final = ROOT / "bench" / "results" / "latest.json"
_PROGRAMS: typing.Final = (
    "message_costs",
    "host_list",
    "configuration_fold",
    "memory",
    "start_costs",
    "idle_connections",
    "token_path",
    "entry_spread",
    "propagation",
    "recovery",
    "weight_turns",
)
_PLAIN_PROGRAMS: typing.Final = ("decision_times",)
"""Programs that print their own table and leave no series."""
_WITHIN_S: typing.Final = 420


def _read_cpu_model() -> str:
    for line in pathlib.Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            return line.partition(":")[2].strip()
    return platform.machine()


def _read_commit() -> str:
    def ask(*command: str) -> str:
        return subprocess.check_output(
            ["git", *command], cwd=ROOT, text=True
        ).strip()

    changed = ask("status", "--porcelain", "--", "packages", "schema")
    suffix = " with changes" if changed else ""
    return ask("rev-parse", "--short", "HEAD") + suffix


class _Run(typing.TypedDict):
    """One program's run."""

    program: str
    commit: str
    date: str
    seconds: float
    load_before: list[float]
    load_after: list[float]
    series: list[dict[str, typing.Any]]


def _run_program(name: str) -> _Run:
    load_before = os.getloadavg()
    began = time.monotonic()
    print(f"\n== {name}", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "series.json"
        subprocess.run(
            [sys.executable, "-m", f"bench.{name}", str(path)],
            cwd=ROOT,
            check=True,
            timeout=_WITHIN_S,
        )
        series = json.loads(path.read_text())
    now = datetime.datetime.now(datetime.UTC)
    return {
        "program": name,
        "commit": _read_commit(),
        "date": now.strftime("%Y-%m-%d %H:%M UTC"),
        "seconds": round(time.monotonic() - began, 1),
        "load_before": [round(value, 1) for value in load_before],
        "load_after": [round(value, 1) for value in os.getloadavg()],
        "series": _round_values(series),
    }


def _round_values(
    series: list[dict[str, typing.Any]],
) -> list[dict[str, typing.Any]]:
    """Return the series with six digits, which keeps the file readable."""
    for row in series:
        row["values"] = [
            [float(f"{value:.6g}") for value in values]
            for values in row["values"]
        ]
    return series


def main() -> int:
    """Run the programs named as arguments, or all."""
    names = sys.argv[1:] or list(_PROGRAMS)
    known: list[_Run] = []
    if RESULTS.exists():
        known = json.loads(RESULTS.read_text())["runs"]
    runs = {run["program"]: run for run in known}
    failed = []
    for name in names:
        try:
            runs[name] = _run_program(name)
        except (subprocess.SubprocessError, OSError) as error:
            failed.append(name)
            print(f"{name} failed: {error}", flush=True)
        _write(runs)
    for name in () if sys.argv[1:] else _PLAIN_PROGRAMS:
        print(f"\n== {name}", flush=True)
        if not _run_plain_program(name):
            failed.append(name)
    print(f"\nfailed: {', '.join(failed) or 'none'}", flush=True)
    return 1 if failed else 0


def _run_plain_program(name: str) -> bool:
    """Run a program that prints its own table; tell whether it did."""
    try:
        subprocess.run(
            [sys.executable, "-m", f"bench.{name}"],
            cwd=ROOT,
            check=True,
            timeout=_WITHIN_S,
        )
    except (subprocess.SubprocessError, OSError) as error:
        print(f"{name} failed: {error}", flush=True)
        return False
    return True


def _write(runs: dict[str, _Run]) -> None:
    RESULTS.parent.mkdir(exist_ok=True)
    body = {
        "machine": {
            "processor": _read_cpu_model(),
            "cores": os.cpu_count(),
            "python": platform.python_version(),
            "kernel": platform.release(),
        },
        "runs": [runs[name] for name in _PROGRAMS if name in runs],
    }
    RESULTS.write_text(json.dumps(body, indent=1) + "\n")


if __name__ == "__main__":
    sys.exit(main())

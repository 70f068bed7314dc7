"""Runs all features and counts what ran.

Each folder of features runs in a behave process of its own, several at a
time; results come as JSON. A scenario that fails counts as failed unless a
line of KNOWN-RED.txt starts with its name; such a line is printed. The last
line is ``N passed, N failed``, from what really ran.

``python tools/run_tests.py packages/gentianpoint-core`` runs one package.
"""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import typing

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
AT_ONCE: typing.Final = 8
SUITE_TIMEOUT_S: typing.Final = 300
_SIMULATIONS: typing.Final = (
    "bench/features",
    "many_entries",
    "all_targets",
    "shared_readings",
    "gossip_state",
    "late_records",
)
"""Parts of the paths of features that play many processes."""


class SuiteResult(typing.NamedTuple):
    """What one behave process reported."""

    folder: str
    """Folder of the features, from the root."""
    passed: int
    """Scenarios that passed."""
    failed: tuple[str, ...]
    """Names of the scenarios that failed."""
    output: str
    """What the process printed."""
    seconds: float
    """How long it ran."""


def find_suites(arguments: typing.Sequence[str]) -> list[pathlib.Path]:
    """Return the feature files, one suite each, the slow ones first."""
    roots = [ROOT / name for name in arguments] or [ROOT]
    files = [
        path
        for root in roots
        for path in ([root] if root.is_file() else root.rglob("*.feature"))
        if ".venv" not in path.parts
    ]
    return sorted(files, key=_rank_suite)


def _rank_suite(path: pathlib.Path) -> tuple[bool, int]:
    """Return the rank of a feature file; lower goes first.

    Simulations take long however few scenarios they have, others the longer
    the more they have.
    """
    is_simulation = any(word in str(path) for word in _SIMULATIONS)
    return not is_simulation, -path.stat().st_size


def _collect(report: pathlib.Path) -> tuple[int, list[str]]:
    passed = 0
    failed = []
    for feature in json.loads(report.read_text()):
        for element in feature.get("elements", ()):
            if element["type"] == "background":
                continue
            if element.get("status") == "passed":
                passed += 1
            else:
                failed.append(str(element["name"]))
    return passed, failed


def run_suite(suite: pathlib.Path) -> SuiteResult:
    """Run one feature file with behave."""
    name = str(suite.relative_to(ROOT))
    began = time.monotonic()

    def report_result(
        passed: int, failed: typing.Sequence[str], output: str
    ) -> SuiteResult:
        seconds = time.monotonic() - began
        return SuiteResult(name, passed, tuple(failed), output, seconds)

    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color"]
        command += ["-f", "json", "-o", str(report)]
        command += ["-f", "progress3", "-o", "-", str(suite)]
        environment = dict(os.environ, PYTHONPATH=str(ROOT))
        try:
            done = subprocess.run(
                command,
                cwd=ROOT,
                env=environment,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                timeout=SUITE_TIMEOUT_S,
            )
        except subprocess.TimeoutExpired as error:
            return report_result(0, [f"{name}: timeout"], str(error))
        try:
            passed, failed = _collect(report)
        except (ValueError, OSError):
            return report_result(0, [f"{name}: no result"], done.stdout)
        if done.returncode != 0 and not failed:
            failed.append(f"{name}: behave ended with {done.returncode}")
        return report_result(passed, failed, done.stdout)


def load_known_red() -> list[str]:
    """Return the lines of KNOWN-RED.txt."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return [line for line in lines if line.strip()]


def main() -> int:
    """Run the suites and print the counts."""
    suites = find_suites(sys.argv[1:])
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        results = list(pool.map(run_suite, suites))
    known = load_known_red()
    unknown = 0
    for result in results:
        failures = f", {len(result.failed)} failed" if result.failed else ""
        print(f"{result.folder}: {result.passed} passed{failures}", end="")
        print(f" in {result.seconds:.0f} s")
        if result.failed:
            print(result.output)
        for name in result.failed:
            lines = [line for line in known if line.startswith(name)]
            unknown += 0 if lines else 1
            print(f"KNOWN RED: {lines[0]}" if lines else f"FAILED: {name}")
    passed = sum(result.passed for result in results)
    failed = sum(len(result.failed) for result in results)
    print(f"{passed} passed, {failed} failed")
    return 1 if unknown or not passed else 0


if __name__ == "__main__":
    sys.exit(main())

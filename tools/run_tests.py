"""Runs all features and counts what ran.

Each folder of features runs in a behave process of its own, several at a
time; results come as JSON. A scenario that fails counts as failed unless
KNOWN-RED.txt names it; such a line is printed. A line that names a promise
excuses no other one. The last line is ``N passed, N failed``, from what
really ran.

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

BROKEN_PROMISE: typing.Final = "broken promise: "
"""Starts a line of a failed scenario that names the promise it broke, up to
the next colon."""
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


class Failure(typing.NamedTuple):
    """A scenario that failed."""

    name: str
    """Name of the scenario, or of the suite if none of it could be read."""
    promises: tuple[str, ...] = ()
    """Promises that it names as broken; it checks others in another way."""


class SuiteResult(typing.NamedTuple):
    """What one behave process reported."""

    folder: str
    """Folder of the features, from the root."""
    passed: int
    """Scenarios that passed."""
    failed: tuple[Failure, ...]
    """The scenarios that failed."""
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


def find_known(
    failure: Failure, known: typing.Sequence[str]
) -> typing.Optional[typing.Sequence[str]]:
    """Return the lines of ``known`` that excuse a failure, None if none do.

    A line begins with the name of the scenario. Where the scenario names the
    promises that it broke, each of them, in square brackets, must follow the
    name in a line.

    >>> find_known(Failure("soak", ("a", "b")), ["soak [a] -- seed 3"])
    >>> find_known(Failure("soak", ("a",)), ["soak [a] -- seed 3"])
    ['soak [a] -- seed 3']
    """
    starts = [f"{failure.name} [{item}] " for item in failure.promises]
    lines = [
        next((line for line in known if line.startswith(start)), None)
        for start in starts or [f"{failure.name} -- "]
    ]
    found = [line for line in lines if line is not None]
    return found if len(found) == len(lines) else None


def _list_promises(element: typing.Mapping[str, typing.Any]) -> list[str]:
    """Return the promises that a failed scenario names as broken."""
    found = []
    for step in element.get("steps", ()):
        message = step.get("result", {}).get("error_message", "")
        text = message if isinstance(message, str) else "\n".join(message)
        for line in text.splitlines():
            _, prefix, rest = line.partition(BROKEN_PROMISE)
            if prefix:
                found.append(rest.partition(":")[0])
    return found


def _collect(report: pathlib.Path) -> tuple[int, list[Failure]]:
    passed = 0
    failed = []
    for feature in json.loads(report.read_text()):
        for element in feature.get("elements", ()):
            if element["type"] == "background":
                continue
            if element.get("status") == "passed":
                passed += 1
            else:
                promises = _list_promises(element)
                failed.append(Failure(str(element["name"]), tuple(promises)))
    return passed, failed


def run_suite(suite: pathlib.Path) -> SuiteResult:
    """Run one feature file with behave."""
    name = str(suite.relative_to(ROOT))
    began = time.monotonic()

    def report_result(
        passed: int, failed: typing.Sequence[Failure], output: str
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
            failure = Failure(f"{name}: timeout")
            return report_result(0, [failure], str(error))
        try:
            passed, failed = _collect(report)
        except (ValueError, OSError):
            failure = Failure(f"{name}: no result")
            return report_result(0, [failure], done.stdout)
        if done.returncode != 0 and not failed:
            failed.append(
                Failure(f"{name}: behave ended with {done.returncode}")
            )
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
        for failure in result.failed:
            lines = find_known(failure, known)
            if lines is None:
                unknown += 1
                print(f"FAILED: {failure.name}")
            for line in lines or ():
                print(f"KNOWN RED: {line}")
    passed = sum(result.passed for result in results)
    failed = sum(len(result.failed) for result in results)
    print(f"{passed} passed, {failed} failed")
    return 1 if unknown or not passed else 0


if __name__ == "__main__":
    sys.exit(main())

"""Shows that the features fail when a guard is taken out.

Each line of ``tools/guards.json`` names a file, a piece of its text, what
stands there without the guard, and a scenario that must fail then. The
change is made in a scratch copy; the tree itself stays as it is::

    python tools/take_out_guards.py            # all of them
    python tools/take_out_guards.py frozen     # those whose name has the word
    python tools/take_out_guards.py --check    # only whether each is there

A guard whose scenario passes without it is printed as NOT CAUGHT, and the
exit code is 1.
"""

import concurrent.futures
import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import typing

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
AT_ONCE: typing.Final = 3
TIMEOUT_S: typing.Final = 240
COPIED: typing.Final = ("packages", "features", "spec")


class Guard(typing.NamedTuple):
    """A guard and the scenario that must fail without it."""

    name: str
    """What the guard prevents."""
    file: str
    """File from the root."""
    text: str
    """Text to replace; it stands once in the file."""
    without: str
    """Text without the guard."""
    feature: str
    """Feature file from the root."""
    scenario: str
    """Start of the scenario's name."""


def load_guards(word: str) -> list[Guard]:
    """Return the guards whose name has ``word``."""
    rows = json.loads((ROOT / "tools/guards.json").read_text())
    return [Guard(**row) for row in rows if word in row["name"]]


def list_missing(guards: list[Guard]) -> list[str]:
    """Return the names of guards whose text does not stand once."""
    return [
        guard.name
        for guard in guards
        if (ROOT / guard.file).read_text().count(guard.text) != 1
    ]


def _make_environment(copy: pathlib.Path) -> dict[str, str]:
    sources = [str(path) for path in copy.glob("packages/*/src")]
    return dict(os.environ, PYTHONPATH=os.pathsep.join([str(copy), *sources]))


def run_without(guard: Guard) -> tuple[Guard, bool, str]:
    """Run the scenario without the guard; tell whether it failed."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        for name in COPIED:
            shutil.copytree(ROOT / name, copy / name)
        path = copy / guard.file
        text = path.read_text()
        if text.count(guard.text) != 1:
            return guard, False, "the text is not there once"
        path.write_text(text.replace(guard.text, guard.without))
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "behave",
                "--no-color",
                "--name",
                f"^{guard.scenario}",
                guard.feature,
            ],
            cwd=copy,
            env=_make_environment(copy),
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=TIMEOUT_S,
        )
    # A step that is not found fails too, but shows nothing of the guard.
    caught = done.returncode != 0 and "undefined" not in done.stdout
    return guard, caught, done.stdout[-400:]


def main() -> int:
    """Run all guards and print what was caught."""
    if sys.argv[1:] == ["--check"]:
        missing = list_missing(load_guards(""))
        for name in missing:
            print(f"the text of a guard is not there once: {name}")
        return 1 if missing else 0
    guards = load_guards(sys.argv[1] if len(sys.argv) > 1 else "")
    missed = 0
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        for guard, caught, output in pool.map(run_without, guards):
            print("caught" if caught else "NOT CAUGHT", guard.name, flush=True)
            if not caught:
                missed += 1
                print(output)
    print(f"{len(guards) - missed} of {len(guards)} guards caught")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())

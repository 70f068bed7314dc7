"""Builds settings, and runs entries that end because of them."""

from collections import abc
import os
import pathlib
import subprocess
import sys
import typing

COMMAND: typing.Final = pathlib.Path(sys.executable).parent / "gentianpoint"


class Run(typing.NamedTuple):
    """The result of an entry process."""

    code: int
    """Exit code of the process."""
    output: str
    """Its output as one line."""


def make_settings() -> dict[str, str]:
    """Return the settings that an entry requires."""
    return {
        "--name": "entry-1",
        "--data-centre": "zona-norte",
        "--log-url": "http://127.0.0.1:9",
        "--hosts-url": "http://127.0.0.1:9",
        "--peer-key": "key",
        "--operator-key-hash": "0" * 64,
    }


def run_entry(settings: abc.Mapping[str, str], **variables: str) -> Run:
    """Run an entry that its settings keep from starting."""
    flags = [text for pair in settings.items() for text in pair]
    done = subprocess.run(
        [str(COMMAND), "entry", *flags],
        env={**os.environ, "COLUMNS": "200", **variables},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=30,
    )
    return Run(done.returncode, " ".join(done.stdout.split()))

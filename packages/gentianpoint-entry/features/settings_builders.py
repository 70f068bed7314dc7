"""Builders of settings, and runs of the entry that end at once."""

from collections import abc
import os
import pathlib
import subprocess
import sys
import typing

COMMAND: typing.Final = pathlib.Path(sys.executable).parent / "gentianpoint"


class Run(typing.NamedTuple):
    """A run that ended."""

    code: int
    """Its exit code."""
    output: str
    """What it printed, as one line."""


def make_settings() -> dict[str, str]:
    """Return the settings without which no entry starts."""
    return {
        "--name": "entry-1",
        "--data-centre": "zona-norte",
        "--log-url": "http://127.0.0.1:9",
        "--hosts-url": "http://127.0.0.1:9",
        "--peer-key": "key",
        "--operator-key-hash": "0" * 64,
    }


def run_entry(settings: abc.Mapping[str, str], **variables: str) -> Run:
    """Run an entry whose settings end it, and return how it ended."""
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

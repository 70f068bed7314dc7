"""Keeps what a failed soak has seen and printed, so that it can be traced."""

from collections import abc
import gzip
import pathlib
import shutil
import tempfile
import typing

import msgspec

from bench.soak import facts as seen
from bench.soak import verdicts

__all__ = ("keep", "list_broken")

_FOLDER: typing.Final = "gentianpoint-soak-failures"
"""Folder below that for temporary files."""
_MOST_KEPT: typing.Final = 8
"""Failed soaks that are kept, the newest ones."""
_MOST_BYTES: typing.Final = 8_000_000
"""Bytes kept of what one program printed, the last ones."""


def list_broken(
    judged: abc.Iterable[verdicts.Verdict],
) -> abc.Sequence[verdicts.Verdict]:
    """Return the verdicts on promises that were broken."""
    return [item for item in judged if item.failures]


def keep(
    name: str,
    output: pathlib.Path,
    facts: seen.Facts,
    broken: abc.Iterable[verdicts.Verdict],
    root: typing.Optional[pathlib.Path] = None,
) -> pathlib.Path:
    """Keep what a soak has left, and return the folder with it.

    ``output`` has the files that the programs wrote. Of earlier failures below
    ``root``, by default the folder for temporary files, the newest are kept.
    """
    parent = (root or pathlib.Path(tempfile.gettempdir())) / _FOLDER
    parent.mkdir(parents=True, exist_ok=True)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"{name}-", dir=parent))
    for path in output.iterdir():
        if path.is_file():
            (folder / path.name).write_bytes(_read_last(path))
    encoded = msgspec.json.encode(_name_fields(facts))
    (folder / "facts.json.gz").write_bytes(gzip.compress(encoded))
    (folder / "broken.json").write_bytes(msgspec.json.encode(list(broken)))
    _drop_old(parent)
    return folder


def _name_fields(facts: seen.Facts) -> dict[str, typing.Any]:
    """Return the facts with the names of all fields."""
    return {
        name: [
            row._asdict() if hasattr(row, "_asdict") else row for row in value
        ]
        if isinstance(value, list)
        else value
        for name, value in vars(facts).items()
    }


def _read_last(path: pathlib.Path) -> bytes:
    with path.open("rb") as file:
        file.seek(max(0, path.stat().st_size - _MOST_BYTES))
        return file.read()


def _drop_old(parent: pathlib.Path) -> None:
    folders = sorted(
        parent.iterdir(), key=lambda path: path.stat().st_mtime, reverse=True
    )
    for folder in folders[_MOST_KEPT:]:
        shutil.rmtree(folder, ignore_errors=True)

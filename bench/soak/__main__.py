"""``python -m bench.soak --seed 1``: one soak, or one after another."""

import pathlib
import sys
import tempfile
import time
import typing

import trio
import typer

from bench.soak import checks
from bench.soak import fleet
from bench.soak import playing
from bench.soak import schedule

_BOUNDS: typing.Final = {
    "platform": checks.Bounds(),
    "own": checks.Bounds(in_force_s=7.0, do_agents_carry=True),
}


def _tell(
    verdicts: typing.Sequence[checks.Verdict],
    options: playing.SoakOptions,
    folder: pathlib.Path,
) -> bool:
    """Print a line for each promise; return True when all were kept."""
    is_kept = True
    for item in verdicts:
        word = "never tested" if not item.tested else "kept"
        if item.failures:
            is_kept = False
            word = "BROKEN: " + "; ".join(item.failures)
        print(f"seed {options.seed}: {item.promise}: {item.tested}, {word}")
    if not is_kept:
        print(f"output of the programs: {folder}")
        for step in schedule.draw_schedule(options.seed, options.length_s):
            print(f"  {step}")
    return is_kept


def play_one(options: playing.SoakOptions, bounds: checks.Bounds) -> bool:
    """Play one soak and print its verdicts; return True if all were kept.

    What the programs printed stays behind when a promise was broken.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{options.seed}-"))
    facts = trio.run(playing.play, options, folder)
    is_kept = _tell(checks.check_all(facts, bounds), options, folder)
    if is_kept:
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    return is_kept


def main(
    seed: typing.Annotated[int, typer.Option(help="First seed.")] = 1,
    seeds: typing.Annotated[int, typer.Option(help="How many seeds.")] = 1,
    minutes: typing.Annotated[
        float, typer.Option(help="Go on with further seeds for so long.")
    ] = 0,
    length_s: typing.Annotated[
        float, typer.Option(help="Seconds in which faults come, each.")
    ] = 45,
    entries: typing.Annotated[int, typer.Option(help="Entries.")] = 3,
    engines: typing.Annotated[
        int, typer.Option(help="Engines, each with an agent.")
    ] = 3,
    plain: typing.Annotated[int, typer.Option(help="Plain targets.")] = 2,
    interface: typing.Annotated[
        typing.Literal["platform", "own"],
        typer.Option(help="The users' platform, or the own interface."),
    ] = "platform",
    timed: typing.Annotated[
        bool, typer.Option(help="Check promises with a time as well.")
    ] = True,
) -> None:
    """Play soaks and tell which promises were kept."""
    until = time.monotonic() + minutes * 60
    broken = []
    played = 0
    while played < seeds or time.monotonic() < until:
        options = playing.SoakOptions(
            seed + played,
            length_s,
            fleet.FleetSize(entries, engines, plain),
            interface,
        )
        bounds = _BOUNDS[interface]._replace(are_timed=timed)
        if not play_one(options, bounds):
            broken.append(options.seed)
        played += 1
    print(f"{played} seeds, {len(broken)} with a broken promise: {broken}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    typer.run(main)

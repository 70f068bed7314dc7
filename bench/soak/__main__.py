"""``python -m bench.soak --seed 1``: one soak, or one after another."""

import pathlib
import sys
import tempfile
import time
import typing

import trio
import typer

from bench.soak import checks
from bench.soak import failures
from bench.soak import fleet
from bench.soak import playing
from bench.soak import schedule
from bench.soak import verdicts

_BOUNDS: typing.Final = {
    "platform": verdicts.Bounds(),
    "own": verdicts.Bounds(in_force_s=7.0, do_agents_carry=True),
}


def _tell(
    judged: typing.Sequence[verdicts.Verdict],
    options: playing.SoakOptions,
) -> None:
    """Print a line for each promise."""
    for item in judged:
        word = "never tested" if not item.tested else "kept"
        if item.failures:
            word = "BROKEN: " + "; ".join(item.failures)
        print(f"seed {options.seed}: {item.promise}: {item.tested}, {word}")


def play_one(options: playing.SoakOptions, bounds: verdicts.Bounds) -> bool:
    """Play one soak and print its verdicts; return True if all were kept.

    When a promise was broken, what was seen and printed is kept.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        facts = trio.run(playing.play, options, folder)
        judged = checks.check_all(facts, bounds)
        _tell(judged, options)
        broken = failures.list_broken(judged)
        if not broken:
            return True
        kept = failures.keep(f"seed-{options.seed}", folder, facts, broken)
    print(f"facts and output of the programs: {kept}")
    for step in schedule.draw_schedule(options.seed, options.length_s):
        print(f"  {step}")
    return False


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

"""``python -m bench.replay.ablations``: what each mechanism is worth, alone.

Each row replays the same loads and seeds with one mechanism switched off, by
replacing the function or constant that it rests on, in a process of its own.
The difference to the first row is its worth there; what makes none anywhere,
and that no rule needs, is to be removed.
"""

import argparse
from collections import abc
from concurrent import futures
import functools
import typing

from bench.replay import loads
from bench.replay import playing
from gentianpoint_core.decisions import customer_usage
from gentianpoint_core.decisions import room_book
from gentianpoint_entry.forwarding import agent_turns
from gentianpoint_entry.forwarding import generation_moves
from gentianpoint_entry.forwarding import target_selection
from gentianpoint_entry.forwarding import targets

__all__ = ("ABLATIONS", "switch_off")

_NEVER: typing.Final = 1e12
"""A divisor that makes a cost nothing."""
_LISTED_AFTER_S: typing.Final = (0.8, 1.63)
"""When the platform's list named new engines, counted from their start."""


def _replace(owner: typing.Any, name: str, value: typing.Any) -> None:
    """Replace an attribute, which must be there, of a class or module."""
    assert hasattr(owner, name), name
    setattr(owner, name, value)


def _keep_all() -> None:
    """Switch nothing off."""


def _drop_copies_ahead() -> None:
    async def leave_to_the_stop(
        move: generation_moves.GenerationMove, *args: typing.Any
    ) -> None:
        move._stage = generation_moves._Stage.COPIED

    _replace(generation_moves.GenerationMove, "_copy_to", leave_to_the_stop)


def _drop_turns() -> None:
    async def wait_for_turn(*args: typing.Any) -> None:
        return None

    _replace(agent_turns.AgentTurns, "wait_for_turn", wait_for_turn)


def _drop_reports() -> None:
    """Let entries know of notices only."""
    take_report = targets.Target.take_report

    def take_notice(
        target: targets.Target, report: targets.EngineReport
    ) -> None:
        if report.is_leaving:
            take_report(target, report)

    _replace(targets.Target, "take_report", take_notice)


def _drop_announcements() -> None:
    for name, load in loads.LOADS.items():
        leaving = load.leaving._replace(known_after_s=_LISTED_AFTER_S)
        loads.LOADS[name] = load._replace(leaving=leaving)


def _drop_memory_cost() -> None:
    def score_memory(*args: typing.Any) -> float:
        return 0.0

    _replace(target_selection, "_score_memory", score_memory)


def _drop_distance() -> None:
    _replace(target_selection, "_DISTANCE_COST", 0.0)
    for function in (
        target_selection.score_target,
        target_selection.choose_target,
    ):
        # The first of their defaults is the constant.
        _, *others = function.__defaults__ or ()
        _replace(function, "__defaults__", (0.0, *others))


def _drop_reserved_room() -> None:
    def find_reserved(*args: typing.Any) -> int:
        return 0

    _replace(room_book.RoomBook, "find_reserved", find_reserved)


def _drop_fair_order() -> None:
    def find_usage(*args: typing.Any) -> float:
        return 0.0

    _replace(customer_usage.CustomerUsage, "find_usage", find_usage)


def _set(name: str, value: float) -> abc.Callable[[], None]:
    """Return what replaces one constant of the choice."""
    return functools.partial(_replace, target_selection, name, value)


class Ablation(typing.NamedTuple):
    """One mechanism switched off."""

    name: str
    """What is off."""
    apply: abc.Callable[[], None] = _keep_all
    """Switches it off in this process."""
    policy: str = "ours"
    """Policy of :mod:`bench.replay.policies` that lacks it."""


ABLATIONS: typing.Final = (
    Ablation("nothing"),
    Ablation("moves and backups", policy="no moves"),
    Ablation("backups", policy="moves alone"),
    Ablation("turns", _drop_turns),
    Ablation("copies ahead", _drop_copies_ahead),
    Ablation("announcements", _drop_announcements),
    Ablation("agents' reports", _drop_reports),
    Ablation("prompts of other entries", policy="own prompts"),
    Ablation("cost of prompts", _set("_UNREAD_TOKENS_SCALE", _NEVER)),
    Ablation("cost of a crowd", _set("_RUNNING_SCALE", _NEVER)),
    Ablation("cost of memory", _drop_memory_cost),
    Ablation("cost of full memory", _set("_MEMORY_OVERFLOW_COST", 0.0)),
    Ablation("cost of distance", _drop_distance),
    Ablation("near in haste", _set("_LOST_GENERATION_COST", 0.0)),
    Ablation("paces of targets", policy="even paces"),
    Ablation("memory of failures", _set("_FAILURE_COST", 0.0)),
    Ablation("noise between equals", _set("_TIE_BREAK_NOISE", 0.0)),
    Ablation("urgency", policy="no urgency"),
    Ablation("room control", policy="no room control"),
    Ablation("reserved room", _drop_reserved_room),
    Ablation("fair order", _drop_fair_order),
    Ablation("paces", policy="even paces"),
)
"""What can be switched off, with nothing off first."""


def switch_off(number: int) -> str:
    """Switch a row's mechanism off in this process; return its policy."""
    ablation = ABLATIONS[number]
    ablation.apply()
    return ablation.policy


def _play(number: int, load: str, seed: int) -> float:
    """Return the worth of one replay with one mechanism off."""
    return playing.play(load, switch_off(number), seed).worth


def main() -> None:
    """Replay all rows and print the mean worth by load."""
    parser = argparse.ArgumentParser(prog="python -m bench.replay.ablations")
    parser.add_argument("--loads", nargs="+", required=True)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--first-seed", type=int, default=101)
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument(
        "--rows", nargs="+", help="names of the rows; by default all"
    )
    options = parser.parse_args()
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    print("| off | " + " | ".join(options.loads) + " |")
    print("|---" * (len(options.loads) + 1) + "|")
    for number, ablation in enumerate(ABLATIONS):
        if options.rows and ablation.name not in options.rows:
            continue
        cells = []
        for load in options.loads:
            # Processes end with the pool, and what they replaced with them.
            with futures.ProcessPoolExecutor(options.at_once) as pool:
                jobs = [
                    pool.submit(_play, number, load, seed) for seed in seeds
                ]
                worths = [job.result() for job in jobs]
            cells.append(f"{sum(worths) / len(worths):.3f}")
        print(f"| {ablation.name} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()

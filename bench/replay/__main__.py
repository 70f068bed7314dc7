"""``python -m bench.replay``: a table of loads and policies."""

import argparse
from collections import abc
from concurrent import futures
import typing

from bench.replay import figures
from bench.replay import loads
from bench.replay import playing
from bench.replay import policies

_HEAD: typing.Final = (
    "| load | policy | worth | served | on time | broken | late | refused "
    "| stall ms | pause p99 ms | preempted | reread | moved | crashed "
    "| goodput |"
)
_GROUP_HEAD: typing.Final = (
    "| load | policy | {} | generations | on time | served | worth |"
)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m bench.replay")
    parser.add_argument("--loads", nargs="+", default=list(loads.LOADS))
    parser.add_argument(
        "--policies", nargs="+", default=list(policies.POLICIES)
    )
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--by", choices=("kind", "customer"))
    return parser.parse_args()


def _format(load: str, policy: str, found: list[figures.ReplayFigures]) -> str:
    def mean(name: str) -> float:
        values = [float(getattr(item, name)) for item in found]
        return sum(values) / len(values)

    shares = [f"{mean(name):.3f}" for name in ("worth", "served", "on_time")]
    counts = [f"{mean(name):.1f}" for name in ("broken", "late", "refused")]
    times = [f"{mean(name):.0f}" for name in ("stall_ms", "pause_ms")]
    tokens = [
        f"{mean('preemptions'):.1f}",
        f"{mean('reread_tokens') / 1000:.0f}k",
        f"{mean('moved_tokens') / 1000:.0f}k",
        f"{mean('crashed'):.1f}",
        f"{mean('goodput'):.0f}",
    ]
    cells = [load, f"`{policy}`", *shares, *counts, *times, *tokens]
    return "| " + " | ".join(cells) + " |"


def _format_groups(
    load: str, policy: str, found: list[figures.GroupFigures]
) -> abc.Iterator[str]:
    """Yield a row for each group, with means over its generations.

    The last row has the least share of each column.
    """
    rows = []
    for name in sorted({item.name for item in found}):
        parts = [item for item in found if item.name == name]
        count = sum(item.generations for item in parts)

        def mean(
            field: str,
            parts: list[figures.GroupFigures] = parts,
            count: int = count,
        ) -> float:
            total = sum(
                getattr(item, field) * item.generations for item in parts
            )
            return float(total) / count

        shares = (mean("on_time"), mean("served"), mean("worth"))
        rows.append((name, str(count), *shares))
    if rows:
        _, _, *columns = zip(*rows, strict=True)
        on_time, served, worth = (min(column) for column in columns)
        rows.append(("least", "", on_time, served, worth))
    for name, counted, on_time, served, worth in rows:
        cells = [load, f"`{policy}`", name, counted]
        cells += [f"{share:.3f}" for share in (on_time, served, worth)]
        yield "| " + " | ".join(cells) + " |"


def _print_head(head: str) -> None:
    print(head)
    print("|---" * (head.count("|") - 1) + "|")


def main() -> None:
    """Replay and print means over the seeds."""
    options = _parse()
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    by = options.by or "kind"
    groups: list[str] = []
    _print_head(_HEAD)
    with futures.ProcessPoolExecutor(options.at_once) as pool:
        for load in options.loads:
            for policy in options.policies:
                jobs = [
                    pool.submit(playing.play_groups, load, policy, seed, by)
                    for seed in seeds
                ]
                found = [job.result() for job in jobs]
                totals = [total for total, _ in found]
                print(_format(load, policy, totals), flush=True)
                parts = [part for _, items in found for part in items]
                groups.extend(_format_groups(load, policy, parts))
    if options.by:
        print()
        _print_head(_GROUP_HEAD.format(by))
        print("\n".join(groups))


if __name__ == "__main__":
    main()

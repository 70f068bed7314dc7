"""Compares ways for entries to keep a target's limit together.

Entries with a share of the callers each send to one target with a limit, as
soon as a way lets them. A request waits for it at its entry for up to two
seconds. Run as ``python -m bench.limit_ways``.
"""

import abc
import collections
from collections import abc as collections_abc
import math
import random
import typing

from gentianpoint_core.decisions import request_turns
from gentianpoint_standins import windows

__all__ = ()

_WINDOW_S: typing.Final = 4.0
_LENGTH_S: typing.Final = 60.0
_STEP_S: typing.Final = 0.01
_WAIT_S: typing.Final = 2.0
_ROUND_TRIP_S: typing.Final = 0.004
"""Time from a question to another entry to its answer."""
_ENTRIES: typing.Final = (3, 29, 380)
_LIMITS_PER_S: typing.Final = (0.4, 2.0)
_LOADS_PER_S: typing.Final = (0.2, 2.0)
"""Requests a second that come to each entry."""
_UNEVEN_LIMIT_PER_S: typing.Final = 20.0
_UNEVEN_LOAD_PER_S: typing.Final = 15.0
"""Requests a second that come to all entries, most of them to one."""
_PREFERRED_SHARE: typing.Final = 0.9
_PREFERRED_S: typing.Final = 10.0
"""Seconds after which another entry gets most of them."""
_SHORT_WAIT_S: typing.Final = 0.1
"""Seconds for which a request waits then."""
_NEWS_S: typing.Final = 1.0
"""Seconds until all entries know how many requests came to each."""


class Way(abc.ABC):
    """Decides which of the entries may send when."""

    name: str
    """Name in the table."""

    def __init__(self, count: int, per_s: float) -> None:
        """Let ``count`` entries share the limit ``per_s``."""
        self.count: typing.Final = count
        self.per_s: typing.Final = per_s

    def note_wanted(self, entry: int, now: float) -> None:
        """Note that a request has come to an entry."""
        return

    @abc.abstractmethod
    def take(self, entry: int, now: float) -> bool:
        """Tell whether an entry sends a request now."""


class EachAlone(Way):
    """Each entry keeps the whole limit by itself."""

    name = "each entry by itself"

    def __init__(self, count: int, per_s: float) -> None:
        """Start with nothing sent."""
        super().__init__(count, per_s)
        self._next_at: typing.Final = [0.0] * count

    def take(self, entry: int, now: float) -> bool:
        """Send once in the time that a request takes at the limit."""
        if now < self._next_at[entry]:
            return False
        self._next_at[entry] = now + 1 / self.per_s
        return True


class SavedShares(Way):
    """Each entry saves up its share of the limit, one request at the most."""

    name = "fractional shares, saved up to one"

    def __init__(self, count: int, per_s: float) -> None:
        """Start with a request saved, as after a calm time."""
        super().__init__(count, per_s)
        self._saved: typing.Final = [(1.0, 0.0)] * count

    def take(self, entry: int, now: float) -> bool:
        """Send when a whole request is saved."""
        saved, at = self._saved[entry]
        saved = min(1.0, saved + (now - at) * self.per_s / self.count)
        is_sent = saved >= 1.0
        self._saved[entry] = (saved - is_sent, now)
        return is_sent


class WholeShares(Way):
    """Some entries have whole requests of each window, the others none."""

    name = "whole shares of a second, at least one"

    def __init__(self, count: int, per_s: float) -> None:
        """Divide the limit, rounded down, among the first entries."""
        super().__init__(count, per_s)
        whole = max(1, math.floor(per_s))
        self._shares: typing.Final = [
            whole // count + (entry < whole % count) for entry in range(count)
        ]
        self._sent: typing.Final[list[collections.deque[float]]] = [
            collections.deque() for _ in range(count)
        ]

    def take(self, entry: int, now: float) -> bool:
        """Send while the second has room."""
        sent = self._sent[entry]
        while sent and sent[0] <= now - 1.0:
            sent.popleft()
        if len(sent) >= self._shares[entry]:
            return False
        sent.append(now)
        return True


class Turns(Way):
    """Entries take turns."""

    name = "turns"

    def __init__(self, count: int, per_s: float) -> None:
        """Let all agree on the members and on when turns began."""
        super().__init__(count, per_s)
        names = [f"entry-{entry}" for entry in range(count)]
        members = frozenset(names)
        self._turns: typing.Final = [
            request_turns.RequestTurns(name, lambda: members) for name in names
        ]
        self._clocks: typing.Final = [
            request_turns.TurnClock(per_s, _WINDOW_S, 0, -skew_s)
            for skew_s in self._draw_skews()
        ]
        self._wakes_at: typing.Final = [0.0] * count

    def _draw_skews(self) -> collections_abc.Sequence[float]:
        return [0.0] * self.count

    def take(self, entry: int, now: float) -> bool:
        """Send with a turn that is left."""
        if now < self._wakes_at[entry]:
            return False
        turns, clock = self._turns[entry], self._clocks[entry]
        if turns.take("target", clock, now) is not None:
            return True
        self._wakes_at[entry] = turns.find_permitted_at("target", clock, now)
        return False


class SkewedTurns(Turns):
    """Entries take turns by clocks that differ by up to a second."""

    name = "the same, clocks differ by up to a second"

    def _draw_skews(self) -> collections_abc.Sequence[float]:
        source = random.Random(1)
        return [source.random() for _ in range(self.count)]


class LentTurns(Turns):
    """The same, and entries lend each other what they don't need."""

    name = "turns, lent to those that need them"

    def __init__(self, count: int, per_s: float) -> None:
        """Start with nothing asked."""
        super().__init__(count, per_s)
        self._lent_at: typing.Final[list[tuple[float, int, int]]] = []
        self._asked: typing.Final[set[int]] = set()
        self._wanted_at: typing.Final = [-1.0] * count

    def note_wanted(self, entry: int, now: float) -> None:
        """Note that an entry needs its own turns for a second."""
        self._wanted_at[entry] = now

    def take(self, entry: int, now: float) -> bool:
        """Send with a turn that is left, or ask the owner of another one."""
        while self._lent_at and self._lent_at[0][0] <= now:
            _, borrower, turn = self._lent_at.pop(0)
            self._turns[borrower].borrow("target", turn)
            self._wakes_at[borrower] = 0.0
        if super().take(entry, now):
            return True
        clock = self._clocks[entry]
        others = self._turns[entry].list_others(
            "target", clock, now, now + _SHORT_WAIT_S
        )
        for turn, owner in others:
            number = int(owner.partition("-")[2])
            if turn in self._asked or self._wanted_at[number] > now - 1:
                continue
            self._asked.add(turn)
            if self._turns[number].lend("target", clock, turn, now):
                self._lent_at.append((now + _ROUND_TRIP_S, entry, turn))
                break
        return False


class DemandShares(Way):
    """Each entry has the share that it had of all requests a second ago."""

    name = "shares by the requests of the last second"

    def __init__(self, count: int, per_s: float) -> None:
        """Start with equal shares."""
        super().__init__(count, per_s)
        self._wanted: typing.Final[list[collections.Counter[int]]] = [
            collections.Counter() for _ in range(round(_LENGTH_S) + 3)
        ]
        self._saved: typing.Final = [(0.0, 0.0)] * count

    def note_wanted(self, entry: int, now: float) -> None:
        """Count a request in its second."""
        self._wanted[int(now)][entry] += 1

    def take(self, entry: int, now: float) -> bool:
        """Send when a whole request is saved, two at the most."""
        known = self._wanted[max(0, int(now - _NEWS_S))]
        total = sum(known.values())
        share = known[entry] / total if total else 1 / self.count
        saved, at = self._saved[entry]
        saved = min(2.0, saved + (now - at) * self.per_s * share)
        is_sent = saved >= 1.0
        self._saved[entry] = (saved - is_sent, now)
        return is_sent


class Keeper(Way):
    """One entry gives out permits, which the others ask for."""

    name = "permits of one entry"

    def __init__(self, count: int, per_s: float) -> None:
        """Start with nothing sent."""
        super().__init__(count, per_s)
        self._next_at = 0.0

    def take(self, entry: int, now: float) -> bool:
        """Send once the keeper has answered; entry 0 is the keeper."""
        asked_at = now - (_ROUND_TRIP_S if entry else 0.0)
        if asked_at < self._next_at:
            return False
        self._next_at = max(self._next_at, asked_at - 1) + 1 / self.per_s
        return True


class LostKeeper(Keeper):
    """The same, and the keeper is lost for a tenth of the time."""

    name = "the same, the keeper lost for 6 s"

    def take(self, entry: int, now: float) -> bool:
        """Send nothing until all know of another keeper."""
        if 30.0 <= now < 36.0:
            return False
        return super().take(entry, now)


class _Outcome(typing.NamedTuple):
    most: int
    """Most requests in any window."""
    used: float
    """Requests as a share of what the limit allows."""
    served: float
    """Share of the requests that were sent in their time."""


def _play(
    way: Way,
    load_per_s: float,
    wait_s: float = _WAIT_S,
    *,
    is_even: bool = True,
) -> _Outcome:
    """Send ``load_per_s`` requests a second, which wait for ``wait_s``.

    They come to all entries alike, or most of them to one after the other.
    """
    source = random.Random(1)
    waiting: dict[int, collections.deque[float]] = collections.defaultdict(
        collections.deque
    )
    sent: list[float] = []
    asked = 0
    next_at = source.expovariate(load_per_s)
    for step in range(round(_LENGTH_S / _STEP_S)):
        now = step * _STEP_S
        while next_at <= now:
            entry = source.randrange(way.count)
            if not is_even and source.random() < _PREFERRED_SHARE:
                entry = int(now / _PREFERRED_S) % way.count
            waiting[entry].append(next_at)
            way.note_wanted(entry, now)
            asked += 1
            next_at += source.expovariate(load_per_s)
        for entry, queue in list(waiting.items()):
            while queue and queue[0] < now - wait_s:
                queue.popleft()
            while queue and way.take(entry, now):
                queue.popleft()
                sent.append(now)
            if not queue:
                del waiting[entry]
    most = windows.count_most(sent, _WINDOW_S)
    used = len(sent) / (way.per_s * _LENGTH_S)
    return _Outcome(most, used, len(sent) / asked)


def _print_uneven() -> None:
    """Print a table of ways with most requests at one entry."""
    columns = " | ".join(f"{count} entries" for count in _ENTRIES)
    print(f"| way | {columns} |")
    print("|---|" + "---|" * len(_ENTRIES))
    for make_way in (Keeper, LostKeeper, Turns, LentTurns, DemandShares):
        cells = []
        for count in _ENTRIES:
            way = make_way(count, _UNEVEN_LIMIT_PER_S)
            outcome = _play(
                way, _UNEVEN_LOAD_PER_S, _SHORT_WAIT_S, is_even=False
            )
            cells.append(f"{outcome.most}, {outcome.served:.2f}")
        print(f"| {make_way.name} | {' | '.join(cells)} |", flush=True)


def main() -> None:
    """Print a table of all ways, and of some with uneven load."""
    _print_uneven()
    columns = " | ".join(f"{count} entries" for count in _ENTRIES)
    print(f"| way | limit | requests at each entry | {columns} |")
    print("|---|---|---|" + "---|" * len(_ENTRIES))
    ways = (
        EachAlone,
        SavedShares,
        WholeShares,
        Keeper,
        LostKeeper,
        Turns,
        SkewedTurns,
    )
    for make_way in ways:
        for per_s in _LIMITS_PER_S:
            for load_per_s in _LOADS_PER_S:
                found = [
                    _play(make_way(count, per_s), load_per_s * count)
                    for count in _ENTRIES
                ]
                cells = " | ".join(
                    f"{item.most}, {item.used:.2f}" for item in found
                )
                print(
                    f"| {make_way.name} | {per_s:g} | {load_per_s:g} |"
                    f" {cells} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()

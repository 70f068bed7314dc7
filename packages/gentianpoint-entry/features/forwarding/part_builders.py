"""Requests whose prompts share parts, some of which end targets."""

from collections import abc
import itertools
import random
import typing

import crash_builders
import trio

from gentianpoint_entry.forwarding import requests

__all__ = ("KIND", "PartLoad", "name_fatal_part")

KIND: typing.Final = "stream that may run once"
_SERVICE: typing.Final = "service"
_CALLERS: typing.Final = 6
_TOOLS: typing.Final = 8
"""Parts of callers that some of their requests have, rare ones included."""
_CALM_S: typing.Final = 5.0
_FATAL_EVERY_S: typing.Final = 0.4
_HARMLESS_EVERY_S: typing.Final = 0.1


def name_fatal_part(number: int) -> str:
    """Return the digest of a part that ends targets."""
    (digest, *_) = requests.digest_prompt_parts(
        _SERVICE, (f"fatal-{number}", "own")
    )
    return digest


class PartLoad:
    """Callers that send harmless requests, and others that end targets."""

    def __init__(
        self,
        fleet: crash_builders.CrashFleet,
        parts: int,
        *,
        are_together: bool = False,
        is_first: bool = False,
        seed: int = 1,
    ) -> None:
        """Send to ``fleet``; ``parts`` parts end targets.

        They come all in the same prompts if ``are_together``, else one each.
        If ``is_first``, they stand before all others in their prompts.
        """
        self._fleet: typing.Final = fleet
        self._parts: typing.Final = parts
        self._are_together: typing.Final = are_together
        self._is_first: typing.Final = is_first
        self._source: typing.Final = random.Random(seed)
        self._numbers: typing.Final = itertools.count()
        self.calm_until = 0.0
        fleet.park.fatal_parts.update(
            name_fatal_part(number) for number in range(parts)
        )

    async def run(self, seconds: float, kills_every_s: float = 0.0) -> None:
        """Send in calm times, then for so many seconds with fatal parts.

        A target is killed every ``kills_every_s`` seconds, none if 0.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_harmless, nursery)
            await trio.sleep(_CALM_S)
            self.calm_until = trio.current_time()
            if self._parts:
                nursery.start_soon(self._send_fatal, nursery)
            if kills_every_s:
                nursery.start_soon(self._kill, kills_every_s)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    async def _send_harmless(self, nursery: trio.Nursery) -> None:
        while True:
            self._send(nursery, self._draw_names())
            await trio.sleep(self._source.expovariate(1 / _HARMLESS_EVERY_S))

    async def _send_fatal(self, nursery: trio.Nursery) -> None:
        numbers = itertools.cycle(range(self._parts))
        while True:
            fatal = [next(numbers)]
            if self._are_together:
                fatal = list(range(self._parts))
            names = self._draw_names()
            at = 0 if self._is_first else 2
            names[at:at] = [f"fatal-{number}" for number in fatal]
            self._send(nursery, names)
            await trio.sleep(self._source.expovariate(1 / _FATAL_EVERY_S))

    def _draw_names(self) -> list[str]:
        """Return the parts of a prompt: its route's, its caller's, more."""
        caller = self._source.randrange(_CALLERS)
        names = ["route", f"caller-{caller}"]
        if self._source.random() < 0.5:
            tool = int(self._source.paretovariate(0.8)) % _TOOLS**2
            names.append(f"tool-{tool}")
        return [*names, f"own-{next(self._numbers)}"]

    def _send(self, nursery: trio.Nursery, names: abc.Sequence[str]) -> None:
        parts = requests.digest_prompt_parts(_SERVICE, names)
        nursery.start_soon(
            self._fleet.call,
            KIND,
            names[-1],
            self._source.randrange(len(self._fleet.entries)),
            parts,
        )

    async def _kill(self, every_s: float) -> None:
        places = self._fleet.park.places
        while True:
            self._fleet.park.end(self._source.randrange(places))
            await trio.sleep(every_s)

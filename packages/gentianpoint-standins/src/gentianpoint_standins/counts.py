"""Counts of what a stand-in really did, which a test can wait for.

The counts are kept apart from everything that the system reads, so that a
mistake in the system can't hide in them.
"""

from collections import abc
import typing

import quart
import trio

from gentianpoint_standins import serving

__all__ = ("Counts",)


class Counts:
    """Named counts that only rise."""

    def __init__(self, names: abc.Iterable[str]) -> None:
        """Start with each of ``names`` at 0."""
        self._values: typing.Final[dict[str, int]] = dict.fromkeys(names, 0)
        self._changed = trio.Event()

    def add(self, name: str, more: int = 1) -> None:
        """Raise a count."""
        self._values[name] += more
        if more:
            self._changed.set()
            self._changed = trio.Event()

    def read(self) -> dict[str, int]:
        """Return all counts."""
        return dict(self._values)

    async def wait_for(self, wanted: abc.Mapping[str, int]) -> None:
        """Wait until each named count is at least as wanted."""
        while any(
            self._values[name] < least for name, least in wanted.items()
        ):
            await self._changed.wait()

    async def wait_as_asked(self) -> typing.Optional[quart.Response]:
        """Wait for the counts that the call being served asks for.

        ``GET /witness?wait_ms=5000&started=2`` waits up to 5 seconds until
        ``started`` is 2. Returns a refusal when there is no such count.
        """
        wanted = {
            name: int(value) for name, value in quart.request.args.items()
        }
        wait_ms = wanted.pop("wait_ms", 0)
        if unknown := wanted.keys() - self._values.keys():
            return serving.answer_refusal(400, f"no counts {sorted(unknown)}")
        with trio.move_on_after(wait_ms / 1000):
            await self.wait_for(wanted)
        return None

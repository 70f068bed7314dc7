"""Runs attempts at one request, a further one while those before are late.

An attempt that is late goes on: where all targets are slow, one that is given
up for another would be given up in vain. The first one that succeeds counts,
and the others are cancelled.
"""

from collections import abc
import typing

import trio

from gentianpoint_entry.forwarding import targets

__all__ = ("HedgedAttempts",)


class HedgedAttempts:
    """Attempts at one request at several targets."""

    def __init__(
        self,
        attempt: abc.Callable[[targets.Target], abc.Awaitable[bool]],
        find_next: abc.Callable[
            [], abc.Awaitable[typing.Optional[targets.Target]]
        ],
        find_late_at: abc.Callable[[], float],
    ) -> None:
        """Prepare attempts.

        ``attempt`` sends to a target, and returns True once the request has
        its outcome. ``find_next`` returns the target of a further attempt,
        None if there must be none, and ``find_late_at`` when those under way
        are late, on trio's clock.
        """
        self._attempt: typing.Final = attempt
        self._find_next: typing.Final = find_next
        self._find_late_at: typing.Final = find_late_at
        self._open: typing.Final[list[targets.Target]] = []
        self._is_done = False
        self._failure: typing.Optional[Exception] = None

    def list_open(self) -> abc.Sequence[targets.Target]:
        """Return the targets of the attempts that are under way."""
        return tuple(self._open)

    async def run(self, first: targets.Target) -> bool:
        """Send to ``first``, and to others while it is late.

        Returns True once an attempt has succeeded, and False once all have
        ended without. Raises what an attempt raises.
        """
        async with trio.open_nursery() as nursery:
            self._start(nursery, first)
            while True:
                await trio.sleep_until(self._find_late_at())
                target = await self._find_next()
                if target is None:
                    break
                self._start(nursery, target)
        if self._failure is not None:
            raise self._failure
        return self._is_done

    def _start(self, nursery: trio.Nursery, target: targets.Target) -> None:
        self._open.append(target)
        nursery.start_soon(self._run_one, nursery, target)

    async def _run_one(
        self, nursery: trio.Nursery, target: targets.Target
    ) -> None:
        try:
            self._is_done |= await self._attempt(target)
        except Exception as error:
            # Raised by run(): a nursery would wrap it in an exception group.
            self._failure = error
        self._open.remove(target)
        if self._is_done or self._failure is not None or not self._open:
            nursery.cancel_scope.cancel()

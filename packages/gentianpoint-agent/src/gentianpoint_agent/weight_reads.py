"""Limits what engines read from the weight store at the same time.

The engines read, and their agents limit the reads of all engines of all
services together to the bytes that the store delivers in a few seconds. Each
read then finishes within these seconds, and the store refuses none.
"""

from collections import abc
import random
import typing

from gentianpoint_agent import desired_states
from gentianpoint_agent import order_turns
from gentianpoint_core import logs
from gentianpoint_core import ports
from gentianpoint_core.generated import events

__all__ = ("WeightReads",)

_LIMIT_WINDOW_S: typing.Final = 10
"""Seconds of the store's rate whose bytes may be in flight together."""
_MAX_DELAY_S: typing.Final = 60.0
"""Longest random delay before a read without a turn, in seconds."""


class WeightReads:
    """The weight store reads of one target's engine."""

    def __init__(
        self,
        store: typing.Optional[ports.WeightStore],
        rate: int,
        turns: order_turns.TurnClient,
    ) -> None:
        """Read from ``store``, which delivers ``rate`` bytes a second in all.

        Without a store, loads need no turns.
        """
        self._store: typing.Final = store
        self._rate: typing.Final = rate
        self._turns: typing.Final = turns

    def get_limit(self) -> int:
        """Return the bytes that may be in flight together."""
        return self._rate * _LIMIT_WINDOW_S

    async def compute_load_size(
        self, desired: desired_states.DesiredState, load: ports.EngineLoad
    ) -> int:
        """Return the bytes that loading ``desired`` reads, given ``load``."""
        if self._store is None:
            return 0
        size = 0
        if (load.model, load.version) != (desired.model, desired.version):
            size += await self._store.read_size(desired.model, desired.version)
        if desired.adapter:
            size += await self._store.read_size(
                desired.adapter, desired.version
            )
        return size

    async def wait_for_room(
        self, size: int, is_wanted: abc.Callable[[], bool]
    ) -> bool:
        """Wait until earlier turns leave room; see ``TurnClient``."""
        if not size:
            return True
        return await self._turns.wait_for_room(size, self.get_limit, is_wanted)

    async def acquire_turn(
        self, size: int, is_wanted: abc.Callable[[], bool]
    ) -> bool:
        """Wait for a turn to read ``size`` bytes; see ``TurnClient``."""
        if not size:
            return True
        acquired = await self._turns.acquire(size, self.get_limit, is_wanted)
        if acquired:
            logs.log_event(events.WEIGHTS_TURN_TAKEN, size=size)
        return acquired

    def holds_turn(self, size: int) -> bool:
        """Tell whether a read of ``size`` bytes is allowed by a held turn."""
        return not size or self._turns.is_held()

    async def keep_turn_renewed(self) -> None:
        """Renew the turn whenever it is held, forever."""
        await self._turns.keep_renewed()

    async def release_turn(self) -> None:
        """End the turn, so that the next engine can read."""
        await self._turns.release()

    def choose_delay_s(self, size: int, targets: int) -> float:
        """Return a random delay before a read without a turn, in seconds.

        While the log is out, ``targets`` whose engines all came back empty
        would read at once. Spread over the time that the store needs for all
        of them, they match its rate on average; the store refuses what is
        still too much.
        """
        spread_s = min(_MAX_DELAY_S, size * max(1, targets) / self._rate)
        return random.uniform(0, spread_s)

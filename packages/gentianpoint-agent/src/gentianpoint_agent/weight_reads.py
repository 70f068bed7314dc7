"""Reads of the weight store: their sizes, turns, and what to do without.

The engines read; their agents see to it that all engines of all services
together have no more bytes under way than the store gives in a few seconds.
Then each read is over within these seconds, and the store refuses none.
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

_WINDOW_S: typing.Final = 10
"""Bytes that the store gives in this time may be under way together."""
_MAX_SPREAD_S: typing.Final = 60.0


class WeightReads:
    """The reads that one target's engine makes."""

    def __init__(
        self,
        store: typing.Optional[ports.WeightStore],
        rate: int,
        turns: order_turns.TurnClient,
    ) -> None:
        """Read from ``store``, which gives ``rate`` bytes a second to all.

        Without a store loads take no turns.
        """
        self._store: typing.Final = store
        self._rate: typing.Final = rate
        self._turns: typing.Final = turns

    def read_limit(self) -> int:
        """Return the bytes that may be under way together."""
        return self._rate * _WINDOW_S

    async def measure(
        self, wanted: desired_states.DesiredState, load: ports.EngineLoad
    ) -> int:
        """Return the bytes that a load from ``load`` to ``wanted`` reads."""
        if self._store is None:
            return 0
        size = 0
        if (load.model, load.version) != (wanted.model, wanted.version):
            size += await self._store.read_size(wanted.model, wanted.version)
        if wanted.adapter:
            size += await self._store.read_size(wanted.adapter, wanted.version)
        return size

    async def wait_room(
        self, size: int, is_wanted: abc.Callable[[], bool]
    ) -> bool:
        """Wait until earlier turns leave room; see ``TurnClient``."""
        if not size:
            return True
        return await self._turns.wait_room(size, self.read_limit, is_wanted)

    async def take_turn(
        self, size: int, is_wanted: abc.Callable[[], bool]
    ) -> bool:
        """Wait for a turn to read ``size`` bytes; see ``TurnClient``."""
        if not size:
            return True
        taken = await self._turns.acquire(size, self.read_limit, is_wanted)
        if taken:
            logs.log_event(events.WEIGHTS_TURN_TAKEN, size=size)
        return taken

    def may_read(self, size: int) -> bool:
        """Tell whether the turn that was taken is still held."""
        return not size or self._turns.is_held()

    async def keep_turn_up(self) -> None:
        """Keep a turn that is held, for ever."""
        await self._turns.keep_renewed()

    async def give_turn_back(self) -> None:
        """Let the next read."""
        await self._turns.release()

    def choose_wait_s(self, size: int, targets: int) -> float:
        """Return how long to wait before a read without a turn.

        ``targets`` that all came back empty while the log is out would read
        at once. Spread over the time that the store needs for all of them,
        they meet its rate on average; what is still too much it refuses.
        """
        spread_s = min(_MAX_SPREAD_S, size * max(1, targets) / self._rate)
        return random.uniform(0, spread_s)

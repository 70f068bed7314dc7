"""Who may move its generation away from the engine next.

The load it answers: an engine gets notice while generations of several
entries run on it. All of them start to copy at once, each copy waits on the
engine's link behind all others, and each generation stands still for the
whole queue between its stop and its last copy, or misses the engine's end.
One at a time, each stands still only for its own last copy, and as many are
moved. The smallest goes first, since that saves the most of them.
"""

import typing

import trio

__all__ = ("MoveRequest", "MoveTurns")

_TURN_S: typing.Final = 1.5
"""Time after which a turn that was not given back ends. Copying the memory of
a usual generation takes a third of it, and the largest most of it; a second
copy beside it would keep both from their end."""


class MoveRequest(typing.NamedTuple):
    """A generation that wants to move, or moves."""

    request: str
    """Identifier of its request."""
    tokens: int
    """Its memory, in tokens."""
    channel: "trio.MemorySendChannel[str]"
    """Where its entry learns that it has the turn."""


class MoveTurns:
    """The turns at one engine."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._waiting: typing.Final[list[MoveRequest]] = []
        self._moving: typing.Optional[MoveRequest] = None
        self._ends_at = 0.0

    def request_turn(self, turn: MoveRequest) -> None:
        """Wait for the turn."""
        self._waiting.append(turn)
        self.grant_next()

    def release_turn(self, request: str) -> None:
        """End a turn, or the wait for it."""
        if self._moving is not None and self._moving.request == request:
            self._moving = None
        self._waiting[:] = [
            turn for turn in self._waiting if turn.request != request
        ]
        self.grant_next()

    def drop_entry(self, channel: "trio.MemorySendChannel[str]") -> None:
        """Forget what an entry wanted whose connection is lost."""
        self._waiting[:] = [
            turn for turn in self._waiting if turn.channel is not channel
        ]
        if self._moving is not None and self._moving.channel is channel:
            self._moving = None
        self.grant_next()

    def grant_next(self) -> None:
        """Give the turn on, if it is free or overdue."""
        now = trio.current_time()
        if self._moving is not None and now < self._ends_at:
            return
        self._moving = None
        if not self._waiting:
            return
        turn = min(self._waiting, key=lambda item: item.tokens)
        self._waiting.remove(turn)
        self._moving = turn
        self._ends_at = now + _TURN_S
        turn.channel.send_nowait(turn.request)

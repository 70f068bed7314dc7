"""Decides whose generation may move away from the engine next.

An engine may announce its end while generations of several entries run on
it. Each generation is copied while it runs, and is then stopped for a last
copy of what it has added. If all were copied at once, every copy would share
the engine's link with all others. Each generation would stay stopped until
all copies are complete, or its copy would be incomplete when the engine
ends. One at a time, each is stopped only for its own last copy, and as many
are moved in total. The smallest goes first, since that saves the most
generations.
"""

import typing

import trio

__all__ = ("MoveRequest", "MoveTurns")

_TURN_S: typing.Final = 1.5
"""Time after which a turn that was not released ends, in seconds. Copying
the memory of a typical generation takes a third of this time, and that of the
largest one most of it; a second copy at the same time would keep both from
completing."""


class MoveRequest(typing.NamedTuple):
    """A generation that waits for its turn to move, or moves."""

    request: str
    """Identifier of its request."""
    tokens: int
    """Size of its memory, in tokens."""
    channel: "trio.MemorySendChannel[str]"
    """Channel on which its entry is told that it has the turn."""


class MoveTurns:
    """Grants turns to move generations away from one engine."""

    def __init__(self) -> None:
        """Start with nothing waiting."""
        self._waiting: typing.Final[list[MoveRequest]] = []
        self._moving: typing.Optional[MoveRequest] = None
        self._turn_ends_at = 0.0

    def request_turn(self, move: MoveRequest) -> None:
        """Add a request to those that wait."""
        self._waiting.append(move)
        self.grant_next()

    def release_turn(self, request: str) -> None:
        """End a request's turn, or its wait for one."""
        if self._moving is not None and self._moving.request == request:
            self._moving = None
        self._waiting[:] = [
            move for move in self._waiting if move.request != request
        ]
        self.grant_next()

    def drop_entry(self, channel: "trio.MemorySendChannel[str]") -> None:
        """Remove all requests of an entry whose connection was lost."""
        self._waiting[:] = [
            move for move in self._waiting if move.channel is not channel
        ]
        if self._moving is not None and self._moving.channel is channel:
            self._moving = None
        self.grant_next()

    def grant_next(self) -> None:
        """Grant the next turn if none is in use or it is overdue."""
        now = trio.current_time()
        if self._moving is not None and now < self._turn_ends_at:
            return
        self._moving = None
        if not self._waiting:
            return
        move = min(self._waiting, key=lambda waiting: waiting.tokens)
        self._waiting.remove(move)
        self._moving = move
        self._turn_ends_at = now + _TURN_S
        move.channel.send_nowait(move.request)

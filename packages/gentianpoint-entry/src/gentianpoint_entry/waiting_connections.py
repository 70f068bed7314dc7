"""Connections that wait for their callers, in the order of closing them.

When a process has no more connections or memory, one that it waits for is
closed in favour of a new one. A request that has been read stays.
"""

from collections import abc
import contextlib
import enum
import typing

import trio

from gentianpoint_core import deadlines

__all__ = ("Stage", "WaitingConnections")


class Stage(enum.Enum):
    """What a connection waits for; the first in order matter least."""

    CLOSING = "closing"
    """Its caller has its last answer, and may still send what is dropped."""
    UNUSED = "unused"
    """It never had a request."""
    IDLE = "idle"
    """It had a request, whose answer is whole."""
    HEAD = "head"
    """The head of a request is not complete."""


class WaitingConnections:
    """The connections of one or more listeners that wait for callers.

    >>> waiting = WaitingConnections()
    >>> waiting.close_least()
    False
    """

    def __init__(self) -> None:
        """Begin without connections."""
        # Scopes of the waits by stage; the oldest first.
        self._scopes: typing.Final[
            dict[Stage, dict[trio.CancelScope, None]]
        ] = {stage: {} for stage in Stage}

    @contextlib.contextmanager
    def wait(
        self,
        stage: Stage,
        deadline: deadlines.Deadline,
        *,
        shield: bool = False,
    ) -> abc.Iterator[trio.CancelScope]:
        """Wait for a caller until ``deadline``, or until others come first.

        Yields the scope, which tells whether the wait was cut off.
        """
        scopes = self._scopes[stage]
        with trio.CancelScope(deadline=deadline.at, shield=shield) as scope:
            scopes[scope] = None
            try:
                yield scope
            finally:
                scopes.pop(scope, None)

    def close_idle(self) -> None:
        """Close connections that are kept alive after an answer, and idle.

        A new connection stays open: its caller has a request for it.
        """
        for scope in list(self._scopes[Stage.IDLE]):
            scope.cancel()

    def close_least(self) -> bool:
        """Close the connection that matters least, False if none may close.

        That is one whose last answer has been sent, else the one that has
        been idle for longest, else the one whose head has been incomplete
        for longest.
        """
        for scopes in self._scopes.values():
            scope = next(iter(scopes), None)
            if scope is not None:
                del scopes[scope]
                scope.cancel()
                return True
        return False

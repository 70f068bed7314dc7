"""The way back to a caller."""

import abc
from collections import abc as collections_abc

__all__ = ("CallerAnswer", "CallerGoneError")


class CallerGoneError(Exception):
    """The caller closed its connection."""


class CallerAnswer(abc.ABC):
    """The one answer to a caller's request.

    Either :meth:`send_whole` is called, or :meth:`start`, :meth:`send` any
    number of times and :meth:`finish`. An answer that was started and not
    finished reaches the caller as broken off.
    """

    is_started: bool = False
    """True once a status has gone to the caller."""
    is_finished: bool = False
    """True once the answer is complete."""
    status: int = 0
    """The status that has gone to the caller; 0 for none yet."""

    @abc.abstractmethod
    async def send_whole(
        self,
        status: int,
        headers: collections_abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send a whole answer."""

    @abc.abstractmethod
    async def start(
        self,
        status: int,
        headers: collections_abc.Sequence[tuple[bytes, bytes]],
    ) -> None:
        """Send the head of an answer whose body follows."""

    @abc.abstractmethod
    async def send(self, data: bytes) -> None:
        """Send a part of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the answer as complete."""

"""The interface through which a request's handler answers its caller."""

import abc
from collections import abc as collections_abc

__all__ = ("CallerAnswer", "CallerGoneError")


class CallerGoneError(Exception):
    """The caller closed its connection or stopped reading from it."""


class CallerAnswer(abc.ABC):
    """The one answer to a caller's request.

    Either :meth:`send_whole` is called, or :meth:`start`, then :meth:`send`
    any number of times, then :meth:`finish`. If an answer is started and not
    finished, the caller sees that it was cut off.
    """

    is_started: bool = False
    """True once the status has been sent to the caller."""
    is_finished: bool = False
    """True once the answer is complete."""
    status: int = 0
    """The status that has been sent to the caller; 0 if none yet."""

    @abc.abstractmethod
    async def send_whole(
        self,
        status: int,
        headers: collections_abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send a complete answer."""

    @abc.abstractmethod
    async def start(
        self,
        status: int,
        headers: collections_abc.Sequence[tuple[bytes, bytes]],
    ) -> None:
        """Send the status and headers; the body follows."""

    @abc.abstractmethod
    async def send(self, data: bytes) -> None:
        """Send a part of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the answer as complete."""

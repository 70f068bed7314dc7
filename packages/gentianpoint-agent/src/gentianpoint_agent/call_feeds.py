"""Sends the items of a generation to an entry, within a window."""

from collections import abc
import typing

from gentianpoint_agent import generations
from gentianpoint_core.generated import messages

__all__ = ("CallFeed",)


class CallFeed:
    """Position of one reader in a generation, with a limited window.

    Items beyond the window stay at the agent until the entry acknowledges
    earlier ones, so that a slow caller fills up neither the connection nor
    the entry's memory.
    """

    def __init__(
        self,
        call: int,
        generation: generations.Generation,
        after: int,
        window: int,
        notify: abc.Callable[["CallFeed"], None],
    ) -> None:
        """Read ``generation`` after item ``after`` for call ``call``.

        ``notify`` is called with the feed when it may have items to send.
        """
        self.call: typing.Final = call
        self.generation: typing.Final = generation
        self._window: typing.Final = window
        self._notify: typing.Final = notify
        self._sent = after
        self._acknowledged = after
        generation.subscribe(self.notify)

    def notify(self) -> None:
        """Report that the feed may have something to send."""
        self._notify(self)

    def acknowledge(self, through: int) -> None:
        """Record that the entry has delivered all items up to ``through``."""
        if through > self._acknowledged:
            self._acknowledged = min(through, self._sent)
            self.notify()

    def take_items(self) -> typing.Optional[messages.Run]:
        """Return the items that may be sent now, or None if there are none."""
        room = self._acknowledged + self._window - self._sent
        if room <= 0 or self._sent >= self.generation.count_items():
            return None
        first = self._sent + 1
        texts = self.generation.read_texts(self._sent, room)
        chunks = self.generation.read_chunks(self._sent, room)
        self._sent += len(texts) + len(chunks)
        return {
            "call": self.call,
            "first": first,
            "texts": texts,
            "chunks": chunks,
        }

    def is_drained(self) -> bool:
        """Tell whether the generation has ended and all items were sent."""
        return (
            self.generation.end is not None
            and self._sent >= self.generation.count_items()
        )

    def close(self, orphan_ms: int) -> None:
        """Stop reading the generation."""
        self.generation.unsubscribe(self.notify, orphan_ms)

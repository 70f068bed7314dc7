"""What one entry reads of one generation."""

from collections import abc
import typing

from gentianpoint_agent import generations
from gentianpoint_core.generated import messages

__all__ = ("CallFeed",)


class CallFeed:
    """Position of a reader in a generation, with a limited window.

    Items beyond the window stay at the agent until the entry acknowledges,
    so a slow caller fills neither the connection nor the entry's memory.
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

        ``notify`` is called with the feed when there is something to send.
        """
        self.call: typing.Final = call
        self.generation: typing.Final = generation
        self._window: typing.Final = window
        self._notify: typing.Final = notify
        self._sent = after
        self._acknowledged = after
        generation.subscribe(self.notify)

    def notify(self) -> None:
        """Mark the feed as having something to send."""
        self._notify(self)

    def acknowledge(self, through: int) -> None:
        """Note that the entry passed on all items through a number."""
        if through > self._acknowledged:
            self._acknowledged = min(through, self._sent)
            self.notify()

    def take_run(self) -> typing.Optional[messages.Run]:
        """Return the items that may be sent now, or None."""
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
        """Tell whether the generation has ended and all was sent."""
        return (
            self.generation.end is not None
            and self._sent >= self.generation.count_items()
        )

    def close(self, orphan_ms: int) -> None:
        """Stop reading."""
        self.generation.unsubscribe(self.notify, orphan_ms)

"""Generations: numbered items, kept until they are fetched or expire.

A plain call is a generation too: its first item is the head of the answer,
the others are chunks of its body. Items are numbered from 1 and never change,
so any entry can ask for those after a number and nothing is lost or doubled.
"""

from collections import abc
import typing

import cbor2
import trio

from gentianpoint_core import deadlines

__all__ = (
    "ENDED_REGULARLY",
    "CANCELLED",
    "INCOMPLETE",
    "LENGTH",
    "NOT_RUN",
    "OUTCOME_UNKNOWN",
    "STOP",
    "UNKNOWN_CUSTOMER",
    "Generation",
    "GenerationEnd",
    "encode_plain_head",
)

STOP: typing.Final = "stop"
"""The answer is whole."""
LENGTH: typing.Final = "length"
"""The answer reached the most tokens that were asked for."""
CANCELLED: typing.Final = "cancelled"
"""The customer cancelled."""
INCOMPLETE: typing.Final = "incomplete"
"""The generation died after its first item."""
OUTCOME_UNKNOWN: typing.Final = "outcome_unknown"
"""Whether the target ran it can't be told; no item came."""
NOT_RUN: typing.Final = "not_run"
"""The target truly did not run it."""
UNKNOWN_CUSTOMER: typing.Final = "\0"
"""Customer of an adopted generation that nobody has asked for yet."""
ENDED_REGULARLY: typing.Final = frozenset((STOP, LENGTH))
"""Reasons with which the answer is whole."""


class GenerationEnd(typing.NamedTuple):
    """How a generation ended."""

    reason: str
    """One of the constants of this module."""
    detail: str = ""
    """Sentence for people when the end is not a regular one."""
    retry_after_ms: int = 0
    """When to come back after ``not_run``, in milliseconds."""
    prompt_tokens: int = 0
    """Tokens of the prompt."""
    completion_tokens: int = 0
    """Tokens generated."""


def encode_plain_head(
    status: int, headers: abc.Sequence[tuple[str, str]]
) -> bytes:
    """Return the first item of a plain call's answer."""
    return cbor2.dumps([status, [list(header) for header in headers]])


class Generation:
    """One generation or plain call at its home."""

    def __init__(
        self, identifier: str, customer: str, is_plain: bool, repeatable: bool
    ) -> None:
        """Make a generation that has not started."""
        self.identifier: typing.Final = identifier
        self.customer = customer
        self.is_plain: typing.Final = is_plain
        self.repeatable: typing.Final = repeatable
        self.prepared = False
        self.adopted = False
        """True when an earlier run of the agent started it."""
        self.found = True
        """False until the target has shown that it holds an adopted one."""
        self.shared = False
        """True when another run of the agent may be reading it too."""
        self.attempt = ""
        self.started = False
        self.end: typing.Optional[GenerationEnd] = None
        self.forget_at = deadlines.NO_DEADLINE
        self.abandon_at = deadlines.NO_DEADLINE
        self.size_bytes = 0
        self._texts: typing.Final[list[str]] = []
        self._chunks: typing.Final[list[bytes]] = []
        self._listeners: typing.Final[list[abc.Callable[[], None]]] = []
        self._cancelled: typing.Final = trio.Event()
        self._retracted = False

    def count_items(self) -> int:
        """Return the number of the last item."""
        return len(self._chunks) if self.is_plain else len(self._texts)

    def read_texts(self, after: int, limit: int) -> abc.Sequence[str]:
        """Return up to ``limit`` token texts after number ``after``."""
        return self._texts[after : after + limit]

    def read_chunks(self, after: int, limit: int) -> abc.Sequence[bytes]:
        """Return up to ``limit`` chunks after number ``after``."""
        return self._chunks[after : after + limit]

    def add_text(self, text: str) -> None:
        """Add the next token."""
        self._texts.append(text)
        self.size_bytes += len(text)
        self._notify()

    def add_chunk(self, chunk: bytes) -> None:
        """Add the next chunk of a plain answer."""
        self._chunks.append(chunk)
        self.size_bytes += len(chunk)
        self._notify()

    def finish(self, end: GenerationEnd) -> None:
        """Set the end; a later one changes nothing."""
        if self.end is None:
            self.end = end
            self._notify()

    def subscribe(self, listener: abc.Callable[[], None]) -> None:
        """Call ``listener`` after each change, and keep it running."""
        self._listeners.append(listener)
        self.abandon_at = deadlines.NO_DEADLINE

    def unsubscribe(
        self, listener: abc.Callable[[], None], orphan_ms: int
    ) -> None:
        """Stop calling ``listener``.

        Without any reader the generation is abandoned ``orphan_ms``
        milliseconds from now, unless one comes before.
        """
        if listener in self._listeners:
            self._listeners.remove(listener)
        if not self._listeners:
            self.abandon_at = deadlines.make_deadline(orphan_ms)

    def has_readers(self) -> bool:
        """Tell whether somebody reads it."""
        return bool(self._listeners)

    def has_more_readers(self) -> bool:
        """Tell whether more than one reads it."""
        return len(self._listeners) > 1

    def cancel(self) -> None:
        """Ask the task that runs it to stop for good."""
        self._cancelled.set()

    def retract(self) -> None:
        """Ask not to start it; in vain once it has started."""
        if not self.started:
            self._retracted = True
            self._cancelled.set()

    def is_retracted(self) -> bool:
        """Tell whether it was withdrawn before its start."""
        return self._retracted

    def is_cancelled(self) -> bool:
        """Tell whether it was cancelled or retracted."""
        return self._cancelled.is_set()

    async def wait_cancelled(self) -> None:
        """Wait until it is cancelled or retracted."""
        await self._cancelled.wait()

    def _notify(self) -> None:
        for listener in tuple(self._listeners):
            listener()

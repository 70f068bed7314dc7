"""Generations: numbered items that are kept until fetched or expired.

A plain call is also a generation: its first item is the head of the answer,
the others are chunks of its body. Items are numbered from 1 and never change,
so any entry can ask for the items after a number without loss or duplicates.
"""

from collections import abc
import typing

import cbor2
import trio

from gentianpoint_core import deadlines
from gentianpoint_core.decisions import stream_origins

__all__ = (
    "COMPLETE_REASONS",
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
    "make_origin",
)

STOP: typing.Final = "stop"
"""The answer is complete."""
LENGTH: typing.Final = "length"
"""The answer reached the token limit."""
CANCELLED: typing.Final = "cancelled"
"""The customer cancelled."""
INCOMPLETE: typing.Final = "incomplete"
"""The generation broke off after its first item."""
OUTCOME_UNKNOWN: typing.Final = "outcome_unknown"
"""No item came, and the target may or may not have run the call."""
NOT_RUN: typing.Final = "not_run"
"""The target certainly did not run the call."""
UNKNOWN_CUSTOMER: typing.Final = "\0"
"""Customer of an adopted generation that nobody has requested yet."""
_UNNAMED: typing.Final = "unnamed"
"""Stands for a target that names no software."""
COMPLETE_REASONS: typing.Final = frozenset((STOP, LENGTH))
"""End reasons of a complete answer."""


class GenerationEnd(typing.NamedTuple):
    """How a generation ended."""

    reason: str
    """One of the constants of this module."""
    detail: str = ""
    """Human-readable explanation of an end that is not a regular one."""
    retry_after_ms: int = 0
    """Time after which to retry a call that did not run, in milliseconds."""
    prompt_tokens: int = 0
    """Tokens in the prompt."""
    completion_tokens: int = 0
    """Tokens generated."""
    target_end: str = ""
    """Identifier of the target's end if the target ended meanwhile."""


def encode_plain_head(
    status: int, headers: abc.Sequence[tuple[str, str]]
) -> bytes:
    """Return the first item of a plain call's answer."""
    return cbor2.dumps([status, [list(header) for header in headers]])


def make_origin(software_digest: str) -> stream_origins.StreamOrigin:
    """Return the origin of what a target with some software begins.

    A target that names no software counts as the same as long as it names
    none: it does not know the streams of an earlier start.
    """
    return stream_origins.StreamOrigin(
        "", software_digest or _UNNAMED, software_digest
    )


class Generation:
    """The items and the state of one generation or plain call."""

    def __init__(
        self, identifier: str, customer: str, is_plain: bool, repeatable: bool
    ) -> None:
        """Create a generation that has not started."""
        self.identifier: typing.Final = identifier
        self.customer = customer
        self.is_plain: typing.Final = is_plain
        self.repeatable: typing.Final = repeatable
        self.prepared = False
        """True when it was started from a prepared identifier."""
        self.adopted = False
        """True when an earlier run of the agent started it."""
        self.origin: typing.Optional[stream_origins.StreamOrigin] = None
        """What began it, None until the target has answered."""
        self.confirmed = True
        """False while the target has not shown that it has an adopted one."""
        self.shared = False
        """True when another run of the agent may be reading it as well."""
        self.attempt = ""
        """Attempt whose offer created it; empty for any other origin."""
        self.started = False
        self.end: typing.Optional[GenerationEnd] = None
        self.retain_until = deadlines.NO_DEADLINE
        """Time until which the agent keeps it after its end."""
        self.abandon_at = deadlines.NO_DEADLINE
        """Time at which it is abandoned unless a reader subscribes."""
        self.size_bytes = 0
        """Size of all items; texts count by their characters."""
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
        """Set the end, unless it is already set."""
        if self.end is None:
            self.end = end
            self._notify()

    def subscribe(self, listener: abc.Callable[[], None]) -> None:
        """Call ``listener`` after each change, and cancel abandonment."""
        self._listeners.append(listener)
        self.abandon_at = deadlines.NO_DEADLINE

    def unsubscribe(
        self, listener: abc.Callable[[], None], orphan_ms: int
    ) -> None:
        """Stop calling ``listener``.

        A generation without readers is due to be abandoned ``orphan_ms``
        milliseconds from now, unless a reader subscribes before.
        """
        if listener in self._listeners:
            self._listeners.remove(listener)
        if not self._listeners:
            self.abandon_at = deadlines.make_deadline(orphan_ms)

    def has_readers(self) -> bool:
        """Tell whether anyone is reading the generation."""
        return bool(self._listeners)

    def has_multiple_readers(self) -> bool:
        """Tell whether the generation has more than one reader."""
        return len(self._listeners) > 1

    def cancel(self) -> None:
        """Ask the task that runs the generation to stop it."""
        self._cancelled.set()

    def retract(self) -> None:
        """Withdraw the generation; has no effect once it has started."""
        if not self.started:
            self._retracted = True
            self._cancelled.set()

    def is_retracted(self) -> bool:
        """Tell whether the generation was withdrawn before it started."""
        return self._retracted

    def is_cancelled(self) -> bool:
        """Tell whether the generation was cancelled or withdrawn."""
        return self._cancelled.is_set()

    async def wait_cancelled(self) -> None:
        """Wait until the generation is cancelled or withdrawn."""
        await self._cancelled.wait()

    def _notify(self) -> None:
        for listener in tuple(self._listeners):
            listener()

"""What all admission policies have in common."""

import abc
from collections import abc as collections_abc
import typing

from gentianpoint_agent import length_estimators
from gentianpoint_core import deadlines
from gentianpoint_core import ports

__all__ = (
    "AdmissionPolicy",
    "CallEstimate",
    "CallProfile",
    "Slot",
    "SlotObserver",
)


class CallProfile(typing.NamedTuple):
    """What is known of a call before it runs."""

    customer: str
    """Customer who asks."""
    weight: float
    """The customer's share in the fair queue."""
    customer_limit: int
    """Most calls of the customer that run here at once; 0 for no limit."""
    priority: int
    """Priority, larger is more urgent."""
    prompt: str
    """Prompt of a generation."""
    max_tokens: int
    """Most tokens the caller wants; 0 when it gave no limit."""
    start_by: deadlines.Deadline
    """After this the call must not start."""


class CallEstimate(typing.NamedTuple):
    """What is expected of a call before it runs."""

    length: length_estimators.StreamLength
    """Length of its answer, which grows while it runs."""
    prompt_tokens: int
    """Expected tokens of its prompt."""
    max_tokens: int
    """Most tokens by the caller's and the service's limit; 0 for none."""
    expected_tokens: float
    """Mean length of answers like it, in tokens."""
    cost: float
    """What it is charged in the fair queue, in tokens."""
    is_short: bool
    """True when the answer is almost surely short."""


class SlotObserver(abc.ABC):
    """Is told what happens to running calls."""

    @abc.abstractmethod
    def note_token(
        self, slot: "Slot", gap_ms: typing.Optional[float], *, is_new_bin: bool
    ) -> None:
        """Take note of a token.

        ``gap_ms`` is the time since the last, None when that tells nothing
        of the engine's pace; ``is_new_bin`` when the answer grew into
        another length class. Called for each token, so it must take
        constant time.
        """

    @abc.abstractmethod
    def note_preemption(self, slot: "Slot") -> None:
        """Take note that the engine preempted a call."""

    @abc.abstractmethod
    def note_end(self, slot: "Slot", prompt_tokens: int) -> None:
        """Take note of the engine's count of a call's prompt tokens."""


class Slot:
    """A running call's place; it tells admission what happens to the call."""

    def __init__(
        self,
        profile: CallProfile,
        estimate: CallEstimate,
        watcher: SlotObserver,
        started_ms: float,
    ) -> None:
        """Make the place of a call that starts now."""
        self.profile: typing.Final = profile
        self.estimate: typing.Final = estimate
        self.started_ms: typing.Final = started_ms
        self.tokens = 0
        self.preempted = False
        self._watcher: typing.Final = watcher
        self._last_token_ms = -1.0

    def note_token(self, *, is_timed: bool = True) -> None:
        """Tell that the engine brought a token.

        One that is not timed was generated before; when it comes tells
        nothing of the engine's pace.
        """
        now_ms = deadlines.read_clock_ms()
        gap_ms = None
        if is_timed and self._last_token_ms >= 0 and not self.preempted:
            gap_ms = now_ms - self._last_token_ms
        self._last_token_ms = now_ms
        self.tokens += 1
        is_new_bin = self.estimate.length.add_token()
        self._watcher.note_token(self, gap_ms, is_new_bin=is_new_bin)
        self.preempted = False

    def note_preemption(self) -> None:
        """Tell that the engine preempted the call."""
        if not self.preempted:
            self.preempted = True
            self._watcher.note_preemption(self)

    def note_end(self, end: str, prompt_tokens: int) -> None:
        """Tell that the engine ended the call with the word ``end``.

        Only ``stop`` tells how long the answer is; at any other end it was
        cut, and its length is known to be at least what came.
        """
        if end == "stop":
            self.estimate.length.end()
        self._watcher.note_end(self, prompt_tokens)


class AdmissionPolicy(abc.ABC):
    """Decides whether one more call may run.

    It is told of each start, preemption and release and of the engine's load
    reports. It never waits and never stops a call that runs.
    """

    @abc.abstractmethod
    def may_start(
        self,
        estimate: CallEstimate,
        running: collections_abc.Collection[Slot],
    ) -> bool:
        """Tell whether a call may start beside those running.

        Must be true for some call when nothing runs and the engine has
        memory; else the queue would stand still.
        """

    @abc.abstractmethod
    def note_start(self, slot: Slot) -> None:
        """Take note of a call that starts; it is in no running set yet."""

    @abc.abstractmethod
    def note_token(self, slot: Slot, gap_ms: typing.Optional[float]) -> None:
        """Take note of a token; see :meth:`SlotObserver.note_token`.

        ``slot.preempted`` still tells whether the stream comes back from a
        preemption with this token.
        """

    @abc.abstractmethod
    def note_preemption(self, slot: Slot) -> None:
        """Take note that the engine preempted a call."""

    @abc.abstractmethod
    def note_release(self, slot: Slot) -> None:
        """Take note of a call that has ended in whatever way."""

    @abc.abstractmethod
    def note_load(
        self,
        load: ports.EngineLoad,
        running: collections_abc.Collection[Slot],
    ) -> None:
        """Take note of a report of the engine, which is ``age_ms`` old."""

    @abc.abstractmethod
    def predict_memory(
        self, running: collections_abc.Collection[Slot]
    ) -> typing.Optional[float]:
        """Return the predicted peak as a share of memory; None if unknown."""

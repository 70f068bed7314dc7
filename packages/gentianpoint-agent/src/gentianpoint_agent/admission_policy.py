"""Types and interfaces that all admission policies share."""

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
    """Properties of a call that are known before it runs."""

    customer: str
    """Customer that sent the call."""
    weight: float
    """The customer's weight in the fair queue."""
    customer_limit: int
    """Maximum number of the customer's running calls here; 0 for no limit."""
    priority: int
    """Priority; a larger number is more urgent."""
    prompt: str
    """Prompt of a generation."""
    max_tokens: int
    """Maximum tokens that the caller asked for; 0 if it set no limit."""
    start_by: deadlines.Deadline
    """Time after which the call must not start."""


class CallEstimate(typing.NamedTuple):
    """What is expected of a call before it runs."""

    length: length_estimators.StreamLength
    """Length of its answer; it grows while the call runs."""
    prompt_tokens: int
    """Expected number of prompt tokens."""
    max_tokens: int
    """Lower of the caller's and the service's token limit; 0 for none."""
    expected_tokens: float
    """Expected length of the answer, in tokens."""
    cost: float
    """Charge for the call in the fair queue, in tokens."""
    is_short: bool
    """True if the answer is very likely short."""


class SlotObserver(abc.ABC):
    """Receives the events of running calls."""

    @abc.abstractmethod
    def note_token(
        self, slot: "Slot", gap_ms: typing.Optional[float], *, is_new_bin: bool
    ) -> None:
        """Record a token.

        ``gap_ms`` is the time since the previous token, or None if that
        doesn't reflect the engine's pace. ``is_new_bin`` is true if the
        answer has grown into the next length bin. Called for each token, so
        it must take constant time.
        """

    @abc.abstractmethod
    def note_preemption(self, slot: "Slot") -> None:
        """Record that the engine preempted a call."""

    @abc.abstractmethod
    def note_end(self, slot: "Slot", prompt_tokens: int) -> None:
        """Record the engine's count of a call's prompt tokens."""


class Slot:
    """A running call's slot; it reports the call's events to an observer."""

    def __init__(
        self,
        profile: CallProfile,
        estimate: CallEstimate,
        observer: SlotObserver,
        started_ms: float,
    ) -> None:
        """Create the slot of a call that starts at ``started_ms``."""
        self.profile: typing.Final = profile
        self.estimate: typing.Final = estimate
        self.started_ms: typing.Final = started_ms
        self.tokens = 0
        self.preempted = False
        self._observer: typing.Final = observer
        self._last_token_ms = -1.0

    def note_token(self, *, is_timed: bool = True) -> None:
        """Record a token from the engine.

        A token with ``is_timed`` false was generated earlier, so the time of
        its arrival doesn't reflect the engine's pace.
        """
        now_ms = deadlines.read_clock_ms()
        gap_ms = None
        if is_timed and self._last_token_ms >= 0 and not self.preempted:
            gap_ms = now_ms - self._last_token_ms
        self._last_token_ms = now_ms
        self.tokens += 1
        is_new_bin = self.estimate.length.add_token()
        self._observer.note_token(self, gap_ms, is_new_bin=is_new_bin)
        self.preempted = False

    def note_preemption(self) -> None:
        """Record that the engine preempted the call."""
        if not self.preempted:
            self.preempted = True
            self._observer.note_preemption(self)

    def note_end(self, end: str, prompt_tokens: int) -> None:
        """Record that the engine ended the call for the reason ``end``.

        Only ``stop`` shows how long the answer is. With any other reason it
        was cut off, and the tokens so far are a lower bound of its length.
        """
        if end == "stop":
            self.estimate.length.end()
        self._observer.note_end(self, prompt_tokens)


class AdmissionPolicy(abc.ABC):
    """Decides whether one more call may run.

    A policy is told of each start, token, preemption and release and of the
    engine's load reports. It never waits and never stops a running call.
    """

    @abc.abstractmethod
    def may_start(
        self,
        estimate: CallEstimate,
        running: collections_abc.Collection[Slot],
    ) -> bool:
        """Return whether a call may start beside the running ones.

        If nothing runs and the engine has memory, some call must be allowed
        to start; otherwise the queue would never move.
        """

    @abc.abstractmethod
    def note_start(self, slot: Slot) -> None:
        """Record a call that starts; it is not in the running set yet."""

    @abc.abstractmethod
    def note_token(self, slot: Slot, gap_ms: typing.Optional[float]) -> None:
        """Record a token; see :meth:`SlotObserver.note_token`.

        ``slot.preempted`` is still true if the stream resumes after a
        preemption with this token.
        """

    @abc.abstractmethod
    def note_preemption(self, slot: Slot) -> None:
        """Record that the engine preempted a call."""

    @abc.abstractmethod
    def note_release(self, slot: Slot) -> None:
        """Record that a call has ended, for any reason."""

    @abc.abstractmethod
    def note_load(
        self,
        load: ports.EngineLoad,
        running: collections_abc.Collection[Slot],
    ) -> None:
        """Process a load report of the engine, ``age_ms`` old."""

    @abc.abstractmethod
    def predict_memory(
        self, running: collections_abc.Collection[Slot]
    ) -> typing.Optional[float]:
        """Return the predicted peak as a share of memory; None if unknown."""

"""Admission: which calls run on the target now, which wait.

All work for a target passes through its agent, so the agent decides; an
entry's view is always stale.
"""

import abc
from collections import abc as collections_abc
import contextlib
import typing

import trio

from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_core import ports

__all__ = ("AdmissionControl", "AdmissionPolicy", "CallProfile", "Slot")

_POLL_MS: typing.Final = 20
_RETRY_AFTER_MS: typing.Final = 1000


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


class Slot:
    """A running call's place; it tells admission what happens to the call."""

    def __init__(self, profile: CallProfile) -> None:
        """Make the place of a call that starts."""
        self.profile: typing.Final = profile
        self.tokens = 0
        self.preempted = False

    def note_token(self) -> None:
        """Tell that the engine brought a token."""
        self.tokens += 1

    def note_preemption(self) -> None:
        """Tell that the engine preempted the call."""
        self.preempted = True

    def note_end(self, prompt_tokens: int, completion_tokens: int) -> None:
        """Tell that the engine ended the call regularly."""


class AdmissionPolicy(abc.ABC):
    """Decides whether one more call may run."""

    @abc.abstractmethod
    def may_start(
        self,
        profile: CallProfile,
        running: collections_abc.Collection[Slot],
        load: typing.Optional[ports.EngineLoad],
    ) -> bool:
        """Tell whether the call may start beside those running."""


class _UnlimitedPolicy(AdmissionPolicy):
    """Lets every call start; the engine queues and preempts."""

    def may_start(
        self,
        profile: CallProfile,
        running: collections_abc.Collection[Slot],
        load: typing.Optional[ports.EngineLoad],
    ) -> bool:
        """Return True."""
        return True


class AdmissionControl:
    """The queue before the target and the set of running calls."""

    def __init__(self, policy: typing.Optional[AdmissionPolicy]) -> None:
        """Admit by ``policy``."""
        self._policy: typing.Final = policy or _UnlimitedPolicy()
        self._running: typing.Final[set[Slot]] = set()
        self._queued = 0
        self.load: typing.Optional[ports.EngineLoad] = None

    def count_running(self) -> int:
        """Return the number of running calls."""
        return len(self._running)

    def count_queued(self) -> int:
        """Return the number of waiting calls."""
        return self._queued

    @contextlib.asynccontextmanager
    async def enter(
        self, profile: CallProfile
    ) -> collections_abc.AsyncIterator[Slot]:
        """Wait until the call may start, and hold its place while it runs.

        Raises :class:`errors.CallError` with ``not_run`` when its deadline
        comes first.
        """
        self._queued += 1
        try:
            while not self._policy.may_start(
                profile, self._running, self.load
            ):
                if profile.start_by.is_past():
                    raise errors.CallError(
                        errors.NOT_RUN,
                        "the call waited too long",
                        step="wait for admission",
                        retry_after_ms=_RETRY_AFTER_MS,
                    )
                await trio.sleep(_POLL_MS / 1000)
        finally:
            self._queued -= 1
        slot = Slot(profile)
        self._running.add(slot)
        try:
            yield slot
        finally:
            self._running.discard(slot)

"""The calls to targets that forwarding relies on."""

import abc
from collections import abc as collections_abc
import typing

from gentianpoint_core import answer_bodies
from gentianpoint_core import deadlines
from gentianpoint_core import named_limits
from gentianpoint_core import ports
from gentianpoint_core.decisions import answer_ends
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import targets

__all__ = ("CopyResult", "TargetAnswer", "TargetCalls", "UnknownRunError")

_NOT_EXECUTED_STATUSES: typing.Final = frozenset((408, 421, 429, 503))
"""Statuses that tell callers that a request was not executed and never will
be."""


class TargetAnswer(abc.ABC):
    """The answer of a target, whose body has yet to arrive."""

    status: int
    """HTTP status."""
    headers: collections_abc.Sequence[tuple[bytes, bytes]]
    """Headers for the caller, without hop-by-hop headers."""
    has_not_run: bool
    """True when the target says that it has not run the request."""
    is_wrong_target: bool
    """True when another target has the address now, so that nothing has
    run."""
    has_target_seal: bool
    """True when the answer bears the target's seal, without which a success
    does not count."""
    retry_after_ms: float
    """Milliseconds after which the target asks to be tried again, 0 if it does
    not say."""
    is_delimited: bool = True
    """True when a length or chunks tell where the body ends, False when it
    ends with its connection."""
    rest_ms: float = 0.0
    """Milliseconds for which a target that refuses wants no request of this
    entry, 0 if it does not say."""
    is_leaving: bool = False
    """True when the target says that it leaves and wants no new work."""
    limit: named_limits.NamedLimit = named_limits.UNNAMED
    """Limit on requests from all entries together that the target names."""

    def is_refusal(self) -> bool:
        """Tell whether the request has certainly not run at the target."""
        return self.has_not_run or self.is_wrong_target

    def may_forward(self) -> bool:
        """Tell whether a caller may be given this status.

        The answer needs the target's seal. A status that says that the request
        never runs may not be forwarded, since the target itself does not say
        so.
        """
        return (
            self.has_target_seal and self.status not in _NOT_EXECUTED_STATUSES
        )

    def was_reset(self) -> bool:
        """Tell whether the answer's connection was reset, if it is known."""
        return False

    @abc.abstractmethod
    def receive_body(self) -> collections_abc.AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises ``ports.PortError`` if a length or chunks are not met. Where
        the answer is not delimited, the end says only that the connection
        has ended: ``Forwarder.receive_body`` tells whether it is complete.
        """


class CopyResult(typing.NamedTuple):
    """The result of copying a generation's memory to another target."""

    handle: str
    """Name of the copy at the source; empty if none was made."""
    is_complete: bool
    """False if the other target had no room, and the source kept the
    memory."""


class UnknownRunError(ports.PortError):
    """The target does not work on the generation that a call names."""


class TargetCalls(abc.ABC):
    """Calls to targets."""

    @abc.abstractmethod
    def send_request(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> typing.AsyncContextManager[TargetAnswer]:
        """Send a request and yield its answer once the head has arrived.

        Raises ``ports.PortError``, with ``took_effect`` False only if not a
        byte was sent. Leaving the context early makes the target stop.
        """

    @abc.abstractmethod
    async def copy_memory(
        self,
        source: targets.Target,
        destination: targets.Target,
        request_id: str,
        *,
        stops_first: bool,
        deadline: deadlines.Deadline,
    ) -> CopyResult:
        """Copy a generation's memory to another target.

        Called again, it copies only what was added since. With ``stops_first``
        the generation is stopped before the copy, and its stream ends
        incomplete; otherwise the generation continues. Raises
        ``ports.PortError``, with ``took_effect`` False only if the generation
        was certainly not stopped, and :class:`UnknownRunError` if the source
        does not work on it.
        """

    @abc.abstractmethod
    async def free_copy(self, target: targets.Target, name: str) -> None:
        """Free a copy that will not be used; raises ``ports.PortError``.

        ``name`` is the handle of a move, freed at its source, or the
        identifier of a request, freed at its backup.
        """

    @abc.abstractmethod
    async def check_listening(
        self, target: targets.Target
    ) -> typing.Optional[bool]:
        """Tell whether a process listens at a target's address.

        Returns None if nothing answers, as when a link is cut. Never raises.
        """

    async def check_sender(
        self, target: targets.Target, alive_at: float
    ) -> answer_ends.Sender:
        """Find out whether a target goes on that was there at ``alive_at``.

        That is a time on trio's clock. Never raises.
        """
        return answer_bodies.name_sender(await self.check_listening(target))

    @abc.abstractmethod
    def close_unlisted(
        self, listed: collections_abc.Collection[targets.Target]
    ) -> None:
        """Close the connections to targets that are no longer listed."""

"""What forwarding asks of targets."""

import abc
from collections import abc as collections_abc
import typing

from gentianpoint_core import deadlines
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import targets

__all__ = ("CopyResult", "TargetAnswer", "TargetCalls")

_PROMISES: typing.Final = frozenset((408, 421, 429, 503))
"""Statuses by which callers take a request as never run."""


class TargetAnswer(abc.ABC):
    """The answer of a target, whose body is still to come."""

    status: int
    """HTTP status."""
    headers: collections_abc.Sequence[tuple[bytes, bytes]]
    """Headers for the caller, without those of one connection."""
    has_not_run: bool
    """True when the target says that the request has not run there."""
    is_wrong_target: bool
    """True when another target has the address now; nothing has run."""
    has_server_seal: bool
    """True when the target's mark is on it; a success without is none."""
    retry_after_ms: float
    """When the target says to come back; 0 for nothing said."""

    def is_refusal(self) -> bool:
        """Tell whether the request has surely not run at the target."""
        return self.has_not_run or self.is_wrong_target

    def may_pass_on(self) -> bool:
        """Tell whether a caller may be given this status.

        Not without the target's mark, and none that promises that the
        request never runs where the target does not say so.
        """
        return self.has_server_seal and self.status not in _PROMISES

    @abc.abstractmethod
    def receive_body(self) -> collections_abc.AsyncIterator[bytes]:
        """Yield the body; raises ``ports.PortError`` when it breaks off."""


class CopyResult(typing.NamedTuple):
    """A generation's memory, as copied to another target."""

    handle: str
    """Name of the copy at the source; empty when none was made."""
    is_complete: bool
    """False when the other target had no room, and the source kept it."""


class TargetCalls(abc.ABC):
    """Calls to targets."""

    @abc.abstractmethod
    def send_request(
        self,
        target: targets.Target,
        request: requests.CallerRequest,
        options: requests.SendOptions,
    ) -> typing.AsyncContextManager[TargetAnswer]:
        """Send a request, and give out its answer once the head is there.

        Raises ``ports.PortError``, with ``took_effect`` False only when not
        a byte was sent. Leaving the context early makes the target stop.
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

        Called again, it copies only what is new. With ``stops_first`` the
        generation is stopped before the copy, and its stream ends without
        being complete; without, it goes on. Raises ``ports.PortError``; with
        ``stops_first`` the generation may have stopped by then.
        """

    @abc.abstractmethod
    async def free_copy(self, target: targets.Target, name: str) -> None:
        """Free a copy that nobody will use; raises ``ports.PortError``.

        ``name`` is the handle of a move, asked at its source, or the
        identifier of a request, asked at its backup.
        """

    @abc.abstractmethod
    def close_unlisted(
        self, listed: collections_abc.Collection[targets.Target]
    ) -> None:
        """Close what is kept for targets that are no longer listed."""

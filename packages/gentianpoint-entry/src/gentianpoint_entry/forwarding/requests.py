"""A caller's request, decoded, and what a target is told beside it."""

from collections import abc
import typing

from gentianpoint_core import deadlines
from gentianpoint_entry.forwarding import routes

__all__ = ("CallerRequest", "MemoryCopy", "SendOptions")


class CallerRequest(typing.NamedTuple):
    """One attempt of a caller, read to its end."""

    request_id: str
    """The caller's identifier of this attempt."""
    method: bytes
    """HTTP method."""
    path: bytes
    """Path and query as they came."""
    headers: abc.Sequence[tuple[bytes, bytes]]
    """Headers that go on to the target unchanged."""
    body: bytes
    """The whole body."""
    route: routes.Route
    """Route that the request takes."""
    service: routes.Service
    """Service that it goes to."""
    customer: typing.Optional[routes.Customer]
    """Customer that holds its key; None on public routes."""
    caller_deadline: deadlines.Deadline
    """Until when the caller waits."""
    deadline: deadlines.Deadline
    """Until when it is answered: the caller's, or the route's if earlier."""
    prompt_tokens: int
    """Tokens of the prompt, 0 for what is no generation."""
    likely_output_tokens: int
    """The caller's estimate, often far off, else the most it allows."""
    most_output_tokens: int
    """Length at which the target ends the answer; 0 if not limited."""
    last_event_id: str
    """Last event that the caller has of this stream; empty for none."""


class MemoryCopy(typing.NamedTuple):
    """A generation's memory, from which a request goes on."""

    address: str
    """Engine by which the copy is named."""
    name: str
    """Its name there: a handle, or the request's own identifier."""


class SendOptions(typing.NamedTuple):
    """What the system adds to a request for one target."""

    backup_address: str = ""
    """Engine that gets a copy of the memory as it grows."""
    copy: typing.Optional["MemoryCopy"] = None
    """Copy to go on from; the request counts as the same run then."""
    last_event_id: str = ""
    """Last event that the caller has been given."""

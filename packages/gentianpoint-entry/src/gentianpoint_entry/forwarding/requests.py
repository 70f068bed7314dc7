"""A caller's decoded request, and what is added when it is sent on."""

from collections import abc
import math
import typing

from gentianpoint_core import deadlines
from gentianpoint_core.decisions import stream_origins
from gentianpoint_entry import request_digests
from gentianpoint_entry.forwarding import routes

__all__ = (
    "CallerRequest",
    "MemoryCopy",
    "SendOptions",
    "digest_content",
    "digest_prompt_parts",
)

_MAX_PARTS: typing.Final = 32
"""Parts of one prompt that are looked at, the first ones; prompts have three
or four."""


class CallerRequest(typing.NamedTuple):
    """A request of a caller, read completely."""

    request_id: str
    """The caller's identifier of this attempt."""
    method: bytes
    """HTTP method."""
    path: bytes
    """Path and query as received."""
    headers: abc.Sequence[tuple[bytes, bytes]]
    """Headers that are sent on to the target unchanged."""
    body: bytes
    """The complete body."""
    route: routes.Route
    """Route that the request matches."""
    service: routes.Service
    """Service that was chosen for it."""
    customer: typing.Optional[routes.Customer]
    """Customer that its key belongs to; None on public routes."""
    caller_deadline: deadlines.Deadline
    """Until when the caller waits."""
    deadline: deadlines.Deadline
    """Until when it must be answered: the earlier of the caller's deadline
    and the route's."""
    prompt_tokens: int
    """Tokens of the prompt; 0 if the request is no generation."""
    likely_output_tokens: int
    """The caller's estimate, often far off; without one, its limit."""
    most_output_tokens: int
    """Number of tokens at which the target ends the answer; 0 for no limit."""
    last_event_id: str
    """Last event of this stream that the caller has; empty for none."""
    content: str
    """Digest of what is requested, the same for each attempt."""
    prompt_parts: abc.Sequence[str] = ()
    """Digests of the parts of its prompt that other prompts may share, in
    their order."""
    are_parts_proven: bool = False
    """True once a target has written on them for a while."""
    resumed_id: str = ""
    """Identifier of the attempt that brought the first event of the stream
    that this one takes up; empty if it takes up none."""
    origin: typing.Optional[stream_origins.StreamOrigin] = None
    """Where its stream began; None for a stream that has no event yet."""
    route_services: abc.Sequence[routes.Service] = ()
    """All services of its route, of which a stream keeps to one."""
    urgency: typing.Optional[int] = None
    """Urgency that engines are told; None if they are told nothing."""
    received_at: typing.Optional[float] = None
    """Trio time in seconds at which it came; None if not known."""

    def list_contents(self) -> abc.Sequence[str]:
        """Return the digests under which an end of its target counts."""
        parts = () if self.are_parts_proven else self.prompt_parts
        return (self.content, *parts)

    def get_customer_name(self) -> str:
        """Return the name of its customer, empty on public routes."""
        return "" if self.customer is None else self.customer.name

    def find_begin_by(self, now: float) -> float:
        """Return until when its target must begin streams at the latest.

        Only a stream that may be taken up needs a target that does so by now.
        """
        begins = self.route.may_resume and self.origin is None
        return now if begins else math.inf

    def takes_stream_up(self) -> bool:
        """Tell whether the caller has events of this stream already."""
        return bool(self.resumed_id or self.last_event_id)


def digest_content(
    customer: str, host: str, method: bytes, path: bytes, body: bytes
) -> str:
    """Return a digest by which a request that is sent again is recognized.

    Each attempt has an identifier of its own, and headers may differ between
    attempts.

    >>> first = digest_content("c", "h", b"POST", b"/a", b"1")
    >>> first == digest_content("c", "h", b"POST", b"/a", b"1")
    True
    """
    parts = (customer, host, method, path, body)
    return request_digests.digest_parts(parts).hex()


def digest_prompt_parts(
    service: str, names: abc.Sequence[str]
) -> abc.Sequence[str]:
    """Return digests of the parts of a prompt that others may share.

    ``names`` are in the order of the prompt, and the last one is its own. The
    same part is another one to the model of another service.

    >>> len(digest_prompt_parts("s", ["a", "b", "own"]))
    2
    """
    shared = dict.fromkeys(names[:-1][:_MAX_PARTS])
    return [request_digests.digest_prompt_part(service, n) for n in shared]


class MemoryCopy(typing.NamedTuple):
    """A copy of a generation's memory, from which a request can continue."""

    address: str
    """Address of the engine at which the name is valid."""
    name: str
    """Its name there: a handle, or the identifier of the request itself."""


class SendOptions(typing.NamedTuple):
    """What is added to a request for one target."""

    backup_address: str = ""
    """Engine that gets a copy of the memory as it grows."""
    copy: typing.Optional["MemoryCopy"] = None
    """Copy to continue from; the request then counts as the same run."""
    last_event_id: str = ""
    """Last event that has been sent to the caller."""

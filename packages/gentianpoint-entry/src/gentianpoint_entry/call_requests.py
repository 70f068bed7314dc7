"""Request of a call and the parts of its answer."""

import typing

from gentianpoint_core import deadlines
from gentianpoint_core.generated import messages

__all__ = ("CallPart", "CallRequest")


class CallRequest(typing.NamedTuple):
    """A caller's request with the settings of its service and customer."""

    identifier: str
    """Identifier of the request at this entry, used in the log."""
    service: str
    """Name of the requested service."""
    customer: str
    """Name of the calling customer."""
    weight: float
    """Weight of the customer in fair queueing."""
    customer_limit: int
    """Concurrent calls of the customer per target; 0 for no limit."""
    priority: int
    """Priority; a larger number is more urgent."""
    repeatable: bool
    """False when the request may run at most once."""
    request: messages.Request
    """The request in the form that is sent to agents."""
    start_by: deadlines.Deadline
    """Deadline after which the request must not start."""
    finish_by: deadlines.Deadline
    """Deadline after which the caller no longer needs the answer."""
    generation: str
    """Generation identifier to start or resume; empty for none."""
    retry_share: float
    """Retries of the service as a share of new requests."""


class CallPart(typing.NamedTuple):
    """One part of an answer: a sequence of items, or the end."""

    first: int
    """Number of the first item; 0 at the end."""
    texts: typing.Sequence[str]
    """Token texts."""
    chunks: typing.Sequence[bytes]
    """Chunks of a plain service's answer."""
    finish_reason: str
    """``stop`` or ``length`` at the end, otherwise empty."""
    prompt_tokens: int
    """Number of prompt tokens; set at the end."""
    completion_tokens: int
    """Number of generated tokens; set at the end."""

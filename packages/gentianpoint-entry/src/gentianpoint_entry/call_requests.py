"""What a call asks, and the parts in which its answer comes."""

import typing

from gentianpoint_core import deadlines
from gentianpoint_core.generated import messages

__all__ = ("CallPart", "CallRequest")


class CallRequest(typing.NamedTuple):
    """What a caller asked and what its service and customer allow."""

    identifier: str
    """Identifier of the request at this entry, for the log."""
    service: str
    """Service that answers."""
    customer: str
    """Customer who asks."""
    weight: float
    """The customer's share in fair queues."""
    customer_limit: int
    """Most calls of the customer on one target at once; 0 for no limit."""
    priority: int
    """Priority, larger is more urgent."""
    repeatable: bool
    """False when it may run at most once."""
    request: messages.Request
    """The request as agents get it."""
    start_by: deadlines.Deadline
    """After this it must not start."""
    finish_by: deadlines.Deadline
    """After this the caller has no use for the answer."""
    generation: str
    """Prepared identifier to start; empty for none."""
    retry_share: float
    """Retries of the service as a share of fresh requests."""


class CallPart(typing.NamedTuple):
    """What came next: items, or the end."""

    first: int
    """Number of the first item; 0 at the end."""
    texts: typing.Sequence[str]
    """Token texts."""
    chunks: typing.Sequence[bytes]
    """Chunks of a plain answer."""
    end: str
    """``stop`` or ``length`` at the end, else empty."""
    prompt_tokens: int
    """Tokens of the prompt, at the end."""
    completion_tokens: int
    """Tokens generated, at the end."""

"""The interface of a call, plain or streaming, to the request's handling."""

import abc
import typing

from gentianpoint_entry.forwarding import attempts
from gentianpoint_entry.forwarding import refusals

__all__ = ("CallerCall",)


class CallerCall(abc.ABC):
    """Serves one request: chooses targets and answers the caller."""

    attempts: attempts.Attempts
    """The attempts at targets so far."""

    @abc.abstractmethod
    async def serve(self) -> typing.Optional[refusals.Refusal]:
        """Answer the caller; return a refusal if there is no answer.

        May be cancelled at the request's deadline. An answer that was
        started then stays unfinished, and the caller sees that.
        """

    def describe_timing(self) -> dict[str, typing.Any]:
        """Return the timing fields for the log line that ends the request."""
        return {}

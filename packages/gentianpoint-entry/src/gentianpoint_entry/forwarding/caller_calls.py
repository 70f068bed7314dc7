"""What a request's handling needs of a call, plain or stream."""

import abc
import typing

from gentianpoint_entry.forwarding import attempts
from gentianpoint_entry.forwarding import refusals

__all__ = ("CallerCall",)


class CallerCall(abc.ABC):
    """One request, from its target's choice to the caller's answer."""

    attempts: attempts.Attempts
    """What has been tried of it."""

    @abc.abstractmethod
    async def serve(self) -> typing.Optional[refusals.Refusal]:
        """Answer the caller; return a refusal if there is no answer.

        May be cancelled at the request's deadline. An answer that was
        started then stays unfinished, which its caller sees.
        """

    def describe_timing(self) -> dict[str, typing.Any]:
        """Return what the line that ends the request tells of its pace."""
        return {}

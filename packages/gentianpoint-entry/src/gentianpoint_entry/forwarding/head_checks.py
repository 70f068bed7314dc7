"""What is decided on a request as soon as its head has been read."""

import abc
import typing

from gentianpoint_core import deadlines
from gentianpoint_entry.forwarding import caller_answers
from gentianpoint_entry.forwarding import raw_requests
from gentianpoint_entry.forwarding import refusals

__all__ = ("HeadCheck", "HeadVerdict", "OpenCheck")


class HeadVerdict(typing.NamedTuple):
    """What the head of a request tells."""

    refusal: typing.Optional[refusals.Refusal] = None
    """Final answer, if the head suffices for one; the body is not read."""
    read_by: deadlines.Deadline = deadlines.NO_DEADLINE
    """Until when the body has to be read for an answer to be of use."""


class HeadCheck(abc.ABC):
    """Decides on requests before their bodies are read."""

    @abc.abstractmethod
    def check(self, request: raw_requests.RawRequest) -> HeadVerdict:
        """Return what the head tells; the request has no body yet."""

    @abc.abstractmethod
    async def refuse(
        self,
        request: typing.Optional[raw_requests.RawRequest],
        answer: caller_answers.CallerAnswer,
        refusal: refusals.Refusal,
    ) -> None:
        """Send a refusal; ``request`` is None if it has no readable head."""


class OpenCheck(HeadCheck):
    """Lets all requests pass."""

    def check(self, request: raw_requests.RawRequest) -> HeadVerdict:
        """Return that the head tells nothing."""
        return HeadVerdict()

    async def refuse(
        self,
        request: typing.Optional[raw_requests.RawRequest],
        answer: caller_answers.CallerAnswer,
        refusal: refusals.Refusal,
    ) -> None:
        """Send the reason as text."""
        text = refusal.reason.encode(errors="replace")[:200]
        await answer.send_whole(refusal.status, (), text)

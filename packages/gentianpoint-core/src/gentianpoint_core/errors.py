"""Errors that name the step that failed and the peer involved.

Functions that decode or validate return an ``expression.Result`` whose error
is a :class:`Failure`. Code that serves a call raises :class:`CallError`, which
becomes the response to the caller.
"""

import typing

__all__ = (
    "CANCELLED",
    "INCOMPLETE",
    "INVALID_REQUEST",
    "NOT_RUN",
    "OUTCOME_UNKNOWN",
    "STATUS_OF_CODE",
    "UNAUTHORIZED",
    "UNKNOWN_GENERATION",
    "UNKNOWN_SERVICE",
    "CallError",
    "Failure",
)

NOT_RUN: typing.Final = "not_run"
"""The request certainly did not run."""
OUTCOME_UNKNOWN: typing.Final = "outcome_unknown"
"""The request may have run, so it is not retried."""
INCOMPLETE: typing.Final = "incomplete"
"""The generation failed after part of the answer was delivered."""
CANCELLED: typing.Final = "cancelled"
"""The customer cancelled the generation."""
INVALID_REQUEST: typing.Final = "invalid_request"
"""The request is malformed or exceeds a limit."""
UNAUTHORIZED: typing.Final = "unauthorized"
"""The key is unknown or lacks permission."""
UNKNOWN_SERVICE: typing.Final = "unknown_service"
"""No service of this name is declared for the customer."""
UNKNOWN_GENERATION: typing.Final = "unknown_generation"
"""The customer has no generation with this identifier here."""

STATUS_OF_CODE: typing.Final[typing.Mapping[str, int]] = {
    NOT_RUN: 503,
    OUTCOME_UNKNOWN: 502,
    INCOMPLETE: 502,
    CANCELLED: 409,
    INVALID_REQUEST: 400,
    UNAUTHORIZED: 401,
    UNKNOWN_SERVICE: 404,
    UNKNOWN_GENERATION: 404,
}
"""HTTP status of the response for each code."""


class Failure(typing.NamedTuple):
    """Why a step failed; the error value of a ``Result``."""

    step: str
    """Operation that failed, such as ``decode message``."""
    peer: str
    """Host or resource involved; empty for a local operation."""
    reason: str
    """Human-readable reason."""

    def __str__(self) -> str:
        peer = f" with {self.peer}" if self.peer else ""
        return f"{self.step}{peer}: {self.reason}"


class CallError(Exception):
    """Error that ends a call and becomes its response."""

    def __init__(
        self,
        code: str,
        reason: str,
        *,
        step: str,
        peer: str = "",
        retry_after_ms: int = 0,
        status: typing.Optional[int] = None,
    ) -> None:
        """Create the error.

        ``retry_after_ms`` tells the caller when to retry; 0 means that a retry
        would not help.
        """
        self.code: typing.Final = code
        self.reason: typing.Final = reason
        self.step: typing.Final = step
        self.peer: typing.Final = peer
        self.retry_after_ms: typing.Final = retry_after_ms
        self.status: typing.Final = status or STATUS_OF_CODE[code]
        super().__init__(str(Failure(step, peer, f"{code}: {reason}")))

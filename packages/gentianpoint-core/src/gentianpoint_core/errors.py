"""Errors that carry the step and the peer at which they arose.

Functions that decode or validate return an ``expression`` Result with a
:class:`Failure`; code that serves a call raises :class:`CallError`, which
becomes the caller's answer.
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
"""The request truly did not run."""
OUTCOME_UNKNOWN: typing.Final = "outcome_unknown"
"""The request may have run; the system does not run it again."""
INCOMPLETE: typing.Final = "incomplete"
"""Part of the answer was delivered, then the generation died."""
CANCELLED: typing.Final = "cancelled"
"""The customer cancelled the generation."""
INVALID_REQUEST: typing.Final = "invalid_request"
"""The request can't be understood or breaks a limit."""
UNAUTHORIZED: typing.Final = "unauthorized"
"""The key is unknown, or not allowed to do this."""
UNKNOWN_SERVICE: typing.Final = "unknown_service"
"""No such service is declared for this customer."""
UNKNOWN_GENERATION: typing.Final = "unknown_generation"
"""The customer has no such generation here."""

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
"""HTTP status with which each code is answered."""


class Failure(typing.NamedTuple):
    """Why a step failed, for the error side of a Result."""

    step: str
    """What was being done, such as ``decode message``."""
    peer: str
    """Host or resource with which it was done; empty when local."""
    reason: str
    """Sentence for people."""

    def __str__(self) -> str:
        peer = f" with {self.peer}" if self.peer else ""
        return f"{self.step}{peer}: {self.reason}"


class CallError(Exception):
    """Final answer of a call that has no regular one."""

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
        """Make the error.

        ``retry_after_ms`` tells the caller when to come back; 0 means that
        coming back makes no sense.
        """
        self.code: typing.Final = code
        self.reason: typing.Final = reason
        self.step: typing.Final = step
        self.peer: typing.Final = peer
        self.retry_after_ms: typing.Final = retry_after_ms
        self.status: typing.Final = status or STATUS_OF_CODE[code]
        super().__init__(str(Failure(step, peer, f"{code}: {reason}")))

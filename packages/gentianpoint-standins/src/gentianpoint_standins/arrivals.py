"""When requests reached a stand-in, and the limit that it names."""

import collections
import typing

import quart
import trio

__all__ = ("LIMIT_HEADER", "UNLIMITED", "Arrivals", "name_limit")

LIMIT_HEADER: typing.Final = "Max-Requests-Per-Second"
"""Header with the requests a second that a target takes from all entries."""
UNLIMITED: typing.Final = -1.0
"""Limit of a target that names none."""
_MAX_KEPT: typing.Final = 20000


class Arrivals:
    """Times at which requests came, the latest ones."""

    def __init__(self) -> None:
        """Start without any."""
        self._times: typing.Final[collections.deque[float]] = (
            collections.deque(maxlen=_MAX_KEPT)
        )

    def note(self) -> None:
        """Count a request that comes now."""
        self._times.append(trio.current_time())

    def list_ages_ms(self) -> list[float]:
        """Return how long ago each came, in milliseconds."""
        now = trio.current_time()
        return [round((now - at) * 1000, 1) for at in self._times]


def name_limit(answer: quart.Response, limit_per_s: float) -> None:
    """Let an answer name a limit, unless it is :data:`UNLIMITED`."""
    if limit_per_s >= 0:
        answer.headers[LIMIT_HEADER] = str(limit_per_s)

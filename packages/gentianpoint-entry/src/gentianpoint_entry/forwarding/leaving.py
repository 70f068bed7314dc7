"""Which requests an entry still takes once it has been told to stop.

The load it answers: hosts are stopped and started in turn, and the balancer
goes on to send new connections for seconds, or all the while where most of a
data centre's entries are leaving. A generation that is taken then is cut when
the process ends, and most may not be run again; refused at once, its caller
comes back to another entry and has lost some milliseconds.
"""

import typing

from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes

__all__ = ("estimate_ms", "may_finish")

_TOKEN_MS: typing.Final = 10.0
"""Time between two tokens of a generation on an engine with some others: a
step takes seven milliseconds and more, and prompts are read between steps."""
_PLAIN: typing.Final = 4.0
"""Times the objective that a plain answer may take; few take more."""


def estimate_ms(request: requests.CallerRequest) -> float:
    """Return how long a request is likely to take, in milliseconds."""
    route = request.route
    if route.kind is not routes.RouteKind.STREAM:
        return route.objective_ms * _PLAIN
    return route.objective_ms + request.likely_output_tokens * _TOKEN_MS


def may_finish(request: requests.CallerRequest, left_ms: float) -> bool:
    """Tell whether a request is likely to end within ``left_ms``."""
    return estimate_ms(request) <= left_ms

"""Which requests an entry still takes once it has been told to stop.

The load it answers: hosts are stopped and started in turn, and the balancer
goes on to send new connections for seconds, or all the while where most of a
data centre's entries are leaving. A generation that is taken then is cut when
the process ends, and most may not be run again; refused at once, its caller
comes back to another entry and has lost some milliseconds.

So a generation counts with the most that it may become. Its caller's estimate
serves placement, where an error evens out over many; here each error is a
broken answer.
"""

import math
import typing

from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes

__all__ = ("bound_ms", "may_finish")

_PLAIN: typing.Final = 4.0
"""Times the objective that a plain answer may take; few take more."""


def bound_ms(request: requests.CallerRequest) -> float:
    """Return the time in which a request ends, in milliseconds."""
    if request.route.kind is routes.RouteKind.STREAM:
        needed_ms = _bound_stream_ms(request)
    else:
        needed_ms = request.route.objective_ms * _PLAIN
    return min(needed_ms, request.deadline.remaining_ms())


def _bound_stream_ms(request: requests.CallerRequest) -> float:
    """Return how long a stream on time may last; infinite if unknown."""
    route = request.route
    if not request.most_output_tokens or not route.gap_objective_ms:
        return math.inf
    engine = request.service.engine
    event_tokens = 1 if engine is None else engine.event_tokens
    events = math.ceil(request.most_output_tokens / event_tokens)
    return route.objective_ms + events * route.gap_objective_ms


def may_finish(request: requests.CallerRequest, left_ms: float) -> bool:
    """Tell whether a request ends within ``left_ms``."""
    return bound_ms(request) <= left_ms

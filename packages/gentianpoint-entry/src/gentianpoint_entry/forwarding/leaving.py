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

from collections import abc
import math
import typing

from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes

__all__ = ("bound_ms", "find_return_ms")

_PLAIN: typing.Final = 4.0
"""Times the objective that a plain answer may take; few take more."""
_START_MS: typing.Final = 2000.0
"""Time from the end of an entry's process until its next start is used by
the balancer."""


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


def find_return_ms(
    leaving_for_ms: abc.Sequence[typing.Optional[float]],
    leave_ms: float,
    needed_ms: float,
) -> float:
    """Return in how many milliseconds a refused caller can be served.

    ``leaving_for_ms`` holds for each entry how long it has been leaving, None
    for one that stays; each leaves within ``leave_ms``, and until then takes
    what ends within ``needed_ms`` as long as that fits. A caller that returns
    meets any of the entries, so half of them have to take it: a second
    refusal may be its last.
    """
    waits = []
    for passed_ms in leaving_for_ms:
        left_ms = math.inf if passed_ms is None else leave_ms - passed_ms
        takes_it = left_ms >= needed_ms
        waits.append(0.0 if takes_it else left_ms + _START_MS)
    waits.sort()
    return max(0.0, waits[(len(waits) - 1) // 2])

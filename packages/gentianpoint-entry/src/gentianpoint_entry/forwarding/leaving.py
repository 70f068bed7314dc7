"""Which requests an entry still accepts once it has been told to stop.

Hosts are stopped and started in turn, and the load balancer keeps sending new
connections for seconds, or all the while where most of a data centre's entries
are leaving. A generation that is accepted then is cut when the process ends,
and most may not be run again. If it is refused at once, its caller goes to
another entry and loses only some milliseconds.

So a generation counts with the longest output that it may have. Its caller's
estimate serves placement, where errors average out; here each error is a
broken answer.
"""

from collections import abc
import math
import typing

from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes

__all__ = (
    "READINESS_LAG_MS",
    "bound_duration_ms",
    "find_retry_delay_ms",
    "must_be_whole",
)

READINESS_LAG_MS: typing.Final = 2600.0
"""Time until the load balancer learns that an entry is not ready, in
milliseconds: it checks once a second and acts on the second failure."""

_PLAIN_FACTOR: typing.Final = 4.0
"""Multiple of the objective that a plain answer may take; few take longer."""
_RESTART_MS: typing.Final = 2000.0
"""Time from the end of an entry's process until the load balancer uses its
next start, in milliseconds."""


def bound_duration_ms(request: requests.CallerRequest) -> float:
    """Return the time in which a request should end, in milliseconds.

    A request ends with its deadline at the latest, and sooner if its route has
    objectives: a plain answer probably does, and a stream that is on time
    certainly does. For streams that are late see :func:`must_be_whole`.
    """
    route = request.route
    needed_ms = math.inf
    if route.kind is routes.RouteKind.STREAM:
        needed_ms = route.objective_ms + _bound_stream_ms(request)
    elif route.objective_ms:
        needed_ms = route.objective_ms * _PLAIN_FACTOR
    if not request.deadline.is_limited():
        return needed_ms
    return min(needed_ms, request.deadline.remaining_ms())


def must_be_whole(request: requests.CallerRequest, ends_at: float) -> bool:
    """Tell whether an entry that shuts down may send only the whole answer.

    A stream whose events are late, since its target is slow or has left, can
    last longer than :func:`bound_duration_ms` says, and would be cut. Sent
    whole once it is complete, or replaced by a final answer, it never is.

    ``ends_at`` is when the entry ends, on trio's clock.
    """
    is_stream = request.route.kind is routes.RouteKind.STREAM
    return is_stream and request.deadline.at > ends_at


def _bound_stream_ms(request: requests.CallerRequest) -> float:
    """Return how long events on time may continue; infinite if unknown."""
    gap_ms = request.route.gap_objective_ms
    if not request.most_output_tokens or not gap_ms:
        return math.inf
    engine = request.service.engine
    event_tokens = 1 if engine is None else engine.event_tokens
    return math.ceil(request.most_output_tokens / event_tokens) * gap_ms


def find_retry_delay_ms(
    near: abc.Sequence[typing.Optional[float]],
    far: abc.Sequence[typing.Optional[float]],
    leave_ms: float,
    needed_ms: float,
) -> float:
    """Return in how many milliseconds a refused caller can be served.

    ``near`` holds for each entry of this data centre how many milliseconds it
    has been leaving, None for one that stays, and ``far`` the same for other
    data centres. Each leaves within ``leave_ms``, and until then accepts
    requests that take ``needed_ms`` as long as that much time is left.

    A caller that returns may reach any entry of its data centre, so half of
    them have to accept the request: a second refusal may be the caller's last.
    It reaches other data centres once the load balancer knows that no entry of
    its own is ready.

    >>> find_retry_delay_ms([500.0, None], [None], 8000.0, 20000.0)
    0.0
    >>> find_retry_delay_ms([500.0, 900.0], [None], 8000.0, 20000.0)
    2100.0
    """
    near_ms = _find_median_wait_ms(near, leave_ms, needed_ms)
    if not far or None in near:
        return near_ms
    unnoticed_ms = READINESS_LAG_MS - min(passed or 0.0 for passed in near)
    far_ms = _find_median_wait_ms(far, leave_ms, needed_ms)
    return min(near_ms, max(unnoticed_ms, far_ms))


def _find_median_wait_ms(
    leaving_for_ms: abc.Sequence[typing.Optional[float]],
    leave_ms: float,
    needed_ms: float,
) -> float:
    """Return in how many milliseconds half of the entries accept a request."""
    waits = []
    for passed_ms in leaving_for_ms:
        left_ms = math.inf if passed_ms is None else leave_ms - passed_ms
        takes_it = left_ms >= needed_ms
        waits.append(0.0 if takes_it else max(0.0, left_ms + _RESTART_MS))
    waits.sort()
    return waits[(len(waits) - 1) // 2]

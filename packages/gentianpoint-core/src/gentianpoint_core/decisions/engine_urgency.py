"""Decides which requests an engine is told to be urgent.

The load: short generations with a near objective come in a burst while long
ones, which may begin seconds later, still wait for their prompts to be
prefilled. An engine that is told nothing takes them in the order of arrival,
so the short ones are late while the long ones have time to spare.

A request is told to be urgent only if a less urgent route of the same service
has an objective that is much longer. Otherwise those that would yield would be
late instead, and nothing would be gained.
"""

from collections import abc
import typing

__all__ = ("DEFAULT_URGENCY", "EngineUrgencies", "RouteUrgency", "find_urgent")

DEFAULT_URGENCY: typing.Final = 5
"""Urgency that engines assume if they are told none."""
_MIN_OBJECTIVE_RATIO: typing.Final = 2.0
"""Ratio of the objectives from which less urgent requests yield. They have
then as long as an urgent one may take, and as long again for themselves."""


class RouteUrgency(typing.NamedTuple):
    """What a route tells of the urgency of its requests."""

    priority: int
    """Priority; 0 is the highest."""
    objective_ms: float
    """Time within which a first event is on time; 0 if there is none."""


class EngineUrgencies(typing.NamedTuple):
    """The urgencies that the engines of one service are told.

    >>> urgencies = EngineUrgencies((0, 1))
    >>> urgencies.find(0), urgencies.find(1), urgencies.find(2)
    (1, 2, None)
    """

    urgent_priorities: tuple[int, ...] = ()
    """Priorities of urgent requests, the highest first."""

    def find(self, priority: int) -> typing.Optional[int]:
        """Return the urgency for a priority; None to tell nothing."""
        for rank, urgent in enumerate(self.urgent_priorities, 1):
            if priority <= urgent:
                return min(rank, DEFAULT_URGENCY - 1)
        return None


def find_urgent(routes: abc.Collection[RouteUrgency]) -> EngineUrgencies:
    """Return what the engines behind ``routes`` are told.

    >>> find_urgent([RouteUrgency(2, 4000), RouteUrgency(0, 1500)])
    EngineUrgencies(urgent_priorities=(0,))
    >>> find_urgent([RouteUrgency(1, 1800), RouteUrgency(0, 1500)])
    EngineUrgencies(urgent_priorities=())
    """
    urgent = {
        route.priority
        for route in routes
        for other in routes
        if other.priority > route.priority
        and route.objective_ms
        and other.objective_ms >= _MIN_OBJECTIVE_RATIO * route.objective_ms
    }
    return EngineUrgencies(tuple(sorted(urgent)))

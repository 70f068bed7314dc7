"""The routes, services and customers of one version of the configuration.

A table is built once for each version and never changed. A request keeps the
table with which it began, so that it never sees a mixture of two versions.
"""

from collections import abc
import enum
import itertools
import random
import typing

from gentianpoint_core.decisions import engine_urgency

__all__ = (
    "CallerLimits",
    "Customer",
    "EngineSpec",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "ServiceShare",
    "choose_service",
    "get_priority",
)


_RESUME_LIFETIMES: typing.Final = 2.0
"""Multiple of a route's timeout within which a caller takes a stream up."""
_DEFAULT_WINDOW_S: typing.Final = 300.0
"""Seconds within which it does so where the route has no timeout."""


_LEAST_GAP_S: typing.Final = 2.0
"""Seconds for which callers of streams wait for an event at least."""
_GAP_OBJECTIVES: typing.Final = 4.0
"""Multiple of a route's objective for which they wait."""
_GAP_PAUSES: typing.Final = 8.0
"""Multiple of its longest pause on time for which they wait."""


class RouteKind(enum.Enum):
    """How often a request of a route may be run."""

    IDEMPOTENT = "idempotent"
    """Any number of times."""
    ONCE = "once"
    """At most once."""
    STREAM = "stream"
    """A stream of events: at most once, unless the stream is resumable."""


class ServiceShare(typing.NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    """Name of the service."""
    weight: float
    """Weight relative to the other services of the route."""


class Route(typing.NamedTuple):
    """A route from callers' requests to services."""

    name: str
    """Name, for logs."""
    host: str
    """Host header of its requests, in lower case."""
    path_prefix: str
    """Prefix of its requests' paths, with a slash at both ends."""
    shares: tuple[ServiceShare, ...]
    """Services that its requests are split between."""
    kind: RouteKind
    """How often a request may be run."""
    may_resume: bool
    """True when a new run may continue a stream after its last event."""
    timeout_ms: float
    """Longest time that a caller waits for its answer, 0 for no limit."""
    objective_ms: float
    """Time within which an answer, or a first event, counts as on time."""
    gap_objective_ms: float
    """Longest pause between events of a stream that counts as on time."""
    max_attempts: int
    """Targets that one request may be sent to."""
    priority: int
    """Priority of its requests; 0 is the highest."""
    is_public: bool
    """True when callers need no key."""
    is_generation: bool
    """True when requests carry the lengths and parts of a prompt."""

    def may_repeat(self) -> bool:
        """Tell whether a request that may have run may be run again."""
        if self.kind is RouteKind.STREAM:
            return self.may_resume
        return self.kind is RouteKind.IDEMPOTENT

    def find_longest_gap_s(self) -> float:
        """Return for how long callers wait for an event, in seconds.

        Those of streams leave after a longer gap.
        """
        return max(
            _LEAST_GAP_S,
            _GAP_OBJECTIVES * self.objective_ms / 1000,
            _GAP_PAUSES * self.gap_objective_ms / 1000,
        )

    def find_resume_window_s(self) -> float:
        """Return for how long after its begin a stream may be taken up.

        In seconds. A caller comes back within its deadline, and there may be
        several attempts.
        """
        if not self.timeout_ms:
            return _DEFAULT_WINDOW_S
        return self.timeout_ms * _RESUME_LIFETIMES / 1000


class Customer(typing.NamedTuple):
    """A customer, as found by one of its keys."""

    name: str
    """Name that is sent to targets."""
    priority: typing.Optional[int]
    """Priority that overrides the route's; None for the route's."""


class EngineSpec(typing.NamedTuple):
    """Properties that all engines of a service share."""

    slots: int
    """Requests in one batch."""
    memory_tokens: int
    """Tokens that fit into an engine's memory."""
    can_move: bool
    """True when a running generation's memory can be moved."""
    can_back_up: bool
    """True when memory can be copied to another engine as it grows."""
    event_tokens: int = 1
    """Tokens in each event of a stream."""
    token_bytes: float = 0.0
    """Memory that a token takes, in bytes; 0 if not known."""
    link_mbps: float = 0.0
    """Rate in Mbit/s of copies between engines; 0 if not known."""

    def estimate_copy_ms(self, tokens: int) -> float:
        """Return how long a copy takes within a data centre, 0 if unknown."""
        if not self.link_mbps:
            return 0.0
        return tokens * self.token_bytes * 8 / (self.link_mbps * 1000)


class Service(typing.NamedTuple):
    """A service: a set of interchangeable targets."""

    name: str
    """Name in the configuration."""
    health_path: str
    """Path of its targets' health check."""
    connection_limit: int
    """Connections that a target accepts from all callers together."""
    engine: typing.Optional[EngineSpec]
    """Set when its targets are model engines."""
    cold_ms: float = 0.0
    """How long a target is cold after its start, in milliseconds."""
    cold_per_s: float = 0.0
    """Requests a second that a cold target bears from all entries together;
    0 if cold targets need no limit."""


class CallerLimits(typing.NamedTuple):
    """Limits on what callers may send."""

    header_bytes: int
    """Largest head of a request, in bytes."""
    body_bytes: int
    """Largest body of a request, in bytes."""
    header_ms: float
    """Longest time that a caller may take to send the head."""
    idle_ms: float
    """Longest time that a connection may be idle between requests."""


class RouteTable:
    """One version of the configuration, indexed for requests."""

    def __init__(
        self,
        version: int,
        routes: abc.Iterable[Route],
        services: abc.Iterable[Service],
        customers: abc.Mapping[str, Customer],
        limits: CallerLimits,
        *,
        requires_keys: bool,
    ) -> None:
        """Index a version; ``customers`` maps keys to customers."""
        self.version: typing.Final = version
        self.limits: typing.Final = limits
        self.services: typing.Final = {item.name: item for item in services}
        self.requires_keys: typing.Final = requires_keys
        self._customers: typing.Final = dict(customers)
        self._by_host: typing.Final[dict[str, list[Route]]] = {}
        ranks: dict[str, list[engine_urgency.RouteUrgency]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
            for share in route.shares:
                ranks.setdefault(share.service, []).append(
                    engine_urgency.RouteUrgency(
                        route.priority, route.objective_ms
                    )
                )
        self._urgencies: typing.Final = {
            name: engine_urgency.find_urgent(frozenset(found))
            for name, found in ranks.items()
            if name in self.services and self.services[name].engine
        }
        self.resume_windows_s: typing.Final = _find_resume_windows_s(
            itertools.chain.from_iterable(self._by_host.values())
        )
        for found in self._by_host.values():
            found.sort(key=lambda item: -len(item.path_prefix))

    def find_route(self, host: str, path: str) -> typing.Optional[Route]:
        """Return the host's route with the longest prefix of ``path``."""
        name = host.lower()
        found = self._by_host.get(name)
        if found is None:
            found = self._by_host.get(name.rpartition(":")[0], [])
        for route in found:
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_urgency(
        self, route: Route, service: Service
    ) -> typing.Optional[int]:
        """Return the urgency that an engine is told, None for none.

        A customer's priority is not part of it: engines would preempt other
        customers' generations of the same kind, which gains nothing.
        """
        urgencies = self._urgencies.get(service.name)
        if urgencies is None or not route.is_generation:
            return None
        return urgencies.find(route.priority)

    def find_customer(self, key: str) -> typing.Optional[Customer]:
        """Return the customer that a key belongs to."""
        return self._customers.get(key)


def _find_resume_windows_s(
    routes: abc.Iterable[Route],
) -> abc.Mapping[str, float]:
    """Return the services whose streams may be taken up, and for how long."""
    windows_s: dict[str, float] = {}
    for route in routes:
        if not route.may_resume:
            continue
        window_s = route.find_resume_window_s()
        for share in route.shares:
            windows_s[share.service] = max(
                window_s, windows_s.get(share.service, 0.0)
            )
    return windows_s


def get_priority(route: Route, customer: typing.Optional[Customer]) -> int:
    """Return the priority of a request; the customer's goes first."""
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority


def choose_service(route: Route, source: random.Random) -> str:
    """Draw the service for one request of a route, by the weights."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [max(0.0, share.weight) for share in route.shares]
    if not any(weights):
        return route.shares[0].service
    names = [share.service for share in route.shares]
    return source.choices(names, weights)[0]

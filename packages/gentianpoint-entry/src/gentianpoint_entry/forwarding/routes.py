"""What a version of the configuration says, ready to be asked.

A table is built once for each version and never changed; a request keeps the
table with which it began, so that no request sees two versions mixed.
"""

from collections import abc
import enum
import random
import typing

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
)


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    """May run any number of times."""
    ONCE = "once"
    """May run at most once."""
    STREAM = "stream"
    """A stream of events; may run at most once unless it may be resumed."""


class ServiceShare(typing.NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    """Name of the service."""
    weight: float
    """Share against the other services of the route."""


class Route(typing.NamedTuple):
    """One route."""

    name: str
    """Name, for logs."""
    host: str
    """Host that callers name, in lower case."""
    path_prefix: str
    """Beginning of the paths that it takes, with a slash at both ends."""
    shares: tuple[ServiceShare, ...]
    """Services that its requests go to."""
    kind: RouteKind
    """What may be repeated."""
    may_resume: bool
    """True when a stream may go on in a new run after its last event."""
    timeout_ms: float
    """Longest time for which a caller is kept waiting, 0 for no limit."""
    objective_ms: float
    """Time within which an answer, or a first event, counts as on time."""
    gap_objective_ms: float
    """Longest pause between events of a stream that counts as on time."""
    max_attempts: int
    """Targets that one request may be sent to."""
    priority: int
    """Rank, 0 first."""
    is_public: bool
    """True when no key is asked for."""
    is_generation: bool
    """True when requests carry the sizes and parts of a prompt."""

    def may_repeat(self) -> bool:
        """Tell whether a request that may have run may be run again."""
        if self.kind is RouteKind.STREAM:
            return self.may_resume
        return self.kind is RouteKind.IDEMPOTENT


class Customer(typing.NamedTuple):
    """A customer, as one of its keys names it."""

    name: str
    """Name that targets get."""
    priority: typing.Optional[int]
    """Rank that goes before the route's; None for the route's."""


class EngineSpec(typing.NamedTuple):
    """What all engines of a service are like."""

    slots: int
    """Requests in one batch."""
    memory_tokens: int
    """Tokens that fit into its memory."""
    can_move: bool
    """True when a running generation's memory can be moved."""
    can_back_up: bool
    """True when memory is copied to another engine as it grows."""
    event_tokens: int = 1
    """Tokens in an event of a stream."""
    token_bytes: float = 0.0
    """Memory of a token, in bytes; 0 if not known."""
    link_mbps: float = 0.0
    """Rate at which memory is copied between engines; 0 if not known."""

    def estimate_copy_ms(self, tokens: int) -> float:
        """Return how long a copy takes within a data centre, 0 if unknown."""
        if not self.link_mbps:
            return 0.0
        return tokens * self.token_bytes * 8 / (self.link_mbps * 1000)


class Service(typing.NamedTuple):
    """A service: targets that do the same."""

    name: str
    """Name in the configuration."""
    health_path: str
    """Path of its health check."""
    connection_limit: int
    """Connections that a target takes from all callers together."""
    engine: typing.Optional[EngineSpec]
    """Set when its targets are model engines."""


class CallerLimits(typing.NamedTuple):
    """What callers may send."""

    header_bytes: int
    """Longest head of a request."""
    body_bytes: int
    """Longest body of a request."""
    header_ms: float
    """Longest time that a caller may take for the head."""
    idle_ms: float
    """Longest time that a connection may idle between requests."""


class RouteTable:
    """One version of the configuration."""

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
        """Index a version; ``customers`` is by key."""
        self.version: typing.Final = version
        self.limits: typing.Final = limits
        self.services: typing.Final = {item.name: item for item in services}
        self.requires_keys: typing.Final = requires_keys
        self._customers: typing.Final = dict(customers)
        self._by_host: typing.Final[dict[str, list[Route]]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for found in self._by_host.values():
            found.sort(key=lambda item: -len(item.path_prefix))

    def find_route(self, host: str, path: str) -> typing.Optional[Route]:
        """Return the route with the longest prefix of ``path``."""
        name = host.lower()
        found = self._by_host.get(name)
        if found is None:
            found = self._by_host.get(name.rpartition(":")[0], [])
        for route in found:
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_customer(self, key: str) -> typing.Optional[Customer]:
        """Return the customer that holds a key."""
        return self._customers.get(key)


def choose_service(route: Route, source: random.Random) -> str:
    """Return the service for one request of a route, by the shares."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [max(0.0, share.weight) for share in route.shares]
    if not any(weights):
        return route.shares[0].service
    names = [share.service for share in route.shares]
    return source.choices(names, weights)[0]

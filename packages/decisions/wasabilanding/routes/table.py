"""Routing table and its lookups."""

import collections.abc
import dataclasses
import enum
import functools


class RequestKind(enum.Enum):
    """How often requests of a route may run, as configured.

    ``SAFE`` requests may run more than once, ``UNSAFE`` ones at most once.
    ``STREAMING`` requests are answered by a stream of events.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True)
class Target:
    """A service that receives a share of a route's requests.

    :param service: name of the service.
    :param weight: share, relative to the route's other targets.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class Route:
    """Settings for the requests of one host under one path prefix.

    :param name: name in the configuration.
    :param host: value of the Host header, in lower case, without a port.
    :param prefix: path prefix; it begins and ends with a slash.
    :param kind: how often a request may run.
    :param resumable: whether a stream may be resumed at another endpoint.
    :param timeout_s: maximum time in seconds until the answer.
    :param latency_goal_s: target time in seconds until the answer or its
        first event.
    :param event_gap_s: target for the longest pause in seconds between two
        events; 0 for none.
    :param priority: priority; 0 is the most urgent.
    :param max_attempts: maximum number of endpoints that may run a request.
    :param public: whether a request needs no key.
    :param targets: services that receive the requests.
    :param allowed_regions: regions that may run a request; None for all.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    resumable: bool
    timeout_s: float
    latency_goal_s: float
    event_gap_s: float
    priority: int
    max_attempts: int
    public: bool
    targets: tuple[Target, ...]
    allowed_regions: frozenset[str] | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.SAFE


@dataclasses.dataclass(frozen=True)
class ModelSpec:
    """A model that replicas of a service load.

    :param name: name of the model.
    :param size: number of VMs in one replica.
    :param share: share of the service's work for this model.
    :param pace: factor on all durations of a replica.
    :param load_s: seconds to load its weights from the weight store.
    :param warm_s: seconds to load weights staged on the host.
    """

    name: str
    size: int
    share: float
    pace: float
    load_s: float
    warm_s: float


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """Configuration of a service's model engines.

    :param slots: requests that one replica runs concurrently.
    :param models: its models.
    :param load_starts_per_s: loads from the weight store that may start per
        second, over all engines; 0 for no limit.
    :param loads_at_once: concurrent loads that run at full speed, over all
        engines; 0 for no limit.
    :param kv_capacity: tokens that one replica can hold; 0 if it is not
        known.
    """

    slots: int
    models: tuple[ModelSpec, ...]
    load_starts_per_s: float
    loads_at_once: int = 0
    kv_capacity: int = 0

    def model(self, name: str) -> ModelSpec | None:
        """Return a model, or None if it is not configured.

        :param name: name of the model.
        """
        for spec in self.models:
            if spec.name == name:
                return spec
        return None


@dataclasses.dataclass(frozen=True)
class RoutedService:
    """A service that is the target of routes.

    :param name: name of the service.
    :param max_connections: maximum connections to one endpoint in total.
    :param engine: its model engines; None for a plain service.
    :param cold_rate_per_s: requests a second that an endpoint takes from all
        nodes together while it is cold; 0 if no endpoint is ever cold.
    :param cold_s: seconds for which an endpoint is cold after its start.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None
    cold_rate_per_s: float = 0.0
    cold_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    :param max_header_bytes: maximum size of a request's head.
    :param max_body_bytes: maximum size of a request's body.
    :param header_timeout_s: seconds within which a head must arrive.
    :param idle_timeout_s: seconds for which a connection may be idle.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class KeyHolder:
    """A customer and its keys.

    :param customer: name of the customer.
    :param keys: its keys.
    :param priority: priority that replaces the route's; None for none.
    :param allowed_regions: regions that may run its requests; None for all.
    """

    customer: str
    keys: frozenset[str]
    priority: int | None = None
    allowed_regions: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """Routes, services and keys of one version of the configuration.

    :param version: version number in the configuration.
    :param routes: all routes.
    :param services: all services.
    :param limits: limits on callers.
    :param key_holders: customers with their keys; None if requests need no
        key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    limits: CallerLimits
    key_holders: tuple[KeyHolder, ...] | None

    @functools.cached_property
    def _by_host(self) -> dict[str, dict[str, Route]]:
        hosts: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, {})[route.prefix] = route
        return hosts

    @functools.cached_property
    def _by_key(self) -> dict[str, KeyHolder]:
        holders = self.key_holders or ()
        return {key: holder for holder in holders for key in holder.keys}

    @functools.cached_property
    def _by_service(self) -> dict[str, RoutedService]:
        return {service.name: service for service in self.services}

    @functools.cached_property
    def cold_rates(self) -> dict[str, float]:
        """Requests a second to a cold endpoint, by services that have some."""
        return {
            service.name: service.cold_rate_per_s
            for service in self.services
            if service.cold_rate_per_s > 0
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        :param host: value of the Host header.
        :param path: path of the request, without the query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        for prefix in _prefixes(path):
            if prefix in prefixes:
                return prefixes[prefix]
        return None

    def holder(self, key: str) -> KeyHolder | None:
        """Return the customer that holds a key.

        :param key: the key.
        """
        return self._by_key.get(key)

    def service(self, name: str) -> RoutedService | None:
        """Return a service.

        :param name: name of the service.
        """
        return self._by_service.get(name)


def _prefixes(path: str) -> collections.abc.Iterator[str]:
    """Yield the prefixes of a path that end with a slash, longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)


def choose_target(route: Route, draw: float) -> str:
    """Return the service for a request, by the targets' weights.

    :param route: the route.
    :param draw: random number in the range [0, 1).

    Examples
    ========

    >>> from wasabilanding import routes
    >>> targets = (routes.Target("a", 90), routes.Target("b", 10))
    >>> route = routes.Route(
    ...     "r", "h", "/", routes.RequestKind.SAFE, False, 1.0, 0.1, 0.0, 1,
    ...     2, False, targets)
    >>> [routes.choose_target(route, draw) for draw in (0.0, 0.89, 0.91)]
    ['a', 'a', 'b']
    """
    left = draw * sum(target.weight for target in route.targets)
    for target in route.targets:
        left -= target.weight
        if left < 0:
            return target.service
    return route.targets[-1].service

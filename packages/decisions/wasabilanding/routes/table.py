"""Types of the routing table, and its lookups."""

import collections.abc
import dataclasses
import enum
import functools


class RequestKind(enum.Enum):
    """What the operators say may be done with requests of a route.

    ``SAFE`` requests may run more than once, ``UNSAFE`` ones at most once,
    and ``STREAMING`` ones are answered by a series of events.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True)
class Target:
    """A service that takes a share of a route's requests.

    :param service: name of the service.
    :param weight: share, relative to the route's other targets.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of one host below one path prefix.

    :param name: name that the operators gave it.
    :param host: value of the Host header, in lower case, without a port.
    :param prefix: begin of the path; it begins and ends with a slash.
    :param kind: what may be repeated.
    :param resumable: whether a stream may go on at another endpoint.
    :param timeout_s: longest time in seconds until an answer is due.
    :param latency_goal_s: seconds until the answer or its first event.
    :param event_gap_s: longest pause in seconds between two events; 0 where
        none is stated.
    :param priority: rank; 0 is the most urgent.
    :param max_attempts: endpoints that may run one request.
    :param public: whether a request needs no key.
    :param targets: services that take the requests.
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

    @property
    def is_idempotent(self) -> bool:
        """Whether one request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.SAFE


@dataclasses.dataclass(frozen=True)
class ModelSpec:
    """A model that replicas of a service load.

    :param name: name of the model.
    :param size: VMs of one replica.
    :param share: share of the service's work that asks for it.
    :param pace: factor on all times of a replica.
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
    """What the operators state of a service's model engines.

    :param slots: requests that one replica runs at a time.
    :param models: its models.
    :param load_starts_per_s: loads from the weight store that may start in
        a second, over all engines; 0 where no bound is stated.
    :param loads_at_once: loads that run at full speed together, over all
        engines; 0 where no bound is stated.
    """

    slots: int
    models: tuple[ModelSpec, ...]
    load_starts_per_s: float
    loads_at_once: int = 0

    def model(self, name: str) -> ModelSpec | None:
        """Return a model, or None for one that is not stated.

        :param name: name of the model.
        """
        for spec in self.models:
            if spec.name == name:
                return spec
        return None


@dataclasses.dataclass(frozen=True)
class RoutedService:
    """A service that routes lead to.

    :param name: name of the service.
    :param max_connections: connections that one endpoint takes in all.
    :param engine: its model engines; None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may stay idle.

    :param max_header_bytes: size of a request's head.
    :param max_body_bytes: size of a request's body.
    :param header_timeout_s: seconds in which a head has to arrive.
    :param idle_timeout_s: seconds that a connection may stay idle.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class KeyHolder:
    """A customer and the keys that its callers show.

    :param customer: name of the customer.
    :param keys: its keys.
    :param priority: rank that goes before the route's; None for none.
    """

    customer: str
    keys: frozenset[str]
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """Routes, services and keys of one version of the configuration.

    :param version: the operators' number of the version.
    :param routes: all routes.
    :param services: all services.
    :param limits: what a caller may send.
    :param key_holders: customers with their keys; None where requests need
        no key.
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

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        :param host: value of the Host header.
        :param path: path of the request, without a query.
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
    """Return the service that takes a request, by the targets' weights.

    :param route: the route.
    :param draw: random number from 0 to below 1.

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

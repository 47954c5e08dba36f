"""One node's view of the registered endpoints."""

import collections.abc
import dataclasses

from wasabilanding.fleet import endpoint as endpoint_module
from wasabilanding.fleet import restored

Endpoint = endpoint_module.Endpoint
Incarnation = endpoint_module.Incarnation

# Endpoints whose registrations lapsed while the store was unavailable register
# again within about two seconds of its recovery.
RECOVERY_GRACE_S = 2.3
REMOVED_TTL_S = 60.0
# Announcements of shutdowns that are remembered; the oldest are dropped.
MAX_ANNOUNCED = 4096


def incarnation_of(endpoint: Endpoint) -> Incarnation:
    """Return the start of an endpoint that a registration describes.

    :param endpoint: the registration.
    """
    return endpoint.incarnation


def incarnation_name(incarnation: Incarnation) -> str:
    """Return the name of one start of an endpoint, for notices and logs.

    :param incarnation: identity and start.

    Examples
    ========

    >>> from wasabilanding import fleet
    >>> fleet.incarnation_name(fleet.Incarnation("e1", 7))
    'e1@7'
    """
    return f"{incarnation.endpoint_id}@{incarnation.started_at_ms}"


@dataclasses.dataclass(frozen=True)
class RemovedEndpoint:
    """An endpoint that is no longer registered.

    :param endpoint: its last registration.
    :param removed_at: local monotonic time in seconds of its removal from
        the registry.
    """

    endpoint: Endpoint
    removed_at: float


class Registry:
    """Registered endpoints, and those recently removed.

    An endpoint whose registration lapsed while the store was unavailable
    stays in use until :data:`RECOVERY_GRACE_S` after the store's recovery.

    An endpoint that has announced its shutdown to a node is draining from then
    on, whatever its registration says, until another incarnation registers.
    """

    def __init__(self) -> None:
        # Local monotonic time in seconds of the first announcement.
        self._announced: dict[Incarnation, float] = {}
        self._endpoints: dict[str, Endpoint] = {}
        # Registrations as they were last put, by identity.
        self._put: dict[str, Endpoint] = {}
        self._recently_removed: dict[str, RemovedEndpoint] = {}
        self._pending_removals: dict[str, float] = {}
        self._grace_until = float("-inf")
        self.version = 0

    @property
    def endpoints(self) -> collections.abc.Collection[Endpoint]:
        """Registered endpoints."""
        return self._endpoints.values()

    @property
    def recently_removed(
        self,
    ) -> collections.abc.Mapping[str, RemovedEndpoint]:
        """Recently removed endpoints, by identity."""
        return self._recently_removed

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Return a registered endpoint.

        :param endpoint_id: its identity.
        """
        return self._endpoints.get(endpoint_id)

    def get_start(self, incarnation: Incarnation) -> Endpoint | None:
        """Return one start of an endpoint, if it is the registered one.

        :param incarnation: identity and start of the endpoint.
        """
        found = self._endpoints.get(incarnation.endpoint_id)
        if found is None or incarnation_of(found) != incarnation:
            return None
        return found

    def start_of(self, endpoint_id: str) -> int | None:
        """Return the start of a registered endpoint.

        :param endpoint_id: its identity.
        :returns: Unix time in milliseconds; None if it is not registered.
        """
        found = self._endpoints.get(endpoint_id)
        return found.started_at_ms if found is not None else None

    def is_known(self, incarnation: Incarnation) -> bool:
        """Tell whether a start is registered or was so recently.

        :param incarnation: identity and start of the endpoint.
        """
        if self.get_start(incarnation) is not None:
            return True
        removed = self._recently_removed.get(incarnation.endpoint_id)
        return (
            removed is not None
            and incarnation_of(removed.endpoint) == incarnation
        )

    def announce_shutdown(
        self, endpoint_id: str, started_at_ms: int, now: float
    ) -> bool:
        """Record that an endpoint has announced its shutdown.

        It need not be registered yet.

        :param endpoint_id: its identity.
        :param started_at_ms: Unix time in milliseconds of its start.
        :param now: local monotonic time in seconds.
        :returns: whether this was not known.
        """
        incarnation = Incarnation(endpoint_id, started_at_ms)
        if incarnation in self._announced:
            return False
        if len(self._announced) >= MAX_ANNOUNCED:
            del self._announced[next(iter(self._announced))]
        self._announced[incarnation] = now
        found = self._endpoints.get(endpoint_id)
        if found is not None:
            self.put(found)
        return True

    def has_announced_shutdown(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint has announced its shutdown.

        :param endpoint: the endpoint.
        """
        return incarnation_of(endpoint) in self._announced

    def announced_since(self) -> dict[str, float]:
        """Return when registered endpoints announced their shutdown.

        :returns: local monotonic time in seconds, by identity.
        """
        return {
            incarnation.endpoint_id: at
            for incarnation, at in self._announced.items()
            if self.get_start(incarnation) is not None
        }

    def note_store_recovery(self, now: float) -> None:
        """Start the grace period after an outage of the store.

        :param now: local monotonic time in seconds.
        """
        self._grace_until = now + RECOVERY_GRACE_S
        for endpoint_id in self._pending_removals:
            self._pending_removals[endpoint_id] = self._grace_until

    def put(self, endpoint: Endpoint) -> None:
        """Add or update a registration.

        Most heartbeats repeat the registration before them, as the same
        object.

        :param endpoint: the endpoint.
        """
        self._pending_removals.pop(endpoint.endpoint_id, None)
        self._recently_removed.pop(endpoint.endpoint_id, None)
        if self._put.get(endpoint.endpoint_id) is endpoint:
            return
        self._put[endpoint.endpoint_id] = endpoint
        endpoint = self._with_resident(endpoint)
        if self.has_announced_shutdown(endpoint):
            endpoint = dataclasses.replace(endpoint, draining=True)
        if self._endpoints.get(endpoint.endpoint_id) != endpoint:
            self._endpoints[endpoint.endpoint_id] = endpoint
            self.version += 1

    def _with_resident(self, endpoint: Endpoint) -> Endpoint:
        """Set the model that the endpoint still holds in memory."""
        resident = endpoint.model
        before = self._endpoints.get(endpoint.endpoint_id)
        if before is not None and not resident:
            if incarnation_of(before) == incarnation_of(endpoint):
                resident = before.resident
        return dataclasses.replace(endpoint, resident=resident)

    def remove(self, endpoint_id: str, now: float) -> None:
        """Remove a registration, or delay that during the grace period.

        :param endpoint_id: identity of the endpoint.
        :param now: local monotonic time in seconds.
        """
        found = self._endpoints.get(endpoint_id)
        if found is None:
            return
        if now < self._grace_until and not found.draining:
            self._pending_removals.setdefault(endpoint_id, self._grace_until)
            return
        self._drop(found, now)

    def replace(
        self, endpoints: collections.abc.Iterable[Endpoint], now: float
    ) -> None:
        """Replace all registrations.

        :param endpoints: all registered endpoints.
        :param now: local monotonic time in seconds.
        """
        listed = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        for endpoint in listed.values():
            self.put(endpoint)
        for endpoint_id in set(self._endpoints) - set(listed):
            self.remove(endpoint_id, now)

    def restore(
        self, endpoints: collections.abc.Iterable[Endpoint], now: float
    ) -> None:
        """Merge the registrations of a store restored from a copy.

        Endpoints that are missing in it may register again for a while. One
        that was removed before must do so to be used again.

        :param endpoints: all endpoints registered in the restored store.
        :param now: local monotonic time in seconds.
        """
        self.note_store_recovery(now)
        self.replace(
            [e for e in map(self._merge, endpoints) if e is not None], now
        )

    def _merge(self, listed: Endpoint) -> Endpoint | None:
        known = self._endpoints.get(listed.endpoint_id)
        if known is not None:
            return restored.merge_restored(known, listed)
        removed = self._recently_removed.get(listed.endpoint_id)
        if removed is None:
            return listed
        has_restarted = listed.started_at_ms > removed.endpoint.started_at_ms
        return listed if has_restarted else None

    def expire(self, now: float) -> None:
        """Drop endpoints whose grace period or retention has ended.

        :param now: local monotonic time in seconds.
        """
        expired = [
            name
            for name, until in self._pending_removals.items()
            if now >= until
        ]
        for endpoint_id in expired:
            del self._pending_removals[endpoint_id]
            found = self._endpoints.get(endpoint_id)
            if found is not None:
                self._drop(found, now)
        for endpoint_id, removed in list(self._recently_removed.items()):
            if now - removed.removed_at > REMOVED_TTL_S:
                del self._recently_removed[endpoint_id]

    def _drop(self, endpoint: Endpoint, now: float) -> None:
        del self._endpoints[endpoint.endpoint_id]
        self._put.pop(endpoint.endpoint_id, None)
        self._recently_removed[endpoint.endpoint_id] = RemovedEndpoint(
            endpoint, now
        )
        self.version += 1

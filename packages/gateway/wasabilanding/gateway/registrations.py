"""Decodes registrations, which another writer may have written.

Explanation
===========

Any bytes may stand under the key of a registration. What cannot be decoded,
or is of a service that the configuration does not name, names no endpoint and
affects no other entry. Such an entry may be written with each heartbeat, and
there may be as many as valid ones, so that they share one log line in some
seconds; a metric has their number.

An endpoint of a service that is not configured is kept aside: a later
configuration may name the service, and other nodes may have that configuration
already.
"""

import collections.abc
import dataclasses
import logging

from wasabilanding import changefeed
from wasabilanding import fleet
from wasabilanding.gateway import messages
from wasabilanding.gateway import relays
from wasabilanding import metadata
from wasabilanding import model

LOG_INTERVAL_S = 5.0
MAX_SHOWN_CHARACTERS = 200

_LOG = logging.getLogger(__name__)


class RegistrationReader:
    """Decodes registrations; remembers the keys of those without endpoint.

    :param wire: decodes the store's items.
    """

    def __init__(self, wire: messages.WireFormat) -> None:
        self._wire = wire
        self._rejected: set[str] = set()
        # A key that was rejected after the last log line, with the reason.
        self._example: tuple[str, str] | None = None
        # Local monotonic time in seconds of the last log line.
        self._logged_at = float("-inf")

    @property
    def rejected_count(self) -> int:
        """Number of entries that name no endpoint."""
        return len(self._rejected)

    def read(self, item: metadata.Item) -> fleet.Endpoint | None:
        """Return the endpoint that an entry names; None for none.

        :param item: the entry.
        """
        try:
            endpoint = self._wire.read_registration(item.key, item.value)
            _check_identity(endpoint.endpoint_id)
        except ValueError as error:
            self.reject(item.key, str(error))
            return None
        return endpoint

    def reject(self, key: str, reason: str) -> None:
        """Record that an entry names no endpoint.

        :param key: its key.
        :param reason: why it names none.
        """
        if key not in self._rejected:
            self._rejected.add(key)
            self._example = key, reason

    def accept(self, key: str) -> None:
        """Record that an entry names an endpoint in use, or was removed.

        :param key: its key.
        """
        self._rejected.discard(key)

    def retain(self, keys: collections.abc.Set[str]) -> None:
        """Forget the entries that the store does not have any more.

        :param keys: all keys of registrations in the store.
        """
        self._rejected &= keys

    def log_rejected(self, now: float) -> None:
        """Log the entries that name no endpoint, if there are new ones.

        :param now: local monotonic time in seconds.
        """
        if self._example is None or not self._rejected:
            return
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        key, reason = self._example
        self._example = None
        self._logged_at = now
        _LOG.warning(
            "%d registrations name no endpoint and are ignored; one is %s: %s",
            self.rejected_count,
            _shortened(key),
            _shortened(reason),
            extra={"count": self.rejected_count},
        )


class Registrations:
    """Keeps the registered endpoints of one node's view as the store has them.

    :param wire: decodes the store's items.
    :param registry: receives the endpoints of configured services.
    :param change_log: receives all changes, which other nodes are told of.
    :param is_configured: returns whether a service is configured.
    :param on_read: receives each registration that is added or updated, and
        the local monotonic time in seconds.
    """

    def __init__(
        self,
        wire: messages.WireFormat,
        registry: fleet.Registry,
        change_log: changefeed.ChangeLog,
        is_configured: collections.abc.Callable[[str], bool],
        on_read: collections.abc.Callable[[fleet.Endpoint, float], None],
    ) -> None:
        self._prefix = wire.registrations_prefix
        self._registry = registry
        self._change_log = change_log
        self._is_configured = is_configured
        self._on_read = on_read
        self._reader = RegistrationReader(wire)
        # Registered endpoints of services that are not configured.
        self._unserved: dict[str, fleet.Endpoint] = {}

    @property
    def rejected_count(self) -> int:
        """Number of entries that name no endpoint in use."""
        return self._reader.rejected_count

    def log_rejected(self, now: float) -> None:
        """Log the entries that name no endpoint, if there are new ones.

        :param now: local monotonic time in seconds.
        """
        self._reader.log_rejected(now)

    def read_all(
        self, items: collections.abc.Collection[metadata.Item]
    ) -> list[fleet.Endpoint]:
        """Return the endpoints that the entries of a listing name.

        :param items: all entries.
        """
        self._reader.retain({item.key for item in items})
        found = map(self._reader.read, items)
        return [endpoint for endpoint in found if endpoint is not None]

    def served(
        self, endpoints: collections.abc.Iterable[fleet.Endpoint]
    ) -> list[fleet.Endpoint]:
        """Return the endpoints of configured services; keep the others aside.

        :param endpoints: all endpoints of a listing.
        """
        served = []
        self._unserved.clear()
        for endpoint in endpoints:
            if self._is_configured(endpoint.service):
                self._accept(endpoint.endpoint_id)
                served.append(endpoint)
            else:
                self._set_aside(endpoint)
        return served

    def is_in_use(self, listed: fleet.Endpoint) -> bool:
        """Tell whether a listed registration is the one in use.

        :param listed: the registration.
        """
        if listed.endpoint_id in self._unserved:
            return True
        found = self._registry.get(listed.endpoint_id)
        if found is None:
            return False
        return dataclasses.replace(found, resident=listed.resident) == listed

    def follow_services(self, now: float) -> None:
        """Use the endpoints of the services that are configured now.

        :param now: local monotonic time in seconds.
        """
        for endpoint in list(self._registry.endpoints):
            if not self._is_configured(endpoint.service):
                self._set_aside(endpoint)
                self._registry.remove(endpoint.endpoint_id, now)
        for name, endpoint in list(self._unserved.items()):
            if self._is_configured(endpoint.service):
                del self._unserved[name]
                self._accept(name)
                self._registry.put(endpoint)

    def apply(
        self,
        event: metadata.Item | metadata.Removal,
        revision: model.StoreRevision,
        now: float,
    ) -> None:
        """Apply a change of an entry.

        :param event: the entry, or its removal.
        :param revision: revision of the change.
        :param now: local monotonic time in seconds.
        """
        name = event.key.removeprefix(self._prefix)
        if isinstance(event, metadata.Removal):
            self.remove(name, revision, now)
            return
        endpoint = self._reader.read(event)
        if endpoint is not None:
            self.put(endpoint, revision, now)
        elif name in self._unserved or self._registry.get(name) is not None:
            self._drop(name, revision, now)

    def put(
        self,
        endpoint: fleet.Endpoint,
        revision: model.StoreRevision,
        now: float,
    ) -> None:
        """Add or update a registration.

        :param endpoint: the endpoint.
        :param revision: revision of the change.
        :param now: local monotonic time in seconds.
        """
        name = endpoint.endpoint_id
        if self._is_configured(endpoint.service):
            self._unserved.pop(name, None)
            self._accept(name)
            self._registry.put(endpoint)
        else:
            self._set_aside(endpoint)
            self._registry.remove(name, now)
        self._on_read(endpoint, now)
        self._change_log.record_endpoint(name, endpoint, revision)

    def remove(
        self, name: str, revision: model.StoreRevision, now: float
    ) -> None:
        """Remove a registration.

        :param name: identity of the endpoint.
        :param revision: revision of the change.
        :param now: local monotonic time in seconds.
        """
        if self._registry.get(name) is not None:
            _LOG.info(
                "registration of endpoint %s was removed",
                name,
                extra={"endpoint": name},
            )
        self._accept(name)
        self._drop(name, revision, now)

    def _drop(
        self, name: str, revision: model.StoreRevision, now: float
    ) -> None:
        self._unserved.pop(name, None)
        self._registry.remove(name, now)
        self._change_log.record_endpoint(name, None, revision)

    def _accept(self, name: str) -> None:
        self._reader.accept(f"{self._prefix}{name}")

    def _set_aside(self, endpoint: fleet.Endpoint) -> None:
        name = endpoint.endpoint_id
        self._unserved[name] = endpoint
        self._reader.reject(
            f"{self._prefix}{name}",
            f"service {endpoint.service!r} is not configured",
        )


def _check_identity(endpoint_id: str) -> None:
    """Check that an identity can be that of an endpoint.

    :param endpoint_id: the identity.
    :raises ValueError: if it cannot.
    """
    if not endpoint_id or "/" in endpoint_id or relays.is_relay(endpoint_id):
        raise ValueError("the key is not that of an endpoint")


def _shortened(text: str) -> str:
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[: MAX_SHOWN_CHARACTERS - 3] + "..."
    return text

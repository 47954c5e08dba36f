"""Lease that elects the node which plans a failure domain."""

import logging

from wasabilanding.gateway import clocks
from wasabilanding.gateway import messages
from wasabilanding import metadata

LEASE_TTL_S = 3.0

_LOG = logging.getLogger(__name__)


def lease_key(wire: messages.WireFormat, failure_domain: str) -> str:
    """Return the key whose value is the node that plans a failure domain.

    :param wire: defines the store's key prefixes.
    :param failure_domain: the failure domain.
    """
    return f"{wire.internal_prefix}control/{failure_domain}"


class DomainLease:
    """Lease that elects the node which plans a failure domain.

    :param key: key in the store.
    :param node: name of this node.
    :param store: the platform's store.
    """

    def __init__(self, key: str, node: str, store: messages.Store) -> None:
        self._key = key
        self._node = node
        self._store = store
        self._lease: metadata.Lease | None = None
        self._held_until = float("-inf")

    @property
    def is_lost(self) -> bool:
        """Whether the lease is not acquired, or lost as the store reports."""
        return self._lease is None

    @property
    def is_held(self) -> bool:
        """Whether this node is certain to hold the lease."""
        return clocks.boot_time() < self._held_until

    async def acquire(self) -> metadata.WriteResult:
        """Try to acquire the lease.

        :returns: ``Written`` if it was acquired.
        """
        requested_at = clocks.boot_time()
        granted = await self._store.grant_lease(LEASE_TTL_S)
        if isinstance(granted, metadata.Unavailable):
            return granted
        written = await self._store.create(
            self._key, self._node.encode(), granted
        )
        if not isinstance(written, metadata.Written):
            await self._store.end_lease(granted)
            return written
        self._lease = granted
        self._held_until = requested_at + granted.ttl_s
        _LOG.info("acquired planning lease", extra={"lease": self._key})
        return written

    async def renew(self) -> None:
        """Renew the lease, or mark it lost if the store does not know it."""
        requested_at = clocks.boot_time()
        renewed = await self._store.renew_lease(self._lease)
        if isinstance(renewed, metadata.Missing):
            self._lease = None
            self._held_until = float("-inf")
            _LOG.info("lost planning lease", extra={"lease": self._key})
        elif isinstance(renewed, metadata.Lease):
            self._held_until = requested_at + renewed.ttl_s

    async def release(self) -> None:
        """Release the lease."""
        if self._lease is not None:
            ended = self._lease
            self._lease = None
            self._held_until = float("-inf")
            await self._store.end_lease(ended)

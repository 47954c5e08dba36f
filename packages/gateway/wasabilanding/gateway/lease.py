"""Lease that elects the node which plans a failure domain.

A lease ends with the era of the store that granted it. A node that has held
it until it learned of the newer era may acquire the lease again at once; the
others wait until any lease of the older era has expired, since its holder may
not know yet that the store was restored.
"""

import logging

from wasabilanding.gateway import clocks
from wasabilanding.gateway import messages
from wasabilanding import metadata

LEASE_TTL_S = 3.0

_LOG = logging.getLogger(__name__)


def control_prefix(wire: messages.WireFormat) -> str:
    """Return the key prefix of the planning leases.

    :param wire: defines the store's key prefixes.
    """
    return f"{wire.internal_prefix}control/"


def lease_key(wire: messages.WireFormat, failure_domain: str) -> str:
    """Return the key whose value is the node that plans a failure domain.

    :param wire: defines the store's key prefixes.
    :param failure_domain: the failure domain.
    """
    return f"{control_prefix(wire)}{failure_domain}"


class DomainLease:
    """Lease that elects the node which plans a failure domain.

    :param key: key in the store.
    :param node: name of this node.
    :param store: the platform's store.
    :param eras: the newest era of the store that this node has learned of.
    """

    def __init__(
        self,
        key: str,
        node: str,
        store: messages.Store,
        eras: metadata.EraTracker,
    ) -> None:
        self._eras = eras
        self._key = key
        self._node = node
        self._store = store
        self._lease: metadata.Lease | None = None
        self._held_until = float("-inf")

    @property
    def is_lost(self) -> bool:
        """Whether the lease is not acquired, or lost as the store reports."""
        return self._lease is None or self._is_lapsed

    @property
    def is_held(self) -> bool:
        """Whether this node is certain to hold the lease."""
        return not self.is_lost and clocks.boot_time() < self._held_until

    @property
    def _is_lapsed(self) -> bool:
        """Whether the store has been restored since the lease was granted."""
        latest = max(self._eras.latest, self._store.latest_era)
        return self._lease.era < latest

    def former_lease_left_s(self, learned_at: float, now: float) -> float:
        """Return for how many seconds a lease of an older era may be held.

        :param learned_at: time in seconds, including time while suspended, at
            which this node learned of the present era.
        :param now: the time now, of the same clock.
        """
        was_own = self._lease is not None and learned_at < self._held_until
        if was_own:
            return 0.0
        return max(0.0, learned_at + LEASE_TTL_S - now)

    async def acquire(self) -> metadata.WriteResult:
        """Try to acquire the lease.

        :returns: ``Written`` if it was acquired.
        """
        requested_at = clocks.boot_time()
        granted = await self._store.grant_lease(LEASE_TTL_S)
        if isinstance(granted, metadata.Unavailable):
            return granted
        if granted.era != self._eras.latest:
            # The holder of an older era may not know of this one yet.
            await self._store.end_lease(granted)
            return metadata.Unavailable(metadata.LAPSED)
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
            _LOG.info("lost planning lease", extra={"lease": self._key})
            if self._is_lapsed:
                return
            self._lease = None
            self._held_until = float("-inf")
        elif isinstance(renewed, metadata.Lease):
            self._held_until = requested_at + renewed.ttl_s

    async def release(self) -> None:
        """Release the lease."""
        if self._lease is not None:
            ended = self._lease
            self._lease = None
            self._held_until = float("-inf")
            await self._store.end_lease(ended)

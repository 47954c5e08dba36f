"""Client of the store's stand-in that needs no network."""

import base64
import functools

import trio

from wasabilanding import metadata

LATENCY_S = 0.004


def _item(key, stored):
    value = base64.b64decode(stored.value)
    return metadata.Item(key, value, stored.revision)


class PausedClock:
    """The store's clock, which stops while the store is unreachable."""

    def __init__(self):
        self._stopped_at = None
        self._stopped_s = 0.0

    def __call__(self):
        """Return the time in seconds."""
        now = self._stopped_at or trio.current_time()
        return now - self._stopped_s

    @property
    def is_stopped(self):
        """Whether the store is unreachable."""
        return self._stopped_at is not None

    def stop(self):
        """Make the store unreachable."""
        self._stopped_at = trio.current_time()

    def resume(self):
        """Make the store reachable again."""
        self._stopped_s += trio.current_time() - self._stopped_at
        self._stopped_at = None


class Unreachable(Exception):
    """The store is unreachable."""


def _return_unavailable(call):
    @functools.wraps(call)
    async def answer(*arguments, **named):
        try:
            return await call(*arguments, **named)
        except Unreachable:
            return metadata.Unavailable("away")

    return answer


class MemoryStore:
    """One node's client of the store.

    :param store: the store that all nodes share.
    :param clock: whether the store is unreachable; None for never.
    """

    def __init__(self, store, clock=None):
        self._store = store
        self._clock = clock
        self.calls = 0

    async def _simulate_call(self):
        self.calls += 1
        await trio.sleep(LATENCY_S)
        if self._clock is not None and self._clock.is_stopped:
            raise Unreachable

    @_return_unavailable
    async def read_all(self, prefix):
        """Read all items under a prefix."""
        await self._simulate_call()
        items = self._store.items(prefix).items()
        found = tuple(_item(key, stored) for key, stored in items)
        return metadata.Listing(found, self._store.revision)

    @_return_unavailable
    async def watch(self, prefix, after, wait_s, is_probe=False):
        """Wait for changes under a prefix."""
        await self._simulate_call()
        found = await self._store.wait_changes(prefix, after, wait_s)
        if found is None:
            return metadata.HistoryLost()
        events = tuple(
            _item(one.key, one.stored)
            if one.stored
            else metadata.Removal(one.key, one.revision)
            for one in found
        )
        return metadata.Changes(events, self._store.revision)

    @_return_unavailable
    async def create(self, key, value, lease):
        """Write a key if it does not exist."""
        await self._simulate_call()
        text = base64.b64encode(value).decode()
        stored = self._store.put(key, text, 0, lease.lease_id)
        if stored is None:
            return metadata.Conflict(0)
        return metadata.Written(stored.revision)

    @_return_unavailable
    async def grant_lease(self, ttl_s):
        """Request a lease."""
        await self._simulate_call()
        return metadata.Lease(self._store.grant(ttl_s), ttl_s)

    @_return_unavailable
    async def renew_lease(self, lease):
        """Renew a lease."""
        await self._simulate_call()
        if self._store.renew(lease.lease_id) is None:
            return metadata.Missing(lease.lease_id)
        return lease

    @_return_unavailable
    async def end_lease(self, lease):
        """Revoke a lease."""
        await self._simulate_call()
        self._store.revoke(lease.lease_id)

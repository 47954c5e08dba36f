"""The stand-in of the platform's store, called without a network."""

import base64
import functools

import trio

from wasabilanding import metadata

LATENCY_S = 0.004


def _item(key, stored):
    value = base64.b64decode(stored.value)
    return metadata.Item(key, value, stored.revision)


class PausedClock:
    """The store's clock, which stops while the store is away."""

    def __init__(self):
        self._stopped_at = None
        self._lost_s = 0.0

    def __call__(self):
        """Return the time in seconds."""
        now = self._stopped_at or trio.current_time()
        return now - self._lost_s

    @property
    def is_stopped(self):
        """Whether the store is away."""
        return self._stopped_at is not None

    def stop(self):
        """Let the store go away."""
        self._stopped_at = trio.current_time()

    def go_on(self):
        """Let the store come back."""
        self._lost_s += trio.current_time() - self._stopped_at
        self._stopped_at = None


class Away(Exception):
    """The store does not answer."""


def _unavailable_when_away(call):
    @functools.wraps(call)
    async def answer(*arguments, **named):
        try:
            return await call(*arguments, **named)
        except Away:
            return metadata.Unavailable("away")

    return answer


class MemoryStore:
    """How one node calls the store.

    :param store: the store that all nodes share.
    :param clock: tells whether it is away; None for never.
    """

    def __init__(self, store, clock=None):
        self._store = store
        self._clock = clock
        self.calls = 0

    async def _travel(self):
        self.calls += 1
        await trio.sleep(LATENCY_S)
        if self._clock is not None and self._clock.is_stopped:
            raise Away

    @_unavailable_when_away
    async def read_all(self, prefix):
        """Read all items under a prefix."""
        await self._travel()
        items = self._store.items(prefix).items()
        found = tuple(_item(key, stored) for key, stored in items)
        return metadata.Listing(found, self._store.revision)

    @_unavailable_when_away
    async def watch(self, prefix, after, wait_s, is_probe=False):
        """Wait for changes under a prefix."""
        await self._travel()
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

    @_unavailable_when_away
    async def create(self, key, value, lease):
        """Write a key that does not exist."""
        await self._travel()
        text = base64.b64encode(value).decode()
        stored = self._store.put(key, text, 0, lease.lease_id)
        if stored is None:
            return metadata.Conflict(0)
        return metadata.Written(stored.revision)

    @_unavailable_when_away
    async def grant_lease(self, ttl_s):
        """Ask for a lease."""
        await self._travel()
        return metadata.Lease(self._store.grant(ttl_s), ttl_s)

    @_unavailable_when_away
    async def renew_lease(self, lease):
        """Renew a lease."""
        await self._travel()
        if self._store.renew(lease.lease_id) is None:
            return metadata.Missing(lease.lease_id)
        return lease

    @_unavailable_when_away
    async def end_lease(self, lease):
        """Give a lease back."""
        await self._travel()
        self._store.revoke(lease.lease_id)

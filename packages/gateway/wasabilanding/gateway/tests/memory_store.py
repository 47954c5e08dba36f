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


def _answer(call):
    """Let a call fail while the store is unreachable, or be answered late.

    Like a client of the real store, drop an answer of an older era than one
    that has been received before.
    """

    @functools.wraps(call)
    async def answer(client, *arguments, **named):
        try:
            found = await call(client, *arguments, **named)
        except Unreachable:
            return metadata.Unavailable("away")
        era = client.store_era
        await trio.sleep(client.answer_delay_s())
        client.eras.note(era)
        if client.eras.is_older(era):
            return DROPPED[call.__name__]
        return found

    return answer


DROPPED = {
    "read_all": metadata.Unavailable("late"),
    "watch": metadata.Unavailable("late"),
    "create": metadata.Unknown("late"),
    "replace": metadata.Unknown("late"),
    "remove": metadata.Unknown("late"),
    "put_all": metadata.Unknown("late"),
    "grant_lease": metadata.Unavailable("late"),
    "renew_lease": metadata.Unavailable("late"),
    "end_lease": None,
}


class MemoryStore:
    """One node's client of the store.

    :param store: the store that all nodes share.
    :param clock: whether the store is unreachable; None for never.
    :param answer_delay_s: returns the seconds that an answer takes.
    """

    def __init__(self, store, clock=None, answer_delay_s=lambda: 0.0):
        self._store = store
        self._clock = clock
        self.answer_delay_s = answer_delay_s
        self.eras = metadata.EraTracker()
        self.calls = 0
        self.listings = 0

    @property
    def latest_era(self):
        """Newest era of the store that an answer has stated."""
        return self.eras.latest

    @property
    def store_era(self):
        """Era of the store."""
        return self._store.era

    async def _simulate_call(self):
        self.calls += 1
        await trio.sleep(LATENCY_S)
        if self._clock is not None and self._clock.is_stopped:
            raise Unreachable

    @_answer
    async def read_all(self, prefix):
        """Read all items under a prefix."""
        self.listings += 1
        await self._simulate_call()
        items = self._store.items(prefix).items()
        found = tuple(_item(key, stored) for key, stored in items)
        return metadata.Listing(found, self._store.revision, self._store.era)

    @_answer
    async def watch(self, prefix, after, wait_s, is_probe=False):
        """Wait for changes under a prefix."""
        await self._simulate_call()
        found = await self._store.wait_changes(prefix, after, wait_s)
        if found is None:
            return metadata.HistoryLost(self._store.era)
        events = tuple(
            _item(one.key, one.stored)
            if one.stored
            else metadata.Removal(one.key, one.revision)
            for one in found
        )
        return metadata.Changes(events, self._store.revision, self._store.era)

    @_answer
    async def create(self, key, value, lease):
        """Write a key if it does not exist."""
        return await self._put(key, value, 0, lease)

    @_answer
    async def replace(self, key, value, revision, lease):
        """Write a key if it has a revision."""
        return await self._put(key, value, revision, lease)

    @_answer
    async def remove(self, key, revision):
        """Remove a key if it has a revision."""
        await self._simulate_call()
        expected = {key: revision}
        if not self._store.write_all({}, expected=expected, removed=(key,)):
            return metadata.Conflict(0)
        return metadata.Written(self._store.revision, self._store.era)

    async def _put(self, key, value, revision, lease):
        if lease.era < self.latest_era:
            return metadata.Unavailable(metadata.LAPSED)
        await self._simulate_call()
        text = base64.b64encode(value).decode()
        stored = self._store.put(key, text, revision, lease.lease_id)
        if stored is None:
            return metadata.Conflict(0)
        if self._store.era != lease.era:
            return metadata.Unknown(metadata.LAPSED)
        return metadata.Written(stored.revision, self._store.era)

    @_answer
    async def put_all(self, items, lease):
        """Write keys regardless of their current values."""
        if lease.era < self.latest_era:
            return metadata.Unavailable(metadata.LAPSED)
        await self._simulate_call()
        values = {
            key: base64.b64encode(value).decode()
            for key, value in items.items()
        }
        if not self._store.write_all(values, lease.lease_id):
            return metadata.Unavailable("no lease")
        if self._store.era != lease.era:
            return metadata.Unknown(metadata.LAPSED)
        return metadata.Written(self._store.revision, self._store.era)

    @_answer
    async def grant_lease(self, ttl_s):
        """Request a lease."""
        await self._simulate_call()
        lease_id = self._store.grant(ttl_s)
        return metadata.Lease(lease_id, ttl_s, self._store.era)

    @_answer
    async def renew_lease(self, lease):
        """Renew a lease."""
        if lease.era < self.latest_era:
            return metadata.Missing(lease.lease_id)
        await self._simulate_call()
        renewed = self._store.renew(lease.lease_id)
        if renewed is None or self._store.era != lease.era:
            return metadata.Missing(lease.lease_id)
        return lease

    @_answer
    async def end_lease(self, lease):
        """Revoke a lease."""
        if lease.era < self.latest_era:
            return
        await self._simulate_call()
        self._store.revoke(lease.lease_id)

"""Key-value store with compare-and-swap, leases and watches."""

import collections
import collections.abc
import dataclasses

import trio

MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True)
class Stored:
    """A value in the store.

    :param value: the text.
    :param revision: revision at which it was written.
    :param lease_id: lease whose end removes it, empty for none.
    """

    value: str
    revision: int
    lease_id: str = ""


@dataclasses.dataclass
class _Lease:
    ttl_s: float
    expires_at: float


class Store:
    """The store's state; time is trio's clock.

    :param clock: returns the time in seconds.
    """

    def __init__(
        self,
        clock: collections.abc.Callable[[], float] = trio.current_time,
    ) -> None:
        self._clock = clock
        self._values: dict[str, Stored] = {}
        self._leases: dict[str, _Lease] = {}
        self._lease_count = 0
        self._changed = trio.Event()
        self.revision = 0
        self.calls: collections.Counter[str] = collections.Counter()

    def get(self, key: str) -> Stored | None:
        """Return the value under a key.

        :param key: the key.
        """
        self._expire()
        return self._values.get(key)

    def put(
        self, key: str, value: str, expected: int, lease_id: str = ""
    ) -> Stored | None:
        """Write by compare-and-swap.

        :param key: the key.
        :param value: the text.
        :param expected: revision that must stand; 0 for none.
        :param lease_id: lease to tie the key to.
        :returns: what was stored, or None on a conflict.
        """
        self._expire()
        standing = self._values.get(key)
        if (standing.revision if standing else 0) != expected:
            return None
        if lease_id and lease_id not in self._leases:
            return None
        self.revision += 1
        self._values[key] = Stored(value, self.revision, lease_id)
        self._notify()
        return self._values[key]

    async def wait_above(
        self, key: str, after: int, timeout_s: float
    ) -> Stored | None:
        """Wait for a revision of a key above the given one.

        :param key: the key.
        :param after: revision that is already known.
        :param timeout_s: longest wait in seconds.
        """
        with trio.move_on_after(timeout_s):
            while True:
                standing = self.get(key)
                if standing and standing.revision > after:
                    return standing
                await self._changed.wait()
        return None

    def grant(self, ttl_s: float) -> str:
        """Grant a lease.

        :param ttl_s: time to live in seconds.
        :returns: its identity.
        """
        self._lease_count += 1
        lease_id = f"lease-{self._lease_count}"
        self._leases[lease_id] = _Lease(ttl_s, self._clock() + ttl_s)
        return lease_id

    def renew(self, lease_id: str) -> float | None:
        """Renew a lease.

        :param lease_id: its identity.
        :returns: its time to live, or None when it has lapsed.
        """
        self._expire()
        lease = self._leases.get(lease_id)
        if lease is None:
            return None
        lease.expires_at = self._clock() + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: str) -> None:
        """End a lease and remove its keys.

        :param lease_id: its identity.
        """
        self._leases.pop(lease_id, None)
        for key in list(self._values):
            if self._values[key].lease_id == lease_id:
                del self._values[key]
                self.revision += 1
        self._notify()

    def _expire(self) -> None:
        now = self._clock()
        lapsed = [i for i, x in self._leases.items() if x.expires_at <= now]
        for lease_id in lapsed:
            self.revoke(lease_id)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

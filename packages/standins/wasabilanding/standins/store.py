"""Key-value store with compare-and-swap, leases, watches and a history."""

import collections
import collections.abc
import dataclasses

import trio

MAX_VALUE_BYTES = 1_000_000
# Changes that a watch can still be told of.
HISTORY_SIZE = 10_000


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


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of the store.

    :param key: the key.
    :param revision: revision that it made.
    :param stored: what was written; None when the key was removed.
    """

    key: str
    revision: int
    stored: Stored | None


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
        self._history: collections.deque[Change] = collections.deque(
            maxlen=HISTORY_SIZE
        )
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
        current = self._values.get(key)
        if (current.revision if current else 0) != expected:
            return None
        if lease_id and lease_id not in self._leases:
            return None
        self.revision += 1
        stored = Stored(value, self.revision, lease_id)
        self._values[key] = stored
        self._history.append(Change(key, self.revision, stored))
        self._notify()
        return stored

    def write_all(
        self,
        values: collections.abc.Mapping[str, str],
        lease_id: str = "",
        absent: collections.abc.Iterable[str] = (),
    ) -> bool:
        """Write keys together, whatever they hold.

        :param values: texts by key.
        :param lease_id: lease to tie the keys to.
        :param absent: keys that must not exist.
        :returns: whether they were written.
        """
        self._expire()
        if lease_id and lease_id not in self._leases:
            return False
        if any(key in self._values for key in absent):
            return False
        for key, value in values.items():
            current = self._values.get(key)
            expected = current.revision if current else 0
            self.put(key, value, expected, lease_id)
        return True

    def remove(self, key: str) -> None:
        """Remove a key.

        :param key: the key.
        """
        if self._values.pop(key, None) is None:
            return
        self.revision += 1
        self._history.append(Change(key, self.revision, None))
        self._notify()

    def items(self, prefix: str) -> dict[str, Stored]:
        """Return the values under a prefix, by key.

        :param prefix: the prefix.
        """
        self._expire()
        return {
            key: stored
            for key, stored in self._values.items()
            if key.startswith(prefix)
        }

    def changes(self, prefix: str, after: int) -> list[Change] | None:
        """Return the changes under a prefix since a revision.

        :param prefix: the prefix.
        :param after: revision that is already known.
        :returns: None when the history does not reach so far back.
        """
        self._expire()
        oldest = self._history[0].revision if self._history else 0
        if after + 1 < oldest:
            return None
        return [
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        ]

    async def wait_changes(
        self, prefix: str, after: int, timeout_s: float
    ) -> list[Change] | None:
        """Wait for changes under a prefix.

        :param prefix: the prefix.
        :param after: revision that is already known.
        :param timeout_s: longest wait in seconds.
        :returns: none when the time is over; None when the history does not
            reach so far back.
        """
        with trio.move_on_after(timeout_s):
            while True:
                found = self.changes(prefix, after)
                if found is None or found:
                    return found
                await self._changed.wait()
        return []

    async def wait_newer(
        self, key: str, after: int, timeout_s: float
    ) -> Stored | None:
        """Wait for a revision of a key above the given one.

        :param key: the key.
        :param after: revision that is already known.
        :param timeout_s: longest wait in seconds.
        """
        with trio.move_on_after(timeout_s):
            while True:
                current = self.get(key)
                if current and current.revision > after:
                    return current
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
                self.remove(key)

    def _expire(self) -> None:
        now = self._clock()
        lapsed = [i for i, x in self._leases.items() if x.expires_at <= now]
        for lease_id in lapsed:
            self.revoke(lease_id)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

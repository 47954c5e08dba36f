"""Key-value store with compare-and-swap, leases, watches and a history."""

import collections
import collections.abc
import dataclasses

import trio

MAX_VALUE_BYTES = 1_000_000
# Number of past changes that a watch can start from.
HISTORY_SIZE = 10_000


@dataclasses.dataclass(frozen=True)
class Stored:
    """A value in the store.

    :param value: the text.
    :param revision: revision at which it was written.
    :param lease_id: lease whose expiry removes it; empty for none.
    """

    value: str
    revision: int
    lease_id: str = ""


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of the store.

    :param key: the key.
    :param revision: revision that the change created.
    :param stored: the written value; None when the key was removed.
    """

    key: str
    revision: int
    stored: Stored | None


@dataclasses.dataclass
class _Lease:
    ttl_s: float
    expires_at: float


class Store:
    """In-memory key-value store.

    :param clock: returns the time in seconds; trio's clock by default.
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
        :param expected: revision that the key must have; 0 if it must not
            exist.
        :param lease_id: lease to attach the key to; empty for none.
        :returns: the stored value, or None on a conflict or an expired lease.
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
        """Write several keys atomically, whatever their revisions.

        :param values: texts by key.
        :param lease_id: lease to attach the keys to; empty for none.
        :param absent: keys that must not exist.
        :returns: whether the keys were written.
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
        """Return the changes under a prefix after a revision.

        :param prefix: the prefix.
        :param after: last revision that the caller has.
        :returns: the changes, or None when the history no longer holds them
            all.
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
        :param after: last revision that the caller has.
        :param timeout_s: maximum wait in seconds.
        :returns: the changes; an empty list on time-out; None when the
            history no longer holds all changes.
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
        """Wait for a revision of a key newer than the given one.

        :param key: the key.
        :param after: last revision that the caller has.
        :param timeout_s: maximum wait in seconds.
        :returns: the stored value, or None on time-out.
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
        :returns: lease ID.
        """
        self._lease_count += 1
        lease_id = f"lease-{self._lease_count}"
        self._leases[lease_id] = _Lease(ttl_s, self._clock() + ttl_s)
        return lease_id

    def renew(self, lease_id: str) -> float | None:
        """Renew a lease.

        :param lease_id: lease ID.
        :returns: time to live in seconds, or None when it has expired.
        """
        self._expire()
        lease = self._leases.get(lease_id)
        if lease is None:
            return None
        lease.expires_at = self._clock() + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: str) -> None:
        """Revoke a lease and remove its keys.

        :param lease_id: lease ID.
        """
        self._leases.pop(lease_id, None)
        for key in list(self._values):
            if self._values[key].lease_id == lease_id:
                self.remove(key)

    def _expire(self) -> None:
        now = self._clock()
        expired = [i for i, x in self._leases.items() if x.expires_at <= now]
        for lease_id in expired:
            self.revoke(lease_id)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

"""Key-value store with compare-and-swap, leases, watches and a history.

It can be restored from a copy of its recent past, as after a failure of the
platform: it then loses what was written since, gives revisions and leases out
again, and counts a new era.
"""

import collections
import collections.abc
import dataclasses

import trio

MAX_VALUE_BYTES = 1_000_000
# Number of past changes that a watch can start from.
HISTORY_SIZE = 10_000
# Number of past writes and lease calls that a restore can undo.
MAX_UNDONE = 100_000
FIRST_ERA = 1


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
        # Functions that undo what was done, each with its time.
        self._undo: collections.deque[
            tuple[float, collections.abc.Callable[[], None]]
        ] = collections.deque(maxlen=MAX_UNDONE)
        self.revision = 0
        self.era = FIRST_ERA
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
        self._record_value(key)
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
        expected: collections.abc.Mapping[str, int] | None = None,
        removed: collections.abc.Iterable[str] = (),
    ) -> bool:
        """Write and remove several keys atomically.

        :param values: texts by key.
        :param lease_id: lease to attach the keys to; empty for none.
        :param absent: keys that must not exist.
        :param expected: revisions that keys must have.
        :param removed: keys to remove.
        :returns: whether this was done; false on a conflict or an expired
            lease.
        """
        self._expire()
        if lease_id and lease_id not in self._leases:
            return False
        if any(key in self._values for key in absent):
            return False
        for key, revision in (expected or {}).items():
            current = self._values.get(key)
            if current is None or current.revision != revision:
                return False
        for key in removed:
            self.remove(key)
        for key, value in values.items():
            current = self._values.get(key)
            expected = current.revision if current else 0
            self.put(key, value, expected, lease_id)
        return True

    def remove(self, key: str) -> None:
        """Remove a key.

        :param key: the key.
        """
        if key not in self._values:
            return
        self._record_value(key)
        del self._values[key]
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
        :returns: the changes, or None when the history does not hold them
            all.
        """
        self._expire()
        if after > self.revision:
            return None
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
        self._record_leases()
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
        self._record_leases()
        lease.expires_at = self._clock() + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: str) -> None:
        """Revoke a lease and remove its keys.

        :param lease_id: lease ID.
        """
        if lease_id in self._leases:
            self._record_leases()
            del self._leases[lease_id]
        for key in list(self._values):
            if self._values[key].lease_id == lease_id:
                self.remove(key)

    def restore(self, age_s: float) -> None:
        """Replace the store by its copy; the leases in it go on from there.

        :param age_s: age of the copy in seconds.
        """
        copied_at = self._clock() - age_s
        while self._undo and self._undo[-1][0] > copied_at:
            self._undo.pop()[1]()
        while self._history and self._history[-1].revision > self.revision:
            self._history.pop()
        for lease in self._leases.values():
            lease.expires_at += age_s
        self.era += 1
        self._notify()

    def _record_value(self, key: str) -> None:
        """Record how to undo the next change of a key."""
        before = self._values.get(key)
        revision = self.revision

        def undo() -> None:
            self.revision = revision
            if before is None:
                self._values.pop(key, None)
            else:
                self._values[key] = before

        self._undo.append((self._clock(), undo))

    def _record_leases(self) -> None:
        """Record how to undo the next call that concerns a lease."""
        count = self._lease_count
        leases = {i: dataclasses.replace(x) for i, x in self._leases.items()}

        def undo() -> None:
            self._lease_count = count
            self._leases = leases

        self._undo.append((self._clock(), undo))

    def _expire(self) -> None:
        now = self._clock()
        expired = [i for i, x in self._leases.items() if x.expires_at <= now]
        for lease_id in expired:
            self.revoke(lease_id)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

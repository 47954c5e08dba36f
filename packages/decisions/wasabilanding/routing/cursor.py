"""Position in the cache events of each replica."""

import collections.abc

from wasabilanding.routing import prefix


class CacheCursor:
    """Round-robin polling of the replicas' cache events."""

    def __init__(self) -> None:
        self._sequences: dict[str, int] = {}
        self._round: list[str] = []

    def next_key(self, keys: collections.abc.Collection[str]) -> str | None:
        """Return the next replica to poll.

        :param keys: keys of the recorded replicas.
        :returns: key of the replica, or None if there are no replicas.

        Examples
        ========

        >>> from wasabilanding import routing
        >>> cursor = routing.CacheCursor()
        >>> [cursor.next_key(["a", "b"]) for _ in range(3)]
        ['a', 'b', 'a']
        """
        while self._round:
            key = self._round.pop()
            if key in keys:
                return key
        self._round = sorted(keys, reverse=True)
        self._sequences = {
            key: number
            for key, number in self._sequences.items()
            if key in keys
        }
        return self._round.pop() if self._round else None

    def after(self, key: str) -> int:
        """Return the number of the last event read from a replica.

        :param key: key of the replica.
        """
        return self._sequences.get(key, 0)

    def note(
        self, key: str, events: collections.abc.Sequence[prefix.CacheEvent]
    ) -> None:
        """Record the events read from a replica.

        :param key: key of the replica.
        :param events: the events in order.
        """
        if events:
            self._sequences[key] = events[-1].sequence

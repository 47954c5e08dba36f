"""Which replica's cache events to ask for next, and from where on."""

import collections.abc

from wasabilanding.routing import prefix


class CacheCursor:
    """Goes round all replicas and remembers what was read of each."""

    def __init__(self) -> None:
        self._sequences: dict[str, int] = {}
        self._round: list[str] = []

    def next_key(self, keys: collections.abc.Collection[str]) -> str | None:
        """Return the replica to ask next.

        :param keys: keys of the replicas that stand.
        :returns: its key, or None without replicas.

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
        """Return the last event that was read of a replica.

        :param key: key of the replica.
        """
        return self._sequences.get(key, 0)

    def note(
        self, key: str, events: collections.abc.Sequence[prefix.CacheEvent]
    ) -> None:
        """Note the events that were read of a replica.

        :param key: key of the replica.
        :param events: the events in order.
        """
        if events:
            self._sequences[key] = events[-1].sequence

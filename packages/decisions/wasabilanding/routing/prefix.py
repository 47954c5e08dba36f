"""Prompt prefixes that each replica is believed to have cached.

Explanation
===========

A prompt is split into blocks, and each block is identified by a hash chained
over all previous blocks, as in the paged caches of engines [1]_. An engine
evicts the end of a prompt before its beginning, so a cached block implies that
the preceding blocks are cached too, even if events about them were lost. The
view is bounded and discards the least recently used blocks.

References
==========

.. [1] W. Kwon et al., "Efficient Memory Management for Large Language Model
       Serving with PagedAttention", SOSP 2023.
"""

import collections
import collections.abc
import dataclasses
import hashlib
import typing

CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = 64
BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
MAX_BLOCKS = 64
HASH_BYTES = 6
MAX_ENTRIES = 50_000


def token_count(prompt: str) -> int:
    """Return the approximate number of tokens of a prompt.

    :param prompt: its text.
    """
    return len(prompt) // CHARACTERS_PER_TOKEN + 1


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Return the chained hashes of the complete blocks of a prompt.

    :param prompt: its text.
    :returns: at most :data:`MAX_BLOCKS` hashes in prompt order.

    Examples
    ========

    >>> from wasabilanding import routing
    >>> one = routing.block_hashes("menu " * 100 + "gel")
    >>> other = routing.block_hashes("menu " * 100 + "polish")
    >>> len(one), one == other
    (1, True)
    """
    count = min(MAX_BLOCKS, len(prompt) // BLOCK_CHARACTERS)
    hashes = []
    digest = b""
    for index in range(count):
        start = index * BLOCK_CHARACTERS
        text = prompt[start : start + BLOCK_CHARACTERS]
        digest = hashlib.blake2b(
            digest + text.encode(), digest_size=HASH_BYTES
        ).digest()
        hashes.append(int.from_bytes(digest, "big"))
    return tuple(hashes)


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """One change of an engine's cache, as published by the engine.

    :param sequence: number of the event, counted from 1.
    :param kind: stored or removed.
    :param block: chained hash of the block.
    :param at: the engine's time of the change in seconds.
    """

    sequence: int
    kind: typing.Literal["stored", "removed"]
    block: int
    at: float = 0.0


@dataclasses.dataclass(frozen=True)
class CacheEvents:
    """Cache events published by the leader of a replica.

    :param replica_id: identity of the replica.
    :param epoch: epoch of the replica; event numbers restart in each epoch.
    :param events: the events in order; some may be missing.
    """

    replica_id: str
    epoch: int
    events: tuple[CacheEvent, ...]


class PrefixView:
    """Blocks that a node believes each replica to have cached.

    :param max_entries: maximum number of pairs of a block and a replica.
    """

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._replicas: collections.OrderedDict[int, set[str]] = (
            collections.OrderedDict()
        )
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def store(
        self, replica: str, blocks: collections.abc.Iterable[int]
    ) -> None:
        """Record that a replica has cached blocks.

        :param replica: key of the replica.
        :param blocks: chained hashes.
        """
        for block in blocks:
            replicas = self._replicas.setdefault(block, set())
            if replica not in replicas:
                replicas.add(replica)
                self._count += 1
            self._replicas.move_to_end(block)
        while self._count > self._max_entries:
            _, replicas = self._replicas.popitem(last=False)
            self._count -= len(replicas)

    def remove(self, replica: str, block: int) -> None:
        """Record that a replica has evicted a block.

        :param replica: key of the replica.
        :param block: chained hash.
        """
        replicas = self._replicas.get(block, set())
        if replica in replicas:
            replicas.remove(replica)
            self._count -= 1
            if not replicas:
                del self._replicas[block]

    def apply(
        self, replica: str, events: collections.abc.Iterable[CacheEvent]
    ) -> None:
        """Apply the cache events of a replica; events may be missing.

        :param replica: key of the replica.
        :param events: the events in order.
        """
        for event in events:
            if event.kind == "stored":
                self.store(replica, (event.block,))
            else:
                self.remove(replica, event.block)

    def forget(self, replica: str) -> None:
        """Discard all blocks of a replica.

        :param replica: key of the replica.
        """
        for block in list(self._replicas):
            self.remove(replica, block)

    def match(self, blocks: collections.abc.Sequence[int]) -> dict[str, int]:
        """Return the number of leading blocks that each replica has cached.

        :param blocks: chained hashes of a prompt.
        :returns: numbers of blocks by key of the replica, in descending order.
        """
        found: dict[str, int] = {}
        for index in range(len(blocks), 0, -1):
            for replica in sorted(self._replicas.get(blocks[index - 1], ())):
                found.setdefault(replica, index)
        return found

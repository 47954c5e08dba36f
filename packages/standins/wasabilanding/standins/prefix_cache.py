"""Prefix cache of one engine, with delayed and lossy events.

Explanation
===========

The cache holds blocks of prompts by their chained hash and evicts the least
recently used block. Each change is an event with a sequence number. Events
are published after a delay, and every n-th event can be lost.
"""

import collections
import collections.abc
import typing

from wasabilanding import routing

EVENT_HISTORY_SIZE = 4096

EventKind = typing.Literal["stored", "removed"]


class PrefixCache:
    """Blocks that an engine has cached.

    :param max_blocks: maximum number of cached blocks.
    """

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[routing.CacheEvent] = (
            collections.deque(maxlen=EVENT_HISTORY_SIZE)
        )
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def match(self, blocks: collections.abc.Sequence[int]) -> int:
        """Return the number of leading blocks that are cached.

        :param blocks: chained hashes of a prompt.
        """
        for index, block in enumerate(blocks):
            if block not in self._blocks:
                return index
        return len(blocks)

    def store(self, blocks: collections.abc.Sequence[int], now: float) -> None:
        """Cache the blocks of a prompt and mark them as recently used.

        :param blocks: chained hashes of the prompt.
        :param now: time in seconds.
        """
        # The last block goes first, so that a prefix is evicted after the
        # blocks that follow it.
        for block in reversed(blocks):
            if block not in self._blocks:
                self._record("stored", block, now)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record("removed", evicted, now)

    def _record(self, kind: EventKind, block: int, now: float) -> None:
        self._sequence += 1
        self._events.append(
            routing.CacheEvent(self._sequence, kind, block, now)
        )

    def published(
        self, after: int, until: float, lost_every: int = 0
    ) -> tuple[routing.CacheEvent, ...]:
        """Return the published events in order of sequence number.

        :param after: last sequence number that the caller has.
        :param until: time up to which events are published, in seconds.
        :param lost_every: events whose sequence number is a multiple of this
            are lost; 0 for none.
        """
        found = []
        for event in reversed(self._events):
            if event.sequence <= after:
                break
            lost = lost_every and event.sequence % lost_every == 0
            if event.at <= until and not lost:
                found.append(event)
        return tuple(reversed(found))

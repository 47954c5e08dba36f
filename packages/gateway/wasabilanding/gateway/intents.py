"""Joins that planners have ordered, noted in the store before they are sent.

An order may be carried out seconds after it was sent, when its planner has
been replaced. The next planner must know which endpoints may still join a
replica, so that it does not let another replica of theirs serve meanwhile.
A note lasts longer than an order can be late.
"""

import collections.abc
import dataclasses

from wasabilanding import assembly
from wasabilanding.gateway import messages
from wasabilanding.gateway import own_items
from wasabilanding import metadata

NOTE_S = 20.0
# The store's bound on the writes of one transaction.
BATCH = 32


@dataclasses.dataclass(frozen=True)
class Note:
    """An ordered join.

    :param epoch: epoch of the replica.
    :param members: identities of its members.
    """

    epoch: int
    members: tuple[str, ...]


def pending_epochs(
    items: collections.abc.Mapping[str, metadata.Item], prefix: str
) -> dict[str, int]:
    """Return the highest epoch that each endpoint was told to join.

    :param items: the nodes' own keys.
    :param prefix: begin of the keys of notes.
    """
    pending: dict[str, int] = {}
    for note in own_items.documents(items, prefix, Note):
        for name in note.members:
            pending[name] = max(pending.get(name, 0), note.epoch)
    return pending


class IntentWriter:
    """Notes joins in the store.

    :param store: the platform's store.
    :param prefix: begin of the keys of notes.
    """

    def __init__(self, store: messages.Store, prefix: str) -> None:
        self._store = store
        self._prefix = prefix
        self._noted: set[str] = set()

    async def note(self, joins: list[assembly.Join]) -> set[str]:
        """Note joins and return the replicas whose joins may be sent.

        :param joins: the joins.
        """
        fresh = [join for join in joins if join.replica not in self._noted]
        for begin in range(0, len(fresh), BATCH):
            await self._write(fresh[begin : begin + BATCH])
        return {j.replica for j in joins if j.replica in self._noted}

    async def _write(self, joins: list[assembly.Join]) -> None:
        notes = {}
        for join in joins:
            names = tuple(one.endpoint_id for one in join.members)
            notes[f"{self._prefix}{join.replica}"] = Note(join.epoch, names)
        if await own_items.write(self._store, notes, NOTE_S):
            self._noted.update(join.replica for join in joins)

"""Records of join orders, written to the store before the orders are sent.

An order may be executed seconds after it was sent, when another node has
taken over planning. The new planner must know which endpoints may still join
a replica, so that it does not open another replica with them meanwhile.
Records outlive the longest possible delay of an order.
"""

import collections.abc
import dataclasses

from wasabilanding import assembly
from wasabilanding.gateway import internal_documents
from wasabilanding.gateway import messages
from wasabilanding import metadata

INTENT_TTL_S = 20.0
# The store's limit on the writes of one transaction.
MAX_TRANSACTION_WRITES = 32


@dataclasses.dataclass(frozen=True)
class JoinIntent:
    """Record of a join order.

    :param epoch: epoch of the replica.
    :param members: identities of the replica's members.
    """

    epoch: int
    members: tuple[str, ...]


def pending_epochs(
    items: collections.abc.Mapping[str, metadata.Item], prefix: str
) -> dict[str, int]:
    """Return the highest epoch that each endpoint was ordered to join.

    :param items: the nodes' internal items.
    :param prefix: key prefix of the records.
    """
    pending: dict[str, int] = {}
    for intent in internal_documents.documents(items, prefix, JoinIntent):
        for name in intent.members:
            pending[name] = max(pending.get(name, 0), intent.epoch)
    return pending


class IntentWriter:
    """Records join orders in the store.

    :param store: the platform's store.
    :param prefix: key prefix of the records.
    """

    def __init__(self, store: messages.Store, prefix: str) -> None:
        self._store = store
        self._prefix = prefix
        self._recorded_replicas: set[str] = set()

    async def record(self, joins: list[assembly.Join]) -> set[str]:
        """Record joins and return the replicas whose joins may be sent.

        :param joins: the joins.
        """
        unrecorded = [
            join
            for join in joins
            if join.replica not in self._recorded_replicas
        ]
        for start in range(0, len(unrecorded), MAX_TRANSACTION_WRITES):
            await self._write(
                unrecorded[start : start + MAX_TRANSACTION_WRITES]
            )
        return {
            j.replica for j in joins if j.replica in self._recorded_replicas
        }

    async def _write(self, joins: list[assembly.Join]) -> None:
        intents = {}
        for join in joins:
            names = tuple(endpoint.endpoint_id for endpoint in join.members)
            intents[f"{self._prefix}{join.replica}"] = JoinIntent(
                join.epoch, names
            )
        if await internal_documents.write(self._store, intents, INTENT_TTL_S):
            self._recorded_replicas.update(join.replica for join in joins)

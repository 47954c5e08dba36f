"""Records of join orders, written to the store before the orders are sent.

An order may be executed seconds after it was sent, when another node has
taken over planning. The new planner must know which endpoints may still join
a replica, so that it does not open another replica with them meanwhile.
Records outlive the longest possible delay of an order. If the store is
restored from a copy without them, their writer writes them again.
"""

import collections.abc
import dataclasses
import typing

import trio

from wasabilanding import assembly
from wasabilanding.gateway import internal_documents
from wasabilanding.gateway import messages
from wasabilanding import metadata
from wasabilanding import model

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


@dataclasses.dataclass(frozen=True)
class _Written:
    """A record in the store.

    :param intent: its content.
    :param era: era of the store in which it was written.
    :param expires_at: local monotonic time in seconds at which it ends.
    """

    intent: JoinIntent
    era: model.Era
    expires_at: float


class IntentWriter:
    """Records join orders in the store.

    :param store: the platform's store.
    :param prefix: key prefix of the records.
    :param eras: the newest era of the store that this node has learned of.
    """

    def __init__(
        self,
        store: messages.Store,
        prefix: str,
        eras: metadata.EraTracker,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._eras = eras
        self._recorded_replicas: set[str] = set()
        # Unexpired records, by key.
        self._written: dict[str, _Written] = {}
        self._is_recorded = trio.Event()

    async def record(self, joins: list[assembly.Join]) -> set[str]:
        """Record joins and return the replicas whose joins may be sent.

        :param joins: the joins.
        """
        unrecorded = [
            join
            for join in joins
            if join.replica not in self._recorded_replicas
        ]
        for batch in _batches(unrecorded):
            await self._write(batch)
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
        if await self._put(intents):
            self._recorded_replicas.update(join.replica for join in joins)

    async def _put(self, intents: dict[str, JoinIntent]) -> bool:
        written_at = trio.current_time()
        lease = await internal_documents.write(
            self._store, intents, INTENT_TTL_S
        )
        if lease is None:
            return False
        for key, intent in intents.items():
            self._written[key] = _Written(
                intent, lease.era, written_at + INTENT_TTL_S
            )
        self._is_recorded.set()
        return True

    async def wait_recorded(self) -> None:
        """Wait until there is an unexpired record."""
        if not self._written:
            self._is_recorded = trio.Event()
            await self._is_recorded.wait()

    async def rewrite_lost(self) -> None:
        """Write the records again that a restore of the store has lost."""
        now = trio.current_time()
        self._written = {
            key: written
            for key, written in self._written.items()
            if written.expires_at > now
        }
        lost = {
            key: written.intent
            for key, written in self._written.items()
            if self._eras.is_older(written.era)
        }
        for keys in _batches(list(lost)):
            await self._put({key: lost[key] for key in keys})


def _batches(
    values: list[typing.Any],
) -> collections.abc.Iterator[list[typing.Any]]:
    """Yield the values in batches of one transaction."""
    for start in range(0, len(values), MAX_TRANSACTION_WRITES):
        yield values[start : start + MAX_TRANSACTION_WRITES]

"""Membership table with gossip-style failure detection.

Explanation
===========

A node has a name from its settings, an incarnation, which grows with each
start, and a heartbeat counter, which only the node itself increments [1]_. An
update is accepted only if the pair of incarnation and heartbeat rises, so old
gossip about a dead node never makes it look alive. These time limits count
from the last accepted update:

``SUSPECT_AFTER_S``
    the node no longer counts as live and is no longer gossiped about.
    ``REMOTE_SUSPECT_AFTER_S`` applies to nodes of other failure domains.
``FORGET_AFTER_S``
    it is removed from the table. Its last version is kept as a tombstone, so
    that late gossip about it is recognised.
``LEFT_TOMBSTONE_S``
    the tombstone of a node that announced its shutdown is removed.
``LOST_TOMBSTONE_S``
    the tombstone of any other node is removed. Until then its address is
    tried at intervals, which heals long partitions.

A node that receives its own name with a higher incarnation, for instance
because its clock was set back before a restart, takes the next higher one
[2]_.

References
==========

.. [1] R. van Renesse, Y. Minsky and M. Hayden, "A gossip-style failure
       detection service", Middleware 1998.
.. [2] A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent
       infection-style process group membership protocol", DSN 2002.
"""

import collections.abc
import dataclasses
import functools
import zlib

SUSPECT_AFTER_S = 3.0
# Updates about nodes of other failure domains arrive at a lower rate.
REMOTE_SUSPECT_AFTER_S = 10.0
FORGET_AFTER_S = 20.0
LEFT_TOMBSTONE_S = 120.0
LOST_TOMBSTONE_S = 900.0


@dataclasses.dataclass(frozen=True)
class Node:
    """Member of the cluster.

    :param name: name from its settings.
    :param incarnation: number that grows with each start.
    :param failure_domain: its failure domain.
    :param address: host and port that its peers call.
    :param leaving: whether it is shutting down.
    :param updated_at: local monotonic time of the last update about it, in
        seconds.
    :param heartbeat: counter that only the node itself increments.
    """

    name: str
    incarnation: int
    failure_domain: str
    address: str
    leaving: bool = False
    updated_at: float = 0.0
    heartbeat: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """Incarnation and heartbeat, which order updates about a node."""
        return (self.incarnation, self.heartbeat)


@functools.lru_cache(maxsize=100_000)
def _key(name: str, incarnation: int, leaving: bool) -> int:
    return zlib.crc32(f"{name}/{incarnation}/{leaving}".encode())


def node_key(node: Node) -> int:
    """Return the 32-bit key that identifies a node in heartbeats.

    It changes with the incarnation and with ``leaving``, so that a peer that
    missed either change can't resolve it and requests the full state.

    :param node: the node.
    """
    return _key(node.name, node.incarnation, node.leaving)


def _merge(known: Node, update: Node) -> Node:
    # Within one incarnation ``leaving`` is never reset.
    leaving = update.leaving or (
        known.leaving and known.incarnation == update.incarnation
    )
    return dataclasses.replace(update, leaving=leaving)


class MemberTable:
    """The nodes that this node knows of, itself included.

    :param own: this node.
    """

    def __init__(self, own: Node) -> None:
        self._own = own
        self._others: dict[str, Node] = {}
        self._keys: dict[int, str] = {}
        self._forgotten: dict[str, Node] = {}

    @property
    def own(self) -> Node:
        """This node."""
        return self._own

    @property
    def others(self) -> tuple[Node, ...]:
        """All other nodes, by name."""
        return tuple(self._others[name] for name in sorted(self._others))

    @property
    def lost_addresses(self) -> tuple[str, ...]:
        """Addresses of removed nodes that did not announce a shutdown."""
        lost = {n.address for n in self._forgotten.values() if not n.leaving}
        return tuple(sorted(lost - {n.address for n in self.others}))

    def leave(self) -> None:
        """Mark this node as shutting down."""
        self._own = dataclasses.replace(self._own, leaving=True)

    def increment_heartbeat(self, now: float) -> None:
        """Increment this node's heartbeat.

        :param now: local monotonic time in seconds.
        """
        self._own = dataclasses.replace(
            self._own, heartbeat=self._own.heartbeat + 1, updated_at=now
        )

    def learn(self, node: Node) -> bool:
        """Merge an update about a node.

        :param node: the update; its ``updated_at`` is local.
        :returns: whether it is newer than the known version.
        """
        if node.name == self._own.name:
            self._outrank_own_incarnation(node)
            return False
        forgotten = self._forgotten.get(node.name)
        if forgotten and node.version <= forgotten.version:
            return False
        known = self._others.get(node.name)
        if known is None:
            self._store(node)
            return True
        if node.version > known.version:
            self._store(_merge(known, node))
            return True
        if node.incarnation == known.incarnation and node.leaving:
            return self._note_leaving(known)
        return False

    def _outrank_own_incarnation(self, update: Node) -> None:
        if update.incarnation > self._own.incarnation:
            self._own = dataclasses.replace(
                self._own, incarnation=update.incarnation + 1
            )

    def _note_leaving(self, known: Node) -> bool:
        if known.leaving:
            return False
        self._store(dataclasses.replace(known, leaving=True))
        return True

    def _store(self, node: Node) -> None:
        known = self._others.get(node.name)
        if known:
            self._keys.pop(node_key(known), None)
        self._others[node.name] = node
        self._keys[node_key(node)] = node.name
        self._forgotten.pop(node.name, None)

    def learn_heartbeat(
        self, key: int, heartbeat: int, updated_at: float
    ) -> bool:
        """Merge the heartbeat of a node.

        :param key: key of the node.
        :param heartbeat: value of its counter.
        :param updated_at: local monotonic time of the update, in seconds.
        :returns: whether the key could be resolved.
        """
        if key == node_key(self._own):
            return True
        name = self._keys.get(key)
        if name is None:
            return False
        known = self._others[name]
        if heartbeat > known.heartbeat:
            self._others[name] = dataclasses.replace(
                known,
                heartbeat=heartbeat,
                updated_at=max(known.updated_at, updated_at),
            )
        return True

    def resolve(self, key: int) -> Node | None:
        """Return the node with a key.

        :param key: key of the node.
        """
        if key == node_key(self._own):
            return self._own
        name = self._keys.get(key)
        return self._others[name] if name else None

    def forget(self, now: float) -> None:
        """Remove expired nodes and tombstones.

        :param now: local monotonic time in seconds.
        """
        for node in tuple(self._others.values()):
            if now - node.updated_at > FORGET_AFTER_S:
                del self._others[node.name]
                self._keys.pop(node_key(node), None)
                self._forgotten[node.name] = node
        for node in tuple(self._forgotten.values()):
            kept_s = LEFT_TOMBSTONE_S if node.leaving else LOST_TOMBSTONE_S
            if now - node.updated_at > kept_s:
                del self._forgotten[node.name]

    def is_recently_heard(self, node: Node, now: float) -> bool:
        """Tell whether there was a recent update about a node.

        :param node: the node.
        :param now: local monotonic time in seconds.
        """
        is_local = node.failure_domain == self._own.failure_domain
        bound_s = SUSPECT_AFTER_S if is_local else REMOTE_SUSPECT_AFTER_S
        return now - node.updated_at <= bound_s

    def live(
        self, now: float, failure_domain: str | None = None
    ) -> tuple[Node, ...]:
        """Return the live nodes, this one included.

        Other nodes that are shutting down are left out.

        :param now: local monotonic time in seconds.
        :param failure_domain: only nodes of this failure domain.
        """
        recent = [
            node
            for node in self._others.values()
            if not node.leaving and self.is_recently_heard(node, now)
        ]
        nodes = sorted([self._own, *recent], key=lambda node: node.name)
        return tuple(
            node
            for node in nodes
            if failure_domain in (None, node.failure_domain)
        )

    def gossip_entries(
        self, now: float, failure_domain: str
    ) -> collections.abc.Iterator[Node]:
        """Yield the nodes of a failure domain that are sent to peers.

        :param now: local monotonic time in seconds.
        :param failure_domain: the failure domain.
        """
        if failure_domain == self._own.failure_domain:
            yield self._own
        for node in self._others.values():
            if node.failure_domain != failure_domain:
                continue
            if self.is_recently_heard(node, now):
                yield node

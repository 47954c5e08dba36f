"""Table of nodes, kept by counted heartbeats.

Explanation
===========

A node is named by its settings and stamped with an incarnation, which grows
with each start, and with a heartbeat, which only the node itself counts up
[1]_. News counts as new only when the pair of both rises, so what others
repeat of a dead node never makes it look alive. Three bounds follow from the
time of the last rise:

``SUSPECT_AFTER_S``
    the node is no longer counted as live, and no longer told to others.
``FORGET_AFTER_S``
    it leaves the table. Its last version is kept for ``LEFT_TOMBSTONE_S``, so that
    late news of it is recognised.
``LOST_TOMBSTONE_S``
    its address is still tried now and then, which heals a long partition.

A node that hears of an earlier life of its own with a higher incarnation, as
after its clock was set back, takes the next one [2]_.

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
# Nodes of other failure domains are heard of at a lower rate.
REMOTE_SUSPECT_AFTER_S = 10.0
FORGET_AFTER_S = 20.0
LEFT_TOMBSTONE_S = 120.0
LOST_TOMBSTONE_S = 900.0


@dataclasses.dataclass(frozen=True)
class Node:
    """One of the system's own processes.

    :param name: name from its settings.
    :param incarnation: number that grows with each start.
    :param failure_domain: its failure domain.
    :param address: host and port for its peers.
    :param leaving: whether it is shutting down.
    :param heard_at: local monotonic time of the last news of it, seconds.
    :param heartbeat: count that the node itself raises.
    """

    name: str
    incarnation: int
    failure_domain: str
    address: str
    leaving: bool = False
    heard_at: float = 0.0
    heartbeat: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """What orders news of one node."""
        return (self.incarnation, self.heartbeat)


@functools.lru_cache(maxsize=100_000)
def _key(name: str, incarnation: int, leaving: bool) -> int:
    return zlib.crc32(f"{name}/{incarnation}/{leaving}".encode())


def node_key(node: Node) -> int:
    """Return the 32-bit key that stands for a node in heartbeats.

    It changes with the incarnation and with the notice to leave, so that a
    peer which misses either can't resolve it and asks for the whole state.

    :param node: the node.
    """
    return _key(node.name, node.incarnation, node.leaving)


def _merge(known: Node, news: Node) -> Node:
    # Within one incarnation the notice to leave is never taken back.
    leaving = news.leaving or (
        known.leaving and known.incarnation == news.incarnation
    )
    return dataclasses.replace(news, leaving=leaving)


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
        """Addresses of nodes that went without a notice to leave."""
        lost = {n.address for n in self._forgotten.values() if not n.leaving}
        return tuple(sorted(lost - {n.address for n in self.others}))

    def leave(self) -> None:
        """Note that this node is shutting down."""
        self._own = dataclasses.replace(self._own, leaving=True)

    def increment_heartbeat(self, now: float) -> None:
        """Count up this node's heartbeat.

        :param now: local monotonic time in seconds.
        """
        self._own = dataclasses.replace(
            self._own, heartbeat=self._own.heartbeat + 1, heard_at=now
        )

    def learn(self, node: Node) -> bool:
        """Merge news of another node.

        :param node: the news; its ``heard_at`` is local.
        :returns: whether it is newer than what was known.
        """
        if node.name == self._own.name:
            self._outrank_own_past(node)
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

    def _outrank_own_past(self, news: Node) -> None:
        if news.incarnation > self._own.incarnation:
            self._own = dataclasses.replace(
                self._own, incarnation=news.incarnation + 1
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
        self, key: int, heartbeat: int, heard_at: float
    ) -> bool:
        """Merge the heartbeat of a node.

        :param key: key of the node.
        :param heartbeat: its count.
        :param heard_at: local monotonic time of the news, seconds.
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
                heard_at=max(known.heard_at, heard_at),
            )
        return True

    def resolve(self, key: int) -> Node | None:
        """Return the node that a key stands for.

        :param key: key of the node.
        """
        if key == node_key(self._own):
            return self._own
        name = self._keys.get(key)
        return self._others[name] if name else None

    def forget(self, now: float) -> None:
        """Drop nodes that were not heard of for long.

        :param now: local monotonic time in seconds.
        """
        for node in tuple(self._others.values()):
            if now - node.heard_at > FORGET_AFTER_S:
                del self._others[node.name]
                self._keys.pop(node_key(node), None)
                self._forgotten[node.name] = node
        for node in tuple(self._forgotten.values()):
            kept_s = LEFT_TOMBSTONE_S if node.leaving else LOST_TOMBSTONE_S
            if now - node.heard_at > kept_s:
                del self._forgotten[node.name]

    def is_recently_heard(self, node: Node, now: float) -> bool:
        """Tell whether a node was heard of lately.

        :param node: the node.
        :param now: local monotonic time in seconds.
        """
        is_local = node.failure_domain == self._own.failure_domain
        bound_s = SUSPECT_AFTER_S if is_local else REMOTE_SUSPECT_AFTER_S
        return now - node.heard_at <= bound_s

    def live(
        self, now: float, failure_domain: str | None = None
    ) -> tuple[Node, ...]:
        """Return the nodes that were heard of lately, this one included.

        A node that is shutting down is not among them.

        :param now: local monotonic time in seconds.
        :param failure_domain: only nodes of this failure domain.
        """
        heard = [
            node
            for node in self._others.values()
            if not node.leaving and self.is_recently_heard(node, now)
        ]
        nodes = sorted([self._own, *heard], key=lambda node: node.name)
        return tuple(
            node
            for node in nodes
            if failure_domain in (None, node.failure_domain)
        )

    def gossip_entries(
        self, now: float, failure_domain: str
    ) -> collections.abc.Iterator[Node]:
        """Yield the nodes of a failure domain that others are told of.

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

"""Table of nodes, kept by heartbeats.

Explanation
===========

A node is named by its settings and stamped with an incarnation, which grows
with each start, so that news of an earlier life never hides a later one.
Work is shared among the live nodes of a failure domain by rendezvous hashing
[1]_: when a node goes, only its own share moves.

References
==========

.. [1] D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to
       increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import collections.abc
import dataclasses
import hashlib

SUSPECT_AFTER_S = 3.0


@dataclasses.dataclass(frozen=True)
class Node:
    """One of the system's own processes.

    :param name: name from its settings.
    :param incarnation: number that grows with each start.
    :param failure_domain: its failure domain.
    :param address: host and port for its peers.
    :param leaving: whether it is shutting down.
    :param heard_at: local monotonic time of the last news of it, seconds.
    """

    name: str
    incarnation: int
    failure_domain: str
    address: str
    leaving: bool = False
    heard_at: float = 0.0


class MemberTable:
    """The nodes that this node knows of, itself included."""

    def __init__(self, own: Node) -> None:
        self._own = own
        self._others: dict[str, Node] = {}

    @property
    def own(self) -> Node:
        """This node."""
        return self._own

    @property
    def others(self) -> tuple[Node, ...]:
        """All other nodes, by name."""
        return tuple(self._others[name] for name in sorted(self._others))

    def leave(self) -> None:
        """Note that this node is shutting down."""
        self._own = dataclasses.replace(self._own, leaving=True)

    def learn(self, node: Node) -> bool:
        """Merge news of another node.

        :param node: the news; its ``heard_at`` is local.
        :returns: whether it is newer than what was known.
        """
        if node.name == self._own.name:
            return False
        known = self._others.get(node.name)
        if known and (known.incarnation, known.heard_at) >= (
            node.incarnation,
            node.heard_at,
        ):
            return False
        self._others[node.name] = node
        return True

    def live(
        self, now: float, failure_domain: str | None = None
    ) -> tuple[Node, ...]:
        """Return the nodes that were heard of lately, this one included.

        :param now: local monotonic time in seconds.
        :param failure_domain: only nodes of this failure domain.
        """
        heard = [
            node
            for node in self.others
            if now - node.heard_at <= SUSPECT_AFTER_S and not node.leaving
        ]
        nodes = sorted([self._own, *heard], key=lambda node: node.name)
        return tuple(
            node
            for node in nodes
            if failure_domain in (None, node.failure_domain)
        )


def owner_of(key: str, names: collections.abc.Iterable[str]) -> str | None:
    """Return the node that a key falls to, by rendezvous hashing.

    :param key: the key.
    :param names: names of the live nodes.
    :returns: the owner, or None when there is no node.

    Examples
    ========

    >>> from wasabilanding import membership
    >>> membership.owner_of("vm-1", ["a", "b"]) in ("a", "b")
    True
    """

    def score(name: str) -> bytes:
        return hashlib.blake2b(f"{name}/{key}".encode()).digest()

    return max(names, key=score, default=None)

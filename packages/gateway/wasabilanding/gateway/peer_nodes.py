"""The other nodes that a node knows, and which of them collects hints.

Explanation
===========

Load pattern: 9 to hundreds of nodes. A few nodes of a failure domain send
hints to each other; many send to one of them, the collector, which is the
first by name that forwards them.
"""

from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import directory
from wasabilanding.gateway import messages
from wasabilanding.gateway import send_grants
from wasabilanding import poison

# Up to this number of nodes send hints to each other, without a collector.
MAX_MESH_NODES = 9
# A collector that forwards nothing for the timeout is skipped until the
# backoff, counted from the first hint sent to it, has passed.
COLLECTOR_TIMEOUT_S = 1.0
COLLECTOR_BACKOFF_S = 10.0

Address = tuple[str, int]


def needs_collector(nodes: int) -> bool:
    """Return whether the nodes of a failure domain send to a collector.

    :param nodes: number of nodes.
    """
    return nodes > MAX_MESH_NODES


class PeerNodes:
    """The other nodes, as their addresses in the store tell.

    :param node: name of this node.
    :param failure_domain: its failure domain.
    :param view: the node's view of the cluster.
    :param wire: defines the store's key prefixes.

    ``local`` has the addresses of the other nodes of this failure domain, by
    name; ``remote`` those of the others, by failure domain.
    """

    def __init__(
        self,
        node: str,
        failure_domain: str,
        view: cluster_view_module.ClusterView,
        wire: messages.WireFormat,
    ) -> None:
        self._node = node
        self._domain = failure_domain
        self._view = view
        self._prefix = directory.address_prefix(wire)
        self.local: dict[str, Address] = {}
        self.remote: dict[str, dict[str, Address]] = {}
        self._protocols: dict[str, int] = {}
        # Local monotonic times in seconds, by node.
        self._sending_since: dict[str, float] = {}
        self._received_at: dict[str, float] = {}

    def refresh(self) -> None:
        """Read the addresses in the node's view."""
        nodes = directory.decode_addresses(
            self._view.internal_items, self._prefix
        )
        by_domain: dict[str, dict[str, Address]] = {}
        for node in nodes:
            found = by_domain.setdefault(node.failure_domain, {})
            found[node.node] = (node.host, node.port)
        self.local = by_domain.pop(self._domain, {})
        self.local.pop(self._node, None)
        self.remote = by_domain
        self._protocols = {node.node: node.protocol for node in nodes}

    def by_domain(self) -> dict[str, dict[str, Address]]:
        """Return the addresses of the other nodes, by failure domain."""
        return {self._domain: self.local, **self.remote}

    def address_of(self, node: str) -> Address | None:
        """Return the address of a node; None if it is not known.

        :param node: its name.
        """
        for nodes in (self.local, *self.remote.values()):
            if node in nodes:
                return nodes[node]
        return None

    @property
    def count(self) -> int:
        """Number of known nodes, with this one."""
        return 1 + sum(len(nodes) for nodes in self.by_domain().values())

    def owners_of(
        self, failure_domain: str, protocol: int
    ) -> send_grants.Owners:
        """Return the nodes that may own the limits of some endpoints.

        They are those of the failure domain that understand the questions. If
        it has none, as before its nodes have started or are upgraded, they are
        all nodes that do, so that all agree on one.

        :param failure_domain: failure domain of the endpoints.
        :param protocol: what they must understand, see
            :data:`wasabilanding.gateway.directory.PROTOCOL`.
        """
        names: tuple[str, ...] = tuple(self.remote.get(failure_domain, ()))
        if failure_domain == self._domain:
            names = (*self.local, self._node)
        able = self._understanding(names, protocol)
        if not able:
            able = self._understanding(self._all_names(), protocol)
        return send_grants.Owners(self._node, able)

    def _understanding(
        self, names: tuple[str, ...], protocol: int
    ) -> tuple[str, ...]:
        """Return the nodes that understand some messages."""
        return tuple(
            name
            for name in names
            if name == self._node or self._protocols.get(name, 0) >= protocol
        )

    def _all_names(self) -> tuple[str, ...]:
        """Return the names of all known nodes."""
        names = [self._node]
        for nodes in self.by_domain().values():
            names += nodes
        return tuple(names)

    def is_first_for(self, subject: str) -> bool:
        """Return whether this node comes first for a subject.

        All nodes that know the same nodes agree on it. Nodes of earlier
        builds find it in the same order, so it must not change.

        :param subject: what one node does for all.
        """
        return self.rank_for(subject) == 0

    def rank_for(self, subject: str) -> int:
        """Return the place of this node in the order for a subject, 0 first.

        :param subject: what one node does for all.
        """
        order = poison.trial_order(subject, self._all_names())
        return order.index(self._node)

    @property
    def uses_collector(self) -> bool:
        """Whether the nodes of this failure domain send to a collector."""
        return needs_collector(len(self.local) + 1)

    def note_collector(self, node: str, now: float) -> None:
        """Record that a node has forwarded hints.

        :param node: its name.
        :param now: local monotonic time in seconds.
        """
        self._received_at[node] = now

    def collector(self, now: float) -> str:
        """Return the first node by name that forwards hints.

        :param now: local monotonic time in seconds.
        """
        for name in sorted((*self.local, self._node)):
            if name == self._node:
                break
            since = self._sending_since.get(name, now)
            if now - since > COLLECTOR_BACKOFF_S:
                since = now
            self._sending_since[name] = since
            received_at = self._received_at.get(name, since)
            if now - max(since, received_at) < COLLECTOR_TIMEOUT_S:
                return name
        return self._node

"""Progress of a started node towards the current cluster state.

Explanation
===========

VMs have no persistent storage, so a started node must first obtain the
current configuration and records. It is informed when the store answered or,
during an outage of the store, when every peer that it knows as live, up to
``MAX_JOIN_PEERS``, answered and at least one of them was informed itself. Two
nodes that were both replaced can't inform each other.
"""

from wasabilanding.membership import table as table_module

MAX_JOIN_PEERS = 8


class JoinProgress:
    """Answers that a node has received since it started."""

    def __init__(self) -> None:
        self._heard_store = False
        self._answered: set[str] = set()
        self._heard_informed = False

    def record_store_answer(self) -> None:
        """Record that the store returned the current state."""
        self._heard_store = True

    def record_peer_answer(self, name: str, informed: bool) -> None:
        """Record the answer of a peer.

        :param name: name of the peer.
        :param informed: whether the peer has the current state itself.
        """
        self._answered.add(name)
        self._heard_informed = self._heard_informed or informed

    def is_complete(self, table: table_module.MemberTable, now: float) -> bool:
        """Tell whether the node has the current state.

        :param table: the nodes that this node knows of.
        :param now: local monotonic time in seconds.

        Examples
        ========

        >>> from wasabilanding import membership
        >>> own = membership.Node("a", 1, "prov", "a:1")
        >>> table = membership.MemberTable(own)
        >>> joining = membership.JoinProgress()
        >>> joining.is_complete(table, now=0.0)
        False
        >>> joining.record_peer_answer("b", informed=True)
        >>> joining.is_complete(table, now=0.0)
        True
        """
        if self._heard_store:
            return True
        live = {n.name for n in table.live(now)} - {table.own.name}
        needed = min(MAX_JOIN_PEERS, len(live))
        answered = len(self._answered & live)
        return self._heard_informed and answered >= needed

"""Selection of the peers of each gossip round.

Explanation
===========

In each round a node calls a fixed number of peers of its own failure domain,
round-robin in a shuffled order, so that the time between two exchanges with
the same peer is bounded [1]_. The nodes of a failure domain share the
exchanges with the other failure domains: on average, each other failure
domain is called by ``REMOTE_EXCHANGES_PER_ROUND`` of them per round, and no
node makes more than one such call per round. With the probability
``RECONNECT_PROBABILITY`` a node also tries an address that is not known as
live: a seed, or a lost peer. So the load of a node does not grow with the
number of nodes, and partitions heal.

References
==========

.. [1] A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent
       infection-style process group membership protocol", DSN 2002.
"""

import random

from wasabilanding.membership import joining
from wasabilanding.membership import table as table_module

LOCAL_FAN_OUT = 2
REMOTE_EXCHANGES_PER_ROUND = 2.0
RECONNECT_PROBABILITY = 0.1


class PeerSelector:
    """Selects the peers that one node calls.

    :param seeds: seed addresses from the settings.
    :param rng: source of randomness.
    :param local_fan_out: peers of the own failure domain per round.
    """

    def __init__(
        self,
        seeds: tuple[str, ...],
        rng: random.Random,
        local_fan_out: int = LOCAL_FAN_OUT,
    ) -> None:
        self._seeds = seeds
        self._rng = rng
        self._local_fan_out = local_fan_out
        self._not_yet_called: list[str] = []

    def next_round(
        self,
        table: table_module.MemberTable,
        now: float,
        is_joining: bool = False,
    ) -> tuple[str, ...]:
        """Return the addresses to call in this round.

        :param table: the nodes that this node knows of.
        :param now: local monotonic time in seconds.
        :param is_joining: whether this node does not have the current
            state yet; it then calls up to ``MAX_JOIN_PEERS`` peers.
        """
        own = table.own
        others = [n for n in table.live(now) if n.name != own.name]
        not_live = self._addresses_not_live(table, {n.address for n in others})
        if is_joining:
            return self._joining_round([n.address for n in others], not_live)
        domain = own.failure_domain
        local = [n.address for n in others if n.failure_domain == domain]
        remote = [n for n in others if n.failure_domain != domain]
        chosen = self._local_round(local)
        chosen += self._remote_round(remote, len(local) + 1)
        chosen += self._reconnect(not_live, bool(others))
        return tuple(chosen)

    def _addresses_not_live(
        self, table: table_module.MemberTable, live: set[str]
    ) -> list[str]:
        tried = {*self._seeds, *table.lost_addresses}
        return sorted(tried - live - {table.own.address})

    def _joining_round(
        self, live: list[str], not_live: list[str]
    ) -> tuple[str, ...]:
        limit = joining.MAX_JOIN_PEERS
        chosen = self._rng.sample(live, min(limit, len(live)))
        spare = min(limit - len(chosen), len(not_live))
        return tuple(chosen + self._rng.sample(not_live, spare))

    def _local_round(self, local: list[str]) -> list[str]:
        self._not_yet_called = [a for a in self._not_yet_called if a in local]
        if len(self._not_yet_called) < min(self._local_fan_out, len(local)):
            rest = [a for a in local if a not in self._not_yet_called]
            self._rng.shuffle(rest)
            self._not_yet_called += rest
        chosen = self._not_yet_called[: self._local_fan_out]
        self._not_yet_called = self._not_yet_called[self._local_fan_out :]
        return chosen

    def _remote_round(
        self, remote: list[table_module.Node], local_count: int
    ) -> list[str]:
        domains = sorted({n.failure_domain for n in remote})
        share = REMOTE_EXCHANGES_PER_ROUND * len(domains) / local_count
        if not domains or self._rng.random() >= share:
            return []
        domain = self._rng.choice(domains)
        addresses = [n.address for n in remote if n.failure_domain == domain]
        return [self._rng.choice(addresses)]

    def _reconnect(self, not_live: list[str], has_peers: bool) -> list[str]:
        if not not_live:
            return []
        if has_peers and self._rng.random() >= RECONNECT_PROBABILITY:
            return []
        return [self._rng.choice(not_live)]

"""Waiting requests of other nodes, as they report them."""

import collections
import collections.abc
import dataclasses
import heapq

from wasabilanding.limits import pool_share

# Time for which a report of another node is used, as for its load.
REPORT_TTL_S = 1.5
CHECK_INTERVAL_S = 0.25
# Largest report: pools, and customers of each.
MAX_POOLS = 32
MAX_CUSTOMERS = 32
# Stands for the customers that a report leaves out.
OTHER_CUSTOMERS = "*"

# Waiting requests, by customer, by pool.
ByPool = collections.abc.Mapping[str, pool_share.Waiting]


def bounded(waiting: ByPool) -> dict[str, dict[str, int]]:
    """Return waiting requests in a bounded size, without zeros.

    The customers with the fewest requests are counted as one; of too many
    pools, those with the fewest requests are left out.

    :param waiting: waiting requests, by customer, by pool.

    Examples
    ========

    >>> from wasabilanding.limits import waiting_reports
    >>> waiting_reports.bounded({"a": {"x": 2, "y": 0}, "b": {"y": 0}})
    {'a': {'x': 2}}
    """
    kept = {
        pool: _bounded_customers(found)
        for pool, found in waiting.items()
        if sum(found.values())
    }
    if len(kept) <= MAX_POOLS:
        return kept
    largest = heapq.nlargest(MAX_POOLS, kept, lambda p: sum(kept[p].values()))
    return {pool: kept[pool] for pool in largest}


def _bounded_customers(found: pool_share.Waiting) -> dict[str, int]:
    counts = {name: count for name, count in found.items() if count}
    if len(counts) <= MAX_CUSTOMERS:
        return counts
    largest = heapq.nlargest(MAX_CUSTOMERS - 1, counts, counts.__getitem__)
    kept = {name: counts[name] for name in largest}
    others = sum(counts.values()) - sum(kept.values())
    kept[OTHER_CUSTOMERS] = kept.get(OTHER_CUSTOMERS, 0) + others
    return kept


@dataclasses.dataclass(frozen=True)
class _Report:
    """Report of one node.

    :param waiting: its waiting requests, by customer, by pool.
    :param slot_times_s: its slot times in seconds, by pool.
    :param at: local monotonic time in seconds of the report.
    """

    waiting: ByPool
    slot_times_s: collections.abc.Mapping[str, float]
    at: float


class WaitingReports:
    """Latest reports of waiting requests from other nodes."""

    def __init__(self) -> None:
        self._by_node: dict[str, _Report] = {}
        self._totals: dict[str, collections.Counter[str]] = {}
        self._checked_at = float("-inf")
        # Local monotonic time in seconds of the last report of any node.
        self.heard_at = float("-inf")

    def update(
        self,
        node: str,
        waiting: ByPool,
        slot_times_s: collections.abc.Mapping[str, float],
        now: float,
    ) -> None:
        """Replace the report of a node.

        :param node: its name.
        :param waiting: its waiting requests, by customer, by pool.
        :param slot_times_s: mean times in seconds for which its requests hold
            slots, by pool.
        :param now: local monotonic time in seconds.
        """
        self.heard_at = now
        before = self._by_node.pop(node, None)
        if waiting or slot_times_s:
            self._by_node[node] = _Report(waiting, slot_times_s, now)
        if waiting or (before is not None and before.waiting):
            self._totals = {}

    def has_any(self, now: float) -> bool:
        """Return whether requests wait at any other node.

        :param now: local monotonic time in seconds.
        """
        self._drop_outdated(now)
        return any(report.waiting for report in self._by_node.values())

    def of_pool(self, pool: str, now: float) -> collections.Counter[str]:
        """Return the waiting requests of all other nodes, by customer.

        :param pool: name of the pool.
        :param now: local monotonic time in seconds.
        """
        self._drop_outdated(now)
        if pool not in self._totals:
            total: collections.Counter[str] = collections.Counter()
            for report in self._by_node.values():
                total.update(report.waiting.get(pool, {}))
            self._totals[pool] = total
        return self._totals[pool]

    def slot_times_s(self, pool: str) -> tuple[float, ...]:
        """Return the slot times of a pool that other nodes observe.

        :param pool: name of the pool.
        :returns: times in seconds.
        """
        return tuple(
            report.slot_times_s[pool]
            for report in self._by_node.values()
            if pool in report.slot_times_s
        )

    def of_nodes(
        self, nodes: collections.abc.Iterable[str], own: ByPool, now: float
    ) -> dict[str, collections.Counter[str]]:
        """Return the waiting requests of this node and some others.

        :param nodes: names of the other nodes.
        :param own: waiting requests of this node, by customer, by pool.
        :param now: local monotonic time in seconds.
        """
        self._drop_outdated(now)
        total: dict[str, collections.Counter[str]] = {}
        reports = [own]
        reports += [
            self._by_node[name].waiting
            for name in nodes
            if name in self._by_node
        ]
        for waiting in reports:
            for pool, found in waiting.items():
                total.setdefault(pool, collections.Counter()).update(found)
        return total

    def _drop_outdated(self, now: float) -> None:
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        for node, report in list(self._by_node.items()):
            if now - report.at > REPORT_TTL_S:
                del self._by_node[node]
                self._totals = {}

"""Lease that makes one node the controller of a failure domain."""

import collections.abc
import dataclasses

from wasabilanding import membership

CANDIDATES = 2


@dataclasses.dataclass(frozen=True)
class ControlLease:
    """Control lease as its holder sees it.

    :param lease_id: identity of the lease in the platform's store.
    :param fence: fencing token; revision at which the lease was taken.
    :param ttl_s: time to live in seconds.
    :param renewed_at: local monotonic time at which the last successful
        renewal was sent, in seconds.
    """

    lease_id: str
    fence: int
    ttl_s: float
    renewed_at: float

    def is_held(self, now: float) -> bool:
        """Tell whether the lease is still valid for its holder.

        The time to live counts from the sending of the renewal, so the
        holder stops acting before the platform's store expires the lease.

        :param now: local monotonic time in seconds.

        Examples
        ========

        >>> from wasabilanding import placement
        >>> lease = placement.ControlLease("l", 7, 3.0, renewed_at=10.0)
        >>> lease.is_held(12.9), lease.is_held(13.0)
        (True, False)
        """
        return now - self.renewed_at < self.ttl_s


def is_candidate(
    node: str,
    live: collections.abc.Collection[str],
    failure_domain: str,
) -> bool:
    """Tell whether a node tries to acquire the lease when it is free.

    Only ``CANDIDATES`` nodes try, so that the number of calls to the
    platform's store does not grow with the number of nodes. When a candidate
    is no longer live, another node takes its turn.

    :param node: name of the node.
    :param live: names of the live nodes of the failure domain.
    :param failure_domain: the failure domain.

    Examples
    ========

    >>> from wasabilanding import placement
    >>> names = ["a", "b", "c", "d"]
    >>> [placement.is_candidate(n, names, "prov") for n in names].count(True)
    2
    """
    remaining = set(live)
    for _ in range(CANDIDATES):
        chosen = membership.owner_of(f"control/{failure_domain}", remaining)
        if chosen == node:
            return True
        remaining.discard(chosen)
    return False

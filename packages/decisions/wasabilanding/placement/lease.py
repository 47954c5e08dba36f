"""The lease by which one node controls a failure domain."""

import collections.abc
import dataclasses

from wasabilanding import membership

CANDIDATES = 2


@dataclasses.dataclass(frozen=True)
class ControlLease:
    """A lease as its holder sees it.

    :param lease_id: identity at the platform's service.
    :param fence: fencing number; revision at which the lease was taken.
    :param ttl_s: time to live in seconds.
    :param renewed_at: local monotonic time at which the last successful
        renewal was sent.
    """

    lease_id: str
    fence: int
    ttl_s: float
    renewed_at: float

    def is_held(self, now: float) -> bool:
        """Tell whether the holder may still act.

        The time counts from the sending of the renewal, so the holder stops
        no later than the platform's service lets go.

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
    """Tell whether a node tries to take the lease when it is free.

    Only few nodes try, so that the calls to the platform's service do not
    grow with the nodes. The others move up as soon as those are not heard.

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

"""Bound on what a node buffers for callers, endpoints and other nodes.

Explanation
===========

A process that exceeds its memory is killed, with all requests in progress. So
a node holds no more than a share of the memory that it does not need itself.
A new request that would exceed the share is refused; a complete one is never
ended. No single request may hold more than a quarter of the share, and large
requests together leave a quarter of it to small ones: a crowd of large bodies
does not turn ordinary callers away.

Bodies that are not sent to their end would keep the share in use. So if a
request does not fit, a body of which nothing has arrived for some time is
ended for it, the largest first, if it holds more than the request needs.

A body is judged by its declared size when it begins and by the bytes that
have arrived while it arrives, as many callers may declare bodies at the same
time and send them later.
"""

import collections.abc
import dataclasses
import enum

MB = 1_000_000
# Reserved for the process itself.
IDLE_BYTES = 80 * MB
# Bodies are copied when they are joined and sent, and the allocator does not
# return all of its memory.
BUFFER_SHARE = 0.5
# A node that is given less memory than it uses when idle still serves some
# requests.
MIN_TOTAL_BYTES = 8 * MB
REQUEST_SHARE = 0.25
# Share that large requests leave to small ones.
SMALL_SHARE = 0.25
MAX_SMALL_BYTES = 576 * 1024


# A body of which nothing has arrived for this time gives its room to smaller
# requests.
STALLED_S = 0.5


class MemoryCause(enum.Enum):
    """Why a request is refused for lack of memory.

    ``REQUEST``: it is larger than what one request may hold. ``NODE``: the
    node holds too much for others.
    """

    REQUEST = "request"
    NODE = "node"


@dataclasses.dataclass(frozen=True)
class MemoryBudget:
    """What a node may hold for others.

    :param total_bytes: for all requests together.
    """

    total_bytes: int

    @property
    def request_bytes(self) -> int:
        """What one request may hold."""
        return int(self.total_bytes * REQUEST_SHARE)

    @property
    def small_bytes(self) -> int:
        """What a small request holds at most."""
        return min(int(self.request_bytes * SMALL_SHARE), MAX_SMALL_BYTES)

    @property
    def large_total_bytes(self) -> int:
        """What must be held at most for a large request to hold more."""
        return int(self.total_bytes * (1 - SMALL_SHARE))


def usable_bytes(memory_mb: float) -> int | None:
    """Return the memory beyond what a process itself needs; None for any.

    :param memory_mb: memory of the process in MB; 0 if it has no bound.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> limits.usable_bytes(200), limits.usable_bytes(50)
    (120000000, 0)
    >>> limits.usable_bytes(0) is None
    True
    """
    if not memory_mb:
        return None
    return max(int(memory_mb * MB) - IDLE_BYTES, 0)


def memory_budget(memory_mb: float) -> MemoryBudget | None:
    """Return what a node may hold for others; None for no bound.

    :param memory_mb: memory of the process in MB; 0 if it has no bound.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> limits.memory_budget(200)
    MemoryBudget(total_bytes=60000000)
    >>> limits.memory_budget(200).request_bytes
    15000000
    >>> limits.memory_budget(50)
    MemoryBudget(total_bytes=8000000)
    >>> limits.memory_budget(0) is None
    True
    """
    usable = usable_bytes(memory_mb)
    if usable is None:
        return None
    return MemoryBudget(max(int(usable * BUFFER_SHARE), MIN_TOTAL_BYTES))


def memory_obstacle(
    budget: MemoryBudget | None,
    held_bytes: int,
    request_bytes: int,
    more_bytes: int,
) -> MemoryCause | None:
    """Return why a request may not hold more; None if it may.

    :param budget: what the node may hold; None for no bound.
    :param held_bytes: what it holds for all requests.
    :param request_bytes: what the request is to hold in all.
    :param more_bytes: the part of it that it does not hold yet.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> budget = limits.MemoryBudget(1000)
    >>> limits.memory_obstacle(budget, 500, 250, 250) is None
    True
    >>> limits.memory_obstacle(budget, 700, 250, 250)
    <MemoryCause.NODE: 'node'>
    >>> limits.memory_obstacle(budget, 900, 62, 62) is None
    True
    >>> limits.memory_obstacle(budget, 700, 251, 251)
    <MemoryCause.REQUEST: 'request'>
    >>> limits.memory_obstacle(budget, 900, 250, 101)
    <MemoryCause.NODE: 'node'>
    >>> limits.memory_obstacle(None, 900, 250, 101) is None
    True
    """
    if budget is None:
        return None
    if request_bytes > budget.request_bytes:
        return MemoryCause.REQUEST
    is_small = request_bytes <= budget.small_bytes
    total = budget.total_bytes if is_small else budget.large_total_bytes
    if held_bytes + more_bytes > total:
        return MemoryCause.NODE
    return None


def stalled_body(
    arrivals: collections.abc.Iterable[tuple[int, float]],
    request_bytes: int,
    now: float,
) -> int | None:
    """Return the body to end for a request that does not fit; None for none.

    :param arrivals: of each body that is incomplete, the bytes that are held
        of it, and the local monotonic time in seconds of its latest part.
    :param request_bytes: what the request is to hold in all.
    :param now: local monotonic time in seconds.
    :returns: its position among the arrivals.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> arrivals = [(900, 9.0), (800, 1.0), (700, 1.0), (100, 1.0)]
    >>> limits.stalled_body(arrivals, 200, now=9.2)
    1
    >>> limits.stalled_body(arrivals, 1000, now=9.2) is None
    True
    """
    found = [
        (held_bytes, index)
        for index, (held_bytes, latest_at) in enumerate(arrivals)
        if held_bytes > request_bytes and now - latest_at >= STALLED_S
    ]
    return max(found)[1] if found else None

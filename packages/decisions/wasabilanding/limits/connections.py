"""Bounds on the connections that callers may keep open at a process.

Explanation
===========

A connection costs a descriptor, and memory before anything is known of its
request: tasks, the parser, and a head of up to the largest size. So their
number is bounded by both. Half of the descriptors for sockets stay for the
process's own connections, to endpoints, to the store and to other nodes.

Load pattern: clients open connections and send nothing, or a part of a
request. When the bound is reached, the connection that costs most for the
least is closed for a new one (:func:`connection_to_close`): first those that
are open for some time and have sent nothing, then those whose request does
not become complete, then those that have been idle for longest. A connection
whose request is complete is never closed for another one.

Load pattern: heads of thousands of short lines, and bodies in chunks of a few
bytes. Each line costs about as much time and memory as a long one, so that
only :func:`costly_requests` such requests are read at the same time.
"""

import collections.abc
import dataclasses
import enum

MB = 1_000_000
# Tasks, parser and buffers of a connection, without the head of a request.
CONNECTION_BYTES = 32 * 1024
# Share of the memory beyond what the process itself needs.
MEMORY_SHARE = 0.3
# Descriptors for files, listening sockets and libraries.
OWN_DESCRIPTORS = 200
# Share of the others that callers may have.
DESCRIPTORS_SHARE = 0.5
# Shares of the listeners for other clients than callers. A crowd at one of
# them leaves the others their connections.
RELAYS_SHARE = 0.25
STATUS_SHARE = 0.05
# A process with little memory still serves some callers.
MIN_CONNECTIONS = 32
# A connection on which nothing, or no whole request, has arrived for less
# time is not slow yet.
UNUSED_S = 0.5
# Memory of a request whose head of 16 KB consists of the shortest lines.
COSTLY_REQUEST_BYTES = 1_200_000
COSTLY_SHARE = 0.1
MAX_COSTLY_REQUESTS = 32
MIN_COSTLY_REQUESTS = 2
INCOMPLETE_S = 1.0


def connection_limit(
    descriptors: int,
    memory_bytes: int | None,
    head_bytes: int,
    share: float = 1.0,
) -> int:
    """Return how many connections may be open at a listener.

    :param descriptors: descriptors that the process may open.
    :param memory_bytes: memory beyond what the process itself needs; None for
        no bound.
    :param head_bytes: largest size of a request's head.
    :param share: share of the listener; the callers' has the whole.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> limits.connection_limit(4100, None, 16384)
    1950
    >>> limits.connection_limit(4100, 120_000_000, 16384)
    732
    >>> limits.connection_limit(300, 120_000_000, 16384)
    50
    >>> limits.connection_limit(4100, None, 16384, limits.RELAYS_SHARE)
    487
    >>> limits.connection_limit(100, 0, 16384)
    32
    """
    sockets = descriptors - OWN_DESCRIPTORS
    found = int(sockets * DESCRIPTORS_SHARE)
    if memory_bytes is not None:
        each = CONNECTION_BYTES + head_bytes
        found = min(found, int(memory_bytes * MEMORY_SHARE / each))
    return max(int(found * share), MIN_CONNECTIONS)


def costly_requests(memory_bytes: int | None) -> int:
    """Return how many requests of many small parts are read at once.

    :param memory_bytes: memory beyond what the process itself needs; None for
        no bound.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> [limits.costly_requests(size) for size in (None, 120_000_000, 0)]
    [32, 10, 2]
    """
    if memory_bytes is None:
        return MAX_COSTLY_REQUESTS
    found = int(memory_bytes * COSTLY_SHARE / COSTLY_REQUEST_BYTES)
    return min(max(found, MIN_COSTLY_REQUESTS), MAX_COSTLY_REQUESTS)


class ConnectionStanding(enum.Enum):
    """What a connection is being used for.

    ``UNUSED``: nothing has arrived on it. ``INCOMPLETE``: a part of a request
    has arrived. ``IDLE``: a request has been answered, and none follows.
    ``BUSY``: a request is complete.
    """

    UNUSED = "unused"
    INCOMPLETE = "incomplete"
    IDLE = "idle"
    BUSY = "busy"


@dataclasses.dataclass(frozen=True)
class Rule:
    """Which connections may be closed for a new one.

    :param standing: their standing.
    :param for_s: seconds for which they have had it, at least.
    """

    standing: ConnectionStanding
    for_s: float = 0.0


# The first rule that holds for a connection decides.
RULES = (
    Rule(ConnectionStanding.UNUSED, UNUSED_S),
    Rule(ConnectionStanding.INCOMPLETE, INCOMPLETE_S),
    Rule(ConnectionStanding.IDLE),
    Rule(ConnectionStanding.UNUSED),
    Rule(ConnectionStanding.INCOMPLETE),
)


def connection_to_close(
    since: collections.abc.Mapping[ConnectionStanding, float], now: float
) -> ConnectionStanding | None:
    """Return which connection to close for a new one; None for none.

    :param since: for each standing, the local monotonic time in seconds since
        when the connection has had it that has had it for longest.
    :param now: local monotonic time in seconds.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> standing = limits.ConnectionStanding
    >>> since = {standing.UNUSED: 9.8, standing.IDLE: 3.0}
    >>> limits.connection_to_close(since, now=10.0)
    <ConnectionStanding.IDLE: 'idle'>
    >>> limits.connection_to_close(since, now=11.0)
    <ConnectionStanding.UNUSED: 'unused'>
    >>> limits.connection_to_close({standing.BUSY: 1.0}, now=11.0) is None
    True
    """
    for rule in RULES:
        begun_at = since.get(rule.standing)
        if begun_at is not None and now - begun_at >= rule.for_s:
            return rule.standing
    return None

"""Broken connections, until it is known whether their endpoints crashed.

Explanation
===========

Load pattern: endpoints reset, truncate and garble replies while they live, as
well as by ending. What tells is the endpoint's state afterwards: it refuses
connections, its registration lapses, or another start of it registers. Until
then the request runs again as after any lost connection.
"""

import collections.abc
import dataclasses
import enum

from wasabilanding import fleet

# Time after which an endpoint that is still registered has not crashed.
DECISION_S = 5.0
# Broken connections that wait for a decision; the oldest are dropped.
MAX_BROKEN = 4096


class EndpointState(enum.Enum):
    """What the registrations say of one start of an endpoint."""

    REGISTERED = "registered"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True)
class BrokenConnection:
    """A request whose connection to an endpoint broke.

    :param fingerprint: fingerprint of the request.
    :param endpoint: the endpoint.
    :param at: local monotonic time in seconds.
    :param in_flight: known requests in flight to the endpoint.
    :param parts: parts of its prompt that others may share.
    :param sent_at: local monotonic time in seconds at which it was sent.
    """

    fingerprint: str
    endpoint: fleet.Incarnation
    at: float
    in_flight: int
    parts: tuple[str, ...] = ()
    sent_at: float = 0.0


class BrokenConnections:
    """Broken connections that may be signs of crashes, oldest first."""

    def __init__(self) -> None:
        self._open: list[BrokenConnection] = []

    @property
    def are_empty(self) -> bool:
        """Whether nothing waits for a decision."""
        return not self._open

    @property
    def endpoints(self) -> frozenset[fleet.Incarnation]:
        """Endpoints whose state is not known yet."""
        return frozenset(broken.endpoint for broken in self._open)

    def add(self, broken: BrokenConnection) -> None:
        """Keep a broken connection until its endpoint's state is known.

        :param broken: the connection.
        """
        self._open.append(broken)
        del self._open[:-MAX_BROKEN]

    def take(
        self, endpoint: fleet.Incarnation
    ) -> tuple[BrokenConnection, ...]:
        """Remove and return the broken connections of one endpoint.

        :param endpoint: the endpoint, whose state is known now.
        """
        found = tuple(b for b in self._open if b.endpoint == endpoint)
        self._open = [b for b in self._open if b.endpoint != endpoint]
        return found

    def decide(
        self,
        state_of: collections.abc.Callable[[fleet.Incarnation], EndpointState],
        now: float,
    ) -> tuple[fleet.Incarnation, ...]:
        """Return the endpoints that have crashed; drop those that live.

        Broken connections of a crashed endpoint stay until they are taken.

        :param state_of: returns the state of an endpoint.
        :param now: local monotonic time in seconds.

        Examples
        ========

        >>> from wasabilanding import fleet
        >>> from wasabilanding import poison
        >>> start = fleet.Incarnation("e1", 7)
        >>> broken = poison.BrokenConnections()
        >>> broken.add(poison.BrokenConnection("f", start, 1.0, 1))
        >>> broken.decide(lambda e: poison.EndpointState.REGISTERED, 2.0)
        ()
        >>> broken.decide(lambda e: poison.EndpointState.GONE, 3.0) == (start,)
        True
        >>> broken.decide(lambda e: poison.EndpointState.REGISTERED, 9.0)
        ()
        >>> broken.are_empty
        True
        """
        states = {b.endpoint: state_of(b.endpoint) for b in self._open}
        self._open = [
            broken
            for broken in self._open
            if states[broken.endpoint] is EndpointState.GONE
            or (
                states[broken.endpoint] is EndpointState.REGISTERED
                and now - broken.at < DECISION_S
            )
        ]
        gone = {
            b.endpoint: None
            for b in self._open
            if states[b.endpoint] is EndpointState.GONE
        }
        return tuple(gone)

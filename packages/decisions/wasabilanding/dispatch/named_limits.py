"""Limits that endpoints name in their replies.

Explanation
===========

An endpoint in need names how many requests a second it takes from all nodes
together, for as long as its replies say so. A node learns it from a reply, or
from another node; the newest observation counts. A reply without a limit ends
it.

An endpoint that names 0 is still tried now and then: it gets no other chance
to say that it takes requests again.
"""

import collections.abc
import dataclasses

from wasabilanding import fleet

MIN_RATE_PER_S = 0.25
# Time for which an observation is told to other nodes, and for which the end
# of a limit is remembered.
RECENT_S = 5.0


@dataclasses.dataclass(frozen=True)
class NamedLimit:
    """An observation of an endpoint's limit.

    :param per_s: requests a second that it takes; None if it named none.
    :param at: local monotonic time in seconds of the reply.
    """

    per_s: float | None
    at: float


class NamedLimits:
    """Known limits by endpoint and its start."""

    def __init__(self) -> None:
        self._known: dict[fleet.Incarnation, NamedLimit] = {}

    def note(
        self, endpoint: fleet.Incarnation, per_s: float | None, at: float
    ) -> bool:
        """Record what a reply of an endpoint said.

        :param endpoint: the endpoint.
        :param per_s: requests a second; None if it named no limit.
        :param at: local monotonic time in seconds of the reply.
        :returns: whether the limit has changed.
        """
        before = self._known.get(endpoint)
        if before is None and per_s is None:
            return False
        if before is not None and at <= before.at:
            return False
        self._known[endpoint] = NamedLimit(per_s, at)
        return before is None or before.per_s != per_s

    def limit_of(self, endpoint: fleet.Incarnation) -> NamedLimit | None:
        """Return the newest observation of an endpoint; None for none.

        :param endpoint: the endpoint.
        """
        return self._known.get(endpoint)

    def rate(self, endpoint: fleet.Incarnation) -> float | None:
        """Return the requests a second to send to an endpoint.

        :param endpoint: the endpoint.
        :returns: the rate; None without a limit.

        Examples
        ========

        >>> from wasabilanding import dispatch
        >>> from wasabilanding import fleet
        >>> first = fleet.Incarnation("e1", 7)
        >>> second = fleet.Incarnation("e1", 8)
        >>> limits = dispatch.NamedLimits()
        >>> limits.note(first, 1.5, at=2.0)
        True
        >>> limits.rate(first), limits.rate(second)
        (1.5, None)
        >>> limits.note(first, None, at=1.0), limits.rate(first)
        (False, 1.5)
        >>> limits.note(first, None, at=3.0), limits.rate(first)
        (True, None)
        """
        known = self._known.get(endpoint)
        if known is None or known.per_s is None:
            return None
        return max(known.per_s, MIN_RATE_PER_S)

    @property
    def has_any(self) -> bool:
        """Whether any endpoint has named a limit recently."""
        return bool(self._known)

    @property
    def limited_count(self) -> int:
        """Number of endpoints with a limit."""
        return sum(known.per_s is not None for known in self._known.values())

    def recent(self, now: float) -> dict[fleet.Incarnation, NamedLimit]:
        """Return the observations that other nodes are to be told.

        :param now: local monotonic time in seconds.
        """
        if not self._known:
            return {}
        return {
            endpoint: known
            for endpoint, known in self._known.items()
            if now - known.at < RECENT_S
        }

    def drop_expired(
        self,
        is_registered: collections.abc.Callable[[fleet.Incarnation], bool],
        now: float,
    ) -> None:
        """Drop limits that have ended, and those of removed endpoints.

        :param is_registered: returns whether an endpoint is registered.
        :param now: local monotonic time in seconds.
        """
        for endpoint, known in list(self._known.items()):
            has_ended = known.per_s is None or not is_registered(endpoint)
            if has_ended and now - known.at >= RECENT_S:
                del self._known[endpoint]

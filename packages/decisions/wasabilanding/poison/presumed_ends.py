"""Presumed ends of endpoints, and the requests that refute them.

Explanation
===========

An endpoint that breaks a connection and accepts no other is presumed to have
ended. It may have been unreachable for a moment only, and then goes on with
the requests that it has. Another start of it may accept connections soon
after its end, and requests reach that start, under the identity and start of
the previous one, until its registration is seen. So an end is refuted only by
progress of a request that was sent on an established connection before the
first connection broke: no later start can have accepted that connection.
"""

import dataclasses

from wasabilanding import fleet
from wasabilanding.poison import suspicions

# Progress so long after the presumed end refutes it. Sooner, it may have been
# under way when the endpoint ended.
SURVIVAL_S = 0.5


@dataclasses.dataclass(frozen=True)
class _PresumedEnd:
    """A presumed end.

    :param broken_at: local monotonic time in seconds at which the first of
        the endpoint's connections broke.
    :param at: local monotonic time in seconds of the latest evidence.
    """

    broken_at: float
    at: float


class PresumedEnds:
    """Presumed ends of endpoints, by their starts."""

    def __init__(self) -> None:
        self._ends: dict[fleet.Incarnation, _PresumedEnd] = {}

    def __contains__(self, endpoint: fleet.Incarnation) -> bool:
        return endpoint in self._ends

    @property
    def endpoints(self) -> frozenset[fleet.Incarnation]:
        """Endpoints that are presumed to have ended."""
        return frozenset(self._ends)

    def add(
        self, endpoint: fleet.Incarnation, broken_at: float, now: float
    ) -> bool:
        """Record evidence that an endpoint has ended.

        :param endpoint: the endpoint.
        :param broken_at: local monotonic time in seconds at which the first of
            its connections broke.
        :param now: local monotonic time in seconds.
        :returns: whether its end was not known.
        """
        before = self._ends.get(endpoint)
        if before is not None:
            broken_at = min(broken_at, before.broken_at)
        self._ends[endpoint] = _PresumedEnd(broken_at, now)
        return before is None

    def is_later(self, endpoint: fleet.Incarnation, sent_at: float) -> bool:
        """Tell whether a request was sent after the end of its endpoint.

        If the endpoint accepts connections again, another start of it has
        received the request.

        :param endpoint: the endpoint.
        :param sent_at: local monotonic time in seconds.
        """
        known = self._ends.get(endpoint)
        return known is not None and sent_at > known.broken_at

    def is_refuted(
        self, endpoint: fleet.Incarnation, sent_at: float, now: float
    ) -> bool:
        """Tell whether progress of a request refutes an end.

        :param endpoint: the endpoint to which the request was sent.
        :param sent_at: local monotonic time in seconds at which it was sent,
            on an established connection.
        :param now: local monotonic time in seconds of the progress.

        Examples
        ========

        >>> from wasabilanding import fleet
        >>> from wasabilanding import poison
        >>> start = fleet.Incarnation("e1", 7)
        >>> ends = poison.PresumedEnds()
        >>> ends.add(start, broken_at=2.0, now=2.1)
        True
        >>> ends.is_refuted(start, sent_at=1.9, now=3.0)
        True
        >>> ends.is_refuted(start, sent_at=1.9, now=2.5)
        False
        >>> ends.add(start, broken_at=2.3, now=2.4)
        False
        >>> ends.is_refuted(start, sent_at=2.2, now=3.0)
        False
        """
        known = self._ends.get(endpoint)
        if known is None:
            return False
        return sent_at < known.broken_at and now >= known.at + SURVIVAL_S

    def remove(self, endpoint: fleet.Incarnation) -> None:
        """Forget the end of an endpoint that has not ended.

        :param endpoint: the endpoint.
        """
        del self._ends[endpoint]

    def forget(self, now: float) -> None:
        """Forget ends that count no more.

        :param now: local monotonic time in seconds.
        """
        self._ends = {
            endpoint: known
            for endpoint, known in self._ends.items()
            if now - known.at <= suspicions.NOTICE_RETENTION_S
        }

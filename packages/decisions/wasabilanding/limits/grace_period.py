"""Whether a request can still be answered before a node has stopped.

Explanation
===========

A node that got SIGTERM answers requests until its grace period is nearly over,
and interrupts those that are open then. So an attempt begins only if requests
of its kind usually end within the time left, by the run times of the latest
ones (:class:`RecentRuns`). The time limit of a request is no such measure:
where it is longer than the grace period, all requests would be rejected from
SIGTERM on. It is used where it ends first, as the request then ends by itself.
The mean slot time of a pool is no measure either: it does not tell the
slow requests of a kind, and it exists only where requests wait at the node.

Until :data:`LATE_AFTER_S`, the load balancer and callers may not know of the
shutdown, so that rejections are costly: an attempt begins if nine of ten
requests would end in time, or if nothing is known of its kind. A request that
is complete later has come slowly; there are few of these. It must not be
interrupted, so all recent requests of its kind must have taken clearly less
than the time left.
"""

import collections
import collections.abc
import dataclasses
import math

# A request that is complete later than this after SIGTERM must not be
# interrupted.
LATE_AFTER_S = 3.0
# Share of the recent requests that would end in time, for other requests.
USUAL_SHARE = 0.9
# For late requests: observations that are needed, and the time that is left
# relative to the longest of them. One request in 21 takes longer than the
# longest of 20. A larger margin rejects requests that would end in time.
MIN_OBSERVED = 20
LATE_MARGIN = 1.25
# A run time that one request in a hundred reaches is among 500 with a
# probability of 0.99.
MAX_OBSERVED = 500
# Reserved for the answers to interrupted requests, the end of the process and
# delays of the event loop.
EXIT_MARGIN_S = 0.6
# Limit on it, relative to the grace period.
EXIT_MARGIN_SHARE = 0.1
# Part of it that is used for these answers.
LAST_ANSWERS_SHARE = 1 / 3


@dataclasses.dataclass(frozen=True)
class GracePeriod:
    """The time that a node has to stop. Times are local monotonic seconds.

    :param began_at: time of the SIGTERM.
    :param answers_until: time at which open requests are interrupted.
    :param ends_at: time at which connections are closed.
    """

    began_at: float
    answers_until: float
    ends_at: float


def grace_period(now: float, grace_s: float) -> GracePeriod:
    """Return the time that a node has to stop.

    :param now: local monotonic time in seconds of the SIGTERM.
    :param grace_s: seconds from SIGTERM to SIGKILL.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> found = limits.grace_period(now=100.0, grace_s=8.0)
    >>> found.answers_until, round(found.ends_at, 3)
    (107.4, 107.6)
    >>> found = limits.grace_period(now=100.0, grace_s=3.0)
    >>> found.answers_until, round(found.ends_at, 3)
    (102.7, 102.8)
    """
    margin_s = min(EXIT_MARGIN_S, grace_s * EXIT_MARGIN_SHARE)
    answers_until = now + grace_s - margin_s
    ends_at = answers_until + margin_s * LAST_ANSWERS_SHARE
    return GracePeriod(now, answers_until, ends_at)


class RecentRuns:
    """Run times of the latest completed requests of each kind."""

    def __init__(self) -> None:
        self._kinds: dict[
            collections.abc.Hashable, collections.deque[float]
        ] = {}

    def observe(self, kind: collections.abc.Hashable, seconds: float) -> None:
        """Add the run time of a completed request.

        :param kind: its kind.
        :param seconds: time in seconds from its send to its end.
        """
        found = self._kinds.get(kind)
        if found is None:
            found = collections.deque(maxlen=MAX_OBSERVED)
            self._kinds[kind] = found
        found.append(seconds)

    def of_kind(
        self, kind: collections.abc.Hashable
    ) -> collections.abc.Sequence[float]:
        """Return the run times in seconds of a kind, the latest last.

        :param kind: the kind.
        """
        return self._kinds.get(kind, ())


def _expected_s(
    grace: GracePeriod,
    complete_at: float,
    recent_s: collections.abc.Sequence[float],
) -> float:
    """Return the time in seconds that a request is expected to take."""
    late_at = grace.began_at + LATE_AFTER_S
    if complete_at > late_at:
        if len(recent_s) < MIN_OBSERVED:
            return math.inf
        return max(recent_s) * LATE_MARGIN
    if not recent_s:
        return max(0.0, grace.answers_until - late_at)
    return sorted(recent_s)[math.ceil(len(recent_s) * USUAL_SHARE) - 1]


def can_end(
    grace: GracePeriod,
    now: float,
    complete_at: float,
    deadline_at: float,
    recent_s: collections.abc.Sequence[float],
) -> bool:
    """Return whether an attempt of a request may begin while a node stops.

    :param grace: the grace period.
    :param now: local monotonic time in seconds.
    :param complete_at: the same when the request was complete.
    :param deadline_at: the same when its time limit ends.
    :param recent_s: run times in seconds of recent requests of its kind.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> grace = limits.GracePeriod(0.0, answers_until=7.2, ends_at=7.4)
    >>> limits.can_end(grace, 2.5, 2.5, 12.5, [5.0])
    False
    >>> limits.can_end(grace, 2.5, 2.5, 12.5, [])
    True
    >>> limits.can_end(grace, 5.0, 5.0, 15.0, [])
    False
    >>> limits.can_end(grace, 5.0, 5.0, 7.0, [])
    True
    """
    if deadline_at <= grace.answers_until:
        return True
    left_s = grace.answers_until - now
    return left_s > 0 and _expected_s(grace, complete_at, recent_s) <= left_s

"""Times at which requests may be sent to endpoints with limits.

Explanation
===========

Load pattern: up to hundreds of nodes send to an endpoint that takes about one
request a second from all of them. If each node kept a share of the limit, the
first requests of all shares would add up to a burst. So one node keeps the
limit of an endpoint for all, and the others ask it for each request. Every
node finds the same one by rendezvous hashing [1]_ among the nodes of the
endpoint's failure domain, which reach it, or not, together with it.

That node reserves the next free time, by the generic cell rate algorithm [2]_:
the times are apart by one over the limit, and an unused time is kept for a
quarter of a second. A node that begins to keep a limit starts without unused
times, since it does not know what was sent just before.

If a node does not answer, the next one in the order stands in for it, with
half of the limit, so that both together stay below one and a half times the
limit while some nodes still reach the first one.

The times belong to the endpoint and not to one of its starts: nodes learn of
a new start at different moments, and all their requests reach the new one.

References
==========

.. [1] D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to
       increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
.. [2] ITU-T I.371, "Traffic control and congestion control in B-ISDN".
"""

import dataclasses

from wasabilanding import fleet

# Time for which unused times are kept.
BURST_S = 0.25
# Longest time for which a request waits for its time.
MAX_WAIT_S = 0.25
# Share of the limit that each node in the order may give out.
SHARES = (1.0, 0.5)
# A stored time of an endpoint is dropped after this time without a question.
UNUSED_TTL_S = 60.0


@dataclasses.dataclass
class _Schedule:
    """Times of one endpoint.

    :param next_at: local monotonic time in seconds of the next one.
    :param used_at: local monotonic time in seconds of the last question.
    """

    next_at: float
    used_at: float


class SendSlots:
    """Times at which requests may be sent, kept by one node."""

    def __init__(self) -> None:
        # By identity of the endpoint and place in the order of the nodes.
        self._schedules: dict[tuple[str, int], _Schedule] = {}

    def reserve(
        self,
        endpoint: fleet.Incarnation,
        rank: int,
        rate_per_s: float,
        max_wait_s: float,
        now: float,
        burst_s: float = BURST_S,
        not_before: float = float("-inf"),
    ) -> tuple[bool, float]:
        """Reserve a time for one request, if it is soon enough.

        :param endpoint: the endpoint.
        :param rank: place of this node in the order of the nodes.
        :param rate_per_s: requests a second of the endpoint from all nodes.
        :param max_wait_s: longest time that the request may wait, in seconds,
            at most :data:`MAX_WAIT_S`.
        :param now: local monotonic time in seconds.
        :param burst_s: seconds for which unused times are kept.
        :param not_before: local monotonic time in seconds of the earliest
            time that may be reserved.
        :returns: whether a time is reserved, and the seconds until then.

        Examples
        ========

        >>> from wasabilanding import dispatch
        >>> slots = dispatch.SendSlots()
        >>> slots.reserve(("e1", 7), 0, 2.0, 0.1, now=10.0)
        (True, 0.0)
        >>> slots.reserve(("e1", 7), 0, 2.0, 0.1, now=10.5)
        (True, 0.0)
        >>> slots.reserve(("e1", 7), 0, 2.0, 0.1, now=10.9)
        (True, 0.1)
        >>> slots.reserve(("e1", 7), 0, 2.0, 0.1, now=10.9)
        (False, 0.6)
        >>> slots.reserve(("e1", 8), 0, 2.0, 0.1, now=11.0)
        (False, 0.5)
        >>> slots.reserve(("e1", 8), 0, 2.0, 0.1, now=20.0, not_before=21.0)
        (False, 1.0)
        """
        interval_s = 1.0 / (rate_per_s * SHARES[rank])
        key = endpoint[0], rank
        schedule = self._schedules.get(key)
        if schedule is None:
            schedule = _Schedule(now, now)
            self._schedules[key] = schedule
        schedule.used_at = now
        # A limit that has risen brings the next time forward.
        next_at = min(schedule.next_at, now + interval_s + MAX_WAIT_S)
        next_at = max(next_at, now - burst_s, not_before)
        wait_s = round(max(next_at - now, 0.0), 6)
        if wait_s > max_wait_s:
            return False, wait_s
        schedule.next_at = next_at + interval_s
        return True, wait_s

    def drop_unused(self, now: float) -> None:
        """Drop the times of endpoints that nobody asks for.

        :param now: local monotonic time in seconds.
        """
        for key, schedule in list(self._schedules.items()):
            if now - schedule.used_at > UNUSED_TTL_S:
                del self._schedules[key]

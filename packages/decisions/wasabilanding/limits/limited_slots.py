"""Slots that count for an endpoint with a limit on requests per second.

Explanation
===========

An endpoint that is cold or names a limit takes fewer requests than its slots
hold. By Little's law, requests at a rate ``r`` that each hold a slot for ``t``
seconds occupy ``r t`` slots, so that it counts with these. The result may be
less than one. It is never 0, so that the endpoint is still tried.

While a limit is in force, requests wait at all nodes. When it ends, all nodes
know it at nearly the same moment, and each knows the requests of the others
only as of some tenths of a second ago. So the slots return in proportion to
the time, over :data:`RETURN_S`.
"""

import collections.abc
import dataclasses

# Least number of slots that counts for an endpoint.
MIN_SLOTS = 0.05
# Time in which the slots return after a limit has ended; more than the age of
# the load that nodes report to each other.
RETURN_S = 1.0


def limited_slots(
    slots: float, rate_per_s: float, slot_time_s: float
) -> float:
    """Return the slots that count for an endpoint with a limit.

    :param slots: its slots.
    :param rate_per_s: requests a second that it takes from all nodes.
    :param slot_time_s: mean time in seconds that a request holds a slot; 0 if
        unknown, and then all its slots count.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> limits.limited_slots(17, 4.0, 1.5), limits.limited_slots(17, 17.0, 2.0)
    (6.0, 17)
    >>> limits.limited_slots(4, 0.25, 0.05), limits.limited_slots(4, 2.0, 0.0)
    (0.05, 4)
    """
    if slot_time_s <= 0:
        return slots
    return min(slots, max(rate_per_s * slot_time_s, MIN_SLOTS))


def returning_slots(slots: float, limited: float, ended_s: float) -> float:
    """Return the slots that count after a limit has ended.

    :param slots: slots of the endpoint.
    :param limited: slots that counted while the limit was in force.
    :param ended_s: seconds since its end.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> [limits.returning_slots(17, 1.0, at) for at in (0.0, 0.25, 1.0, 9.0)]
    [1.0, 5.0, 17, 17]
    """
    if ended_s >= RETURN_S:
        return slots
    return limited + (slots - limited) * ended_s / RETURN_S


@dataclasses.dataclass(frozen=True)
class _Limited:
    """The last time at which an endpoint was known to have a limit.

    :param slots: slots that counted.
    :param at: local monotonic time in seconds.
    """

    slots: float
    at: float


class LimitedSlots:
    """Slots that count for the endpoints with limits, by endpoint."""

    def __init__(self) -> None:
        self._last: dict[collections.abc.Hashable, _Limited] = {}

    @property
    def has_any(self) -> bool:
        """Whether any endpoint has a limit or had one recently."""
        return bool(self._last)

    def count(
        self,
        endpoint: collections.abc.Hashable,
        slots: float,
        rate_per_s: float | None,
        slot_time_s: float,
        now: float,
    ) -> float:
        """Return the slots that count for an endpoint.

        :param endpoint: the endpoint.
        :param slots: its slots.
        :param rate_per_s: requests a second that it takes; None if it has no
            limit.
        :param slot_time_s: mean time in seconds that a request holds a slot;
            0 if unknown.
        :param now: local monotonic time in seconds.

        Examples
        ========

        >>> from wasabilanding import limits
        >>> counted = limits.LimitedSlots()
        >>> counted.count("e1", 17, 1.0, 1.0, now=10.0)
        1.0
        >>> counted.count("e1", 17, None, 1.0, now=10.5)
        9.0
        >>> counted.count("e1", 17, None, 1.0, now=11.0)
        17
        """
        if rate_per_s is not None:
            limited = limited_slots(slots, rate_per_s, slot_time_s)
            self._last[endpoint] = _Limited(limited, now)
            return limited
        last = self._last.get(endpoint)
        if last is None:
            return slots
        if now - last.at >= RETURN_S:
            del self._last[endpoint]
        return returning_slots(slots, last.slots, now - last.at)

    def drop_expired(self, now: float) -> None:
        """Drop the endpoints whose slots have returned.

        :param now: local monotonic time in seconds.
        """
        for endpoint, last in list(self._last.items()):
            if now - last.at >= RETURN_S:
                del self._last[endpoint]

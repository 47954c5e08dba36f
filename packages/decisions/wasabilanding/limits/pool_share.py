"""Division of a pool's free capacity among customers and nodes.

Explanation
===========

A pool is the capacity that some requests compete for: the usable endpoints
of one service and model. All nodes send to it, and each knows the requests
of the others only as of some tenths of a second ago. If a pool were filled
exactly to its slots, an endpoint would run empty from the end of a request
until the nodes have learned of it. So endpoints are filled beyond their
slots by a backlog: the work that ends within one report.

While requests wait, the pool is refilled at the rate at which it completes
requests, corrected in proportion to the difference between the load and its
limit. The correction is spread over twice the age of the reports, as an
integrating controller with a dead time oscillates if its gain is higher [1]_.
What is refilled is divided among customers by max-min fairness [2]_ over
the waiting requests of all nodes, and each customer's part among the nodes
in proportion to its waiting requests there. So a node's part may be far less
than a slot.

References
==========

.. [1] K. J. Astrom and R. M. Murray, "Feedback Systems", 2nd ed., Princeton
       University Press, 2021, section 11.
.. [2] D. Bertsekas and R. Gallager, "Data Networks", 2nd ed., Prentice Hall,
       1992, section 6.5.2.
"""

import collections
import collections.abc
import dataclasses
import math

# Correction of the load is spread over this multiple of the reports' age.
CORRECTION_AGES = 2.0
MIN_CORRECTION_S = 0.05

# Number of waiting requests, by customer.
Waiting = collections.abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class PoolState:
    """A pool as one node knows it.

    :param slots: slots of each usable endpoint, or the part that counts.
    :param load: requests in flight to them, from all nodes.
    :param report_age_s: usual age in seconds of what other nodes report.
    :param peer_waiting: waiting requests of all other nodes, by customer.
    :param peer_slot_times_s: mean times in seconds for which requests hold
        slots, as other nodes observe them.
    :param share: part of the pool that this node counts on; below 1 if it
        hears nothing from the others.
    """

    slots: tuple[float, ...]
    load: float
    report_age_s: float
    peer_waiting: Waiting = dataclasses.field(default_factory=dict)
    peer_slot_times_s: tuple[float, ...] = ()
    share: float = 1.0

    @property
    def total_slots(self) -> float:
        """Slots that this node counts on, for itself and reported load."""
        return sum(self.slots) * self.share

    def room(self, slot_time_s: float, backlog_share: float = 1.0) -> float:
        """Return how many more requests the pool may hold.

        It is negative if the pool holds too many.

        :param slot_time_s: mean time in seconds that a request holds a slot.
        :param backlog_share: part of the backlog that endpoints accept.
        """
        counts = collections.Counter(self.slots)
        backlog = sum(
            count * backlog_slots(slots, self.report_age_s, slot_time_s)
            for slots, count in counts.items()
        )
        backlog *= backlog_share * self.share
        return self.total_slots + backlog - self.load

    def completions_per_s(self, slot_time_s: float) -> float:
        """Return the rate of completions while all slots are in use.

        :param slot_time_s: mean time in seconds that a request holds a slot;
            0 if unknown.
        :returns: requests per second; 0 if unknown.
        """
        return self.total_slots / slot_time_s if slot_time_s > 0 else 0.0


def backlog_slots(
    slots: float, report_age_s: float, slot_time_s: float
) -> int:
    """Return how many requests may wait at an endpoint.

    :param slots: its slots.
    :param report_age_s: usual age in seconds of what other nodes report.
    :param slot_time_s: mean time in seconds that a request holds a slot; 0 if
        unknown.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> limits.backlog_slots(4, 0.1, 1.5), limits.backlog_slots(15, 0.4, 0.2)
    (1, 15)
    """
    if slot_time_s <= 0:
        return 0
    return math.ceil(slots * min(1.0, report_age_s / slot_time_s))


def max_min(amount: float, demands: Waiting) -> dict[str, float]:
    """Divide an amount by max-min fairness.

    :param amount: what is divided.
    :param demands: what each customer can use at most.
    :returns: parts, by customer.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> limits.max_min(6, {"large": 9, "small": 1, "middle": 2})
    {'small': 1, 'middle': 2, 'large': 3.0}
    >>> limits.max_min(1, {"large": 9, "small": 1})
    {'small': 0.5, 'large': 0.5}
    """
    parts: dict[str, float] = {}
    left = amount
    ordered = sorted(demands.items(), key=lambda item: item[1])
    for index, (customer, demand) in enumerate(ordered):
        parts[customer] = min(demand, left / (len(ordered) - index))
        left -= parts[customer]
    return parts


def refill(
    pool: PoolState, room: float, slot_time_s: float, elapsed_s: float
) -> float:
    """Return how many requests all nodes may send in a time.

    :param pool: the pool; requests wait for it.
    :param room: how many more requests it may hold; negative for too many.
    :param slot_time_s: mean time in seconds that a request holds a slot.
    :param elapsed_s: length of the time in seconds.
    """
    spread_s = max(MIN_CORRECTION_S, CORRECTION_AGES * pool.report_age_s)
    correction = room * min(1.0, elapsed_s / spread_s)
    completed = pool.completions_per_s(slot_time_s) * elapsed_s
    return max(0.0, completed + correction)


def allot(free: float, own: Waiting, peers: Waiting) -> float:
    """Return the part of some free slots that falls to a node.

    :param free: free slots; may be less than one.
    :param own: waiting requests of the node, by customer.
    :param peers: waiting requests of all other nodes, by customer.

    Examples
    ========

    Of 85 nodes, each with one waiting request, each gets its part of 18.

    >>> from wasabilanding import limits
    >>> round(limits.allot(18, {"a": 1}, {"a": 84}), 3)
    0.212
    >>> limits.allot(2, {"a": 1}, {"b": 20})
    1.0
    """
    demands = collections.Counter(own)
    demands.update(peers)
    parts = max_min(free, demands)
    return sum(
        parts[customer] * count / demands[customer]
        for customer, count in own.items()
        if count
    )

"""Share of the replicas' batch slots that one entry VM uses."""

import math

# Above 1, so that each engine has a short queue from which it refills its
# batch immediately.
HEADROOM = 1.2
MAX_PRIORITY = 9


def concurrency_limit(
    slots: int, entry_vms: int, headroom: float = HEADROOM
) -> int:
    """Return the maximum number of running requests of an entry VM.

    :param slots: total batch slots of the usable replicas.
    :param entry_vms: number of live entry VMs, including this one.
    :param headroom: factor by which the limit exceeds an equal share.
    :returns: the limit; 0 if there are no slots.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> limits.concurrency_limit(320, 9)
    43
    >>> limits.concurrency_limit(1, 9)
    1
    """
    return math.ceil(round(slots * headroom / max(1, entry_vms), 6))


def engine_priority(priority: int, within_share: bool) -> int:
    """Return the priority to send to an engine.

    Requests of customers within their share precede all others, so that a
    customer cannot take capacity from others by raising its priorities.

    :param priority: priority requested by the caller, from 0 to 9.
    :param within_share: whether its customer runs no more than its share.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> limits.engine_priority(9, False), limits.engine_priority(0, True)
    (4, 5)
    """
    half = (MAX_PRIORITY + 1) // 2
    return priority // 2 + (half if within_share else 0)

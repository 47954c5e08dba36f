"""Share of the replicas' batch slots that one entry VM uses."""

import math

# Above 1, so that a short queue at each engine refills its batch at once.
HEADROOM = 1.2
MAX_PRIORITY = 9


def concurrency_limit(
    slots: int, entry_vms: int, headroom: float = HEADROOM
) -> int:
    """Return how many requests an entry VM runs at a time.

    :param slots: batch slots of all usable replicas.
    :param entry_vms: live entry VMs that use them, this one included.
    :param headroom: factor on the plain share.
    :returns: the limit; 0 without slots.

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
    """Return the priority that an engine is told.

    Work of customers within their share goes before all other work, so that
    a customer gains nothing from the others by marking its work urgent.

    :param priority: what the caller asked for, from 0 to 9.
    :param within_share: whether its customer runs no more than its share.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> limits.engine_priority(9, False), limits.engine_priority(0, True)
    (4, 5)
    """
    half = (MAX_PRIORITY + 1) // 2
    return priority // 2 + (half if within_share else 0)

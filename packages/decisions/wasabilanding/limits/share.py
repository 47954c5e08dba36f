"""Share of the replicas' batch slots that one entry VM uses."""

import math

# Above 1, so that a short queue at each engine refills its batch at once.
HEADROOM = 1.1


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
    40
    >>> limits.concurrency_limit(1, 9)
    1
    """
    return math.ceil(round(slots * headroom / max(1, entry_vms), 6))

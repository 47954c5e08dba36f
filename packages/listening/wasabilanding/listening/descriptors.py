"""Number of descriptors that a process may open."""

import resource

# Usual limit of a process where none can be read.
UNKNOWN_LIMIT = 1024


def open_limit(configured: int) -> int:
    """Return how many descriptors this process may open.

    :param configured: the number by the settings; 0 if they give none.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    known = [number for number in (configured, allowed) if number > 0]
    return min(known, default=UNKNOWN_LIMIT)

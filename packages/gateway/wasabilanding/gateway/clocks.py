"""A clock that goes on while the VM is suspended.

The monotonic clock, which timers follow, stands still then. What was proven
before a suspension must not count as fresh after it.
"""

import time


def boot_time() -> float:
    """Return seconds since the start of the VM, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

"""A clock that keeps running while the VM is suspended.

The monotonic clock, which timers use, stops during a suspension. A lease or a
cluster view from before a suspension must not count as current after it.
"""

import time


def boot_time() -> float:
    """Return the seconds since the VM booted, including suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

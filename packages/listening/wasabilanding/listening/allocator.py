"""Return of large blocks of memory to the operating system.

Explanation
===========

The C library maps large blocks by themselves, so that they are returned when
they are freed. But with each such block that is freed it takes blocks of that
size from the heap from then on, where small objects keep them from being
returned: the memory of a process would stay at its peak. A threshold that is
set once stays as it is (mallopt(3), M_MMAP_THRESHOLD).
"""

import ctypes
import logging

MMAP_THRESHOLD_BYTES = 128 * 1024
# M_MMAP_THRESHOLD of <malloc.h>.
_M_MMAP_THRESHOLD = -3
_LOG = logging.getLogger(__name__)


def map_large_blocks() -> None:
    """Let freed blocks of bodies and answers return to the system."""
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError) as error:
        _LOG.info("large blocks are not mapped by themselves: %s", error)
        return
    set_option(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)

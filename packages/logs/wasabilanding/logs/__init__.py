"""Logs with one JSON object per line, written without blocking the caller.

Explanation
===========

A line is formatted in the thread that logs it, passes the rate limit of its
kind and is put into a bounded buffer. A thread writes the buffer to a file
descriptor. If nobody reads, the thread blocks and the buffer fills up; then
lines are dropped, those of the lowest value first. Dropped lines are counted
by reason and kind, and a line of their own reports them.
"""

from wasabilanding.logs.drops import BUFFER
from wasabilanding.logs.drops import Drops
from wasabilanding.logs.drops import RATE
from wasabilanding.logs.drops import WRITE
from wasabilanding.logs.formatting import LineFormatter
from wasabilanding.logs.handler import descriptor_of
from wasabilanding.logs.handler import install
from wasabilanding.logs.handler import LineHandler
from wasabilanding.logs.kinds import Kind
from wasabilanding.logs.kinds import KindOf
from wasabilanding.logs.kinds import Rate
from wasabilanding.logs.line_buffer import LineBuffer
from wasabilanding.logs.rate_limit import RateLimit
from wasabilanding.logs.writer import Writer

__all__ = [
    "BUFFER",
    "Drops",
    "Kind",
    "KindOf",
    "LineBuffer",
    "LineFormatter",
    "LineHandler",
    "RATE",
    "Rate",
    "RateLimit",
    "WRITE",
    "Writer",
    "descriptor_of",
    "install",
]

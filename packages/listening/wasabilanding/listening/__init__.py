"""HTTP listeners and the connections that callers keep."""

from wasabilanding.listening.allocator import map_large_blocks
from wasabilanding.listening.bounded_sockets import BoundedConfig
from wasabilanding.listening.connection import Close
from wasabilanding.listening.connection import CloseCause
from wasabilanding.listening.connection import Connection
from wasabilanding.listening.connection import IDLE_MARGIN_S
from wasabilanding.listening.connection import is_readable
from wasabilanding.listening.descriptors import open_limit
from wasabilanding.listening.idle_limit import IdleLimit
from wasabilanding.listening.listener import has_caller_closed
from wasabilanding.listening.listener import HttpListener
from wasabilanding.listening.listener import is_broken
from wasabilanding.listening.listener import report_nothing
from wasabilanding.listening.listener import ReportClose
from wasabilanding.listening.parsing_share import ParsingShare

__all__ = [
    "BoundedConfig",
    "Close",
    "CloseCause",
    "Connection",
    "HttpListener",
    "IDLE_MARGIN_S",
    "IdleLimit",
    "ParsingShare",
    "ReportClose",
    "has_caller_closed",
    "is_broken",
    "is_readable",
    "map_large_blocks",
    "open_limit",
    "report_nothing",
]

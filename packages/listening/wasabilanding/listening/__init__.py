"""HTTP listeners and the connections that callers keep."""

from wasabilanding.listening.allocator import map_large_blocks
from wasabilanding.listening.body_reader import BodyLimits
from wasabilanding.listening.body_reader import BodyNotSent
from wasabilanding.listening.body_reader import BodyTooLarge
from wasabilanding.listening.body_reader import CallerDisconnected
from wasabilanding.listening.body_reader import discard_body
from wasabilanding.listening.body_reader import NO_TIME_LIMIT
from wasabilanding.listening.body_reader import NOT_SENT_DETAIL
from wasabilanding.listening.body_reader import read_body
from wasabilanding.listening.bounded_app import bounded_app
from wasabilanding.listening.bounded_app import RefusedAnswer
from wasabilanding.listening.bounded_sockets import BoundedConfig
from wasabilanding.listening.closes import Close
from wasabilanding.listening.closes import CloseCause
from wasabilanding.listening.connection import Connection
from wasabilanding.listening.connection import IDLE_MARGIN_S
from wasabilanding.listening.descriptors import open_limit
from wasabilanding.listening.idle_limit import IdleLimit
from wasabilanding.listening.listener import has_caller_closed
from wasabilanding.listening.listener import HttpListener
from wasabilanding.listening.listener import is_broken
from wasabilanding.listening.listener import report_nothing
from wasabilanding.listening.listener import ReportClose
from wasabilanding.listening.memory_account import Kind as MemoryKind
from wasabilanding.listening.memory_account import MemoryAccount
from wasabilanding.listening.memory_account import MemoryRefused
from wasabilanding.listening.memory_account import Reservation
from wasabilanding.listening.parsing_share import ParsingShare
from wasabilanding.listening.request_body import App
from wasabilanding.listening.socket_events import is_readable

__all__ = [
    "App",
    "BodyLimits",
    "BodyNotSent",
    "BodyTooLarge",
    "BoundedConfig",
    "CallerDisconnected",
    "Close",
    "CloseCause",
    "Connection",
    "HttpListener",
    "IDLE_MARGIN_S",
    "IdleLimit",
    "MemoryAccount",
    "MemoryKind",
    "MemoryRefused",
    "NO_TIME_LIMIT",
    "NOT_SENT_DETAIL",
    "ParsingShare",
    "RefusedAnswer",
    "ReportClose",
    "Reservation",
    "bounded_app",
    "discard_body",
    "has_caller_closed",
    "is_broken",
    "is_readable",
    "map_large_blocks",
    "open_limit",
    "read_body",
    "report_nothing",
]

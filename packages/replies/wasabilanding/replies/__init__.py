"""Which replies of servers are whole and valid.

Explanation
===========

A server in trouble replies with what is no reply, or ends its connection in
the middle of one. Heads are checked by :func:`check_head`. A body without a
length ends with its connection, so that nothing but the way in which the
connection ended tells whether it is whole: :class:`WholeReplies` remembers for
clients of :mod:`httpx` that a connection broke while it was written.
"""

from wasabilanding.replies.heads import check_head
from wasabilanding.replies.heads import Head
from wasabilanding.replies.heads import InvalidReply
from wasabilanding.replies.whole import WholeReplies
from wasabilanding.replies.whole import WholeRepliesSync

__all__ = [
    "Head",
    "InvalidReply",
    "WholeReplies",
    "WholeRepliesSync",
    "check_head",
]

"""Change feed: one node reads the store's changes for many.

Explanation
===========

Load pattern: hundreds of nodes follow the same store, which counts each call
and sends each node every heartbeat of every endpoint. Instead, one node of a
failure domain watches the store and sends the changes to its peers in
datagrams, without the heartbeats. A peer that misses a datagram reads the
changes from the store itself.

:class:`ChangeLog` collects the changes and cuts them into segments.
:class:`Confirmations` tells a receiver how old its view is at most, without
comparing clocks of different nodes.
"""

from wasabilanding.changefeed.change_log import ChangeLog
from wasabilanding.changefeed.change_log import CONTENT
from wasabilanding.changefeed.change_log import MAX_CHANGES
from wasabilanding.changefeed.change_log import Segment
from wasabilanding.changefeed.confirmations import Confirmations

__all__ = [
    "CONTENT",
    "ChangeLog",
    "Confirmations",
    "MAX_CHANGES",
    "Segment",
]

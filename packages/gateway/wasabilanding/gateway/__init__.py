"""Entry VM before endpoints that register themselves in the store.

Explanation
===========

A gateway relays callers' requests to endpoints that write their own entries
into the platform's key-value store, and assembles whole replicas of them.
All gateways are alike. What a gateway believes comes from one watch of the
store (:mod:`wasabilanding.gateway.cluster_view`); the decisions are pure and lie
in :mod:`wasabilanding.routes`, :mod:`wasabilanding.fleet`,
:mod:`wasabilanding.assembly` and :mod:`wasabilanding.dispatch`. How callers,
endpoints and the store speak is behind two interfaces,
:class:`~wasabilanding.gateway.messages.WireFormat` and
:class:`~wasabilanding.gateway.messages.Store`.
"""

from wasabilanding.gateway.headers import end_to_end
from wasabilanding.gateway.messages import AttemptParameters
from wasabilanding.gateway.messages import CallerRequest
from wasabilanding.gateway.messages import Header
from wasabilanding.gateway.messages import InvalidHead
from wasabilanding.gateway.messages import ReplyHead
from wasabilanding.gateway.messages import ReplyKind
from wasabilanding.gateway.messages import RequestHead
from wasabilanding.gateway.messages import Store
from wasabilanding.gateway.messages import WireFormat
from wasabilanding.gateway.process import run_process
from wasabilanding.gateway.settings import Settings
from wasabilanding.gateway.upstream import TCP_KEEPALIVE

__all__ = [
    "CallerRequest",
    "AttemptParameters",
    "RequestHead",
    "Header",
    "InvalidHead",
    "ReplyHead",
    "ReplyKind",
    "Settings",
    "Store",
    "TCP_KEEPALIVE",
    "WireFormat",
    "end_to_end",
    "run_process",
]

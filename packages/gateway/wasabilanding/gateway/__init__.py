"""Entry VM: proxy for endpoints that register themselves in the store.

Explanation
===========

A gateway relays callers' requests to endpoints that write their own entries
to the platform's key-value store, and groups the endpoints into complete
replicas. All gateways are equal. A gateway learns the state of the cluster
from one watch of the store (:mod:`wasabilanding.gateway.cluster_view`).
Decisions are made without I/O in :mod:`wasabilanding.routes`,
:mod:`wasabilanding.fleet`, :mod:`wasabilanding.assembly` and
:mod:`wasabilanding.dispatch`. Two interfaces hide the protocols of callers,
endpoints and the store: :class:`~wasabilanding.gateway.messages.WireFormat`
and :class:`~wasabilanding.gateway.messages.Store`.
"""

from wasabilanding.gateway.cold_left import read_cold_left
from wasabilanding.gateway.endpoint_transport import EndpointTransport
from wasabilanding.gateway.headers import end_to_end
from wasabilanding.gateway.headers import replaced as replaced_headers
from wasabilanding.gateway.messages import AttemptParameters
from wasabilanding.gateway.messages import CallerRequest
from wasabilanding.gateway.messages import EndpointNotice
from wasabilanding.gateway.messages import Header
from wasabilanding.gateway.messages import InvalidHead
from wasabilanding.gateway.messages import ReplyHead
from wasabilanding.gateway.messages import ReplyKind
from wasabilanding.gateway.messages import RequestHead
from wasabilanding.gateway.messages import Store
from wasabilanding.gateway.messages import WireFormat
from wasabilanding.gateway.named_limit import read_limit
from wasabilanding.gateway.process import run_process
from wasabilanding.gateway.retry_after import read_retry_after
from wasabilanding.gateway.settings import Settings
from wasabilanding.gateway.upstream import TCP_KEEPALIVE

__all__ = [
    "CallerRequest",
    "AttemptParameters",
    "RequestHead",
    "EndpointNotice",
    "EndpointTransport",
    "Header",
    "InvalidHead",
    "ReplyHead",
    "ReplyKind",
    "Settings",
    "Store",
    "TCP_KEEPALIVE",
    "WireFormat",
    "end_to_end",
    "read_cold_left",
    "read_limit",
    "read_retry_after",
    "replaced_headers",
    "run_process",
]

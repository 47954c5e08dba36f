"""Peers: exchange between the system's own processes.

Explanation
===========

Nodes call each other's ``Exchange`` over gRPC. The caller says how far it
has heard the callee and which documents it holds; the callee answers with
what is newer. Ages, not times, cross the wire, since clocks are not compared
between VMs. The choice of the peers stands in
:mod:`wasabilanding.membership.peer_selection`.
"""

from wasabilanding.peers.client import Channel
from wasabilanding.peers.client import PeerChannel
from wasabilanding.peers.client import PeerUnreachable
from wasabilanding.peers.documents import RefusedDocument
from wasabilanding.peers.documents import RefusedRevisions
from wasabilanding.peers.exchange_pb2 import ExchangeReply
from wasabilanding.peers.exchange_pb2 import ExchangeRequest
from wasabilanding.peers.messages import answer_request
from wasabilanding.peers.messages import apply_reply
from wasabilanding.peers.messages import Cursor
from wasabilanding.peers.messages import Learned
from wasabilanding.peers.messages import make_followup
from wasabilanding.peers.messages import make_request
from wasabilanding.peers.server import serve_exchange

__all__ = [
    "Channel",
    "Cursor",
    "ExchangeReply",
    "ExchangeRequest",
    "Learned",
    "PeerChannel",
    "PeerUnreachable",
    "RefusedDocument",
    "RefusedRevisions",
    "answer_request",
    "apply_reply",
    "make_followup",
    "make_request",
    "serve_exchange",
]

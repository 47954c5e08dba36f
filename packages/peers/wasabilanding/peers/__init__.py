"""Peers: exchange between the system's own processes.

Explanation
===========

Nodes call each other's ``Exchange`` over gRPC. The caller says which
revisions it knows and adds its own observations; the callee answers with
newer documents and its observations. Ages, not times, cross the wire, since
clocks are not compared between VMs.
"""

from wasabilanding.peers.client import Channel
from wasabilanding.peers.client import PeerChannel
from wasabilanding.peers.client import PeerUnreachable
from wasabilanding.peers.messages import answer_request
from wasabilanding.peers.messages import apply_reply
from wasabilanding.peers.messages import make_request
from wasabilanding.peers.server import serve_exchange

__all__ = [
    "Channel",
    "PeerChannel",
    "PeerUnreachable",
    "answer_request",
    "apply_reply",
    "make_request",
    "serve_exchange",
]

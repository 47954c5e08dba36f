"""Gossip exchange between nodes.

Explanation
===========

Nodes call each other's ``Exchange`` method over gRPC. The caller sends the
position up to which it has received the callee's journal and a digest of the
documents that it holds; the callee replies with what is newer. Messages
carry ages instead of timestamps, because the clocks of different VMs are not
synchronized. :mod:`wasabilanding.membership.peer_selection` selects the
peers to call.
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
from wasabilanding.peers.messages import make_followup
from wasabilanding.peers.messages import make_request
from wasabilanding.peers.messages import ReplyResult
from wasabilanding.peers.server import serve_exchange

__all__ = [
    "Channel",
    "Cursor",
    "ExchangeReply",
    "ExchangeRequest",
    "PeerChannel",
    "PeerUnreachable",
    "RefusedDocument",
    "RefusedRevisions",
    "ReplyResult",
    "answer_request",
    "apply_reply",
    "make_followup",
    "make_request",
    "serve_exchange",
]

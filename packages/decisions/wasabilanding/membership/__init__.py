"""Membership: which nodes are live and which node owns which key.

Explanation
===========

Nodes spread membership by a gossip protocol with a fixed fan-out
(:mod:`wasabilanding.membership.peer_selection`). Each node increments its own
heartbeat counter, and other nodes take it as live only while the counter
rises (:mod:`wasabilanding.membership.table`). Work is assigned to live nodes
by rendezvous hashing (:mod:`wasabilanding.membership.rendezvous`).
"""

from wasabilanding.membership.joining import JoinProgress
from wasabilanding.membership.joining import MAX_JOIN_PEERS
from wasabilanding.membership.peer_selection import LOCAL_FAN_OUT
from wasabilanding.membership.peer_selection import PeerSelector
from wasabilanding.membership.peer_selection import REMOTE_EXCHANGES_PER_ROUND
from wasabilanding.membership.rendezvous import own_keys
from wasabilanding.membership.rendezvous import owner_of
from wasabilanding.membership.rendezvous import owners_of
from wasabilanding.membership.table import FORGET_AFTER_S
from wasabilanding.membership.table import MemberTable
from wasabilanding.membership.table import Node
from wasabilanding.membership.table import node_key
from wasabilanding.membership.table import REMOTE_SUSPECT_AFTER_S
from wasabilanding.membership.table import SUSPECT_AFTER_S

__all__ = [
    "FORGET_AFTER_S",
    "JoinProgress",
    "LOCAL_FAN_OUT",
    "MAX_JOIN_PEERS",
    "MemberTable",
    "Node",
    "PeerSelector",
    "REMOTE_EXCHANGES_PER_ROUND",
    "REMOTE_SUSPECT_AFTER_S",
    "SUSPECT_AFTER_S",
    "node_key",
    "own_keys",
    "owner_of",
    "owners_of",
]

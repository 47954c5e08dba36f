"""Membership: which nodes are there and what falls to whom.

Explanation
===========

Nodes tell each other of themselves by an epidemic exchange with a fixed
fan-out (:mod:`wasabilanding.membership.partners`). Each node counts its own
heartbeat, and others take its news as new only while that count rises
(:mod:`wasabilanding.membership.table`). Work falls to live nodes by
rendezvous hashing (:mod:`wasabilanding.membership.shares`).
"""

from wasabilanding.membership.joining import Joining
from wasabilanding.membership.joining import MAX_ASKED_PEERS
from wasabilanding.membership.partners import LOCAL_FAN_OUT
from wasabilanding.membership.partners import Partners
from wasabilanding.membership.partners import REMOTE_ASKERS
from wasabilanding.membership.shares import own_keys
from wasabilanding.membership.shares import owner_of
from wasabilanding.membership.shares import owners_of
from wasabilanding.membership.table import FORGET_AFTER_S
from wasabilanding.membership.table import MemberTable
from wasabilanding.membership.table import Node
from wasabilanding.membership.table import node_key
from wasabilanding.membership.table import REMOTE_SUSPECT_AFTER_S
from wasabilanding.membership.table import SUSPECT_AFTER_S

__all__ = [
    "FORGET_AFTER_S",
    "Joining",
    "LOCAL_FAN_OUT",
    "MAX_ASKED_PEERS",
    "MemberTable",
    "Node",
    "Partners",
    "REMOTE_ASKERS",
    "REMOTE_SUSPECT_AFTER_S",
    "SUSPECT_AFTER_S",
    "node_key",
    "own_keys",
    "owner_of",
    "owners_of",
]

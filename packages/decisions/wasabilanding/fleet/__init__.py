"""Endpoints that register themselves, and the replicas that they form.

Explanation
===========

Each endpoint writes its own entry into the platform's store: where it is,
whether it leaves, and which replica it has joined. A replica is whole when
as many endpoints as its model needs report the same identity and epoch, one
for each rank, each of them ready. No other evidence is needed, so a node
that has just started knows as much as its peers once it has read the
entries.
"""

from wasabilanding.fleet.endpoint import Endpoint
from wasabilanding.fleet.endpoint import Membership
from wasabilanding.fleet.endpoint import MemberState
from wasabilanding.fleet.endpoint import Place
from wasabilanding.fleet.registry import Departure
from wasabilanding.fleet.registry import Registry
from wasabilanding.fleet.registry import RETURN_GRACE_S
from wasabilanding.fleet.replicas import Replica
from wasabilanding.fleet.replicas import replicas_of

__all__ = [
    "Departure",
    "Endpoint",
    "MemberState",
    "Membership",
    "Place",
    "RETURN_GRACE_S",
    "Registry",
    "Replica",
    "replicas_of",
]

"""Registered endpoints, and the replicas that they form.

Explanation
===========

Each endpoint writes its registration to the platform's store: its address,
whether it is draining, and which replica it has joined. A replica is whole
when as many endpoints as its model needs report the same identity and epoch,
one for each rank, and all are ready. No other state is needed, so a node that
has just started knows as much as its peers once it has read the
registrations.
"""

from wasabilanding.fleet.endpoint import Endpoint
from wasabilanding.fleet.endpoint import Incarnation
from wasabilanding.fleet.endpoint import Membership
from wasabilanding.fleet.endpoint import MemberState
from wasabilanding.fleet.endpoint import ReplicaKey
from wasabilanding.fleet.registry import incarnation_name
from wasabilanding.fleet.registry import incarnation_of
from wasabilanding.fleet.registry import RECOVERY_GRACE_S
from wasabilanding.fleet.registry import Registry
from wasabilanding.fleet.registry import RemovedEndpoint
from wasabilanding.fleet.replicas import Replica
from wasabilanding.fleet.replicas import replicas_of
from wasabilanding.fleet.restored import merge_restored

__all__ = [
    "RemovedEndpoint",
    "Endpoint",
    "Incarnation",
    "MemberState",
    "Membership",
    "ReplicaKey",
    "RECOVERY_GRACE_S",
    "Registry",
    "Replica",
    "incarnation_name",
    "incarnation_of",
    "merge_restored",
    "replicas_of",
]

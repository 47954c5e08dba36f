"""Knowledge: what one node knows of the whole system.

Explanation
===========

Documents (the configuration, the record and the VM list of each failure
domain) carry a revision; a node only ever goes on to a higher one. Reports
of VMs carry the local time of their observation; the youngest one counts.
Both rules are commutative and idempotent, so nodes may exchange what they
know in any order and as often as they like.

The reports of a replica whose members all report it are told to other nodes
as one :class:`WholeReplica`, which stands for a report of each member. A
journal position for each report lets a node tell a peer only what is new
since their last exchange.
"""

from wasabilanding.knowledge.cluster_state import ClusterState
from wasabilanding.knowledge.cluster_state import VmListing
from wasabilanding.knowledge.whole_replicas import replica_key
from wasabilanding.knowledge.whole_replicas import reports_of
from wasabilanding.knowledge.whole_replicas import summarise
from wasabilanding.knowledge.whole_replicas import WholeReplica

__all__ = [
    "ClusterState",
    "VmListing",
    "WholeReplica",
    "replica_key",
    "reports_of",
    "summarise",
]

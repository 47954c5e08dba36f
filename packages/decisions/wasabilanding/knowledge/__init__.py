"""Cluster state as one node knows it.

Explanation
===========

Documents (the configuration, the record and the VM list of each failure
domain) have a revision; a node only replaces a document by one with a higher
revision. VM reports have the local time of their observation; the latest one
wins. Both merge rules are commutative and idempotent, so nodes may exchange
their state in any order and repeatedly.

If all members of a replica report it as ready, their reports are sent to
other nodes as one :class:`WholeReplica`. Each report has a position in a
journal, by which a node sends a peer only what is new since their last
exchange.
"""

from wasabilanding.knowledge.cluster_state import ClusterState
from wasabilanding.knowledge.cluster_state import VmListing
from wasabilanding.knowledge.whole_replicas import replica_hash
from wasabilanding.knowledge.whole_replicas import reports_of
from wasabilanding.knowledge.whole_replicas import summarise
from wasabilanding.knowledge.whole_replicas import WholeReplica

__all__ = [
    "ClusterState",
    "VmListing",
    "WholeReplica",
    "replica_hash",
    "reports_of",
    "summarise",
]

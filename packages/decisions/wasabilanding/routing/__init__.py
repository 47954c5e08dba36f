"""Routing: which replica serves the next attempt of a request.

Explanation
===========

A replica is usable only on evidence from its VMs: every member must have
reported, freshly, the same replica and epoch as the record. A stale order
from a former holder of control therefore takes a replica out of service; it
cannot make one serve with a foreign or missing VM.
"""

from wasabilanding.routing.choice import choose_replica
from wasabilanding.routing.evidence import FRESHNESS_S
from wasabilanding.routing.evidence import is_usable
from wasabilanding.routing.evidence import usable_replicas

__all__ = [
    "FRESHNESS_S",
    "choose_replica",
    "is_usable",
    "usable_replicas",
]

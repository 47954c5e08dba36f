"""Selection of the replica for the next attempt of a request.

Explanation
===========

A replica is usable only if each of its members has recently reported the same
replica and epoch as the record. A stale order from a previous holder of the
control lease can therefore take a replica out of service, but it cannot make
a replica serve with a wrong or missing VM.

The choice among usable replicas depends on four properties, of which only
distance is known exactly:

- load (:class:`LoadView`), from delayed reports and this node's own requests
  in flight;
- cached prefixes (:class:`PrefixView`), from prompts that this node has sent
  and from the engines' cache events, which are delayed and may be lost;
- slowness (:class:`StreamIntervals`), from the time between parts of streams;
- distance: whether the replica is in another failure domain.

:class:`ReplicaIndex` keeps the cost of a choice independent of the number of
VMs.

Examples
========

>>> import random
>>> from wasabilanding import model
>>> from wasabilanding import routing
>>> replica = model.ReplicaRecord(
...     "r", 1, "escriba", "draft", 1, "tarifa", "v1", "f", ("vm-1",)
... )
>>> record = model.DomainRecord("prov", revision=1, replicas=(replica,))
>>> report = model.VmReport("vm-1", model.VmState.READY, "r", 1)
>>> index = routing.ReplicaIndex("prov")
>>> index.refresh({"prov": record}, {"vm-1": report}, now=0.0)
True
>>> state = routing.RoutingState(
...     index,
...     {"vm-1": report},
...     routing.LoadView(),
...     routing.StreamIntervals(),
...     routing.PrefixView(),
...     now=0.0,
... )
>>> blocks = routing.block_hashes("a short prompt")
>>> request = routing.RoutingRequest("escriba", blocks)
>>> choose = routing.POLICIES["cost"]
>>> choose(state, request, random.Random(1)).replica.leader
'vm-1'

See Also
========

wasabilanding.limits : decides whether and when a request is routed.
"""

from wasabilanding.routing.choice import choose_at_random
from wasabilanding.routing.choice import choose_by_cost
from wasabilanding.routing.choice import choose_least_loaded
from wasabilanding.routing.choice import choose_of_two
from wasabilanding.routing.choice import Costs
from wasabilanding.routing.choice import expected_wait_s
from wasabilanding.routing.choice import POLICIES
from wasabilanding.routing.choice import Policy
from wasabilanding.routing.choice import RoutingRequest
from wasabilanding.routing.choice import RoutingState
from wasabilanding.routing.cursor import CacheCursor
from wasabilanding.routing.index import ReplicaIndex
from wasabilanding.routing.load_view import LoadView
from wasabilanding.routing.load_view import ServiceLoad
from wasabilanding.routing.located import global_replica_key
from wasabilanding.routing.located import LocatedReplica
from wasabilanding.routing.prefix import block_hashes
from wasabilanding.routing.prefix import BLOCK_TOKENS
from wasabilanding.routing.prefix import CacheEvent
from wasabilanding.routing.prefix import CacheEvents
from wasabilanding.routing.prefix import PrefixView
from wasabilanding.routing.prefix import token_count
from wasabilanding.routing.stream_intervals import StreamIntervals
from wasabilanding.routing.usability import is_usable
from wasabilanding.routing.usability import MAX_REPORT_AGE_S
from wasabilanding.routing.usability import usable_replicas
from wasabilanding.routing.usability import usable_variant

__all__ = [
    "BLOCK_TOKENS",
    "CacheCursor",
    "CacheEvent",
    "CacheEvents",
    "Costs",
    "ServiceLoad",
    "MAX_REPORT_AGE_S",
    "LoadView",
    "LocatedReplica",
    "POLICIES",
    "StreamIntervals",
    "Policy",
    "PrefixView",
    "ReplicaIndex",
    "RoutingState",
    "RoutingRequest",
    "block_hashes",
    "choose_at_random",
    "choose_by_cost",
    "choose_least_loaded",
    "choose_of_two",
    "expected_wait_s",
    "is_usable",
    "global_replica_key",
    "token_count",
    "usable_replicas",
    "usable_variant",
]

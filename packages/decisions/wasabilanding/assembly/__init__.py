"""Assembling whole replicas from endpoints that join, are ready and open.

Explanation
===========

Members are told to join a replica under a new identity and epoch; when each
of them reports that it is ready there, the head is told to open. A member
that is lost takes the replica with it: its survivors are free for another
one only when their head cannot be serving any more, because it is closed,
broken or gone. So no endpoint is ever in two replicas that may serve, and
none serves without all its members.

One planner at a time works for a failure domain, held by a lease. It keeps
nothing that must last: identities are never used twice and epochs follow
the revision of the platform's store, so orders of a planner that has been
replaced, or that are carried out late, meet an endpoint that refuses them.
"""

from wasabilanding.assembly.choice import choose_loads_to_stage
from wasabilanding.assembly.choice import choose_preemption
from wasabilanding.assembly.choice import plan_replicas
from wasabilanding.assembly.choice import Preemption
from wasabilanding.assembly.choice import ReplicaPlan
from wasabilanding.assembly.orders import Close
from wasabilanding.assembly.orders import Join
from wasabilanding.assembly.orders import Leave
from wasabilanding.assembly.orders import Open
from wasabilanding.assembly.orders import Order
from wasabilanding.assembly.orders import PlannerInput
from wasabilanding.assembly.orders import Probe
from wasabilanding.assembly.orders import Stage
from wasabilanding.assembly.planner import Planner
from wasabilanding.assembly.rate_limiter import LoadRateLimiter

__all__ = [
    "Probe",
    "Close",
    "Preemption",
    "ReplicaPlan",
    "Join",
    "Leave",
    "LoadRateLimiter",
    "Open",
    "Order",
    "Planner",
    "PlannerInput",
    "Stage",
    "choose_preemption",
    "plan_replicas",
    "choose_loads_to_stage",
]

"""Assembly of replicas from registered endpoints.

Explanation
===========

Members are ordered to join a replica under a new identity and epoch. When
all of them report that they are ready, the head is ordered to open, that is,
to accept requests. When a member is lost, the whole replica is dissolved:
the other members become free only when their head can no longer serve,
because it is closed, broken or gone. So no endpoint is ever in two replicas
that may serve, and no replica serves without all its members.

Each failure domain has one active planner, which holds a lease. The planner
has no persistent state: identities are never reused, and epochs exceed the
revision of the platform's store and all epochs of its earlier eras. Endpoints
can therefore reject orders that arrive late or come from a planner that has
been replaced.
"""

from wasabilanding.assembly.capacity import Capacity
from wasabilanding.assembly.capacity import capacity_of
from wasabilanding.assembly.capacity import Cause
from wasabilanding.assembly.capacity import ModelCapacity
from wasabilanding.assembly.choice import choose_loads_to_stage
from wasabilanding.assembly.choice import choose_preemption
from wasabilanding.assembly.choice import plan_replicas
from wasabilanding.assembly.choice import Preemption
from wasabilanding.assembly.choice import ReplicaPlan
from wasabilanding.assembly.demand import busy_vms
from wasabilanding.assembly.demand import demanded_shares
from wasabilanding.assembly.demand import DemandEstimate
from wasabilanding.assembly.limited_heads import Head
from wasabilanding.assembly.limited_heads import LimitedHeads
from wasabilanding.assembly.limited_heads import missing_requests
from wasabilanding.assembly.orders import Close
from wasabilanding.assembly.orders import Join
from wasabilanding.assembly.orders import Leave
from wasabilanding.assembly.orders import Open
from wasabilanding.assembly.orders import Order
from wasabilanding.assembly.orders import PlannerInput
from wasabilanding.assembly.orders import Probe
from wasabilanding.assembly.orders import Stage
from wasabilanding.assembly.planner import EPOCHS_PER_ERA
from wasabilanding.assembly.planner import first_epoch
from wasabilanding.assembly.planner import Planner
from wasabilanding.assembly.rate_limiter import LoadRateLimiter
from wasabilanding.assembly.spares import apportion
from wasabilanding.assembly.spares import choose_spare_loads
from wasabilanding.assembly.upkeep import ProbeAnswer
from wasabilanding.assembly.upkeep import ProbeResult

__all__ = [
    "EPOCHS_PER_ERA",
    "Capacity",
    "Cause",
    "Close",
    "DemandEstimate",
    "Head",
    "Join",
    "Leave",
    "LimitedHeads",
    "LoadRateLimiter",
    "ModelCapacity",
    "Open",
    "Order",
    "Planner",
    "PlannerInput",
    "Preemption",
    "Probe",
    "ProbeAnswer",
    "ProbeResult",
    "ReplicaPlan",
    "Stage",
    "apportion",
    "busy_vms",
    "capacity_of",
    "choose_loads_to_stage",
    "choose_preemption",
    "choose_spare_loads",
    "demanded_shares",
    "first_epoch",
    "missing_requests",
    "plan_replicas",
]

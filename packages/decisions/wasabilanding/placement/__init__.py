"""Placement: which VMs form which replicas in one failure domain.

Explanation

The holder of control calls :func:`plan` on each tick. It returns the next
record and, for the record that is already agreed, the orders that bring the
VMs in line with it. Orders follow only from an agreed record, and repeat
until the VMs report what was ordered, so a lost order needs no bookkeeping.
"""

from wasabilanding.placement.explanation import explain
from wasabilanding.placement.explanation import Explanation
from wasabilanding.placement.fit import unplaceable_reason
from wasabilanding.placement.health import is_serving
from wasabilanding.placement.history import History
from wasabilanding.placement.history import update_history
from wasabilanding.placement.history import VmHistory
from wasabilanding.placement.lease import ControlLease
from wasabilanding.placement.lease import is_candidate
from wasabilanding.placement.orders import Drain
from wasabilanding.placement.orders import Load
from wasabilanding.placement.orders import Order
from wasabilanding.placement.orders import orders_for
from wasabilanding.placement.orders import Preload
from wasabilanding.placement.orders import Release
from wasabilanding.placement.planner import plan
from wasabilanding.placement.planner import wanted_profiles
from wasabilanding.placement.rolling import Reversal
from wasabilanding.placement.rolling import reversals
from wasabilanding.placement.snapshot import DomainSnapshot
from wasabilanding.placement.spares import leave_left_over
from wasabilanding.placement.spares import LeftOverPolicy
from wasabilanding.placement.spares import spares_only
from wasabilanding.placement.spares import use_left_over
from wasabilanding.placement.substitution import substitution_orders
from wasabilanding.placement.summary import service_lack
from wasabilanding.placement.summary import summarise
from wasabilanding.placement.summary import Summary
from wasabilanding.placement.summary import wanted_replicas

__all__ = [
    "ControlLease",
    "Drain",
    "Explanation",
    "History",
    "LeftOverPolicy",
    "Load",
    "Order",
    "Preload",
    "Release",
    "Reversal",
    "DomainSnapshot",
    "Summary",
    "VmHistory",
    "update_history",
    "explain",
    "is_candidate",
    "is_serving",
    "leave_left_over",
    "unplaceable_reason",
    "orders_for",
    "plan",
    "reversals",
    "service_lack",
    "spares_only",
    "substitution_orders",
    "summarise",
    "use_left_over",
    "wanted_profiles",
    "wanted_replicas",
]

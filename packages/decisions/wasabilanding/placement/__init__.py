"""Placement: which VMs form which replicas in one failure domain.

Explanation

Each failure domain has one controller: the node that holds the domain's
control lease. On each tick the controller calls :func:`plan`, which returns
the next record, and :func:`orders_for`, which returns the orders that bring
the VMs in line with the committed record. Orders are derived from committed
records only and are repeated until the VMs report the ordered state, so lost
orders need not be tracked.
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
from wasabilanding.placement.rolling import find_rollbacks
from wasabilanding.placement.rolling import Rollback
from wasabilanding.placement.snapshot import DomainSnapshot
from wasabilanding.placement.spares import assign_nothing
from wasabilanding.placement.spares import assign_spares_and_extras
from wasabilanding.placement.spares import assign_spares_only
from wasabilanding.placement.spares import SparePolicy
from wasabilanding.placement.substitution import substitution_orders
from wasabilanding.placement.summary import service_shortfall
from wasabilanding.placement.summary import summarise
from wasabilanding.placement.summary import Summary
from wasabilanding.placement.summary import wanted_replicas

__all__ = [
    "ControlLease",
    "Drain",
    "Explanation",
    "History",
    "SparePolicy",
    "Load",
    "Order",
    "Preload",
    "Release",
    "Rollback",
    "DomainSnapshot",
    "Summary",
    "VmHistory",
    "update_history",
    "explain",
    "is_candidate",
    "is_serving",
    "assign_nothing",
    "unplaceable_reason",
    "orders_for",
    "plan",
    "find_rollbacks",
    "service_shortfall",
    "assign_spares_only",
    "substitution_orders",
    "summarise",
    "assign_spares_and_extras",
    "wanted_profiles",
    "wanted_replicas",
]

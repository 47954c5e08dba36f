"""Placement: which VMs form which replicas in one failure domain.

Explanation
===========

The holder of control calls :func:`plan` on each tick. It returns the next
record and, for the record that is already agreed, the orders that bring the
VMs in line with it. Orders follow only from an agreed record, and repeat
until the VMs report what was ordered, so a lost order needs no bookkeeping.
"""

from wasabilanding.placement.explanation import explain
from wasabilanding.placement.explanation import Explanation
from wasabilanding.placement.fit import misfit
from wasabilanding.placement.lease import ControlLease
from wasabilanding.placement.orders import Load
from wasabilanding.placement.orders import orders_for
from wasabilanding.placement.orders import Release
from wasabilanding.placement.planner import plan
from wasabilanding.placement.planner import Situation
from wasabilanding.placement.summary import summarise
from wasabilanding.placement.summary import Summary
from wasabilanding.placement.summary import wanted_replicas

__all__ = [
    "ControlLease",
    "Explanation",
    "Load",
    "Release",
    "Situation",
    "Summary",
    "explain",
    "misfit",
    "orders_for",
    "plan",
    "summarise",
    "wanted_replicas",
]

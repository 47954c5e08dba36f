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

from wasabilanding.assembly.ceiling import LoadCeiling
from wasabilanding.assembly.choice import choose_exchange
from wasabilanding.assembly.choice import choose_formations
from wasabilanding.assembly.choice import Exchange
from wasabilanding.assembly.choice import Formation
from wasabilanding.assembly.choice import weights_to_stage
from wasabilanding.assembly.orders import Ask
from wasabilanding.assembly.orders import Close
from wasabilanding.assembly.orders import Join
from wasabilanding.assembly.orders import Leave
from wasabilanding.assembly.orders import Open
from wasabilanding.assembly.orders import Order
from wasabilanding.assembly.orders import Situation
from wasabilanding.assembly.orders import Stage
from wasabilanding.assembly.planner import Planner

__all__ = [
    "Ask",
    "Close",
    "Exchange",
    "Formation",
    "Join",
    "Leave",
    "LoadCeiling",
    "Open",
    "Order",
    "Planner",
    "Situation",
    "Stage",
    "choose_exchange",
    "choose_formations",
    "weights_to_stage",
]

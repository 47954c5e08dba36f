"""A complete system inside one process, driven by trio's mock clock.

Explanation
===========

The nodes are those of the daemon. They run against the same stand-ins, over
:class:`wasabilanding.standins.MemoryNetwork` in place of sockets. A scenario
that :func:`run_seeded` runs takes its random choices from one seed and its
time from the mock clock, so that it gives the same result every time.
"""

from wasabilanding.experiments.cluster.plan import ENGINE_PORT
from wasabilanding.experiments.cluster.plan import Plan
from wasabilanding.experiments.cluster.seeded import run_seeded
from wasabilanding.experiments.cluster.system import ADMINISTRATION_PORT
from wasabilanding.experiments.cluster.system import CALLERS_PORT
from wasabilanding.experiments.cluster.system import Cluster
from wasabilanding.experiments.cluster.system import open_cluster
from wasabilanding.experiments.cluster.system import PEERS_PORT
from wasabilanding.experiments.cluster.system import PLATFORM_ADDRESS
from wasabilanding.experiments.cluster.system import PLATFORM_LOCATION
from wasabilanding.experiments.cluster.system import RunningNode

__all__ = [
    "ADMINISTRATION_PORT",
    "CALLERS_PORT",
    "Cluster",
    "ENGINE_PORT",
    "PEERS_PORT",
    "PLATFORM_ADDRESS",
    "PLATFORM_LOCATION",
    "Plan",
    "RunningNode",
    "open_cluster",
    "run_seeded",
]

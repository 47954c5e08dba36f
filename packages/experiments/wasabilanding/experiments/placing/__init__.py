"""Model of requests that many nodes place on shared endpoints.

Explanation
===========

It runs the gateway's own choice of an endpoint, and its knowledge of other
nodes' requests, in simulated time: arrivals are a Poisson process, endpoints
have slots and a queue, and load reports arrive late. Network and processor
time are left out. Hundreds of nodes take a few seconds.
"""

from wasabilanding.experiments.placing.admission import OverloadPattern
from wasabilanding.experiments.placing.admission import OverloadResult
from wasabilanding.experiments.placing.admission import simulate_overload
from wasabilanding.experiments.placing.patterns import LoadPattern
from wasabilanding.experiments.placing.patterns import PATTERNS
from wasabilanding.experiments.placing.policies import POLICIES
from wasabilanding.experiments.placing.simulation import Result
from wasabilanding.experiments.placing.simulation import simulate

__all__ = [
    "LoadPattern",
    "PATTERNS",
    "OverloadPattern",
    "OverloadResult",
    "POLICIES",
    "Result",
    "simulate",
    "simulate_overload",
]

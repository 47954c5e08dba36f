"""Runs gateways and self-registering engines as separate processes.

Explanation
===========

An installation consists of the platform stand-in, the engines of each failure
domain and the gateways, all on loopback. They use the project's own wire
formats. The demo serves requests on an installation; the soak test
additionally injects faults and planned changes under load, and checks that
the guarantees hold.
"""

from wasabilanding.experiments.installation.checks import find_violations
from wasabilanding.experiments.installation.checks import Observation
from wasabilanding.experiments.installation.cuts import Ending
from wasabilanding.experiments.installation.cuts import Excuses
from wasabilanding.experiments.installation.cuts import Sorter
from wasabilanding.experiments.installation.launch import Installation
from wasabilanding.experiments.installation.launch import Plan
from wasabilanding.experiments.installation.load import Answer
from wasabilanding.experiments.installation.load import Request
from wasabilanding.experiments.installation.record import TimeoutChange

__all__ = [
    "Answer",
    "Ending",
    "Excuses",
    "Installation",
    "Observation",
    "Plan",
    "Request",
    "Sorter",
    "TimeoutChange",
    "find_violations",
]

"""Gateways before engines that register themselves, as processes.

Explanation
===========

An installation is the stand-in of the platform, the engines of each failure
domain and the gateways, all on loopback and in the project's own form. The
demo shows the main job on it; the soak adds faults from outside, planned
changes and callers, and checks what must hold.
"""

from wasabilanding.experiments.installation.checks import find_violations
from wasabilanding.experiments.installation.checks import Observation
from wasabilanding.experiments.installation.launch import Installation
from wasabilanding.experiments.installation.launch import Plan
from wasabilanding.experiments.installation.load import Answer
from wasabilanding.experiments.installation.load import Request

__all__ = [
    "Answer",
    "Installation",
    "Observation",
    "Plan",
    "Request",
    "find_violations",
]

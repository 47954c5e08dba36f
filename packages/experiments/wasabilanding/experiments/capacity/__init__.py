"""Capacity estimates for the deployment size planned in two years.

Explanation
===========

``make capacity`` takes each measurement at three or more sizes, writes the
readings to ``docs/capacity.json`` and renders ``docs/CAPACITY.md`` from them.
Each row of the page extrapolates a linear fit to the target size and compares
the result with its budget; a row over budget states by what factor.
"""

from wasabilanding.experiments.capacity.page import render
from wasabilanding.experiments.capacity.readings import Measurements
from wasabilanding.experiments.capacity.readings import Slope
from wasabilanding.experiments.capacity.requirements import all_requirements
from wasabilanding.experiments.capacity.requirements import Requirement
from wasabilanding.experiments.capacity.target import Target

__all__ = [
    "Measurements",
    "Requirement",
    "Slope",
    "Target",
    "all_requirements",
    "render",
]

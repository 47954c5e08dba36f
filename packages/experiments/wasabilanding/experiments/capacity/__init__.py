"""What the system needs at the size of two years from now.

Explanation
===========

``make capacity`` measures slopes over at least three sizes each, writes them
to ``docs/capacity.json`` and renders ``docs/CAPACITY.md`` from them. Each
line of the page is a slope carried to the target size and held against its
budget; a line that does not fit says by how much and what would carry it.
"""

from wasabilanding.experiments.capacity.lines import capacity_lines
from wasabilanding.experiments.capacity.lines import Line
from wasabilanding.experiments.capacity.measured import Measured
from wasabilanding.experiments.capacity.measured import Slope
from wasabilanding.experiments.capacity.page import render
from wasabilanding.experiments.capacity.target import Target

__all__ = [
    "Line",
    "Measured",
    "Slope",
    "Target",
    "capacity_lines",
    "render",
]

"""Reproducible experiments with load and faults on a simulated system.

Explanation
===========

An experiment is a JSON document that describes the size of the system, an
open load, a timeline of faults and the names of the policies. It runs in one
process on trio's mock clock, so the same seed gives the same results, and
hundreds of simulated seconds take a few real ones. There are two modes:

``direct``
    Entry VMs use the daemon's own admission and routing and call the
    stand-in engines without HTTP. Replicas are placed once, at the start.
    Suited to experiments with load.
``whole``
    The complete system of :mod:`wasabilanding.experiments.cluster`,
    including control and platform. Suited to experiments with faults;
    slower.

Both modes share the generation of requests, the faults and the results.
"""

from wasabilanding.experiments.study.compare import compare
from wasabilanding.experiments.study.compare import Comparison
from wasabilanding.experiments.study.plot import plot
from wasabilanding.experiments.study.results import load_results
from wasabilanding.experiments.study.results import Results
from wasabilanding.experiments.study.run import run_experiment
from wasabilanding.experiments.study.specification import Experiment
from wasabilanding.experiments.study.specification import load_experiment

__all__ = [
    "Comparison",
    "Experiment",
    "Results",
    "compare",
    "load_experiment",
    "load_results",
    "plot",
    "run_experiment",
]

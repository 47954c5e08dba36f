"""Experiments: load and faults against the decisions, from one seed.

Explanation
===========

An experiment is a JSON document: what the system is made of, an open load,
faults on a timeline and policies by name. It runs in one process on trio's
mock clock, so the same seed gives the same result and hundreds of seconds
pass in a few real ones. There are two modes:

``direct``
    entry VMs with the daemon's own admission and routing call the stand-in
    engines without HTTP; replicas are placed once. It is for questions of
    load.
``whole``
    the whole system of :mod:`wasabilanding.experiments.cluster`, control and
    platform included. It is for questions of faults, and slower.

Both modes share arrivals, faults and results.
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

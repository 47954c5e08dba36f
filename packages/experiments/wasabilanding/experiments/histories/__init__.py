"""Checkers for the histories of concurrent runs.

Explanation
===========

A run records what each caller sent and received, and every engine logs the
requests that it started. A checker is a function from these records to the
list of violated properties, and does not depend on the implementation of the
mechanism under test. An empty list is a pass.
"""

from wasabilanding.experiments.histories.at_most_once import claim_violations
from wasabilanding.experiments.histories.mixed_faults import MixedFaultRun
from wasabilanding.experiments.histories.mixed_faults import run_mixed_faults
from wasabilanding.experiments.histories.poison import Crash
from wasabilanding.experiments.histories.poison import crash_bound_violations
from wasabilanding.experiments.histories.submissions import starts
from wasabilanding.experiments.histories.submissions import Submission
from wasabilanding.experiments.histories.submissions import submit
from wasabilanding.experiments.histories.submissions import UNANSWERED

__all__ = [
    "Crash",
    "MixedFaultRun",
    "Submission",
    "UNANSWERED",
    "claim_violations",
    "crash_bound_violations",
    "run_mixed_faults",
    "starts",
    "submit",
]

"""Checkers of the histories of concurrent runs.

Explanation
===========

A run records what each caller sent and was told, and every engine logs what
it started. A checker is a plain function from these records to the list of
promises that were broken, and knows nothing of the mechanism; an empty list
is a pass.
"""

from wasabilanding.experiments.histories.at_most_once import broken_claims
from wasabilanding.experiments.histories.mixed_faults import MixedRun
from wasabilanding.experiments.histories.mixed_faults import run_mixed
from wasabilanding.experiments.histories.poison import broken_bounds
from wasabilanding.experiments.histories.poison import Death
from wasabilanding.experiments.histories.submissions import starts
from wasabilanding.experiments.histories.submissions import Submission
from wasabilanding.experiments.histories.submissions import submit
from wasabilanding.experiments.histories.submissions import UNANSWERED

__all__ = [
    "Death",
    "MixedRun",
    "Submission",
    "UNANSWERED",
    "broken_bounds",
    "broken_claims",
    "run_mixed",
    "starts",
    "submit",
]

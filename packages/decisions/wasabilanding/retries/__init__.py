"""Retries: what follows an attempt that did not complete.

Explanation
===========

An attempt that did not run may be repeated; one that may have run only for
an idempotent request of which no part was delivered. A request tries three
replicas at most, never past its deadline, and within a budget of the node
[1]_. What its caller is told covers all its attempts: 'not run' is said only
when none of them may have run.

References
==========

.. [1] B. Beyer, C. Jones, J. Petoff, N. Murphy, Site Reliability
   Engineering, chapter 22: Addressing Cascading Failures, 2016.
"""

from wasabilanding.retries.budget import BucketParameters
from wasabilanding.retries.budget import node_budget
from wasabilanding.retries.budget import RetryBudget
from wasabilanding.retries.policy import Attempts
from wasabilanding.retries.policy import final_outcome
from wasabilanding.retries.policy import GiveUp
from wasabilanding.retries.policy import MAX_ATTEMPTS
from wasabilanding.retries.policy import next_step
from wasabilanding.retries.policy import Retry

__all__ = [
    "Attempts",
    "GiveUp",
    "MAX_ATTEMPTS",
    "BucketParameters",
    "Retry",
    "RetryBudget",
    "node_budget",
    "final_outcome",
    "next_step",
]

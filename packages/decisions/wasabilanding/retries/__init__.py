"""Retry decisions after attempts that did not complete.

Explanation
===========

An attempt that did not run may be retried. An attempt that may have run is
retried only for an idempotent request of which no part was delivered. A
request makes at most three attempts, none after its deadline, and retries are
limited by a budget of the node [1]_. The outcome returned to the caller covers
all attempts: it is 'not run' only if none of them may have run.

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

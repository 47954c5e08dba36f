"""Admission control and fair queueing of requests.

Explanation
===========

Two processes share the queues, slot times and corrected waits of this package:
the daemon admits by :class:`Admission`, the gateway by :class:`PoolQueue`.

Daemon: each entry VM runs at most its share of the batch slots of the replicas
that it can use (:func:`concurrency_limit`). Further requests wait in one
:class:`FairQueue` per service: customers are served by start-time fair
queueing [1]_ over estimated tokens, and the difference between estimated and
actual work is charged when a request ends, as in the virtual token counter of
[2]_. Among requests of one customer, higher priorities are served first.
Priorities do not apply across customers; otherwise a customer could take the
shares of all others by giving its requests a high priority.

A request whose deadline cannot be met is refused on arrival. A waiting
request that can no longer meet its deadline because a request of higher
priority arrived is refused at that time, not when its deadline passes. The
wait is predicted from the start tags that order the queue
(:meth:`FairQueue.work_before`) and from the mean recent slot time per token.

Gateway: many nodes with few requests each share the slots of a pool, so that
an equal share of the slots would be less than one. While requests wait, the
nodes report them (:class:`WaitingReports`) and divide the pool's completions
among customers, then among nodes (:func:`allot`). Requests beyond wait in the
:class:`PoolQueue` of their node.

Both bound the connections of callers (:func:`connection_limit`). The gateway
also bounds the memory that requests take, at the node
(:func:`memory_obstacle`) and at the endpoints (:func:`free_tokens`), and the
time that it spends on reading replies (:class:`ReadShares`). While it stops,
it sends only requests that can end in the time left (:func:`can_end`).

The functions take the time as an argument and perform no input or output.

Examples
========

>>> from wasabilanding import configuration
>>> from wasabilanding import limits
>>> admission = limits.Admission(max_in_flight=100)
>>> admission.set_limit("escriba", 1, now=0.0)
()
>>> request = limits.AdmissionRequest(
...     "r1", "escriba", "salon", 64.0, 5, deadline=9.0
... )
>>> admission.offer(request, configuration.Customer(), now=0.0)
(Admitted(request_id='r1', within_share=True),)

See Also
========

wasabilanding.routing : chooses the replica of an admitted request.
wasabilanding.retries : decides what follows an incomplete attempt.

References
==========

.. [1] P. Goyal, H. M. Vin and H. Cheng, "Start-time fair queueing: a
       scheduling algorithm for integrated services packet switching
       networks", IEEE/ACM Transactions on Networking 5(5), 1997.
.. [2] Y. Sheng et al., "Fairness in Serving Large Language Models",
       OSDI 2024.
"""

from wasabilanding.limits.admission import Admission
from wasabilanding.limits.admission import Admitted
from wasabilanding.limits.admission import Decision
from wasabilanding.limits.admission import Decisions
from wasabilanding.limits.admission import Shed
from wasabilanding.limits.admission_request import AdmissionRequest
from wasabilanding.limits.admission_request import estimated_tokens
from wasabilanding.limits.backlog_share import BacklogShare
from wasabilanding.limits.connections import connection_limit
from wasabilanding.limits.connections import connection_to_close
from wasabilanding.limits.connections import ConnectionStanding
from wasabilanding.limits.connections import costly_requests
from wasabilanding.limits.connections import RELAYS_SHARE
from wasabilanding.limits.connections import STATUS_SHARE
from wasabilanding.limits.customer_queue import Kind
from wasabilanding.limits.fair_queue import FairQueue
from wasabilanding.limits.grace_period import can_end
from wasabilanding.limits.grace_period import grace_period
from wasabilanding.limits.grace_period import GracePeriod
from wasabilanding.limits.grace_period import RecentRuns
from wasabilanding.limits.limited_slots import limited_slots
from wasabilanding.limits.limited_slots import LimitedSlots
from wasabilanding.limits.limited_slots import returning_slots
from wasabilanding.limits.memory import memory_budget
from wasabilanding.limits.memory import memory_obstacle
from wasabilanding.limits.memory import MemoryBudget
from wasabilanding.limits.memory import MemoryCause
from wasabilanding.limits.memory import stalled_body
from wasabilanding.limits.memory import usable_bytes
from wasabilanding.limits.pool_queue import PoolQueue
from wasabilanding.limits.pool_queue import PoolRequest
from wasabilanding.limits.pool_share import allot
from wasabilanding.limits.pool_share import backlog_slots
from wasabilanding.limits.pool_share import max_min
from wasabilanding.limits.pool_share import PoolState
from wasabilanding.limits.read_share import ReadShare
from wasabilanding.limits.read_share import ReadShares
from wasabilanding.limits.return_schedule import ReturnSchedule
from wasabilanding.limits.run_time import RunTime
from wasabilanding.limits.share import concurrency_limit
from wasabilanding.limits.share import engine_priority
from wasabilanding.limits.slot_time import SlotTime
from wasabilanding.limits.tokens import free_tokens
from wasabilanding.limits.tokens import MeanTokens
from wasabilanding.limits.waiting_reports import bounded
from wasabilanding.limits.waiting_reports import WaitingReports

__all__ = [
    "Admission",
    "Admitted",
    "AdmissionRequest",
    "BacklogShare",
    "ConnectionStanding",
    "Decision",
    "Decisions",
    "FairQueue",
    "GracePeriod",
    "Kind",
    "LimitedSlots",
    "MeanTokens",
    "MemoryBudget",
    "MemoryCause",
    "PoolQueue",
    "PoolRequest",
    "PoolState",
    "RELAYS_SHARE",
    "ReadShare",
    "ReadShares",
    "RecentRuns",
    "ReturnSchedule",
    "RunTime",
    "STATUS_SHARE",
    "Shed",
    "SlotTime",
    "WaitingReports",
    "allot",
    "backlog_slots",
    "bounded",
    "can_end",
    "concurrency_limit",
    "connection_limit",
    "connection_to_close",
    "costly_requests",
    "engine_priority",
    "estimated_tokens",
    "free_tokens",
    "grace_period",
    "limited_slots",
    "max_min",
    "memory_budget",
    "memory_obstacle",
    "returning_slots",
    "stalled_body",
    "usable_bytes",
]

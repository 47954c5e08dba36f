"""Protection against requests that crash the endpoints that run them.

Explanation
===========

The fingerprint of a request is computed from its service and text,
independently of its caller, customer or idempotency key. When a replica
crashes, every node records the fingerprints of its own requests there as
notices and sends them to the other nodes by gossip.

*Suspicion.* A crash with n requests in flight counts for each of them with
the weight 1/n. A request that completes later is cleared, which increases the
weight of the remaining ones, as in adaptive group testing [1]_. A request is
quarantined, which means that it is refused for some time, if it was in flight
at two crashes whose weights add up to one, or at three crashes.

*Mass events.* Where many replicas crash within a second, most of them without
the request, its own crash hardly tells anything: its weight is divided by the
number of these crashes, and it does not count among the two or three. Five
crashes count in any case.

*Evidence.* A broken connection alone is no crash: endpoints reset connections
while they live. :class:`BrokenConnections` keeps them until it is known.

*Parts of prompts.* Requests that are all different may share the part that
crashes replicas. :class:`PartSuspicions` suspects parts as well as requests.

*Records.* What nodes know ends with them, so quarantines are recorded where
they outlive all nodes; :func:`record_changes` tells which.

*Home replicas.* Notices are delayed, and copies of one request may arrive
through all entry VMs at once. Each request may therefore run only on a few
replicas of a failure domain, its *homes*, which every node determines in the
same way by rendezvous hashing [2]_. Two homes depend on the beginning of the
prompt, so that requests with the same beginning use the same prefix caches.
One depends on the whole text, so that requests with a common beginning are
not limited to two replicas. A crashed replica stays a home until all nodes
have received the notice of its crash. A suspected request runs on one home
at a time, first on the one that depends on its text, which it shares with
few other suspected requests.

The state is kept in :class:`Suspicions`; notices can be merged in any order
and repeatedly.

Examples
========

>>> from wasabilanding import poison
>>> suspicions = poison.Suspicions()
>>> request = poison.fingerprint("escriba", "the  prompt")
>>> request == poison.fingerprint("escriba", " the prompt")
True
>>> for at, replica in ((1.0, "vm-1@1"), (5.0, "vm-2@1")):
...     notice = suspicions.record_crash(request, replica, at)
>>> suspicions.status(request, now=6.0).quarantined
True

See Also
========

wasabilanding.claims : runs a non-idempotent request at most once.

References
==========

.. [1] R. Dorfman, "The Detection of Defective Members of Large Populations",
       The Annals of Mathematical Statistics 14(4), 1943.
.. [2] D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to
       increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from wasabilanding.poison.evidence import BrokenConnection
from wasabilanding.poison.evidence import BrokenConnections
from wasabilanding.poison.evidence import EndpointState
from wasabilanding.poison.homes import home_names
from wasabilanding.poison.homes import HOME_RETENTION_S
from wasabilanding.poison.homes import HomeCandidates
from wasabilanding.poison.homes import HOMES_PER_REQUEST
from wasabilanding.poison.homes import trial_names
from wasabilanding.poison.homes import trial_order
from wasabilanding.poison.parts import count_rounds
from wasabilanding.poison.parts import PartStatus
from wasabilanding.poison.parts import PartSuspicions
from wasabilanding.poison.presumed_ends import PresumedEnds
from wasabilanding.poison.records import Crashes
from wasabilanding.poison.records import record_changes
from wasabilanding.poison.records import record_delay_s
from wasabilanding.poison.records import RecordAction
from wasabilanding.poison.records import RecordChange
from wasabilanding.poison.records import RecordSchedule
from wasabilanding.poison.records import Subject
from wasabilanding.poison.records import subject_of
from wasabilanding.poison.suspicions import exact_fingerprint
from wasabilanding.poison.suspicions import Feature
from wasabilanding.poison.suspicions import fingerprint
from wasabilanding.poison.suspicions import Notice
from wasabilanding.poison.suspicions import NOTICE_RETENTION_S
from wasabilanding.poison.suspicions import NoticeKind
from wasabilanding.poison.suspicions import Suspicions
from wasabilanding.poison.suspicions import SuspicionStatus

__all__ = [
    "BrokenConnection",
    "BrokenConnections",
    "Crashes",
    "EndpointState",
    "Feature",
    "HOMES_PER_REQUEST",
    "HOME_RETENTION_S",
    "NOTICE_RETENTION_S",
    "Notice",
    "NoticeKind",
    "HomeCandidates",
    "PartStatus",
    "PartSuspicions",
    "PresumedEnds",
    "RecordAction",
    "RecordChange",
    "RecordSchedule",
    "Subject",
    "SuspicionStatus",
    "Suspicions",
    "count_rounds",
    "exact_fingerprint",
    "fingerprint",
    "home_names",
    "record_changes",
    "record_delay_s",
    "subject_of",
    "trial_names",
    "trial_order",
]

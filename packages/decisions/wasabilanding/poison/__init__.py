"""Poison: requests that crash each endpoint that runs them.

Explanation
===========

A request has a fingerprint: its service and its text, whatever its caller,
customer or idempotency key. When a replica dies, every node notes the
fingerprints of its own requests there, and the notes travel among the nodes.

*Who is suspected.* All requests in flight at a death share the suspicion: a
death counts for each with the weight of one over their number. One that
completes later is cleared, and the weight of the rest grows: the group test
[1]_ narrows down by itself. A request is condemned, and refused for a time,
when it was in flight at two deaths that weigh one together, or at three.

*Where requests may run.* Notes take time to arrive, and copies of one
request may come through all entry VMs at once. So the replicas of a failure
domain that one request may reach are bounded from the start: its *homes*,
chosen by rendezvous hashing [2]_, which every node computes alike. Two homes
follow from the beginning of the prompt, so that requests that share it meet
the same prefix caches; one follows from the whole text, so that a popular
beginning does not fill two replicas only. A replica that has died stays a
home until all nodes have heard of it. A suspect runs at one home at a time,
first at the one that follows from its text, which few other suspects share.

The state of the package is :class:`Suspicions`; its notices merge in any
order and any number of times.

Examples
========

>>> from wasabilanding import poison
>>> suspicions = poison.Suspicions()
>>> pill = poison.fingerprint("escriba", "the  pill")
>>> pill == poison.fingerprint("escriba", " the pill")
True
>>> for at, replica in ((1.0, "vm-1@1"), (5.0, "vm-2@1")):
...     suspicions.note_crash(pill, replica, at)
>>> suspicions.status(pill, now=6.0).quarantined
True

See Also
========

wasabilanding.claims : at most one run of a non-idempotent request.

References
==========

.. [1] R. Dorfman, "The Detection of Defective Members of Large Populations",
       The Annals of Mathematical Statistics 14(4), 1943.
.. [2] D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to
       increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from wasabilanding.poison.homes import home_names
from wasabilanding.poison.homes import HOME_RETENTION_S
from wasabilanding.poison.homes import HomeCandidates
from wasabilanding.poison.homes import HOMES_PER_REQUEST
from wasabilanding.poison.homes import trial_names
from wasabilanding.poison.suspicions import fingerprint
from wasabilanding.poison.suspicions import Notice
from wasabilanding.poison.suspicions import NOTICE_RETENTION_S
from wasabilanding.poison.suspicions import NoticeKind
from wasabilanding.poison.suspicions import Suspicions
from wasabilanding.poison.suspicions import SuspicionStatus

__all__ = [
    "HOMES_PER_REQUEST",
    "HOME_RETENTION_S",
    "NOTICE_RETENTION_S",
    "Notice",
    "NoticeKind",
    "HomeCandidates",
    "SuspicionStatus",
    "Suspicions",
    "fingerprint",
    "home_names",
    "trial_names",
]

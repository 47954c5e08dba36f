"""Claims, which ensure that a non-idempotent request runs at most once.

Explanation
===========

A caller sends a non-idempotent request with a key that is the same each time
it submits the request. Before the first attempt the entry VM writes a claim
under that key to the platform's store by compare-and-swap, so that submissions
through different entry VMs or failure domains are serialized there. A claim
counts only once its compare-and-swap has succeeded, and decisions are never
based on a cached claim.

A claim has three states. ``OPEN`` means that its request may be running. An
open claim is never taken over, even if its owner is gone: the owner may only
be paused, and a fencing token does not stop an engine that does not check it.
``FINISHED`` keeps the outcome for repeated submissions. ``RELEASED`` means
that the request was not run; only then may another submission take the claim,
by a compare-and-swap over the released revision.

Each claim contains a token that identifies its write. If the answer to a write
was lost, the claim is read: if it contains the token, the write took effect.
A write that was abandoned may still arrive later and succeed if the revision
that it expects is still current. :func:`settle` therefore writes a released
claim, after which the late write conflicts. This is the idempotency-key
pattern [1]_ with a compare-and-swap register [2]_ as the single point of
decision.

Examples
========

>>> from wasabilanding import claims, model
>>> first = claims.begin("t1", "node-a", 1, claims.fingerprint(b"{}"))
>>> second = claims.begin("t2", "node-b", 1, claims.fingerprint(b"{}"))
>>> claims.decide(first, second, owner_live=True).outcome.detail
'a request with this key is running'
>>> failed = model.not_run(model.Reason.NO_REPLICA, "none")
>>> claims.decide(claims.conclude(first, failed), second, owner_live=True)
Take()

See Also
========

wasabilanding.retries : decides which outcomes allow another attempt.

References
==========

.. [1] J. Jena and S. Dalal, "The Idempotency-Key HTTP Header Field",
       IETF draft draft-ietf-httpapi-idempotency-key-header.
.. [2] M. Herlihy, "Wait-free synchronization", ACM Transactions on
       Programming Languages and Systems 13(1), 1991.
"""

from wasabilanding.claims.budget import ClaimBudget
from wasabilanding.claims.record import begin
from wasabilanding.claims.record import Claim
from wasabilanding.claims.record import ClaimState
from wasabilanding.claims.record import conclude
from wasabilanding.claims.record import fingerprint
from wasabilanding.claims.repeats import AlreadyHeld
from wasabilanding.claims.repeats import decide
from wasabilanding.claims.repeats import Decision
from wasabilanding.claims.repeats import Refuse
from wasabilanding.claims.repeats import Replay
from wasabilanding.claims.repeats import Take
from wasabilanding.claims.settlement import NothingToWrite
from wasabilanding.claims.settlement import settle
from wasabilanding.claims.settlement import WriteClaim

__all__ = [
    "ClaimBudget",
    "Claim",
    "ClaimState",
    "Decision",
    "AlreadyHeld",
    "WriteClaim",
    "Refuse",
    "Replay",
    "NothingToWrite",
    "Take",
    "begin",
    "conclude",
    "decide",
    "fingerprint",
    "settle",
]

"""Claims: a non-idempotent request runs at most once.

Explanation
===========

A caller gives a non-idempotent request a key that is the same on every try.
Before the first attempt the entry VM writes a claim under that key to the
platform's store by compare-and-swap, so that tries meet there whatever entry
VM or failure domain they come through. Only a claim whose compare-and-swap
took effect is a claim; nothing is ever decided from a cached one.

A claim has three states. ``OPEN`` says that its request may be running. It
is never taken over, not even when its owner is gone: the owner may merely be
paused, and no fencing number stops an engine that does not check one.
``FINISHED`` keeps the outcome for repeats. ``RELEASED`` says that the
request was not run, and only then may another try take the claim, by a
compare-and-swap over the released revision.

Each claim carries the token of its writer. After a lost answer the claim is
read back: when the token is in it, the write took effect. A write that was
given up may still arrive late, since what it expects may still stand.
:func:`settle` therefore seals the key by a released claim, after which the
late write conflicts. This is the idempotency-key pattern [1]_ with the
compare-and-swap register [2]_ as the single point of decision.

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

wasabilanding.retries : which outcomes allow another attempt.

References
==========

.. [1] J. Jena and S. Dalal, "The Idempotency-Key HTTP Header Field",
       IETF draft draft-ietf-httpapi-idempotency-key-header.
.. [2] M. Herlihy, "Wait-free synchronization", ACM Transactions on
       Programming Languages and Systems 13(1), 1991.
"""

from wasabilanding.claims.budget import Budget
from wasabilanding.claims.record import begin
from wasabilanding.claims.record import Claim
from wasabilanding.claims.record import ClaimState
from wasabilanding.claims.record import conclude
from wasabilanding.claims.record import fingerprint
from wasabilanding.claims.repeats import decide
from wasabilanding.claims.repeats import Decision
from wasabilanding.claims.repeats import Held
from wasabilanding.claims.repeats import Refuse
from wasabilanding.claims.repeats import Replay
from wasabilanding.claims.repeats import Take
from wasabilanding.claims.settlement import Put
from wasabilanding.claims.settlement import settle
from wasabilanding.claims.settlement import Settled

__all__ = [
    "Budget",
    "Claim",
    "ClaimState",
    "Decision",
    "Held",
    "Put",
    "Refuse",
    "Replay",
    "Settled",
    "Take",
    "begin",
    "conclude",
    "decide",
    "fingerprint",
    "settle",
]

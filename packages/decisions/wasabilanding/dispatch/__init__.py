"""Which endpoint takes a request, by what this node has seen of each.

Explanation
===========

Reports of engines are late and asking for them is dear, so a node goes by
its own requests in flight, by failures that it has met, and by the signs of
work on the streams that it relays: a head that still sends events has all
its members, whatever their registrations say.
"""

from wasabilanding.dispatch.choice import Candidate
from wasabilanding.dispatch.choice import candidates_of
from wasabilanding.dispatch.choice import choose
from wasabilanding.dispatch.tracker import EndpointRecord
from wasabilanding.dispatch.tracker import EndpointTracker

__all__ = [
    "EndpointTracker",
    "Candidate",
    "EndpointRecord",
    "candidates_of",
    "choose",
]

"""Choice of the endpoint for a request, from what this node observes.

Explanation
===========

Reports of engines are delayed and expensive to poll. A node therefore relies
on its own requests in flight, on failures that it has observed, and on the
progress of the streams that it relays: a head that still sends events has
all its members, whatever their registrations say.
"""

from wasabilanding.dispatch.choice import Candidate
from wasabilanding.dispatch.choice import candidates_of
from wasabilanding.dispatch.choice import choose
from wasabilanding.dispatch.choice import usable
from wasabilanding.dispatch.cold import COLD_BURST_S
from wasabilanding.dispatch.cold import ColdEndpoints
from wasabilanding.dispatch.cold import ColdPhase
from wasabilanding.dispatch.cold import effective_rate
from wasabilanding.dispatch.cold import from_registration
from wasabilanding.dispatch.cold import from_reply
from wasabilanding.dispatch.cold import MAX_CONNECT_DELAY_S
from wasabilanding.dispatch.cold import MAX_REPLY_DELAY_S
from wasabilanding.dispatch.cold import QUIET_S
from wasabilanding.dispatch.cold import send_rate
from wasabilanding.dispatch.evacuations import CandidatesByModel
from wasabilanding.dispatch.evacuations import Evacuations
from wasabilanding.dispatch.evacuations import EvacuationStatement
from wasabilanding.dispatch.evacuations import split_evacuated
from wasabilanding.dispatch.holds import EndpointHolds
from wasabilanding.dispatch.holds import Ticket
from wasabilanding.dispatch.named_limits import NamedLimit
from wasabilanding.dispatch.named_limits import NamedLimits
from wasabilanding.dispatch.reachability import ReachabilityMonitor
from wasabilanding.dispatch.send_slots import BURST_S
from wasabilanding.dispatch.send_slots import MAX_WAIT_S
from wasabilanding.dispatch.send_slots import SendSlots
from wasabilanding.dispatch.send_slots import SHARES
from wasabilanding.dispatch.silence import SilenceMonitor
from wasabilanding.dispatch.silence import WAITS_FOR_CALLER
from wasabilanding.dispatch.tracker import EndpointObservations
from wasabilanding.dispatch.tracker import EndpointTracker
from wasabilanding.dispatch.tracker import Load
from wasabilanding.dispatch.tracker import NEVER
from wasabilanding.dispatch.tracker import PROGRESS_TIMEOUT_S

__all__ = [
    "BURST_S",
    "COLD_BURST_S",
    "MAX_CONNECT_DELAY_S",
    "MAX_REPLY_DELAY_S",
    "MAX_WAIT_S",
    "NEVER",
    "PROGRESS_TIMEOUT_S",
    "QUIET_S",
    "SHARES",
    "WAITS_FOR_CALLER",
    "Candidate",
    "CandidatesByModel",
    "ColdEndpoints",
    "ColdPhase",
    "EndpointHolds",
    "EndpointObservations",
    "EndpointTracker",
    "Evacuations",
    "EvacuationStatement",
    "Load",
    "NamedLimit",
    "NamedLimits",
    "ReachabilityMonitor",
    "SendSlots",
    "SilenceMonitor",
    "Ticket",
    "candidates_of",
    "choose",
    "effective_rate",
    "from_registration",
    "from_reply",
    "send_rate",
    "split_evacuated",
    "usable",
]

"""HTTP client of endpoints: model engines and plain services.

Explanation
===========

The client reads reports from engines, sends them orders and reads request
streams. Streams are server-sent events whose event identifiers are offsets,
so that a stream can be resumed on a new connection.
"""

from wasabilanding.endpoints.client import EndpointClient
from wasabilanding.endpoints.events import EventParser
from wasabilanding.endpoints.events import Part
from wasabilanding.endpoints.streams import Attempt
from wasabilanding.endpoints.streams import AttemptFailed
from wasabilanding.endpoints.streams import AttemptRequest

__all__ = [
    "Attempt",
    "AttemptFailed",
    "AttemptRequest",
    "EndpointClient",
    "EventParser",
    "Part",
]

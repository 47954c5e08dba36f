"""HTTP API through which callers send requests.

Explanation
===========

Requests and streams follow the OpenAI chat completions format. Headers carry
the customer, the deadline, the priority, the idempotency key and whether the
request is non-idempotent. Every error response states whether the request was
run.
"""

from wasabilanding.callers.app import bounded
from wasabilanding.callers.app import callers_app
from wasabilanding.callers.app import PlainRequest
from wasabilanding.callers.app import PlainResponse
from wasabilanding.callers.app import RequestHandler
from wasabilanding.callers.requests import CallerRequest
from wasabilanding.callers.requests import InvalidRequest
from wasabilanding.callers.requests import parse_request
from wasabilanding.callers.requests import RequestFailed

__all__ = [
    "CallerRequest",
    "InvalidRequest",
    "PlainResponse",
    "PlainRequest",
    "RequestFailed",
    "RequestHandler",
    "bounded",
    "callers_app",
    "parse_request",
]

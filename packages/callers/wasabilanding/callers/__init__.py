"""Callers: the HTTP front that people and programs send requests to.

Explanation
===========

Requests and streams follow the chat-completions form. Headers carry the
customer, deadline, priority, idempotency key and non-idempotent mark. Every
answer that is not a success says whether the request was run.
"""

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
    "callers_app",
    "parse_request",
]

"""Error responses to callers."""

import json
import math

from wasabilanding import listening
from wasabilanding import model

STATUS_BY_REASON = {
    model.Reason.INVALID_REQUEST: 400,
    model.Reason.UNKNOWN_SERVICE: 404,
    model.Reason.NO_REPLICA: 503,
    model.Reason.OVERLOADED: 503,
    model.Reason.CUSTOMER_LIMIT: 429,
    model.Reason.DEADLINE: 504,
    model.Reason.REFUSED: 503,
    model.Reason.ENDPOINT_HELD: 503,
    model.Reason.EVACUATED: 503,
    model.Reason.KEYS_NOT_PROVEN: 503,
    model.Reason.NOT_PROVEN: 503,
    model.Reason.REGION_UNAVAILABLE: 503,
    model.Reason.CONNECT_FAILED: 503,
    model.Reason.CONNECTION_LOST: 502,
    model.Reason.STALLED: 504,
    model.Reason.ENDPOINT_ERROR: 502,
    model.Reason.CLAIM_UNAVAILABLE: 503,
    model.Reason.DUPLICATE: 409,
    model.Reason.KEY_REUSED: 422,
    model.Reason.POISONED: 422,
    model.Reason.CANCELLED: 499,
    model.Reason.SHUTTING_DOWN: 503,
}
# Statuses of requests that are refused as they arrive.
REASON_BY_STATUS = {
    408: model.Reason.DEADLINE,
    413: model.Reason.INVALID_REQUEST,
    503: model.Reason.OVERLOADED,
}
RETRIED_STATUSES = frozenset((408, 503))
REFUSED_RETRY_AFTER_S = 1.0


def error_body(outcome: model.Outcome) -> dict:
    """Return the JSON body of an error response.

    :param outcome: outcome of the request.
    """
    return {
        "error": {
            "message": outcome.detail,
            "type": outcome.reason.value,
            "code": outcome.reason.value,
            "outcome": outcome.verdict.value,
            "retry_after_s": outcome.retry_after_s,
        }
    }


def error_headers(outcome: model.Outcome) -> dict[str, str]:
    """Return the headers of an error response.

    :param outcome: outcome of the request.
    """
    headers = {
        "Content-Type": "application/json",
        "X-Outcome": outcome.verdict.value,
        "X-Reason": outcome.reason.value,
    }
    if outcome.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(outcome.retry_after_s))
    return headers


def refused_request(status: int, detail: str) -> listening.RefusedAnswer:
    """Return the answer to a request that is refused as it arrives.

    :param status: HTTP status.
    :param detail: explanation.
    """
    reason = REASON_BY_STATUS.get(status, model.Reason.INVALID_REQUEST)
    wait_s = REFUSED_RETRY_AFTER_S if status in RETRIED_STATUSES else None
    outcome = model.not_run(reason, detail, wait_s)
    headers = error_headers(outcome).items()
    return listening.RefusedAnswer(
        status,
        [(n.lower().encode(), value.encode()) for n, value in headers],
        json.dumps(error_body(outcome)).encode(),
    )


def error_event(outcome: model.Outcome) -> bytes:
    """Return the error event that ends an incomplete stream.

    :param outcome: outcome of the request.
    """
    return b"data: " + json.dumps(error_body(outcome)).encode() + b"\n\n"

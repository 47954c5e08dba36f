"""Outcomes of requests, and whether a request may have run.

Explanation
===========

Each attempt and each request ends with one :class:`Outcome`. Its verdict
tells whether a retry is safe: ``NOT_RUN`` guarantees that no endpoint executed
any part of the request; ``MAY_HAVE_RUN`` means that the system cannot rule out
that one did.
"""

import dataclasses
import enum


class Verdict(enum.Enum):
    """Whether a request was executed."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Reason(enum.Enum):
    """Cause of an outcome."""

    OK = "ok"
    INVALID_REQUEST = "invalid_request"
    UNKNOWN_SERVICE = "unknown_service"
    NO_REPLICA = "no_replica"
    OVERLOADED = "overloaded"
    CUSTOMER_LIMIT = "customer_limit"
    DEADLINE = "deadline"
    REFUSED = "refused"
    ENDPOINT_HELD = "endpoint_held"
    EVACUATED = "evacuated"
    REGION_UNAVAILABLE = "region_unavailable"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    STALLED = "stalled"
    ENDPOINT_ERROR = "endpoint_error"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    DUPLICATE = "duplicate"
    KEY_REUSED = "key_reused"
    POISONED = "poisoned"
    CANCELLED = "cancelled"
    SHUTTING_DOWN = "shutting_down"
    KEYS_NOT_PROVEN = "keys_not_proven"
    NOT_PROVEN = "not_proven"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of an attempt or of a request.

    :param verdict: whether the request was executed.
    :param reason: the cause.
    :param detail: human-readable explanation that names the rejected value.
    :param retry_after_s: delay before the caller should retry, in seconds;
        None when a retry is not advised.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None


def completed() -> Outcome:
    """Return the outcome of a request whose whole answer was delivered."""
    return Outcome(Verdict.COMPLETED, Reason.OK)


def not_run(
    reason: Reason, detail: str, retry_after_s: float | None = None
) -> Outcome:
    """Return an outcome that guarantees the request was not executed.

    :param reason: the cause.
    :param detail: human-readable explanation.
    :param retry_after_s: delay before the caller should retry, in seconds.

    Examples
    ========

    >>> from wasabilanding import model
    >>> model.not_run(model.Reason.NO_REPLICA, "none").verdict.value
    'not_run'
    """
    return Outcome(Verdict.NOT_RUN, reason, detail, retry_after_s)


def may_have_run(reason: Reason, detail: str) -> Outcome:
    """Return an outcome for a request that may have been executed.

    :param reason: the cause.
    :param detail: human-readable explanation.
    """
    return Outcome(Verdict.MAY_HAVE_RUN, reason, detail)

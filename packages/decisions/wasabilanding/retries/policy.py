"""Retry policy of one request."""

import dataclasses

from wasabilanding import model

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0
# Another replica would answer these in the same way.
FINAL_REASONS = frozenset(
    (
        model.Reason.INVALID_REQUEST,
        model.Reason.UNKNOWN_SERVICE,
        model.Reason.DEADLINE,
        model.Reason.POISONED,
        model.Reason.CANCELLED,
    )
)
COMEBACK_REASONS = frozenset(
    (
        model.Reason.NO_REPLICA,
        model.Reason.REFUSED,
        model.Reason.CONNECT_FAILED,
        model.Reason.OVERLOADED,
    )
)


@dataclasses.dataclass(frozen=True)
class Attempts:
    """What a request has been through.

    :param count: attempts made.
    :param deadline: local monotonic time of the deadline in seconds.
    :param idempotent: whether the request may run more than once.
    :param delivered: parts already handed to the caller.
    :param may_have_run: whether any attempt so far may have run.
    """

    count: int
    deadline: float
    idempotent: bool
    delivered: int = 0
    may_have_run: bool = False


@dataclasses.dataclass(frozen=True)
class Retry:
    """Make another attempt at once."""


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """Answer the caller with a final outcome at once.

    :param outcome: what the caller is told.
    """

    outcome: model.Outcome


def _may_repeat(outcome: model.Outcome, attempts: Attempts) -> bool:
    if outcome.verdict is model.Verdict.NOT_RUN:
        return True
    # A part that was delivered belongs to the lost attempt: another attempt
    # could answer differently.
    return attempts.idempotent and attempts.delivered == 0


def final_outcome(outcome: model.Outcome, may_have_run: bool) -> model.Outcome:
    """Return what the caller is told when a request is given up.

    :param outcome: what ended the last attempt, or kept one from being made.
    :param may_have_run: whether any attempt of the request may have run; the
        last one's word alone is no promise for the request.
    :returns: the outcome of the request.

    Examples
    ========

    >>> from wasabilanding import model, retries
    >>> refused = model.not_run(model.Reason.REFUSED, "batch is full")
    >>> retries.final_outcome(refused, False).retry_after_s
    1.0
    >>> retries.final_outcome(refused, True).verdict.value
    'may_have_run'
    """
    if outcome.verdict is not model.Verdict.NOT_RUN:
        return outcome
    if may_have_run:
        return dataclasses.replace(
            outcome, verdict=model.Verdict.MAY_HAVE_RUN, retry_after_s=None
        )
    if outcome.retry_after_s is None and outcome.reason in COMEBACK_REASONS:
        return dataclasses.replace(outcome, retry_after_s=RETRY_AFTER_S)
    return outcome


def next_step(
    outcome: model.Outcome, attempts: Attempts, now: float
) -> Retry | GiveUp:
    """Decide what follows an attempt that did not complete.

    :param outcome: outcome of the attempt.
    :param attempts: what the request has been through.
    :param now: local monotonic time in seconds.
    """
    may_have_run = (
        attempts.may_have_run or outcome.verdict is model.Verdict.MAY_HAVE_RUN
    )
    final = GiveUp(final_outcome(outcome, may_have_run))
    if now >= attempts.deadline or attempts.count >= MAX_ATTEMPTS:
        return final
    if outcome.reason in FINAL_REASONS:
        return final
    if not _may_repeat(outcome, attempts):
        return final
    return Retry()

"""Retry policy of one request."""

import dataclasses

from wasabilanding import model

MAX_ATTEMPTS = 3
COMEBACK_S = 1.0


@dataclasses.dataclass(frozen=True)
class Attempts:
    """What a request has been through.

    :param count: attempts made.
    :param deadline: local monotonic time of the deadline in seconds.
    :param idempotent: whether the request may run more than once.
    :param delivered: parts already handed to the caller.
    """

    count: int
    deadline: float
    idempotent: bool
    delivered: int = 0


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


def next_step(
    outcome: model.Outcome, attempts: Attempts, now: float
) -> Retry | GiveUp:
    """Decide what follows an attempt that did not complete.

    :param outcome: outcome of the attempt.
    :param attempts: what the request has been through.
    :param now: local monotonic time in seconds.
    """
    final = GiveUp(outcome)
    if now >= attempts.deadline or attempts.count >= MAX_ATTEMPTS:
        return final
    if not _may_repeat(outcome, attempts):
        return final
    return Retry()

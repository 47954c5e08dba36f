"""Decisions about a submission whose key already has a claim."""

import dataclasses

from wasabilanding.claims import record
from wasabilanding import model

RUNNING_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class Take:
    """The claim may be taken by compare-and-swap over the existing one."""


@dataclasses.dataclass(frozen=True)
class AlreadyHeld:
    """The existing claim belongs to this submission."""


@dataclasses.dataclass(frozen=True)
class Replay:
    """The request has completed; its stored answer is to be returned.

    :param token: token of the claim, under which the answer is stored.
    """

    token: str


@dataclasses.dataclass(frozen=True)
class Refuse:
    """The submission is not run.

    :param outcome: outcome that is returned to the caller.
    """

    outcome: model.Outcome


Decision = Take | AlreadyHeld | Replay | Refuse


def decide(
    existing: record.Claim, wanted: record.Claim, owner_live: bool
) -> Decision:
    """Decide about a submission whose key already has a claim.

    :param existing: the stored claim.
    :param wanted: the claim that the submission is to take.
    :param owner_live: whether the node that took the existing claim is known
        to be alive in the same incarnation.
    """
    if existing.fingerprint != wanted.fingerprint:
        return Refuse(_reused())
    if existing.state is record.ClaimState.RELEASED:
        return Take()
    if existing.state is record.ClaimState.FINISHED:
        return _finished(existing)
    if existing.token == wanted.token:
        return AlreadyHeld()
    return Refuse(_open(owner_live))


def _reused() -> model.Outcome:
    return model.not_run(
        model.Reason.KEY_REUSED,
        "this key was used with another body; a new request needs a new key",
    )


def _finished(existing: record.Claim) -> Replay | Refuse:
    outcome = existing.outcome
    if outcome is None or outcome.verdict is not model.Verdict.COMPLETED:
        return Refuse(outcome or _open(False))
    if existing.answer_kept:
        return Replay(existing.token)
    return Refuse(answer_not_kept())


def answer_not_kept() -> model.Outcome:
    """Return the outcome of a repeat whose answer is not stored."""
    return model.Outcome(
        model.Verdict.COMPLETED,
        model.Reason.DUPLICATE,
        "the request with this key has completed; its answer is no longer "
        "stored",
    )


def _open(owner_live: bool) -> model.Outcome:
    if owner_live:
        return model.Outcome(
            model.Verdict.MAY_HAVE_RUN,
            model.Reason.DUPLICATE,
            "a request with this key is running",
            RUNNING_RETRY_AFTER_S,
        )
    return model.may_have_run(
        model.Reason.DUPLICATE,
        "a request with this key was started by an entry VM that is gone or "
        "unreachable; it may have run",
    )

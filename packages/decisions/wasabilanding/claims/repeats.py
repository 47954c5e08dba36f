"""What a try is told when a claim stands under its key."""

import dataclasses

from wasabilanding.claims import record
from wasabilanding import model

RUNNING_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class Take:
    """The claim may be taken by a compare-and-swap over what was found."""


@dataclasses.dataclass(frozen=True)
class Held:
    """The claim that was found is the try's own."""


@dataclasses.dataclass(frozen=True)
class Replay:
    """The request has completed; its stored answer is given again.

    :param token: token of the claim, which names the answer.
    """

    token: str


@dataclasses.dataclass(frozen=True)
class Refuse:
    """The try is not run.

    :param outcome: what the caller is told about the request of the key.
    """

    outcome: model.Outcome


Decision = Take | Held | Replay | Refuse


def decide(
    existing: record.Claim, wanted: record.Claim, owner_live: bool
) -> Decision:
    """Decide what follows when a claim was found under a try's key.

    :param existing: the claim that stands.
    :param wanted: the claim that the try wants to take.
    :param owner_live: whether the node that took the found claim is known
        to live in the same incarnation.
    """
    if existing.fingerprint != wanted.fingerprint:
        return Refuse(_reused())
    if existing.state is record.ClaimState.RELEASED:
        return Take()
    if existing.state is record.ClaimState.FINISHED:
        return _finished(existing)
    if existing.token == wanted.token:
        return Held()
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
    return Refuse(answer_gone())


def answer_gone() -> model.Outcome:
    """Return the outcome for a repeat whose answer is not kept."""
    return model.Outcome(
        model.Verdict.COMPLETED,
        model.Reason.DUPLICATE,
        "the request with this key has completed; its answer is no longer "
        "kept",
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
        "a request with this key was begun by an entry VM that is gone or "
        "out of reach; it may have run",
    )

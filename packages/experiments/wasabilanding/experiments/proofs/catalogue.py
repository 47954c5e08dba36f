"""All proofs, and what is not proved yet."""

from wasabilanding.experiments.proofs import claims
from wasabilanding.experiments.proofs import control
from wasabilanding.experiments.proofs import proof
from wasabilanding.experiments.proofs import sharing
from wasabilanding.experiments.proofs import streams

Subject = proof.Subject

OPERATORS = "packages/operators/wasabilanding/operators/tests"

PROOFS = (
    *claims.PROOFS,
    *streams.PROOFS,
    *control.PROOFS,
    *sharing.PROOFS,
    proof.Proof(
        (Subject.OPERATORS_RACE, Subject.IN_FORCE),
        f"{OPERATORS}/changes.feature",
        "Of operators who race, one is accepted and the rest are told",
        "2 and 6 operators replace the same revision at once",
        "not shown: compare-and-swap was there from the start",
    ),
    proof.Proof(
        (Subject.ANSWER_LOST, Subject.IN_FORCE),
        f"{OPERATORS}/changes.feature",
        "A write whose answer is lost is reported as accepted, once",
        "the store's answer is lost after the write took effect",
        "the operator was told of a conflict with its own write",
    ),
)

NOT_PROVED: dict[Subject, str] = {}

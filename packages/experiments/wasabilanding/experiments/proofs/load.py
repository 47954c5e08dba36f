"""Proofs about routing."""

from wasabilanding.experiments.proofs import proof

Subject = proof.Subject

ROUTING = "packages/decisions/wasabilanding/routing/tests/routing.feature"

PROOFS = (
    proof.Proof(
        (Subject.WHOLE,),
        ROUTING,
        "Only replicas that all their VMs confirm are returned",
        "a member is missing, silent, foreign, or of another epoch",
        "rows fail when any part of the evidence is left out",
    ),
    proof.Proof(
        (Subject.STRAGGLER,),
        ROUTING,
        "A slow replica is avoided and tried again later",
        "one replica makes steps several times as long as the others",
        "the slow replica kept its share of requests",
    ),
)

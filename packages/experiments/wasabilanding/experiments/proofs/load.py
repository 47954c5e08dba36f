"""Proofs for routing."""

from wasabilanding.experiments.proofs import proof

Subject = proof.Subject

ROUTING = "packages/decisions/wasabilanding/routing/tests/routing.feature"

PROOFS = (
    proof.Proof(
        (Subject.COMPLETE_REPLICAS,),
        ROUTING,
        "Only replicas that all their VMs confirm are returned",
        "a member is missing, does not report, or reports another replica or "
        "epoch",
        "examples fail when any part of the confirmation is not checked",
    ),
    proof.Proof(
        (Subject.STRAGGLER,),
        ROUTING,
        "A slow replica is avoided and tried again later",
        "one replica makes steps several times as long as the others",
        "the slow replica kept its share of requests",
    ),
)

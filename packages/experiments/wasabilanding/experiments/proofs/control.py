"""Proofs for replicas, their repair and planned changes."""

from wasabilanding.experiments.proofs import proof

Subject = proof.Subject

FAULTS = "packages/experiments/wasabilanding/experiments/faults/tests"
PLACEMENT = "packages/decisions/wasabilanding/placement/tests"

PROOFS = (
    proof.Proof(
        (
            Subject.LEASE_EXPIRED,
            Subject.COMPLETE_REPLICAS,
            Subject.EXCLUSIVE_MEMBERSHIP,
        ),
        f"{FAULTS}/fencing.feature",
        "A former holder resumes with a call in flight",
        "the holder is paused just before an order or a write; another node "
        "takes over; engines refuse outdated orders or ignore the fence",
        "a VM that the outdated order moved returned to its old epoch",
    ),
    proof.Proof(
        (Subject.STORE_DOWN, Subject.VM_DIES),
        f"{FAULTS}/fencing.feature",
        "A member dies while the store is down",
        "a member dies and the store is down for 12 s",
        "the replica was down for 9.7 to 10.2 s",
    ),
    proof.Proof(
        (
            Subject.COMBINED_FAILURES,
            Subject.EXCLUSIVE_MEMBERSHIP,
            Subject.COMPLETE_REPLICAS,
            Subject.STORE_SLOW,
        ),
        f"{FAULTS}/fencing.feature",
        "Runs under random faults",
        "VMs, fabric domains, holders and the store fail, drawn by 8 seeds",
        "3 of 8 runs saw a VM placed twice when spares stayed recorded",
    ),
    proof.Proof(
        (Subject.ANSWER_LOST,),
        f"{FAULTS}/fencing.feature",
        "A write whose answer is lost takes effect once",
        "the answer to the record's write is lost",
        "not shown: with the read-back disabled the next tick finds the write",
    ),
    proof.Proof(
        (Subject.VM_DIES, Subject.VM_PAUSES, Subject.FABRIC_LOST),
        f"{PLACEMENT}/planner.feature",
        "Repair of replicas",
        "VMs die, pause and return, one or several; a fabric domain is down",
        "examples fail without relocation, merging or spares",
    ),
    proof.Proof(
        (Subject.VM_RETURNS, Subject.COMPLETE_REPLICAS),
        f"{PLACEMENT}/planner.feature",
        "A VM that restarts without state makes its replica regroup",
        "a member restarts, or is moved by an outdated order",
        "without regrouping it returned to its old epoch",
    ),
    proof.Proof(
        (Subject.VM_RETURNS,),
        f"{PLACEMENT}/planner.feature",
        "Flapping VMs do not make replicas flap",
        "a VM is lost and returns six times",
        "without the hold-down the record changed more often",
    ),
    proof.Proof(
        (Subject.GRACEFUL_STOP, Subject.LEAVING_ENDPOINT),
        f"{PLACEMENT}/planner.feature",
        "Planned changes drain replicas and abort no request",
        "a VM leaves or a new version comes while a request runs",
        "requests were cut when running ones, or leaving VMs, were ignored",
    ),
    proof.Proof(
        (Subject.GRACEFUL_STOP,),
        f"{PLACEMENT}/planner.feature",
        "A node with an older record still sends to a draining replica",
        "requests arrive after the record drains; load is reported late",
        "requests were cut when one idle report was enough",
    ),
    proof.Proof(
        (Subject.GRACEFUL_STOP,),
        f"{PLACEMENT}/rolling.feature",
        "Replicas are updated one at a time, never below the minimum",
        "a new version, size or number of replicas",
        "a full fabric domain drained one replica after another endlessly",
    ),
    proof.Proof(
        (Subject.EXCLUSIVE_MEMBERSHIP, Subject.COMBINED_FAILURES),
        f"{PLACEMENT}/machine.feature",
        "The planner's invariants hold",
        "any order of faults, changes, lost writes, new and former holders",
        "fails when spares stay recorded, or epochs are used twice",
    ),
)

"""All proofs, and what is not proved yet."""

from wasabilanding.experiments.proofs import claims
from wasabilanding.experiments.proofs import control
from wasabilanding.experiments.proofs import load
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
    *load.PROOFS,
    proof.Proof(
        (Subject.OPERATORS_RACE, Subject.IN_FORCE),
        f"{OPERATORS}/changes.feature",
        "Of concurrent changes to one revision, one is accepted and the rest "
        "conflict",
        "2 and 6 operators replace the same revision at once",
        "not shown: compare-and-swap was there from the start",
    ),
    proof.Proof(
        (Subject.ANSWER_LOST, Subject.IN_FORCE),
        f"{OPERATORS}/changes.feature",
        "A write whose response is lost is applied and reported once",
        "the store's answer is lost after the write took effect",
        "the operator was told of a conflict with its own write",
    ),
)

NOT_PROVED: dict[Subject, str] = {
    Subject.ONE_PLACE: (
        "that the fence check before each order is needed; no test fails "
        "without it"
    ),
    Subject.OWN_ANSWER: (
        "a history check of all requests under mixed faults; the table of "
        "single faults stands"
    ),
    Subject.GRACEFUL: (
        "the test with separate processes was not shown failing first"
    ),
    Subject.IN_FORCE: (
        "a change whose accepting node dies while the store fails, within "
        "half a second of its acceptance"
    ),
    Subject.LEAVING: "refusals as a sign; the list and the VM's word count",
    Subject.STRAGGLER: (
        "replacing a VM that is slow but serves; it is only avoided"
    ),
    Subject.STORE_SLOW: (
        "back-off after a slow store; its row does not fail without it"
    ),
    Subject.LEASE_LAPSED: (
        "that the lease's own lapse is needed; no test fails without it"
    ),
    Subject.POISONED: (
        "keys and notices under a cut between the entry VMs of one failure "
        "domain"
    ),
    Subject.COMBINED: "a whole region cut off for minutes",
}

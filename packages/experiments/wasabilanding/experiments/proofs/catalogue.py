"""All proofs, and the properties that are not proved yet."""

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
        (Subject.OPERATORS_RACE, Subject.CONFIGURATION_IN_FORCE),
        f"{OPERATORS}/changes.feature",
        "Of concurrent changes to one revision, one is accepted and the rest "
        "conflict",
        "2 and 6 operators replace the same revision at once",
        "not shown: compare-and-swap was there from the start",
    ),
    proof.Proof(
        (Subject.ANSWER_LOST, Subject.CONFIGURATION_IN_FORCE),
        f"{OPERATORS}/changes.feature",
        "A write whose response is lost is applied and reported once",
        "the store's answer is lost after the write took effect",
        "the operator was told of a conflict with its own write",
    ),
)

NOT_PROVED: dict[Subject, str] = {
    Subject.EXCLUSIVE_MEMBERSHIP: (
        "that the fence check before each order is needed; no test fails "
        "without it"
    ),
    Subject.CORRECT_ANSWER: (
        "a history check of all requests under mixed faults; the table of "
        "single faults stands"
    ),
    Subject.GRACEFUL_STOP: (
        "the test with separate processes was not shown failing first"
    ),
    Subject.CONFIGURATION_IN_FORCE: (
        "a change whose accepting node dies while the store fails, within "
        "half a second of its acceptance"
    ),
    Subject.LEAVING_ENDPOINT: (
        "refused requests as a sign of leaving; only the platform's list and "
        "the VM's report count"
    ),
    Subject.STRAGGLER: (
        "replacing a VM that is slow but serves; it is only avoided"
    ),
    Subject.STORE_SLOW: (
        "back-off after a slow store; its example does not fail without it"
    ),
    Subject.LEASE_EXPIRED: (
        "that the expiry of the lease is needed; no test fails without it"
    ),
    Subject.POISONOUS_REQUEST: (
        "keys and notices under a cut between the entry VMs of one failure "
        "domain"
    ),
    Subject.COMBINED_FAILURES: "a whole region cut off for minutes",
}

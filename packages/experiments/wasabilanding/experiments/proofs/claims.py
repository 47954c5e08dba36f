"""Proofs about non-idempotent and poisonous requests."""

from wasabilanding.experiments.proofs import proof

Subject = proof.Subject

HISTORIES = "packages/experiments/wasabilanding/experiments/histories/tests"
DECISIONS = "packages/decisions/wasabilanding"

PROOFS = (
    proof.Proof(
        (
            Subject.AT_MOST_ONCE,
            Subject.NOT_RUN,
            Subject.ANSWER_LOST,
            Subject.STORE_DOWN,
            Subject.STORE_CUT,
            Subject.VM_DIES,
        ),
        f"{HISTORIES}/claims.feature",
        "Attempts with one key run at most once under faults",
        "tries of one key at once and one after another, with each fault",
        "without claims 9 of 11 rows failed",
    ),
    proof.Proof(
        (Subject.AT_MOST_ONCE, Subject.NOT_RUN, Subject.COMBINED),
        f"{HISTORIES}/claims.feature",
        "Runs under mixed faults start no request twice",
        "entry VMs replaced, store down and slow, answers lost, cuts, VMs "
        "lost, four seeds",
        "without claims the checker finds second starts",
    ),
    proof.Proof(
        (Subject.AT_MOST_ONCE, Subject.LEASE_LAPSED),
        f"{DECISIONS}/claims/tests/claim_rules.feature",
        "Writes, losses, pauses and crashes in any order",
        "late writes, lost answers, pauses and deaths in any order",
        "each of three mutants runs twice or leaves a claim without an end",
    ),
    proof.Proof(
        (Subject.POISONED, Subject.VM_DIES),
        f"{HISTORIES}/poison.feature",
        "A poisonous request crashes at most three endpoints",
        "27 copies through nine entry VMs, at once, staggered, with restarts",
        "more than three deaths in a domain without refusal or homes",
    ),
    proof.Proof(
        (Subject.POISONED,),
        f"{DECISIONS}/poison/tests/poison_rules.feature",
        "Copies, crashes, notices and rebuilds in any order",
        "copies, late notices and rebuilt replicas in any order",
        "four deaths, before new replicas waited to be homes",
    ),
)

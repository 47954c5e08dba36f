"""Proofs for non-idempotent and poisonous requests."""

from wasabilanding.experiments.proofs import proof

Subject = proof.Subject

HISTORIES = "packages/experiments/wasabilanding/experiments/histories/tests"
DECISIONS = "packages/decisions/wasabilanding"
INSTALLATION = (
    "packages/experiments/wasabilanding/experiments/installation/tests"
)
GATEWAY = "packages/gateway/wasabilanding/gateway/tests"

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
        "concurrent and successive attempts with one key, with each fault",
        "without claims 9 of 11 examples failed",
    ),
    proof.Proof(
        (Subject.AT_MOST_ONCE, Subject.NOT_RUN, Subject.COMBINED_FAILURES),
        f"{HISTORIES}/claims.feature",
        "Runs under mixed faults start no request twice",
        "entry VMs replaced, store down and slow, answers lost, cuts, VMs "
        "lost, four seeds",
        "without claims the checker finds second starts",
    ),
    proof.Proof(
        (Subject.AT_MOST_ONCE, Subject.LEASE_EXPIRED),
        f"{DECISIONS}/claims/tests/claim_rules.feature",
        "Writes, losses, pauses and crashes in any order",
        "late writes, lost answers, pauses and crashes in any order",
        "each of three mutants runs a request twice or never ends a claim",
    ),
    proof.Proof(
        (Subject.POISONOUS_REQUEST, Subject.VM_DIES),
        f"{HISTORIES}/poison.feature",
        "A poisonous request crashes at most three endpoints",
        "27 copies through nine entry VMs, at once, staggered, with restarts",
        "more than three crashes in a domain without refusal or homes",
    ),
    proof.Proof(
        (Subject.POISONOUS_REQUEST,),
        f"{DECISIONS}/poison/tests/poison_rules.feature",
        "Copies, crashes, notices and rebuilds in any order",
        "copies, late notices and rebuilt replicas in any order",
        "four crashes, before new replicas waited to become homes",
    ),
    proof.Proof(
        (Subject.POISONOUS_REQUEST,),
        f"{INSTALLATION}/crashing_requests.feature",
        "It reaches few endpoints once three have ended under it",
        "one or two requests through four gateways, in turn, in bursts, and "
        "while gateways start again",
        "up to 41 endpoints in 12 s",
    ),
    proof.Proof(
        (Subject.POISONOUS_REQUEST,),
        f"{INSTALLATION}/crashing_parts.feature",
        "Requests with it reach few endpoints once five have ended",
        "one or two parts of prompts at each place but the last, in turn, in "
        "bursts, and while gateways start again",
        "up to 48 endpoints in 14 s",
    ),
    proof.Proof(
        (Subject.PEERS_CUT,),
        f"{INSTALLATION}/cut_gateways.feature",
        "First tries at a cut gateway are served as elsewhere",
        "one, two or three of four gateways reach no endpoint: connections "
        "hang, are reset, or only new ones are refused",
        "6 of 18 and 3 of 176 first tries were served",
    ),
    proof.Proof(
        (Subject.POISONOUS_REQUEST, Subject.VM_DIES),
        f"{DECISIONS}/poison/tests/poison_rules.feature",
        "Requests of the whole fleet stay admitted in a mass event",
        "60 replicas crash at once under 540 requests",
        "not shown: the scenario was written with the rule",
    ),
    proof.Proof(
        (Subject.POISONOUS_REQUEST,),
        f"{GATEWAY}/hints.feature",
        "Reports of crashes reach the nodes of all failure domains",
        "up to 104 datagrams lost in a row",
        "not shown: gateways sent no such reports",
    ),
)

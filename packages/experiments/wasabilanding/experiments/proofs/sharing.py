"""Proofs for the configuration in force, outages, cuts and leaving VMs."""

from wasabilanding.experiments.proofs import proof

Subject = proof.Subject

HISTORIES = "packages/experiments/wasabilanding/experiments/histories/tests"
DAEMON = "packages/daemon/wasabilanding/daemon/tests"
PLATFORM = "packages/metadata/wasabilanding/metadata/tests"

PROOFS = (
    proof.Proof(
        (
            Subject.CONFIGURATION_IN_FORCE,
            Subject.OPERATORS_RACE,
            Subject.COMBINED_FAILURES,
        ),
        f"{HISTORIES}/configuration.feature",
        "Racing operators and faults cause no violation",
        "nodes replaced, outages, slow store and network, lost answers, cuts",
        "without documents from peers changes were late in all runs; when any "
        "differing revision was applied, a node reverted on a slow network",
    ),
    proof.Proof(
        (Subject.STORE_DOWN,),
        f"{DAEMON}/outages.feature",
        "A node replaced during an outage gets its state from peers",
        "1 to 3 nodes of a failure domain are replaced while the store is "
        "down",
        "not shown: readiness asked only for a revision above 0 before",
    ),
    proof.Proof(
        (Subject.STORE_DOWN, Subject.STORE_SLOW),
        f"{DAEMON}/outages.feature",
        "Recovery of the platform causes no burst of calls",
        "the store is down or slow for up to 30 s and returns, 9 and 90 nodes",
        "without back-off 2 of 3 examples had more calls than allowed",
    ),
    proof.Proof(
        (Subject.PEERS_CUT, Subject.STORE_CUT),
        f"{DAEMON}/outages.feature",
        "A partitioned failure domain keeps serving",
        "cut from the platform, from the other failure domains, from both",
        "not shown on its own: see the history of the configuration",
    ),
    proof.Proof(
        (Subject.LEAVING_ENDPOINT,),
        f"{DAEMON}/outages.feature",
        "A leaving VM gets no new requests 3 s after the first sign",
        "the platform's list alone, with and without a store that takes "
        "writes, or the VM's report alone",
        "with the list alone and no writes, requests still started after 3 s",
    ),
    proof.Proof(
        (Subject.ANSWER_LOST,),
        f"{PLATFORM}/client.feature",
        "The result of a change is correct even if responses are lost",
        "an answer lost, a write that arrives late, an overload after it",
        "a change that took effect later was reported as not made",
    ),
)

"""Proofs for outcomes, streams and graceful shutdown."""

from wasabilanding.experiments.proofs import proof

Subject = proof.Subject

ENDPOINTS = "packages/endpoints/wasabilanding/endpoints/tests"
DAEMON = "packages/daemon/wasabilanding/daemon/tests"

PROOFS = (
    proof.Proof(
        (Subject.CORRECT_ANSWER, Subject.NOT_RUN, Subject.AT_MOST_ONCE),
        f"{ENDPOINTS}/outcomes.feature",
        "<fault>, <kind> request: <verdict> with <runs> runs",
        "before, in and after the send, between parts, before the last "
        "acknowledgement; parts repeated, reordered, lost",
        "truncated answers were reported as completed; a refused request ran "
        "twice",
    ),
    proof.Proof(
        (Subject.NOT_RUN,),
        f"{ENDPOINTS}/outcomes.feature",
        "A request that all engines refuse after <first>: <verdict>",
        "an attempt that ran, then refusals by all engines",
        "the caller got not_run",
    ),
    proof.Proof(
        (
            Subject.SILENT_CONNECTIONS,
            Subject.PEERS_CUT,
            Subject.COMBINED_FAILURES,
        ),
        f"{ENDPOINTS}/silence.feature",
        "<what>, <times> times, in a stream of <parts> parts",
        "silent and broken connections up to 5 times, a cut, both together",
        "without a progress timeout 4 of 5 examples failed",
    ),
    proof.Proof(
        (Subject.GRACEFUL_STOP,),
        f"{DAEMON}/shutdown.feature",
        "An entry VM gets two stop signals while serving all request kinds",
        "two signals during streams, a complete answer and a plain call",
        "not shown: the scenario was written after the change",
    ),
    proof.Proof(
        (Subject.GRACEFUL_STOP,),
        f"{DAEMON}/shutdown.feature",
        "An endpoint leaves during a stream of <parts> parts",
        "the endpoint's own report, the platform's list",
        "the stream was cut 1.25 s after the sign",
    ),
)

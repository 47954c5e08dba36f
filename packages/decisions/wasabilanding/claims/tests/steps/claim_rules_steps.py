"""Steps for the rules of claims."""

import behave
import claim_machine

from wasabilanding import claims
from wasabilanding import model

BODY = claims.fingerprint(b"its body")
OTHER_BODY = claims.fingerprint(b"another body")
LOST = model.may_have_run(model.Reason.CONNECTION_LOST, "lost")
NOT_RUN = model.not_run(model.Reason.NO_REPLICA, "none")


def _claim(state: str) -> claims.Claim:
    begun = claims.begin("t1", "node-a", 1, BODY)
    by_state = {
        "open": begun,
        "released": claims.conclude(begun, NOT_RUN),
        "completed, kept": claims.conclude(begun, model.completed(), True),
        "completed, not kept": claims.conclude(begun, model.completed()),
        "lost in the middle": claims.conclude(begun, LOST),
    }
    return by_state[state]


def _decision_text(decision: claims.Decision) -> str:
    if not isinstance(decision, claims.Refuse):
        return type(decision).__name__.lower()
    outcome = decision.outcome
    end = "final" if outcome.retry_after_s is None else "come back"
    return f"{outcome.verdict.value}, {outcome.reason.value}, {end}"


@behave.given("a claim in state {state} with an owner that is {owner}")
def given_claim(context, state, owner):
    """Create the existing claim."""
    context.claim = _claim(state)
    context.live = owner == "live"


@behave.when("the key is submitted again with {body}")
def submit_again(context, body):
    """Decide about the submission."""
    chosen = BODY if body == "its body" else OTHER_BODY
    wanted = claims.begin("t2", "node-b", 1, chosen)
    context.decision = claims.decide(context.claim, wanted, context.live)


@behave.then('the decision is "{expected}"')
def check_decision(context, expected):
    """Compare the decision."""
    assert _decision_text(context.decision) == expected, context.decision


@behave.then("the bodies {one} and {other} are {relation}")
def check_fingerprints(context, one, other, relation):
    """Compare fingerprints."""
    same = claims.fingerprint(one.encode()) == claims.fingerprint(
        other.encode()
    )
    assert same == (relation == "the same"), (one, other)


@behave.given("claims whose rules are {rules}")
def given_rules(context, rules):
    """Select the rules."""
    context.rules = claim_machine.RULES[rules]


@behave.when("submissions, late writes and losses occur in any order")
def run_machine(context):
    """Search for a violated property."""
    context.found = claim_machine.search(context.rules)


@behave.then("the search finds {found}")
def check_found(context, found):
    """Compare the result of the search."""
    assert context.found == found, context.found

"""Steps for callers that leave before their answers are complete."""

import behave
import trio

from wasabilanding.experiments.installation import leaving_callers
from wasabilanding.experiments.installation.tests import running

CUT_OFF = "a gateway that is cut off"


@behave.given("{count:d} callers of {kind:w} whose connections lead to {way}")
def given_callers(context, count, kind, way):
    """Start an installation; it ends with the scenario."""
    running.start(
        context,
        leaving_callers.PLAN,
        is_cuttable=way == CUT_OFF,
        behaviour=leaving_callers.BEHAVIOUR,
    )
    context.called = context.installation.gateways
    if way == CUT_OFF:
        context.called = context.called[:1]
    context.callers = leaving_callers.Callers(
        context.installation, count, kind, context.called
    )


@behave.when("half of them close while {halted} stands still")
def close_while_halted(context, halted):
    """Send requests and close connections while gateways do not run."""
    installation = context.installation
    is_relayed = halted == "the other one"
    gateways = installation.gateways[1:] if is_relayed else context.called

    async def act():
        if is_relayed:
            await leaving_callers.cut_off(installation, context.called[0])
        await context.callers.open()
        await context.callers.close_while_halted(gateways)

    trio.run(act)


@behave.when(
    "{what} arrives behind each request and half of the callers {leave:w} "
    "later"
)
def close_behind(context, what, leave):
    """Send bytes behind the requests, and close connections."""

    async def act():
        await context.callers.open()
        await context.callers.close_behind(what, leave == "reset")

    trio.run(act)


@behave.then("no request of a caller that has left reaches an endpoint")
def check_not_sent(context):
    """Compare the requests of callers that left with the arrivals."""
    left = context.callers.left
    arrived = context.callers.arrived(left)
    assert left
    assert not arrived, f"{len(arrived)} of {len(left)}: {arrived}"


@behave.then(
    "{late:g} s after that endpoints work on at most {share:g} of their "
    "requests"
)
def check_not_at_work(context, late, share):
    """Check which runs had not ended by then."""
    assert late == leaving_callers.LATE_S
    left = context.callers.left
    at_work = context.callers.at_work
    assert left
    assert len(at_work) <= share * len(left), f"{len(at_work)} of {len(left)}"


@behave.then("no request behind theirs reaches an endpoint")
def check_behind(context):
    """Check the requests that were sent behind others."""
    arrived = context.callers.arrived_behind
    assert not arrived, f"{len(arrived)}: {arrived}"


@behave.then("each caller that stays gets its answer")
def check_answered(context):
    """Check the answers of the callers that did not leave."""
    assert context.callers.answers
    assert not context.callers.unanswered, context.callers.unanswered

"""Steps for the state machine over the planner."""

import behave

from wasabilanding.placement.tests import machine


@behave.when("{examples:d} sequences of {steps:d} events are drawn")
def draw(context, examples, steps):
    """Run the state machine."""
    context.broken = None
    try:
        machine.run(examples, steps)
    except AssertionError as error:
        context.broken = error


@behave.then("every record kept the invariants")
def check(context):
    """Compare with no broken invariant."""
    if context.broken is not None:
        raise context.broken

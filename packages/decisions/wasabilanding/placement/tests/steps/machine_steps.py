"""Steps for the state machine that tests the planner."""

import behave

from wasabilanding.placement.tests import machine


@behave.when("{examples:d} sequences of {steps:d} events are generated")
def draw(context, examples, steps):
    """Run the state machine."""
    context.broken = None
    try:
        machine.run(examples, steps)
    except AssertionError as error:
        context.broken = error


@behave.then("every record satisfies the invariants")
def check(context):
    """Raise the violation that the run found, if any."""
    if context.broken is not None:
        raise context.broken

"""Steps for the assembly of replicas."""

import behave

from wasabilanding.assembly.tests import fake_engines


@behave.given("two fabric domains of ten engines and seed {seed:d}")
def given_world(context, seed):
    """Make engines that belong to no replica."""
    context.world = fake_engines.World(seed, 0.0)


@behave.when("{seconds:g} s pass without faults")
def pass_calm(context, seconds):
    """Let time pass."""
    context.world.run(seconds, 0.0)


@behave.when("{seconds:g} s pass with faults of {trouble:g} a second")
def pass_faults(context, seconds, trouble):
    """Let time pass with crashes, late orders and new planners."""
    context.world.run(seconds, trouble)


@behave.when("{count:d} replicas of the large model lose a member for good")
def lose(context, count):
    """Lose members one after the other."""
    for _ in range(count):
        context.world.lose_for_good("large")
        context.world.run(12.0)


@behave.then("no promise is broken")
def check_promises(context):
    """Look at what the engines found."""
    assert not context.world.broken, context.world.broken[:5]


@behave.then("at most {count:d} engines serve in no replica")
def check_stranded(context, count):
    """Count the engines that do not serve."""
    stranded = context.world.stranded()
    assert stranded <= count, stranded


@behave.then("the models have {large:d} and {small:d} engines")
def check_models(context, large, small):
    """Compare the engines of each model."""
    world = context.world
    found = world.vms_of("large"), world.vms_of("small")
    assert found == (large, small), found


@behave.then("the large model has at least {count:d} engines")
def check_large(context, count):
    """Compare the engines of the large model."""
    found = context.world.vms_of("large")
    assert found >= count, found

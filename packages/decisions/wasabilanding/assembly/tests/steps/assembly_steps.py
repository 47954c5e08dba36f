"""Steps for the assembly of replicas."""

import behave

from wasabilanding.assembly.tests import fake_engines


@behave.given("two fabric domains of ten engines and seed {seed:d}")
def given_cluster(context, seed):
    """Create engines that belong to no replica."""
    context.cluster = fake_engines.SimulatedCluster(seed, 0.0)


@behave.when("{seconds:g} s pass without faults")
def run_without_faults(context, seconds):
    """Simulate without faults."""
    context.cluster.run(seconds, 0.0)


@behave.when(
    "{seconds:g} s pass with a fault rate of {fault_rate:g} per second"
)
def run_with_faults(context, seconds, fault_rate):
    """Simulate with crashes, delayed orders and new planners."""
    context.cluster.run(seconds, fault_rate)


@behave.when("{count:d} replicas of the large model lose a member permanently")
def lose(context, count):
    """Lose members one after the other."""
    for _ in range(count):
        context.cluster.lose_member_permanently("large")
        context.cluster.run(12.0)


@behave.then("no invariant is violated")
def check_promises(context):
    """Check that the engines recorded no violation."""
    assert not context.cluster.violations, context.cluster.violations[:5]


@behave.then("at most {count:d} engines serve in no replica")
def check_stranded(context, count):
    """Compare the number of engines that do not serve."""
    stranded = context.cluster.stranded()
    assert stranded <= count, stranded


@behave.then("the models have {large:d} and {small:d} engines")
def check_models(context, large, small):
    """Compare the number of engines of each model."""
    cluster = context.cluster
    found = cluster.vms_of("large"), cluster.vms_of("small")
    assert found == (large, small), found


@behave.then("the large model has at least {count:d} engines")
def check_large(context, count):
    """Compare the number of engines of the large model."""
    found = context.cluster.vms_of("large")
    assert found >= count, found

"""Steps for control under faults."""

import dataclasses

import behave

from wasabilanding.experiments.faults import fencing
from wasabilanding.experiments.faults import repair_runs
from wasabilanding.experiments.faults import runs

ENGINES = {"refuse": True, "ignore": False}


@behave.when(
    "a holder is paused before {path} at engines that {engines} old orders"
)
def wake_up(context, path, engines):
    """Pause the holder, let another take over, and resume it."""
    context.result = fencing.run_seeded(path, ENGINES[engines])


@behave.when("the answer to the write of a repair is lost")
def lose_answer(context):
    """Lose the answer of the next write and kill a VM."""
    context.result = repair_runs.run_seeded(lose_answers=1)


@behave.when("a run with seed {seed:d} has engines that {engines} old orders")
def run(context, seed, engines):
    """Run under random faults."""
    plan = runs.RunPlan(seed, checks_fence=ENGINES[engines])
    context.result = runs.run_seeded(plan)


@behave.then("nothing that must never be was seen")
def check_violations(context):
    """Compare with no violation."""
    assert not context.result.violations, context.result.violations[:3]


@behave.then("the former holder no longer holds control")
def check_former(context):
    """Compare the former holder's belief."""
    assert not context.result.is_former_holder


@behave.then(
    "the replica was down for at most {seconds:g} seconds and took on "
    "{epochs:d} epochs since"
)
def check_downtime(context, seconds, epochs):
    """Compare what the late call did."""
    result = context.result
    found = dataclasses.replace(result, records=())
    assert result.downtime_s <= seconds, found
    assert result.epochs == epochs, found


@behave.then(
    "all replicas serve again within {seconds:d} seconds of the last fault"
)
def check_healed(context, seconds):
    """Compare the time to heal."""
    assert context.result.healed_s <= seconds, context.result.healed_s


@behave.then("the repair took one write")
def check_writes(context):
    """Compare the revisions of the record."""
    assert context.result.writes == 1, context.result


@behave.when(
    "a member of a replica dies among {vms:d} VMs and the store is down"
)
def die_without_store(context, vms):
    """Kill a VM while nothing can be written."""
    context.result = repair_runs.run_seeded(store_down=True, vms=vms)


@behave.then("the replica was down for {least:d} to {most:d} seconds")
def check_range(context, least, most):
    """Compare the time without service."""
    assert least <= context.result.downtime_s <= most, context.result


@behave.then("it did not stop serving when the store came back: {kept}")
def check_kept(context, kept):
    """Compare the time without service once the store is back."""
    served = context.result.later_downtime_s == 0
    assert served == (kept == "yes"), context.result

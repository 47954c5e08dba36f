"""Steps for runs of one failure domain under faults."""

import dataclasses

import behave

from wasabilanding.experiments.faults import fencing
from wasabilanding.experiments.faults import repair_runs
from wasabilanding.experiments.faults import runs

ENGINES = {"refuse": True, "ignore": False}


@behave.when(
    "a holder is paused before {path} and engines {engines} stale fencing "
    "tokens"
)
def resume_former_holder(context, path, engines):
    """Pause the holder until another node takes over, then resume it."""
    context.result = fencing.run_seeded(path, ENGINES[engines])


@behave.when("the answer to the write of a repair is lost")
def lose_answer(context):
    """Lose the answer of the next write and kill a VM."""
    context.result = repair_runs.run_seeded(lose_answers=1)


@behave.when(
    "a run with seed {seed:d} has engines that {engines} stale fencing tokens"
)
def run(context, seed, engines):
    """Run under random faults."""
    plan = runs.RunPlan(seed, checks_fence=ENGINES[engines])
    context.result = runs.run_seeded(plan)


@behave.then("no invariant was violated")
def check_violations(context):
    """Check that the history has no violations."""
    assert not context.result.violations, context.result.violations[:3]


@behave.then("the former holder no longer holds control")
def check_former(context):
    """Check that the former holder considers its lease lost."""
    assert not context.result.still_holds_control


@behave.then(
    "the replica was then down for at most {seconds:g} seconds and had "
    "{epochs:d} new epochs"
)
def check_downtime(context, seconds, epochs):
    """Compare the effects of the delayed call."""
    result = context.result
    found = dataclasses.replace(result, records=())
    assert result.downtime_s <= seconds, found
    assert result.epochs == epochs, found


@behave.then(
    "all replicas serve again within {seconds:d} seconds of the last fault"
)
def check_recovery(context, seconds):
    """Compare the recovery time."""
    assert context.result.recovery_s <= seconds, context.result.recovery_s


@behave.then("the repair took one write")
def check_writes(context):
    """Compare the number of writes of the record."""
    assert context.result.writes == 1, context.result


@behave.when(
    "a member of a replica dies among {vms:d} VMs and the store is down"
)
def die_without_store(context, vms):
    """Kill a VM while the store is down."""
    context.result = repair_runs.run_seeded(store_down=True, vms=vms)


@behave.then("the replica was down for {least:d} to {most:d} seconds")
def check_range(context, least, most):
    """Compare the downtime."""
    assert least <= context.result.downtime_s <= most, context.result


@behave.then("it kept serving when the store recovered: {kept}")
def check_kept(context, kept):
    """Compare the downtime after the store recovered."""
    served = context.result.later_downtime_s == 0
    assert served == (kept == "yes"), context.result

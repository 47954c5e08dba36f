"""Steps for the assembly of replicas."""

import dataclasses

import behave

from wasabilanding import assembly
from wasabilanding.assembly import load_scheduler
from wasabilanding.assembly.tests import fake_engines
from wasabilanding import fleet
from wasabilanding import model
from wasabilanding import routes

# VMs of each model in all fabric domains.
TOTAL_VMS = {"large": 30, "small": 30}


@behave.given("two fabric domains of ten engines and seed {seed:d}")
def given_cluster(context, seed):
    """Create engines that belong to no replica."""
    context.cluster = fake_engines.SimulatedCluster(seed, 0.0)


@behave.given("two fabric domains of {size:d} engines and seed {seed:d}")
def given_cluster_of_size(context, size, seed):
    """Create engines that belong to no replica."""
    context.cluster = fake_engines.SimulatedCluster(seed, 0.0, size)


@behave.given(
    "two fabric domains of 37 engines, replicas of 16 and 4, and seed {seed:d}"
)
def given_unequal_sizes(context, seed):
    """Create engines for models whose replicas differ much in size."""
    context.cluster = fake_engines.SimulatedCluster(
        seed, 0.0, 37, fake_engines.UNEQUAL_SPEC
    )


@behave.when(
    "one replica of the large model loses {count:d} members permanently"
)
def lose_several(context, count):
    """Lose some members of one replica at the same moment."""
    for rank in range(1, count + 1):
        context.cluster.lose_member_permanently("large", rank)


@behave.when("one replica of the {model} model loses a member permanently")
def lose_one(context, model):
    """Lose one member."""
    context.cluster.lose_member_permanently(model)


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


@behave.when(
    "the engine of rank {rank:d} in a replica of the {model} model announces "
    "its shutdown"
)
def announce_shutdown(context, rank, model):
    """Let an engine announce its shutdown."""
    context.leaving = context.cluster.announce_shutdown(model, rank)


@behave.when("the engines without a replica want no requests")
def hold_spares(context):
    """Hold the spares."""
    context.spares = context.cluster.hold_spares()


@behave.when("they want requests again")
def resume_spares(context):
    """End the hold."""
    context.cluster.held = frozenset()


@behave.then("that engine is alive and belongs to no replica")
def check_left(context):
    """Check that the engine has left its replica."""
    assert context.leaving.alive
    assert context.leaving.membership is None, context.leaving


@behave.then("{count:d} of the spares belong to a replica")
def check_spares(context, count):
    """Count the spares that have joined a replica."""
    found = [e.name for e in context.spares if e.membership is not None]
    assert len(found) == count, found


@behave.when(
    "the member of rank {rank:d} of each {model} replica pauses for "
    "{seconds:g} s"
)
def pause(context, rank, model, seconds):
    """Let one engine of each replica stand still."""
    context.cluster.pause(model, rank, seconds)


@behave.then("some requests are cut by orders: {cut}")
def check_cut(context, cut):
    """Look for orders to replicas that serve."""
    found = context.cluster.cut_replicas
    assert bool(found) is (cut == "yes"), found


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


@behave.given(
    "replicas with {large:d} VMs of the large and {small:d} of the small model"
)
def given_vms(context, large, small):
    """Set the VMs of each model in one fabric domain."""
    context.vms = {"large": large, "small": small}


def _spare(number, held):
    return fleet.Endpoint(
        f"e{number}",
        "writer",
        "10.0.0.1",
        80,
        "prov",
        fabric_domain="d0",
        staged=() if held == "none" else (held,),
    )


@behave.when('spares that hold "{held}" are planned')
def plan_spares(context, held):
    """Choose the loads of the spares in a fabric domain."""
    spares = [_spare(i, name) for i, name in enumerate(held.split())]
    context.loads = assembly.choose_spare_loads(
        spares, {"d0": context.vms}, TOTAL_VMS, fake_engines.SPEC
    )


@behave.then('they load "{loads}"')
def check_loads(context, loads):
    """Compare the models to load."""
    found = sorted(model.name for _, model in context.loads)
    assert found == loads.split(), found


@behave.then('they load ""')
def check_no_loads(context):
    """Check that nothing is loaded."""
    check_loads(context, "")


@behave.given("a planner at revision {number:d} of era {era:d}")
def given_planner(context, number, era):
    """Set the newest known revision of the store."""
    context.revision = model.StoreRevision(model.Era(era), number)


def _member(epoch):
    member = fleet.Membership("r", epoch, 0, fleet.MemberState.OPEN)
    return dataclasses.replace(
        _spare(99, "none"), membership=member if epoch else None
    )


@behave.given(
    'epochs of members "{members:d}", of removed ones "{removed:d}", of '
    'orders "{ordered:d}"'
)
def given_epochs(context, members, removed, ordered):
    """Set the epochs that are known; 0 for none."""
    free = [_spare(number, "large") for number in range(4)]
    context.inputs = assembly.PlannerInput(
        service="writer",
        spec=fake_engines.SPEC,
        endpoints=(*free, _member(members)),
        recently_removed={"e98": fleet.RemovedEndpoint(_member(removed), 0.0)},
        revision=context.revision,
        loads_are_unlimited=True,
        pending_epochs={"e97": ordered} if ordered else {},
    )


@behave.when("it forms a replica")
def form(context):
    """Plan until the free endpoints have settled."""
    planner = assembly.Planner("p")
    orders = planner.plan(context.inputs, 0.0)
    orders += planner.plan(context.inputs, 1.0)
    context.joins = [o for o in orders if isinstance(o, assembly.Join)]


@behave.then("its epoch is {epoch:d}")
def check_epoch(context, epoch):
    """Compare the epoch of the first replica."""
    assert context.joins[0].epoch == epoch, context.joins[0].epoch


def _inputs(context, first):
    """Return a situation in which four endpoints can form one replica."""
    others = [_spare(number, "large") for number in range(1, 4)]
    return assembly.PlannerInput(
        service="writer",
        spec=routes.EngineSpec(9, (fake_engines.LARGE,), 5.0),
        endpoints=(first, *others),
        recently_removed={},
        revision=context.revision,
        loads_are_unlimited=True,
    )


def _plan(planner, inputs, from_s):
    """Return the replicas to join, once free endpoints have settled."""
    planned = planner.plan(inputs, from_s) + planner.plan(inputs, from_s + 1.0)
    return [o.replica for o in planned if isinstance(o, assembly.Join)]


def _after_probe(context):
    planner = assembly.Planner("p")
    planner.record_probe_result(
        fleet.incarnation_of(context.before),
        assembly.ProbeResult(0.0, assembly.ProbeAnswer.GONE),
    )
    joins = _plan(planner, _inputs(context, context.after), 0.0)
    return "orders a join" if joins else "orders nothing"


def _after_load(context):
    scheduler = load_scheduler.LoadScheduler()
    inputs = _inputs(context, context.after)
    scheduler.stage(context.before, fake_engines.LARGE, inputs, 0.0)
    orders = scheduler.stage(context.after, fake_engines.LARGE, inputs, 1.0)
    return "orders a load" if orders else "orders nothing"


def _after_join(context):
    planner = assembly.Planner("p")
    first = _plan(planner, _inputs(context, context.before), 0.0)
    second = _plan(planner, _inputs(context, context.after), 2.0)
    return "repeats a join" if first[0] in second else "orders a join"


ORDERS_AFTER = {
    "failed a probe": _after_probe,
    "was ordered to load": _after_load,
    "was ordered to join": _after_join,
}


@behave.given("four free endpoints of which one {was}")
def given_known(context, was):
    """Set what the planner knows of one endpoint."""
    context.before = _spare(0, "large")
    context.orders_after = ORDERS_AFTER[was]


@behave.when("that one goes on")
def go_on(context):
    """Keep the registration."""
    context.after = context.before


@behave.when("that one starts again")
def start_again(context):
    """Register another start."""
    context.after = dataclasses.replace(context.before, started_at_ms=1)


@behave.then("the planner {orders}")
def check_orders(context, orders):
    """Compare what the planner orders."""
    found = context.orders_after(context)
    assert found == orders, found

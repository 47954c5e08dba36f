"""Steps for the planner."""

import dataclasses

import behave

from wasabilanding.placement.tests import simulator as simulator_module


def _leader_of(simulator, name):
    for replica in simulator.record.replicas:
        if name in replica.members:
            return simulator.vms[replica.leader]
    raise AssertionError(f"{name} is in no replica")


def _leave(simulator, name):
    vm = simulator.vms[name]
    vm.leaving = True
    vm.vm = dataclasses.replace(vm.vm, leaving=True)


def _run(simulator, name):
    _leader_of(simulator, name).running += 1


def _finish(simulator, name):
    _leader_of(simulator, name).running = 0


def _pause(simulator, name):
    simulator.vms[name].paused = True


def _resume(simulator, name):
    simulator.vms[name].paused = False


def _change(simulator, text):
    name, _, value = text.partition("=")
    current = simulator.configuration.profile_of(simulator_module.SERVICE)
    old = getattr(current.profile, name)
    new = (value,) if isinstance(old, tuple) else type(old)(value)
    changed = dataclasses.replace(current.profile, **{name: new})
    simulator.configure(simulator_module.SERVICE, changed)


def _break_version(simulator, version):
    simulator.bad_versions.add(version)


def _break_vm(simulator, name):
    simulator.vms[name].broken = True


def _misplace(simulator, name):
    simulator.vms[name].replica_key = ("escriba-0", 0)


def _configure_other(simulator, size):
    profile = dataclasses.replace(
        simulator_module.PROFILE,
        name="other",
        model="carta",
        vms_per_replica=int(size),
        downtime_weight=9.0,
    )
    simulator.configure("zeta", profile)


def _ignore_drain(simulator, name):
    simulator.vms[name].accepts_drain = False


def _lag(simulator, ticks):
    for vm in simulator.vms.values():
        vm.lag_ticks = int(ticks)


def _send_stale(simulator, seconds):
    simulator.stale_sends_until = simulator.now + float(seconds)


def _flap(simulator, name):
    simulator.kill(name)
    simulator.wait(4)
    simulator.restart(name)
    simulator.wait(4)


def _kill_fabric(simulator, fabric):
    for name in simulator.vms:
        if name.startswith(fabric):
            simulator.kill(name)


EVENTS = {
    "kill": lambda simulator, name: simulator.kill(name),
    "restart": lambda simulator, name: simulator.restart(name),
    "wait": lambda simulator, text: simulator.wait(float(text)),
    "leave": _leave,
    "run": _run,
    "finish": _finish,
    "pause": _pause,
    "resume": _resume,
    "change": _change,
    "bad": _break_version,
    "broken": _break_vm,
    "stray": _misplace,
    "other": _configure_other,
    "down": lambda simulator, _: setattr(simulator, "store_down", True),
    "up": lambda simulator, _: setattr(simulator, "store_down", False),
    "deaf": _ignore_drain,
    "lag": _lag,
    "late": _send_stale,
    "flap": _flap,
    "dark": _kill_fabric,
}


@behave.given("fabric domains of {sizes} VMs")
def given_fabrics(context, sizes):
    """Make the VMs."""
    numbers = [int(size) for size in sizes.split(",")]
    context.simulator = simulator_module.DomainSimulator(numbers)


@behave.given("{count:d} wanted replicas of {vms:d} VMs")
def given_profile(context, count, vms):
    """Write the profile and let the replicas form."""
    profile = dataclasses.replace(
        simulator_module.PROFILE,
        vms_per_replica=vms,
        replicas_per_domain=count,
    )
    context.simulator.configure(simulator_module.SERVICE, profile)
    context.simulator.wait(12)


@behave.given("a minimum of {minimum:d} replicas")
def given_minimum(context, minimum):
    """Set the minimum of replicas that planned changes keep serving."""
    _change(context.simulator, f"min_replicas_per_domain={minimum}")


@behave.when("these events happen: {events}")
def happen(context, events):
    """Apply the events one after another."""
    context.min_serving = context.simulator.serving()
    for event in events.split(", "):
        name, _, argument = event.partition(" ")
        EVENTS[name](context.simulator, argument)


@behave.when("{seconds:d} seconds pass after a change to {change}")
def roll(context, seconds, change):
    """Change the profile and record the minimum of serving replicas."""
    simulator = context.simulator
    _change(simulator, change)
    context.min_serving = simulator.serving()
    for _ in range(round(seconds / simulator_module.TICK_S)):
        simulator.step()
        context.min_serving = min(context.min_serving, simulator.serving())


@behave.then("the record holds {shape}")
def check_shape(context, shape):
    """Compare the record."""
    assert context.simulator.shape() == shape, context.simulator.shape()


@behave.then("{count:d} replicas serve")
def check_serving(context, count):
    """Compare the number of serving replicas."""
    assert context.simulator.serving() == count, context.simulator.serving()


@behave.then("{count:d} running requests were aborted")
def check_cut(context, count):
    """Compare the number of requests that orders aborted."""
    assert context.simulator.aborted == count, context.simulator.aborted


@behave.then("never fewer than {count:d} replicas served")
def check_least(context, count):
    """Compare the minimum of serving replicas."""
    assert context.min_serving >= count, context.min_serving


@behave.then("version {version} is wanted at revision {revision:d}")
def check_version(context, version, revision):
    """Compare the profile in force."""
    entry = context.simulator.configuration.profile_of(
        simulator_module.SERVICE
    )
    found = entry.profile.version, entry.revision
    assert found == (version, revision), found


@behave.then("the record changed at most {count:d} times since revision 1")
def check_changes(context, count):
    """Compare the number of writes."""
    revision = context.simulator.record.revision
    assert revision - 1 <= count, revision - 1


@behave.then("all replicas have {name} {value}")
def check_field(context, name, value):
    """Compare a field of all replicas."""
    found = {str(getattr(r, name)) for r in context.simulator.record.replicas}
    assert found == {value}, found


@behave.then("all replicas run version {version}")
def check_all(context, version):
    """Compare the versions of the recorded replicas."""
    found = {r.version for r in context.simulator.record.replicas}
    assert found == {version}, found


@behave.then("every replica has an epoch above the noted one")
def check_epochs(context):
    """Check that no epoch is reused after a VM restarted without state."""
    simulator = context.simulator
    for replica in simulator.record.replicas:
        assert replica.epoch > context.before_epoch, replica


@behave.given("the highest epoch of the replicas is noted")
def note_epoch(context):
    """Record the highest epoch."""
    context.before_epoch = max(
        r.epoch for r in context.simulator.record.replicas
    )


@behave.then("the first loads go to {names}")
def check_first_loads(context, names):
    """Compare the VMs that were ordered to load first."""
    found = [o.vm for o in context.simulator.orders][: len(names.split(","))]
    assert found == names.split(","), found


@behave.then("VM {name} fetched weights {count:d} times")
def check_fetches(context, name, count):
    """Compare the fetches of a VM."""
    assert context.simulator.vms[name].fetches == count


@behave.when(
    "the controller is paused for {seconds:f} seconds and {name} reports late"
)
def pause_holder(context, seconds, name):
    """Let time pass without reports, then let one VM report last."""
    simulator = context.simulator
    simulator.now += seconds
    _pause(simulator, name)
    simulator.wait(1)
    _resume(simulator, name)
    simulator.wait(3)


@behave.when("{count:d} replicas of {vms:d} VMs are wanted for {s:d} seconds")
def wanted_for(context, count, vms, s):
    """Write the profile and let time pass."""
    profile = dataclasses.replace(
        simulator_module.PROFILE,
        vms_per_replica=vms,
        replicas_per_domain=count,
    )
    context.simulator.configure(simulator_module.SERVICE, profile)
    context.simulator.wait(s)


@behave.when(
    "a low-weight service wants 2 replicas and a high-weight one 2, of 2 VMs"
)
def two_services(context):
    """Write two profiles of different weight."""
    simulator = context.simulator
    simulator.max_loading = 3
    for name, weight in (("alba", 1.0), ("zeta", 5.0)):
        profile = dataclasses.replace(
            simulator_module.PROFILE,
            name=name,
            replicas_per_domain=2,
            downtime_weight=weight,
        )
        simulator.configure(name, profile)
    context.max_loading_seen = 0
    context.serving_from = {}
    for _ in range(60):
        simulator.step()
        context.max_loading_seen = max(
            context.max_loading_seen, simulator.loading()
        )
        for name in ("alba", "zeta"):
            if simulator.serving(name) == 2:
                context.serving_from.setdefault(name, simulator.now)


@behave.then("at most {count:d} VMs load at a time, with a limit of {limit:d}")
def check_loading(context, count, limit):
    """Compare the maximum of VMs that loaded at the same time."""
    assert context.simulator.max_loading == limit
    assert context.max_loading_seen <= count, context.max_loading_seen


@behave.then("the high-weight service serves first")
def check_first(context):
    """Compare the times from which all replicas of a service serve."""
    assert context.serving_from["zeta"] < context.serving_from["alba"], (
        context.serving_from
    )


@behave.given(
    "a profile with downtime weight {downtime:g} and stranding weight "
    "{stranding:g}"
)
def given_weights(context, downtime, stranding):
    """Write a profile with these weights."""
    profile = dataclasses.replace(
        simulator_module.PROFILE,
        downtime_weight=downtime,
        stranding_weight=stranding,
    )
    context.simulator.configure(simulator_module.SERVICE, profile)


@behave.when(
    "a low-weight and a high-weight service want 1 replica of 2 VMs each"
)
def light_and_heavy(context):
    """Write two profiles of different weight."""
    for name, weight in (("alba", 1.0), ("zeta", 5.0)):
        profile = dataclasses.replace(
            simulator_module.PROFILE, name=name, downtime_weight=weight
        )
        context.simulator.configure(name, profile)
    context.simulator.wait(20)


@behave.then("the high-weight service has the spare")
def check_spare(context):
    """Compare the service whose replica has the spare."""
    found = [r.service for r in context.simulator.record.replicas if r.spares]
    assert found == ["zeta"], found

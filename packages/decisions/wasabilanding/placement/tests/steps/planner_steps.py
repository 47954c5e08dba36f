"""Steps for the planner."""

import dataclasses

import behave

from wasabilanding.placement.tests import fleet as fleet_module


def _leader_of(fleet, name):
    for replica in fleet.record.replicas:
        if name in replica.members:
            return fleet.vms[replica.leader]
    raise AssertionError(f"{name} is in no replica")


def _leave(fleet, name):
    vm = fleet.vms[name]
    vm.leaving = True
    vm.vm = dataclasses.replace(vm.vm, leaving=True)


def _run(fleet, name):
    _leader_of(fleet, name).running += 1


def _finish(fleet, name):
    _leader_of(fleet, name).running = 0


def _pause(fleet, name):
    fleet.vms[name].paused = True


def _resume(fleet, name):
    fleet.vms[name].paused = False


def _change(fleet, text):
    name, _, value = text.partition("=")
    current = fleet.configuration.profile_of(fleet_module.SERVICE)
    old = getattr(current.profile, name)
    new = (value,) if isinstance(old, tuple) else type(old)(value)
    changed = dataclasses.replace(current.profile, **{name: new})
    fleet.configure(fleet_module.SERVICE, changed)


def _bad(fleet, version):
    fleet.bad_versions.add(version)


def _broken(fleet, name):
    fleet.vms[name].broken = True


def _stray(fleet, name):
    fleet.vms[name].replica_epoch = ("escriba-0", 0)


def _other(fleet, size):
    profile = dataclasses.replace(
        fleet_module.PROFILE,
        name="other",
        model="carta",
        vms_per_replica=int(size),
        downtime_weight=9.0,
    )
    fleet.configure("zeta", profile)


def _deaf(fleet, name):
    fleet.vms[name].knows_drain = False


def _lag(fleet, ticks):
    for vm in fleet.vms.values():
        vm.lag_ticks = int(ticks)


def _late(fleet, seconds):
    fleet.late_until = fleet.now + float(seconds)


def _flap(fleet, name):
    fleet.kill(name)
    fleet.wait(4)
    fleet.restart(name)
    fleet.wait(4)


def _dark(fleet, fabric):
    for name in fleet.vms:
        if name.startswith(fabric):
            fleet.kill(name)


EVENTS = {
    "kill": lambda fleet, name: fleet.kill(name),
    "restart": lambda fleet, name: fleet.restart(name),
    "wait": lambda fleet, text: fleet.wait(float(text)),
    "leave": _leave,
    "run": _run,
    "finish": _finish,
    "pause": _pause,
    "resume": _resume,
    "change": _change,
    "bad": _bad,
    "broken": _broken,
    "stray": _stray,
    "other": _other,
    "down": lambda fleet, _: setattr(fleet, "store_down", True),
    "up": lambda fleet, _: setattr(fleet, "store_down", False),
    "deaf": _deaf,
    "lag": _lag,
    "late": _late,
    "flap": _flap,
    "dark": _dark,
}


@behave.given("fabric domains of {sizes} VMs")
def given_fabrics(context, sizes):
    """Make the VMs."""
    numbers = [int(size) for size in sizes.split(",")]
    context.fleet = fleet_module.Fleet(numbers)


@behave.given("{count:d} wanted replicas of {vms:d} VMs")
def given_profile(context, count, vms):
    """Write the profile and assemble the replicas."""
    profile = dataclasses.replace(
        fleet_module.PROFILE, vms_per_replica=vms, replicas_per_domain=count
    )
    context.fleet.configure(fleet_module.SERVICE, profile)
    context.fleet.wait(12)


@behave.given("a minimum of {minimum:d} replicas")
def given_minimum(context, minimum):
    """Set the number that planned changes keep."""
    _change(context.fleet, f"min_replicas_per_domain={minimum}")


@behave.when("these happen: {events}")
def happen(context, events):
    """Let events happen one after another."""
    context.least = context.fleet.serving()
    for event in events.split(", "):
        name, _, argument = event.partition(" ")
        EVENTS[name](context.fleet, argument)


@behave.when("{seconds:d} seconds pass in a roll to {change}")
def roll(context, seconds, change):
    """Change the profile and note the least number that serves."""
    fleet = context.fleet
    _change(fleet, change)
    context.least = fleet.serving()
    for _ in range(round(seconds / fleet_module.TICK_S)):
        fleet.step()
        context.least = min(context.least, fleet.serving())


@behave.then("the record holds {shape}")
def check_shape(context, shape):
    """Compare the record."""
    assert context.fleet.shape() == shape, context.fleet.shape()


@behave.then("{count:d} replicas serve")
def check_serving(context, count):
    """Compare the number of whole replicas."""
    assert context.fleet.serving() == count, context.fleet.serving()


@behave.then("{count:d} running requests were cut")
def check_cut(context, count):
    """Compare the requests that orders cut."""
    assert context.fleet.cut == count, context.fleet.cut


@behave.then("never fewer than {count:d} replicas served")
def check_least(context, count):
    """Compare the least number of whole replicas."""
    assert context.least >= count, context.least


@behave.then("version {version} is wanted at revision {revision:d}")
def check_version(context, version, revision):
    """Compare the profile in force."""
    entry = context.fleet.configuration.profile_of(fleet_module.SERVICE)
    found = entry.profile.version, entry.revision
    assert found == (version, revision), found


@behave.then("the record changed at most {count:d} times since revision 1")
def check_changes(context, count):
    """Compare the number of writes."""
    revision = context.fleet.record.revision
    assert revision - 1 <= count, revision - 1


@behave.then("all replicas have {name} {value}")
def check_field(context, name, value):
    """Compare a field of all replicas."""
    found = {str(getattr(r, name)) for r in context.fleet.record.replicas}
    assert found == {value}, found


@behave.then("all replicas run version {version}")
def check_all(context, version):
    """Compare the versions of the record."""
    found = {r.version for r in context.fleet.record.replicas}
    assert found == {version}, found


@behave.then("every member of a whole replica had its place under its epoch")
def check_epochs(context):
    """Check that no epoch was reused after a VM came back empty."""
    fleet = context.fleet
    for replica in fleet.record.replicas:
        assert replica.epoch > context.before_epoch, replica


@behave.given("the epoch of the replicas is noted")
def note_epoch(context):
    """Note the highest epoch."""
    context.before_epoch = max(r.epoch for r in context.fleet.record.replicas)


@behave.then("the first loads go to {names}")
def check_first_loads(context, names):
    """Compare the VMs that were ordered to load at first."""
    found = [o.vm for o in context.fleet.orders][: len(names.split(","))]
    assert found == names.split(","), found


@behave.then("VM {name} fetched weights {count:d} times")
def check_fetches(context, name, count):
    """Compare the fetches of a VM."""
    assert context.fleet.vms[name].fetches == count


@behave.when(
    "the holder is paused for {seconds:f} seconds and then hears {name} late"
)
def pause_holder(context, seconds, name):
    """Let time pass without a report, then hear one VM after the others."""
    fleet = context.fleet
    fleet.now += seconds
    _pause(fleet, name)
    fleet.wait(1)
    _resume(fleet, name)
    fleet.wait(3)


@behave.when("{count:d} replicas of {vms:d} VMs are wanted for {s:d} seconds")
def wanted_for(context, count, vms, s):
    """Write the profile and let time pass."""
    profile = dataclasses.replace(
        fleet_module.PROFILE, vms_per_replica=vms, replicas_per_domain=count
    )
    context.fleet.configure(fleet_module.SERVICE, profile)
    context.fleet.wait(s)


@behave.when("a light service wants 2 replicas and a heavy one 2, of 2 VMs")
def two_services(context):
    """Write two profiles of different weight."""
    fleet = context.fleet
    fleet.max_loading = 3
    for name, weight in (("alba", 1.0), ("zeta", 5.0)):
        profile = dataclasses.replace(
            fleet_module.PROFILE,
            name=name,
            replicas_per_domain=2,
            downtime_weight=weight,
        )
        fleet.configure(name, profile)
    context.most = 0
    context.first = {}
    for _ in range(60):
        fleet.step()
        context.most = max(context.most, fleet.loading())
        for name in ("alba", "zeta"):
            if fleet.serving(name) == 2:
                context.first.setdefault(name, fleet.now)


@behave.then("at most {count:d} VMs ever load at a time, when {limit:d} may")
def check_loading(context, count, limit):
    """Compare the VMs that loaded at a time."""
    assert context.fleet.max_loading == limit
    assert context.most <= count, context.most


@behave.then("the heavy service serves first")
def check_first(context):
    """Compare the times at which the services were whole."""
    assert context.first["zeta"] < context.first["alba"], context.first


@behave.given(
    "a profile that weighs downtime {downtime:g} and stranding {stranding:g}"
)
def given_weights(context, downtime, stranding):
    """Write a profile with these weights."""
    profile = dataclasses.replace(
        fleet_module.PROFILE,
        downtime_weight=downtime,
        stranding_weight=stranding,
    )
    context.fleet.configure(fleet_module.SERVICE, profile)


@behave.when("a light service and a heavy one want 1 replica of 2 VMs each")
def light_and_heavy(context):
    """Write two profiles of different weight."""
    for name, weight in (("alba", 1.0), ("zeta", 5.0)):
        profile = dataclasses.replace(
            fleet_module.PROFILE, name=name, downtime_weight=weight
        )
        context.fleet.configure(name, profile)
    context.fleet.wait(20)


@behave.then("the spare is recorded with the heavy service")
def check_spare(context):
    """Compare the service whose replica has the spare."""
    found = [r.service for r in context.fleet.record.replicas if r.spares]
    assert found == ["zeta"], found

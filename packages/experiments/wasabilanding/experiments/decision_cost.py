"""Measures what decisions cost, by size.

Explanation
===========

``python -m wasabilanding.experiments.decision_cost`` prints the processor
time of a routing decision, an admission and a planner's tick and the memory
of what a node knows, at three or more sizes each, with the least-squares
line through them. A decision is timed in batches and the fastest batch
counts, so that other work on the machine disturbs it little.
"""

import collections.abc
import dataclasses
import random
import statistics
import time
import tracemalloc

import typer

from wasabilanding import configuration
from wasabilanding import knowledge
from wasabilanding import limits
from wasabilanding import model
from wasabilanding import placement
from wasabilanding import routing

SERVICE = "drafts"
VMS_PER_REPLICA = 16
VMS_PER_FABRIC = 64
REPLICA_SIZES = (20, 200, 2000)
QUEUE_SIZES = (10, 100, 1000)
PLANNER_VM_SIZES = (320, 1280, 5120)
KNOWLEDGE_VM_SIZES = (1000, 4000, 16000)
PROMPT_CHARACTERS = 8192
BATCHES = 5
NS_PER_US = 1000
BYTES_PER_KB = 1024

app = typer.Typer()


@dataclasses.dataclass(frozen=True)
class Cost:
    """Cost by size.

    :param name: what is measured.
    :param size_name: what its size counts.
    :param unit: unit of the cost.
    :param points: sizes and costs.
    """

    name: str
    size_name: str
    unit: str
    points: tuple[tuple[int, float], ...]

    @property
    def line(self) -> tuple[float, float]:
        """Slope per unit of size and intercept."""
        sizes, costs = zip(*self.points)
        found = statistics.linear_regression(sizes, costs)
        return found.slope, found.intercept


def _fastest_us(
    act: collections.abc.Callable[[], object], repeats: int
) -> float:
    best = float("inf")
    for _ in range(BATCHES):
        begun = time.perf_counter_ns()
        for _ in range(repeats):
            act()
        best = min(best, (time.perf_counter_ns() - begun) / repeats)
    return best / NS_PER_US


def _replica(number: int, vms: int) -> model.ReplicaRecord:
    fabric = number * vms // VMS_PER_FABRIC
    return model.ReplicaRecord(
        replica_id=f"{SERVICE}-{number}",
        epoch=number + 1,
        service=SERVICE,
        profile="draft",
        profile_revision=1,
        model="tarifa",
        version="v1",
        fabric_domain=f"prov-{fabric}",
        members=tuple(f"vm-{number * vms + rank}" for rank in range(vms)),
    )


def _record(replicas: int, vms: int) -> model.DomainRecord:
    return model.DomainRecord(
        "prov",
        revision=1,
        next_epoch=replicas + 1,
        replicas=tuple(_replica(n, vms) for n in range(replicas)),
    )


def _reports(record: model.DomainRecord) -> dict[str, model.VmReport]:
    return {
        vm: model.VmReport(
            vm, model.VmState.READY, replica.replica_id, replica.epoch
        )
        for replica in record.replicas
        for vm in replica.members
    }


def _routing_state(replicas: int) -> routing.RoutingState:
    record = _record(replicas, VMS_PER_REPLICA)
    reports = _reports(record)
    index = routing.ReplicaIndex("prov")
    index.refresh({"prov": record}, reports, 0.0)
    return routing.RoutingState(
        index,
        reports,
        routing.LoadView(),
        routing.StreamIntervals(),
        routing.PrefixView(),
        now=0.0,
        entry_vms=9,
    )


def choice_cost(replicas: int) -> float:
    """Return the time of one routing decision in microseconds.

    It includes the hashes of a prompt of 8 KB.

    :param replicas: usable replicas of the service, of 16 VMs each.
    """
    state = _routing_state(replicas)
    rng = random.Random(1)
    prompt = f"{rng.getrandbits(4 * PROMPT_CHARACTERS):x}"

    def act() -> None:
        request = routing.RoutingRequest(SERVICE, routing.block_hashes(prompt))
        found = routing.choose_by_cost(state, request, rng)
        assert found is not None
        key = routing.global_replica_key(found.replica)
        state.prefixes.store(key, request.blocks)

    return _fastest_us(act, 200)


def scan_cost(replicas: int) -> float:
    """Return the time of checking all replicas, in microseconds.

    The index does so a few times a second; without it, each request would.

    :param replicas: replicas of the service, of 16 VMs each.
    """
    record = _record(replicas, VMS_PER_REPLICA)
    reports = _reports(record)

    def act() -> None:
        routing.usable_replicas(record.replicas, SERVICE, reports, 0.0)

    return _fastest_us(act, 5)


def admission_cost(waiting: int) -> float:
    """Return the time of one request's admission and end, in microseconds.

    :param waiting: requests that wait, of 10 customers.
    """
    admission = limits.Admission(10 * waiting + 100)
    admission.set_limit(SERVICE, 10, 0.0)
    customer = configuration.Customer()
    numbers = iter(range(1_000_000_000))
    running: list[str] = []

    def offer() -> None:
        number = next(numbers)
        request = limits.AdmissionRequest(
            str(number), SERVICE, f"c{number % 10}", 64.0, 5, 1e9
        )
        found = admission.offer(request, customer, 0.0)
        running.extend(decision.request_id for decision in found)

    for _ in range(waiting + 10):
        offer()

    def act() -> None:
        offer()
        found = admission.finish(running.pop(0), 1.0, 64.0)
        running.extend(decision.request_id for decision in found)

    return _fastest_us(act, 200)


def _planner_snapshot(vms: int) -> placement.DomainSnapshot:
    replicas = vms // VMS_PER_REPLICA
    profile = model.ReplicaProfile(
        name="draft",
        model="tarifa",
        version="v1",
        vms_per_replica=VMS_PER_REPLICA,
        replicas_per_domain=replicas,
    )
    entry = configuration.ProfileRevision(1, profile)
    record = _record(replicas, VMS_PER_REPLICA)
    listed = tuple(
        model.Vm(vm, f"http://{vm}:80", "prov", replica.fabric_domain)
        for replica in record.replicas
        for vm in replica.members
    )
    return placement.DomainSnapshot(
        record=record,
        configuration=configuration.Configuration(
            revision=1,
            profiles={"draft": configuration.ProfileHistory((entry,))},
            services={SERVICE: configuration.ServiceChoice("draft", 1)},
        ),
        vms=listed,
        reports=_reports(record),
        now=0.0,
        fence=1,
    )


def planner_cost(vms: int) -> float:
    """Return the time of one planner's tick in microseconds.

    :param vms: VMs of the failure domain, all in whole replicas.
    """
    situation = _planner_snapshot(vms)
    return _fastest_us(lambda: placement.plan(situation), 1)


def knowledge_size(vms: int) -> float:
    """Return the memory of what a node knows, in KiB.

    :param vms: VMs of the failure domain, all in replicas of 16.
    """
    tracemalloc.start()
    known = knowledge.ClusterState()
    situation = _planner_snapshot(vms)
    known.learn_record(situation.record)
    known.learn_listing(knowledge.VmListing("prov", 1, situation.vms))
    for report in situation.reports.values():
        known.learn_report(report)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / BYTES_PER_KB


MEASURES = (
    ("routing decision", "replicas", "us", choice_cost, REPLICA_SIZES),
    ("check of all replicas", "replicas", "us", scan_cost, REPLICA_SIZES),
    ("admission and end", "waiting", "us", admission_cost, QUEUE_SIZES),
    ("planner's tick", "VMs", "us", planner_cost, PLANNER_VM_SIZES),
    ("memory of knowledge", "VMs", "KiB", knowledge_size, KNOWLEDGE_VM_SIZES),
)


def measure() -> collections.abc.Iterator[Cost]:
    """Yield all costs."""
    for name, size_name, unit, function, sizes in MEASURES:
        points = tuple((size, function(size)) for size in sizes)
        yield Cost(name, size_name, unit, points)


@app.command()
def main() -> None:
    """Print costs by size and the line through them."""
    for cost in measure():
        slope, intercept = cost.line
        typer.echo(cost.name)
        for size, value in cost.points:
            typer.echo(
                f"  {size:>6} {cost.size_name}: {value:.1f} {cost.unit}"
            )
        typer.echo(
            f"  slope {slope:.5f} {cost.unit} per {cost.size_name}, "
            f"intercept {intercept:.1f} {cost.unit}"
        )


if __name__ == "__main__":
    app()

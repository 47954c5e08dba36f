"""Measures the cost of scheduling decisions by size.

Explanation
===========

``python -m wasabilanding.experiments.decision_cost`` prints the time of
a routing decision, an admission and a planner tick and the memory of a node's
cluster state, at three or more sizes each, with least-squares fits. Each
decision is timed in batches, and the fastest batch is reported to limit the
influence of other load on the machine.
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
REPLICA_COUNTS = (20, 200, 2000)
QUEUE_LENGTHS = (10, 100, 1000)
PLANNER_VM_COUNTS = (320, 1280, 5120)
CLUSTER_STATE_VM_COUNTS = (1000, 4000, 16000)
PROMPT_CHARACTERS = 8192
BATCHES = 5
NS_PER_US = 1000
BYTES_PER_KIB = 1024

app = typer.Typer()


@dataclasses.dataclass(frozen=True)
class Cost:
    """Cost by size.

    :param name: measured operation.
    :param size_name: what the sizes count.
    :param unit: unit of the cost.
    :param points: pairs of size and cost.
    """

    name: str
    size_name: str
    unit: str
    points: tuple[tuple[int, float], ...]

    @property
    def fit(self) -> tuple[float, float]:
        """Slope and intercept of the least-squares fit."""
        sizes, costs = zip(*self.points)
        fit_result = statistics.linear_regression(sizes, costs)
        return fit_result.slope, fit_result.intercept


def _min_time_us(
    operation: collections.abc.Callable[[], object], repeats: int
) -> float:
    fastest_ns = float("inf")
    for _ in range(BATCHES):
        started_ns = time.perf_counter_ns()
        for _ in range(repeats):
            operation()
        fastest_ns = min(
            fastest_ns, (time.perf_counter_ns() - started_ns) / repeats
        )
    return fastest_ns / NS_PER_US


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


def routing_decision_cost(replicas: int) -> float:
    """Return the time of one routing decision in microseconds.

    The time includes hashing a prompt of 8 KB.

    :param replicas: usable replicas of the service, of 16 VMs each.
    """
    state = _routing_state(replicas)
    rng = random.Random(1)
    prompt = f"{rng.getrandbits(4 * PROMPT_CHARACTERS):x}"

    def operation() -> None:
        request = routing.RoutingRequest(SERVICE, routing.block_hashes(prompt))
        selected = routing.choose_by_cost(state, request, rng)
        assert selected is not None
        key = routing.global_replica_key(selected.replica)
        state.prefixes.store(key, request.blocks)

    return _min_time_us(operation, 200)


def full_scan_cost(replicas: int) -> float:
    """Return the time to check all replicas, in microseconds.

    The replica index does this a few times per second; without the index,
    every request would.

    :param replicas: replicas of the service, of 16 VMs each.
    """
    record = _record(replicas, VMS_PER_REPLICA)
    reports = _reports(record)

    def operation() -> None:
        routing.usable_replicas(record.replicas, SERVICE, reports, 0.0)

    return _min_time_us(operation, 5)


def admission_cost(waiting: int) -> float:
    """Return the time to admit and finish one request, in microseconds.

    :param waiting: number of waiting requests, from 10 customers.
    """
    admission = limits.Admission(10 * waiting + 100)
    admission.set_limit(SERVICE, 10, 0.0)
    customer = configuration.Customer()
    numbers = iter(range(1_000_000_000))
    running_ids: list[str] = []

    def offer() -> None:
        number = next(numbers)
        request = limits.AdmissionRequest(
            str(number), SERVICE, f"c{number % 10}", 64.0, 5, 1e9
        )
        decisions = admission.offer(request, customer, 0.0)
        running_ids.extend(decision.request_id for decision in decisions)

    for _ in range(waiting + 10):
        offer()

    def operation() -> None:
        offer()
        decisions = admission.finish(running_ids.pop(0), 1.0, 64.0)
        running_ids.extend(decision.request_id for decision in decisions)

    return _min_time_us(operation, 200)


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
    all_vms = tuple(
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
        vms=all_vms,
        reports=_reports(record),
        now=0.0,
        fence=1,
    )


def planner_cost(vms: int) -> float:
    """Return the time of one planner tick in microseconds.

    :param vms: VMs of the failure domain, all in complete replicas.
    """
    snapshot = _planner_snapshot(vms)
    return _min_time_us(lambda: placement.plan(snapshot), 1)


def cluster_state_size(vms: int) -> float:
    """Return the memory of a node's cluster state, in KiB.

    :param vms: VMs of the failure domain, all in replicas of 16.
    """
    tracemalloc.start()
    cluster_state = knowledge.ClusterState()
    snapshot = _planner_snapshot(vms)
    cluster_state.learn_record(snapshot.record)
    cluster_state.learn_listing(knowledge.VmListing("prov", 1, snapshot.vms))
    for report in snapshot.reports.values():
        cluster_state.learn_report(report)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes / BYTES_PER_KIB


MEASUREMENTS = (
    (
        "routing decision",
        "replicas",
        "us",
        routing_decision_cost,
        REPLICA_COUNTS,
    ),
    (
        "check of all replicas",
        "replicas",
        "us",
        full_scan_cost,
        REPLICA_COUNTS,
    ),
    ("admission and end", "waiting", "us", admission_cost, QUEUE_LENGTHS),
    ("planner's tick", "VMs", "us", planner_cost, PLANNER_VM_COUNTS),
    (
        "memory of knowledge",
        "VMs",
        "KiB",
        cluster_state_size,
        CLUSTER_STATE_VM_COUNTS,
    ),
)


def measure() -> collections.abc.Iterator[Cost]:
    """Run all measurements and yield their costs."""
    for name, size_name, unit, function, sizes in MEASUREMENTS:
        points = tuple((size, function(size)) for size in sizes)
        yield Cost(name, size_name, unit, points)


@app.command()
def main() -> None:
    """Print the costs by size with their linear fits."""
    for cost in measure():
        slope, intercept = cost.fit
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

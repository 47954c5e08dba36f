"""Takes all measurements and writes the capacity page (``make capacity``)."""

import pathlib

import trio

from wasabilanding import configuration
from wasabilanding.experiments.capacity import page
from wasabilanding.experiments.capacity import readings
from wasabilanding.experiments import cluster
from wasabilanding.experiments import decision_cost
from wasabilanding.experiments import exchange_harness
from wasabilanding.experiments import exchange_scale
from wasabilanding.experiments import process_cost
from wasabilanding.experiments import relay_benchmark
from wasabilanding import model

MODULE = "python -m wasabilanding.experiments"
STORE_SAMPLE_S = 60.0
STORE_DOMAINS = ("prov", "nunoa", "maipu")
STORE_WRITES = frozenset(("put", "grant", "renew", "revoke"))
PROFILE_COUNTS = (10, 100, 400)
RELAY_CASES = ((60, 16), (60, 32), (125, 32))
RELAY_S = 3.0
EXCHANGE_S = 6.0
MS_PER_S = 1000
BYTES_PER_MB = 1e6

Slope = readings.Slope


def _decisions() -> dict[str, Slope]:
    command = f"{MODULE}.decision_cost"
    return {
        cost.name: Slope(
            cost.name, cost.size_name, cost.unit, command, cost.points
        )
        for cost in decision_cost.measure()
    }


def _exchange() -> tuple[Slope, Slope, Slope]:
    loads = []
    for nodes in exchange_scale.SIZES:
        config = exchange_harness.HarnessConfig(
            nodes=nodes,
            vms=round(nodes * exchange_scale.VMS_PER_NODE),
            failure_domains=3,
            measured_s=EXCHANGE_S,
        )
        loads.append((nodes, exchange_harness.Harness(config).run()))
    command = f"{MODULE}.exchange_scale"

    def slope(name: str, unit: str, field: str) -> Slope:
        points = tuple(
            (node_count, getattr(load, field)) for node_count, load in loads
        )
        size = "nodes of the failure domain"
        return Slope(name, size, unit, command, points)

    return (
        slope("exchange, sent", "B/s", "sent_bytes"),
        slope("exchange, processor time", "ms/s", "cpu_ms"),
        slope("exchange, calls made", "1/s", "calls_made"),
    )


def _observation() -> tuple[Slope, float]:
    sizes = [size for size in process_cost.IDLE_SIZES if size[0] == 1]
    readings = [process_cost.idle_reading(*size) for size in sizes]
    points = tuple((r.size, r.cpu_share * MS_PER_S) for r in readings)
    memory = max(r.resident_bytes for r in readings) / BYTES_PER_MB
    command = f"{MODULE}.process_cost"
    name = "idle daemon that holds control"
    return Slope(name, "VMs observed", "ms/s", command, points), memory


def _requests() -> Slope:
    readings = process_cost.request_readings()
    points = tuple((r.size, r.cpu_share * MS_PER_S) for r in readings)
    command = f"{MODULE}.process_cost"
    return Slope("requests", "requests/s", "ms/s", command, points)


def _relay() -> Slope:
    points = []
    for rate, streams in RELAY_CASES:
        result = relay_benchmark.measure("node", rate, streams, RELAY_S)
        points.append((rate * streams, result.cost_us))
    command = f"{MODULE}.relay_benchmark"
    return Slope(
        "token relay", "tokens/s", "us a part", command, tuple(points)
    )


def _document_bytes(profiles: int) -> int:
    configuration_document = configuration.Configuration()
    for number in range(profiles):
        profile = model.ReplicaProfile(
            name=f"profile-{number}",
            model="tarifa-xl",
            version="2026-11",
            vms_per_replica=16,
            replicas_per_domain=4,
        )
        configuration_document = configuration.put_profile(
            configuration_document, profile, 0
        )
    return len(model.encode(configuration_document).encode())


def _document() -> Slope:
    points = tuple((count, _document_bytes(count)) for count in PROFILE_COUNTS)
    command = f"{MODULE}.capacity.measure"
    return Slope("configuration", "profiles", "B", command, points)


async def _store_calls(domains: int) -> tuple[float, float]:
    plan = cluster.Plan(STORE_DOMAINS[:domains], nodes_per_domain=3)
    profile = model.ReplicaProfile("draft", "tarifa", "v1", 2, 2)
    async with cluster.open_cluster(plan) as system:
        await system.configure("escriba", profile)
        await trio.sleep(STORE_SAMPLE_S / 2)
        calls = system.platform.store.calls
        before = dict(calls)
        await trio.sleep(STORE_SAMPLE_S)
        call_counts = {
            name: n - before.get(name, 0) for name, n in calls.items()
        }
    writes = sum(n for name, n in call_counts.items() if name in STORE_WRITES)
    reads = sum(call_counts.values()) - writes
    return reads / STORE_SAMPLE_S, writes / STORE_SAMPLE_S


def _store() -> tuple[Slope, Slope]:
    rows = [
        (domains, *cluster.run_seeded(_store_calls, domains))
        for domains in (1, 2, 3)
    ]
    command = f"{MODULE}.capacity.measure"
    size = "failure domains of 3 entry VMs"
    reads = tuple((domains, calls_per_s) for domains, calls_per_s, _ in rows)
    writes = tuple((domains, calls_per_s) for domains, _, calls_per_s in rows)
    return (
        Slope("store, reads at rest", size, "1/s", command, reads),
        Slope("store, writes at rest", size, "1/s", command, writes),
    )


def measure() -> readings.Measurements:
    """Take all measurements, which lasts a few minutes."""
    decisions = _decisions()
    exchange_bytes, exchange_cpu, exchange_calls = _exchange()
    observation, resident_mb = _observation()
    store_reads, store_writes = _store()
    return readings.Measurements(
        routing=decisions["routing decision"],
        admission=decisions["admission and end"],
        planner=decisions["planner's tick"],
        knowledge=decisions["memory of knowledge"],
        exchange_bytes=exchange_bytes,
        exchange_cpu=exchange_cpu,
        exchange_calls=exchange_calls,
        transport_ms=trio.run(exchange_scale.transport_ms),
        observation=observation,
        requests=_requests(),
        relay=_relay(),
        document=_document(),
        store_reads=store_reads,
        store_writes=store_writes,
        resident_mb=resident_mb,
    )


def main() -> None:
    """Take all measurements; write them and the page."""
    root = pathlib.Path()
    (root / page.DATA).write_text(model.encode(measure()) + "\n")
    (root / page.PAGE).write_text(page.render(root))


if __name__ == "__main__":
    main()

"""Resource requirements, extrapolated to the target size."""

import dataclasses

from wasabilanding.experiments.capacity import readings as readings_module
from wasabilanding.experiments.capacity import target as target_module

CONTROL_TICKS_PER_S = 1 / 0.3
ASSUMED_PROFILES = 100
WRITES_PER_CLAIM = 3
MS_PER_S = 1000.0
KIB_PER_MB = 976.6
CORE_MS_PER_S = 1000.0
WAITING_REQUESTS = 100
MIN_BUDGET = 1e-9


@dataclasses.dataclass(frozen=True)
class Requirement:
    """One resource requirement at the target size.

    :param role: component that needs the resource.
    :param resource: what is needed.
    :param value: amount needed at the target size.
    :param budget: amount available.
    :param unit: unit of value and budget.
    :param mechanism: mechanism that meets the requirement, or would.
    :param basis: how the value follows from the linear fits.
    """

    role: str
    resource: str
    value: float
    budget: float
    unit: str
    mechanism: str
    basis: str

    @property
    def fits(self) -> bool:
        """Whether the value is within its budget."""
        return self.value <= self.budget

    @property
    def verdict(self) -> str:
        """Whether the value fits its budget, and if not, by what factor."""
        if self.fits:
            return "fits"
        factor = self.value / max(self.budget, MIN_BUDGET)
        return f"does not fit, by {factor:.1f} times"


def _data_path_requirements(
    measured: readings_module.Measurements, target: target_module.Target
) -> list[Requirement]:
    per_request = measured.requests.fit[0]
    replicas = target.endpoint_vms / target.vms_per_replica
    decisions_us = measured.routing.predict(
        replicas
    ) + measured.admission.predict(WAITING_REQUESTS)
    return [
        Requirement(
            "every node, data path",
            "requests, without their parts",
            per_request * target.requests_per_node,
            CORE_MS_PER_S,
            "ms/s of one loop",
            "quart on hypercorn in, httpx out",
            f"{per_request:.2f} ms a request, {target.requests_per_node:.0f} "
            "requests/s",
        ),
        Requirement(
            "every node, data path",
            "token relay",
            measured.relay.max_size_value * target.tokens_per_node / MS_PER_S,
            CORE_MS_PER_S - per_request * target.requests_per_node,
            "ms/s of one loop",
            "gathering of parts; beyond one core several daemons on each "
            "entry VM, each a node of its own",
            f"{measured.relay.max_size_value:.0f} us a part at the largest "
            "measured rate, "
            f"{target.tokens_per_node:.0f} tokens/s",
        ),
        Requirement(
            "every node, data path",
            "routing and admission, within the requests' time",
            decisions_us * target.requests_per_node / MS_PER_S,
            CORE_MS_PER_S,
            "ms/s of one loop",
            "index of usable replicas, kept between requests",
            f"{decisions_us:.0f} us at {replicas:.0f} replicas and "
            f"{WAITING_REQUESTS} waiting",
        ),
    ]


def _control_requirements(
    measured: readings_module.Measurements, target: target_module.Target
) -> list[Requirement]:
    control_ms = target.control_core_share * MS_PER_S
    nodes = target.nodes_per_domain
    observed_vms = target.vms_per_domain / nodes
    transport_cpu_ms = (
        2 * measured.exchange_calls.predict(nodes) * measured.transport_ms / 2
    )
    document = measured.document.predict(ASSUMED_PROFILES)
    return [
        Requirement(
            "every node, control",
            "observation of its share of VMs",
            measured.observation.fit[0] * observed_vms,
            control_ms,
            "ms/s",
            "VMs shared by rendezvous hashing among the domain's nodes",
            f"{measured.observation.fit[0]:.2f} ms/s a VM, "
            f"{observed_vms:.1f} VMs",
        ),
        Requirement(
            "every node, control",
            "exchange, processor time",
            measured.exchange_cpu.predict(nodes) + transport_cpu_ms,
            control_ms,
            "ms/s",
            "fan-out 2 and deltas; next: evidence by replica, not by VM",
            f"{measured.exchange_cpu.predict(nodes):.1f} ms/s for messages "
            "and "
            f"{transport_cpu_ms:.1f} ms/s for gRPC at {nodes:.0f} nodes, "
            "measured with 3 failure domains",
        ),
        Requirement(
            "every node, control",
            "exchange, bytes sent",
            measured.exchange_bytes.predict(nodes),
            target.control_bytes_per_s,
            "B/s",
            "fan-out 2 and deltas; next: evidence by replica, not by VM",
            f"{measured.exchange_bytes.fit[0]:.0f} B/s a node of the domain, "
            "measured with 3 failure domains",
        ),
        Requirement(
            "every node, control",
            "configuration, bytes taken in",
            document * target.changes_per_s,
            target.control_bytes_per_s,
            "B/s",
            "whole document by revision and digest; next: only what changed",
            f"{document:.0f} B at {ASSUMED_PROFILES} profiles (assumed), "
            f"{target.changes_per_s:.3f} changes/s",
        ),
        Requirement(
            "every node, control",
            "memory",
            measured.resident_mb
            + measured.knowledge.predict(target.endpoint_vms) / KIB_PER_MB,
            target.control_memory_mb,
            "MB",
            "reports of the own domain, lists of all",
            f"{measured.resident_mb:.0f} MB of a small daemon, "
            f"{measured.knowledge.fit[0]:.2f} KiB a VM, "
            f"{target.endpoint_vms} VMs",
        ),
    ]


def _holder_and_store_requirements(
    measured: readings_module.Measurements, target: target_module.Target
) -> list[Requirement]:
    tick_us = measured.planner.predict(target.vms_per_domain)
    domains = target.failure_domains
    changes = target.changes_per_s + 2 * target.replacements_per_s
    writes = measured.store_writes.predict(domains) + changes
    reads = measured.store_reads.predict(domains) + changes
    claims_per_s = (target.store_writes_per_s - writes) / WRITES_PER_CLAIM
    return [
        Requirement(
            "holder of control",
            "planning",
            tick_us * CONTROL_TICKS_PER_S / MS_PER_S,
            target.control_core_share * MS_PER_S,
            "ms/s",
            "one holder per failure domain by lease; next: no tick while "
            "nothing changes",
            f"{tick_us:.0f} us a tick at {target.vms_per_domain:.0f} VMs, "
            f"{CONTROL_TICKS_PER_S:.1f} ticks/s",
        ),
        Requirement(
            "store",
            "writes but for claims",
            writes,
            target.store_writes_per_s,
            "1/s",
            "a lease and a record per failure domain",
            f"{measured.store_writes.fit[0]:.2f} a second a failure domain, "
            f"and {changes:.2f} changes/s",
        ),
        Requirement(
            "store",
            "reads, a waiting watch as one",
            reads,
            target.store_reads_per_s,
            "1/s",
            "two watchers per failure domain, the others hear from peers",
            f"{measured.store_reads.fit[0]:.2f} a second a failure domain",
        ),
        Requirement(
            "store",
            "claims, if 1 in 100 requests is non-idempotent",
            target.requests_per_s / 100,
            claims_per_s,
            "1/s",
            "a claim per request, 60 a second by budget, 'not run' beyond; "
            "next: group commit (`claim_ways`)",
            f"{WRITES_PER_CLAIM} writes a claim; the share is assumed, the "
            "users gave none",
        ),
    ]


def all_requirements(
    measured: readings_module.Measurements,
    target: target_module.Target | None = None,
) -> tuple[Requirement, ...]:
    """Return all requirements in page order.

    :param measured: measurements to extrapolate.
    :param target: target size; the default target when None.
    """
    resolved_target = target or target_module.Target()
    return (
        *_data_path_requirements(measured, resolved_target),
        *_control_requirements(measured, resolved_target),
        *_holder_and_store_requirements(measured, resolved_target),
    )

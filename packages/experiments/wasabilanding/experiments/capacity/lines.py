"""Lines of the page: slopes carried to the target size."""

import dataclasses

from wasabilanding.experiments.capacity import measured as measured_module
from wasabilanding.experiments.capacity import target as target_module

CONTROL_TICKS_PER_S = 1 / 0.3
ASSUMED_PROFILES = 100
WRITES_PER_CLAIM = 3
MS_PER_S = 1000.0
KIB_PER_MB = 976.6
CORE_MS_PER_S = 1000.0
WAITING = 100
SMALLEST_BUDGET = 1e-9


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of the page.

    :param role: who needs it.
    :param what: what is needed.
    :param value: how much at the target size.
    :param budget: how much there is.
    :param unit: unit of both.
    :param mechanism: what carries it, or would.
    :param basis: how the value follows from measured slopes.
    """

    role: str
    what: str
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
        """Whether it fits, and if not, by how much."""
        if self.fits:
            return "fits"
        times = self.value / max(self.budget, SMALLEST_BUDGET)
        return f"does not fit, by {times:.1f} times"


def _data_path(
    m: measured_module.Measured, t: target_module.Target
) -> list[Line]:
    per_request = m.requests.line[0]
    replicas = t.engines / t.vms_per_replica
    decisions_us = m.routing.at(replicas) + m.admission.at(WAITING)
    return [
        Line(
            "every node, data path",
            "requests, without their parts",
            per_request * t.requests_per_node,
            CORE_MS_PER_S,
            "ms/s of one loop",
            "quart on hypercorn in, httpx out",
            f"{per_request:.2f} ms a request, {t.requests_per_node:.0f} "
            "requests/s",
        ),
        Line(
            "every node, data path",
            "token relay",
            m.relay.largest * t.tokens_per_node / MS_PER_S,
            CORE_MS_PER_S - per_request * t.requests_per_node,
            "ms/s of one loop",
            "gathering of parts; beyond one core several daemons on each "
            "entry VM, each a node of its own",
            f"{m.relay.largest:.0f} us a part at the largest measured rate, "
            f"{t.tokens_per_node:.0f} tokens/s",
        ),
        Line(
            "every node, data path",
            "routing and admission, within the requests' time",
            decisions_us * t.requests_per_node / MS_PER_S,
            CORE_MS_PER_S,
            "ms/s of one loop",
            "index of usable replicas, kept between requests",
            f"{decisions_us:.0f} us at {replicas:.0f} replicas and "
            f"{WAITING} waiting",
        ),
    ]


def _every_node(
    m: measured_module.Measured, t: target_module.Target
) -> list[Line]:
    control_ms = t.control_core_share * MS_PER_S
    nodes = t.nodes_per_domain
    observed = t.vms_per_domain / nodes
    calls = 2 * m.exchange_calls.at(nodes) * m.transport_ms / 2
    document = m.document.at(ASSUMED_PROFILES)
    return [
        Line(
            "every node, control",
            "observation of its share of VMs",
            m.observation.line[0] * observed,
            control_ms,
            "ms/s",
            "VMs shared by rendezvous hashing among the domain's nodes",
            f"{m.observation.line[0]:.2f} ms/s a VM, {observed:.1f} VMs",
        ),
        Line(
            "every node, control",
            "exchange, processor time",
            m.exchange_cpu.at(nodes) + calls,
            control_ms,
            "ms/s",
            "fan-out 2 and deltas; next: evidence by replica, not by VM",
            f"{m.exchange_cpu.at(nodes):.1f} ms/s for messages and "
            f"{calls:.1f} ms/s for gRPC at {nodes:.0f} nodes, measured with "
            "3 failure domains",
        ),
        Line(
            "every node, control",
            "exchange, bytes sent",
            m.exchange_bytes.at(nodes),
            t.control_bytes_per_s,
            "B/s",
            "fan-out 2 and deltas; next: evidence by replica, not by VM",
            f"{m.exchange_bytes.line[0]:.0f} B/s a node of the domain, "
            "measured with 3 failure domains",
        ),
        Line(
            "every node, control",
            "configuration, bytes taken in",
            document * t.changes_per_s,
            t.control_bytes_per_s,
            "B/s",
            "whole document by revision and digest; next: only what changed",
            f"{document:.0f} B at {ASSUMED_PROFILES} profiles (assumed), "
            f"{t.changes_per_s:.3f} changes/s",
        ),
        Line(
            "every node, control",
            "memory",
            m.resident_mb + m.knowledge.at(t.engines) / KIB_PER_MB,
            t.control_memory_mb,
            "MB",
            "reports of the own domain, lists of all",
            f"{m.resident_mb:.0f} MB of a small daemon, "
            f"{m.knowledge.line[0]:.2f} KiB a VM, {t.engines} VMs",
        ),
    ]


def _holder_and_store(
    m: measured_module.Measured, t: target_module.Target
) -> list[Line]:
    tick_us = m.planner.at(t.vms_per_domain)
    domains = t.failure_domains
    changes = t.changes_per_s + 2 * t.replacements_per_s
    writes = m.store_writes.at(domains) + changes
    reads = m.store_reads.at(domains) + changes
    left = (t.store_writes_per_s - writes) / WRITES_PER_CLAIM
    return [
        Line(
            "holder of control",
            "planning",
            tick_us * CONTROL_TICKS_PER_S / MS_PER_S,
            t.control_core_share * MS_PER_S,
            "ms/s",
            "one holder per failure domain by lease; next: no tick while "
            "nothing changes",
            f"{tick_us:.0f} us a tick at {t.vms_per_domain:.0f} VMs, "
            f"{CONTROL_TICKS_PER_S:.1f} ticks/s",
        ),
        Line(
            "store",
            "writes but for claims",
            writes,
            t.store_writes_per_s,
            "1/s",
            "a lease and a record per failure domain",
            f"{m.store_writes.line[0]:.2f} a second a failure domain, and "
            f"{changes:.2f} changes/s",
        ),
        Line(
            "store",
            "reads, a waiting watch as one",
            reads,
            t.store_reads_per_s,
            "1/s",
            "two watchers per failure domain, the others hear from peers",
            f"{m.store_reads.line[0]:.2f} a second a failure domain",
        ),
        Line(
            "store",
            "claims, if 1 in 100 requests is non-idempotent",
            t.requests_per_s / 100,
            left,
            "1/s",
            "a claim per request, 60 a second by budget, 'not run' beyond; "
            "next: group commit (`claim_ways`)",
            f"{WRITES_PER_CLAIM} writes a claim; the share is assumed, the "
            "users gave none",
        ),
    ]


def capacity_lines(
    measured: measured_module.Measured,
    target: target_module.Target | None = None,
) -> tuple[Line, ...]:
    """Return all lines of the page.

    :param measured: measured slopes.
    :param target: the size; that of the users' letter when None.
    """
    aim = target or target_module.Target()
    return (
        *_data_path(measured, aim),
        *_every_node(measured, aim),
        *_holder_and_store(measured, aim),
    )

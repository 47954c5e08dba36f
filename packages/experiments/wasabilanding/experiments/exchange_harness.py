"""In-process benchmark of the peer exchange of one failure domain.

Explanation
===========

The harness calls the exchange functions directly, without sockets and
without the daemon's other loops, but serialises and parses every message as
on the wire. It simulates all nodes of one failure domain. Each other failure
domain is represented by a few nodes, which call the measured failure domain
as often as a whole failure domain would.
"""

import collections
import dataclasses
import heapq
import random
import time

from wasabilanding import knowledge
from wasabilanding import membership
from wasabilanding import model
from wasabilanding import peers

MEASURED_DOMAIN = "home"
EXCHANGE_INTERVAL_S = 0.4
JITTER_SHARE = 0.1
OBSERVATION_INTERVAL_S = 0.7
CALL_DELAY_S = 0.001
NODES_PER_REMOTE_DOMAIN = 8
VMS_PER_REPLICA = 16


@dataclasses.dataclass(frozen=True)
class HarnessConfig:
    """Sizes and durations of one run.

    :param nodes: nodes of the failure domain.
    :param vms: VMs of the failure domain.
    :param failure_domains: total number of failure domains.
    :param local_fan_out: local peers called in each round.
    :param warm_up_s: simulated time before the measurement, in seconds.
    :param measured_s: simulated time of the measurement, in seconds.
    :param seed: seed of the random number generators.
    """

    nodes: int
    vms: int
    failure_domains: int
    local_fan_out: int = membership.LOCAL_FAN_OUT
    warm_up_s: float = 8.0
    measured_s: float = 10.0
    seed: int = 1


@dataclasses.dataclass(frozen=True)
class Load:
    """Mean load of one node of the measured failure domain.

    :param calls_made: calls that it makes, per second.
    :param calls_answered: calls that it answers, per second.
    :param sent_bytes: bytes of messages that it sends, per second.
    :param received_bytes: bytes of messages that it receives, per second.
    :param request_bytes: mean size of a request in bytes.
    :param reply_bytes: mean size of a reply in bytes.
    :param cpu_ms: processor time of the exchange functions, in ms/s.
    :param age_median_s: median age of the VM reports known to a node.
    :param age_p99_s: 99th percentile of this age.
    :param age_max_s: maximum of this age.
    """

    calls_made: float
    calls_answered: float
    sent_bytes: float
    received_bytes: float
    request_bytes: float
    reply_bytes: float
    cpu_ms: float
    age_median_s: float
    age_p99_s: float
    age_max_s: float


class _Node:
    """Exchange state of one node."""

    def __init__(self, name: str, domain: str, rng: random.Random) -> None:
        node = membership.Node(name, 1, domain, f"{name}.wasabi:7003")
        self.domain = domain
        self.table = membership.MemberTable(node)
        self.known = knowledge.ClusterState()
        self.peer_selector = membership.PeerSelector((), rng)
        self.cursors: dict[str, peers.Cursor] = {}
        self.refused_revisions = peers.RefusedRevisions()


def _record(domain: str, vms: int) -> model.DomainRecord:
    replicas = tuple(
        model.ReplicaRecord(
            replica_id=f"llm-drafftio-{domain}-{index}",
            epoch=1000 + index,
            service="llm-drafftio",
            profile="bulletins",
            profile_revision=3,
            model="drafftio",
            version="v1",
            fabric_domain=f"{domain}-fabric-{index}",
            members=tuple(
                _vm_name(domain, index * VMS_PER_REPLICA + rank)
                for rank in range(VMS_PER_REPLICA)
            ),
        )
        for index in range(vms // VMS_PER_REPLICA)
    )
    return model.DomainRecord(domain, revision=7, replicas=replicas)


def _vm_name(domain: str, index: int) -> str:
    return f"{domain}-vm-{index:04d}"


def _listing(domain: str, vms: int) -> knowledge.VmListing:
    vms_in_domain = tuple(
        model.Vm(
            vm=_vm_name(domain, index),
            address=f"http://10.0.{index // 250}.{index % 250}:8000",
            failure_domain=domain,
            fabric_domain=f"{domain}-fabric-{index // VMS_PER_REPLICA}",
        )
        for index in range(vms)
    )
    return knowledge.VmListing(domain, 1, vms_in_domain)


class Harness:
    """Simulates the exchange of one failure domain.

    :param config: sizes and durations of the run.
    """

    def __init__(self, config: HarnessConfig) -> None:
        self._config = config
        self._rng = random.Random(config.seed)
        self._now_s = 0.0
        self._events: list[tuple[float, int, str, _Node]] = []
        self._scheduled_count = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._cpu_s = 0.0
        self._report_ages_s: list[float] = []
        self._by_address: dict[str, _Node] = {}
        self._measured_nodes = self._make_nodes(MEASURED_DOMAIN, config.nodes)
        self._remote_groups = [
            self._make_nodes(
                f"other-{index}", min(NODES_PER_REMOTE_DOMAIN, config.nodes)
            )
            for index in range(config.failure_domains - 1)
        ]
        self._populate_state()

    def _make_nodes(self, domain: str, count: int) -> list[_Node]:
        nodes = []
        for index in range(count):
            rng = random.Random(self._rng.random())
            node = _Node(f"{domain}-entry-{index:02d}", domain, rng)
            node.peer_selector = membership.PeerSelector(
                (), rng, self._config.local_fan_out
            )
            node.known.mark_informed()
            self._by_address[node.table.own.address] = node
            nodes.append(node)
        return nodes

    def _populate_state(self) -> None:
        config = self._config
        domains = [
            MEASURED_DOMAIN,
            *(group[0].domain for group in self._remote_groups),
        ]
        records = [_record(domain, config.vms) for domain in domains]
        listings = [_listing(domain, config.vms) for domain in domains]
        for node in self._by_address.values():
            for record in records:
                node.known.learn_record(record)
            for listing in listings:
                node.known.learn_listing(listing)
            for other in self._by_address.values():
                node.table.learn(other.table.own)

    def _schedule(self, after_s: float, kind: str, node: _Node) -> None:
        self._scheduled_count += 1
        entry = (self._now_s + after_s, self._scheduled_count, kind, node)
        heapq.heappush(self._events, entry)

    def run(self) -> Load:
        """Run the simulation and return the load of one node."""
        for node in self._measured_nodes:
            self._schedule(
                self._rng.uniform(0, EXCHANGE_INTERVAL_S), "round", node
            )
            self._schedule(
                self._rng.uniform(0, OBSERVATION_INTERVAL_S), "observe", node
            )
        for group in self._remote_groups:
            self._schedule(
                self._rng.uniform(0, EXCHANGE_INTERVAL_S), "ask", group[0]
            )
            self._schedule(0.0, "observe_all", group[0])
        self._run_until(self._config.warm_up_s)
        self._counts.clear()
        self._cpu_s = 0.0
        self._schedule(0.0, "sample", self._measured_nodes[0])
        self._run_until(self._config.warm_up_s + self._config.measured_s)
        return self._load()

    def _run_until(self, end_s: float) -> None:
        handlers = {
            "round": self._run_round,
            "observe": self._observe,
            "ask": self._call_measured_domain,
            "observe_all": self._observe_all,
            "sample": self._sample,
        }
        while self._events and self._events[0][0] < end_s:
            self._now_s, _, kind, node = heapq.heappop(self._events)
            handlers[kind](node)

    def _jittered_interval_s(self) -> float:
        factor = self._rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
        return EXCHANGE_INTERVAL_S * factor

    def _run_round(self, node: _Node) -> None:
        started_s = time.process_time()
        node.table.increment_heartbeat(self._now_s)
        node.table.forget(self._now_s)
        addresses = node.peer_selector.next_round(node.table, self._now_s)
        self._cpu_s += time.process_time() - started_s
        for address in addresses:
            self._exchange(node, self._by_address[address])
        self._schedule(self._jittered_interval_s(), "round", node)

    def _call_measured_domain(self, remote_node: _Node) -> None:
        # The nodes of a failure domain together make this many calls to each
        # other failure domain per round.
        group = self._remote_groups[int(remote_node.domain.rpartition("-")[2])]
        for node in group:
            node.table.increment_heartbeat(self._now_s)
        for _ in range(int(membership.REMOTE_EXCHANGES_PER_ROUND)):
            caller = self._rng.choice(group)
            self._exchange(caller, self._rng.choice(self._measured_nodes))
        self._schedule(self._jittered_interval_s(), "ask", remote_node)

    def _observe(self, node: _Node) -> None:
        live = node.table.live(self._now_s, MEASURED_DOMAIN)
        names = tuple(member.name for member in live)
        vms = tuple(vm.vm for vm in node.known.listing(MEASURED_DOMAIN).vms)
        for vm in membership.own_keys(node.table.own.name, names, vms):
            self._add_report(node, MEASURED_DOMAIN, vm)
        self._schedule(OBSERVATION_INTERVAL_S, "observe", node)

    def _observe_all(self, remote_node: _Node) -> None:
        for node in self._remote_groups[
            int(remote_node.domain.rpartition("-")[2])
        ]:
            for vm in node.known.listing(node.domain).vms:
                self._add_report(node, node.domain, vm.vm)
        self._schedule(OBSERVATION_INTERVAL_S, "observe_all", remote_node)

    def _add_report(self, node: _Node, domain: str, vm: str) -> None:
        index = int(vm.rpartition("-")[2])
        replicas = node.known.record(domain).replicas
        replica_index = index // VMS_PER_REPLICA
        report = model.VmReport(
            vm, model.VmState.IDLE, observed_at=self._now_s
        )
        if replica_index < len(replicas):
            report = dataclasses.replace(
                report,
                state=model.VmState.READY,
                replica_id=replicas[replica_index].replica_id,
                epoch=replicas[replica_index].epoch,
                running=self._rng.randrange(300),
                queued=self._rng.randrange(20),
            )
        node.known.learn_report(report)

    def _exchange(self, caller: _Node, callee: _Node) -> None:
        address = callee.table.own.address
        request = self._timed(
            caller,
            lambda: peers.make_request(
                caller.table,
                caller.known,
                self._now_s,
                caller.cursors.get(address, peers.Cursor()),
            ).SerializeToString(),
        )
        reply_result = self._call(caller, callee, request)
        if reply_result.needs_followup:
            followup = peers.make_followup(
                caller.table,
                caller.known,
                reply_result,
                caller.refused_revisions,
            )
            self._counts["followups"] += caller.domain == MEASURED_DOMAIN
            self._call(caller, callee, followup.SerializeToString())

    def _call(
        self, caller: _Node, callee: _Node, request: bytes
    ) -> peers.ReplyResult:
        reply = self._timed(
            callee,
            lambda: peers.answer_request(
                callee.table,
                callee.known,
                peers.ExchangeRequest.FromString(request),
                self._now_s + CALL_DELAY_S,
            ).SerializeToString(),
        )
        reply_result = self._timed(
            caller,
            lambda: peers.apply_reply(
                caller.table,
                caller.known,
                peers.ExchangeReply.FromString(reply),
                self._now_s,
            ),
        )
        caller.cursors[callee.table.own.address] = reply_result.cursor
        self._count_call(caller, callee, len(request), len(reply))
        return reply_result

    def _timed(self, node, operation):
        started_s = time.process_time()
        result = operation()
        if node.domain == MEASURED_DOMAIN:
            self._cpu_s += time.process_time() - started_s
        return result

    def _count_call(
        self, caller: _Node, callee: _Node, request: int, reply: int
    ) -> None:
        if caller.domain == MEASURED_DOMAIN:
            self._counts["made"] += 1
            self._counts["sent"] += request
            self._counts["received"] += reply
            self._counts["requests"] += request
        if callee.domain == MEASURED_DOMAIN:
            self._counts["answered"] += 1
            self._counts["sent"] += reply
            self._counts["received"] += request
            self._counts["replies"] += reply

    def _sample(self, node: _Node) -> None:
        for measured_node in self._measured_nodes:
            for replica in measured_node.known.record(
                MEASURED_DOMAIN
            ).replicas:
                for vm in replica.members:
                    report = measured_node.known.reports.get(vm)
                    observed_s = report.observed_at if report else 0.0
                    self._report_ages_s.append(self._now_s - observed_s)
        self._schedule(1.0, "sample", node)

    def _load(self) -> Load:
        counts = self._counts
        per_node_and_second = 1.0 / (
            self._config.nodes * self._config.measured_s
        )
        ages_s = sorted(self._report_ages_s)
        return Load(
            calls_made=counts["made"] * per_node_and_second,
            calls_answered=counts["answered"] * per_node_and_second,
            sent_bytes=counts["sent"] * per_node_and_second,
            received_bytes=counts["received"] * per_node_and_second,
            request_bytes=counts["requests"] / counts["made"],
            reply_bytes=counts["replies"] / counts["answered"],
            cpu_ms=self._cpu_s * per_node_and_second * 1000,
            age_median_s=ages_s[len(ages_s) // 2],
            age_p99_s=ages_s[len(ages_s) * 99 // 100],
            age_max_s=ages_s[-1],
        )

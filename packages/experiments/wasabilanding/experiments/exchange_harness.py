"""The exchange of one failure domain by direct calls of its pure functions.

Explanation
===========

All nodes of one failure domain run with their peers' messages serialised and
parsed as on the wire, without sockets and without the daemon's other loops.
Of each other failure domain stand a few contacts, which answer and ask as
often as a whole failure domain would.
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

HOME = "home"
INTERVAL_S = 0.4
JITTER_SHARE = 0.1
OBSERVE_S = 0.7
DELAY_S = 0.001
CONTACTS = 8
VMS_PER_REPLICA = 16


@dataclasses.dataclass(frozen=True)
class Shape:
    """What is run.

    :param nodes: nodes of the failure domain.
    :param vms: VMs of the failure domain.
    :param failure_domains: failure domains in all.
    :param local_fan_out: peers asked in each round.
    :param warm_up_s: time before the measurement, in seconds.
    :param measured_s: time of the measurement, in seconds.
    :param seed: seed of all random choices.
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
    """Load of one node of the failure domain.

    :param calls_made: calls that it makes, per second.
    :param calls_answered: calls that it answers, per second.
    :param sent_bytes: bytes of messages that it sends, per second.
    :param received_bytes: bytes of messages that it receives, per second.
    :param request_bytes: bytes of a request, mean.
    :param reply_bytes: bytes of an answer, mean.
    :param cpu_ms: processor time in these functions, ms per second.
    :param age_median_s: age of the members' reports at a node, median.
    :param age_p99_s: the same, 99th percentile.
    :param age_max_s: the same, largest.
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
    """State of one node."""

    def __init__(self, name: str, domain: str, rng: random.Random) -> None:
        node = membership.Node(name, 1, domain, f"{name}.wasabi:7003")
        self.domain = domain
        self.table = membership.MemberTable(node)
        self.known = knowledge.ClusterState()
        self.peer_selector = membership.PeerSelector((), rng)
        self.cursors: dict[str, peers.Cursor] = {}
        self.refused = peers.RefusedRevisions()


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
    listed = tuple(
        model.Vm(
            vm=_vm_name(domain, index),
            address=f"http://10.0.{index // 250}.{index % 250}:8000",
            failure_domain=domain,
            fabric_domain=f"{domain}-fabric-{index // VMS_PER_REPLICA}",
        )
        for index in range(vms)
    )
    return knowledge.VmListing(domain, 1, listed)


class Harness:
    """Runs the exchange of one failure domain.

    :param shape: what is run.
    """

    def __init__(self, shape: Shape) -> None:
        self._shape = shape
        self._rng = random.Random(shape.seed)
        self._now = 0.0
        self._events: list[tuple[float, int, str, _Node]] = []
        self._scheduled = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._cpu_s = 0.0
        self._ages: list[float] = []
        self._by_address: dict[str, _Node] = {}
        self._home = self._make_nodes(HOME, shape.nodes)
        self._contacts = [
            self._make_nodes(f"other-{index}", min(CONTACTS, shape.nodes))
            for index in range(shape.failure_domains - 1)
        ]
        self._introduce()

    def _make_nodes(self, domain: str, count: int) -> list[_Node]:
        nodes = []
        for index in range(count):
            rng = random.Random(self._rng.random())
            node = _Node(f"{domain}-entry-{index:02d}", domain, rng)
            node.peer_selector = membership.PeerSelector(
                (), rng, self._shape.local_fan_out
            )
            node.known.mark_informed()
            self._by_address[node.table.own.address] = node
            nodes.append(node)
        return nodes

    def _introduce(self) -> None:
        shape = self._shape
        domains = [HOME, *(group[0].domain for group in self._contacts)]
        records = [_record(domain, shape.vms) for domain in domains]
        listings = [_listing(domain, shape.vms) for domain in domains]
        for node in self._by_address.values():
            for record in records:
                node.known.learn_record(record)
            for listing in listings:
                node.known.learn_listing(listing)
            for other in self._by_address.values():
                node.table.learn(other.table.own)

    def _schedule(self, after_s: float, kind: str, node: _Node) -> None:
        self._scheduled += 1
        entry = (self._now + after_s, self._scheduled, kind, node)
        heapq.heappush(self._events, entry)

    def run(self) -> Load:
        """Run and return the load of one node."""
        for node in self._home:
            self._schedule(self._rng.uniform(0, INTERVAL_S), "round", node)
            self._schedule(self._rng.uniform(0, OBSERVE_S), "observe", node)
        for group in self._contacts:
            self._schedule(self._rng.uniform(0, INTERVAL_S), "ask", group[0])
            self._schedule(0.0, "observe_all", group[0])
        self._run_until(self._shape.warm_up_s)
        self._counts.clear()
        self._cpu_s = 0.0
        self._schedule(0.0, "sample", self._home[0])
        self._run_until(self._shape.warm_up_s + self._shape.measured_s)
        return self._load()

    def _run_until(self, end: float) -> None:
        steps = {
            "round": self._round,
            "observe": self._observe,
            "ask": self._ask_home,
            "observe_all": self._observe_all,
            "sample": self._sample,
        }
        while self._events and self._events[0][0] < end:
            self._now, _, kind, node = heapq.heappop(self._events)
            steps[kind](node)

    def _interval(self) -> float:
        spread = self._rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
        return INTERVAL_S * spread

    def _round(self, node: _Node) -> None:
        begun = time.process_time()
        node.table.increment_heartbeat(self._now)
        node.table.forget(self._now)
        chosen = node.peer_selector.next_round(node.table, self._now)
        self._cpu_s += time.process_time() - begun
        for address in chosen:
            self._exchange(node, self._by_address[address])
        self._schedule(self._interval(), "round", node)

    def _ask_home(self, contact: _Node) -> None:
        # A failure domain asks each other one so often in a round.
        group = self._contacts[int(contact.domain.rpartition("-")[2])]
        for node in group:
            node.table.increment_heartbeat(self._now)
        for _ in range(int(membership.REMOTE_EXCHANGES_PER_ROUND)):
            asker = self._rng.choice(group)
            self._exchange(asker, self._rng.choice(self._home))
        self._schedule(self._interval(), "ask", contact)

    def _observe(self, node: _Node) -> None:
        live = node.table.live(self._now, HOME)
        names = tuple(member.name for member in live)
        vms = tuple(vm.vm for vm in node.known.listing(HOME).vms)
        for vm in membership.own_keys(node.table.own.name, names, vms):
            self._learn(node, HOME, vm)
        self._schedule(OBSERVE_S, "observe", node)

    def _observe_all(self, contact: _Node) -> None:
        for node in self._contacts[int(contact.domain.rpartition("-")[2])]:
            for vm in node.known.listing(node.domain).vms:
                self._learn(node, node.domain, vm.vm)
        self._schedule(OBSERVE_S, "observe_all", contact)

    def _learn(self, node: _Node, domain: str, vm: str) -> None:
        index = int(vm.rpartition("-")[2])
        replicas = node.known.record(domain).replicas
        place = index // VMS_PER_REPLICA
        report = model.VmReport(vm, model.VmState.IDLE, observed_at=self._now)
        if place < len(replicas):
            report = dataclasses.replace(
                report,
                state=model.VmState.READY,
                replica_id=replicas[place].replica_id,
                epoch=replicas[place].epoch,
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
                self._now,
                caller.cursors.get(address, peers.Cursor()),
            ).SerializeToString(),
        )
        reply_result = self._call(caller, callee, request)
        if reply_result.needs_followup:
            followup = peers.make_followup(
                caller.table, caller.known, reply_result, caller.refused
            )
            self._counts["followups"] += caller.domain == HOME
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
                self._now + DELAY_S,
            ).SerializeToString(),
        )
        reply_result = self._timed(
            caller,
            lambda: peers.apply_reply(
                caller.table,
                caller.known,
                peers.ExchangeReply.FromString(reply),
                self._now,
            ),
        )
        caller.cursors[callee.table.own.address] = reply_result.cursor
        self._count(caller, callee, len(request), len(reply))
        return reply_result

    def _timed(self, node, work):
        begun = time.process_time()
        result = work()
        if node.domain == HOME:
            self._cpu_s += time.process_time() - begun
        return result

    def _count(
        self, caller: _Node, callee: _Node, request: int, reply: int
    ) -> None:
        if caller.domain == HOME:
            self._counts["made"] += 1
            self._counts["sent"] += request
            self._counts["received"] += reply
            self._counts["requests"] += request
        if callee.domain == HOME:
            self._counts["answered"] += 1
            self._counts["sent"] += reply
            self._counts["received"] += request
            self._counts["replies"] += reply

    def _sample(self, node: _Node) -> None:
        for each in self._home:
            for replica in each.known.record(HOME).replicas:
                for vm in replica.members:
                    report = each.known.reports.get(vm)
                    seen = report.observed_at if report else 0.0
                    self._ages.append(self._now - seen)
        self._schedule(1.0, "sample", node)

    def _load(self) -> Load:
        counts = self._counts
        per_node = 1.0 / (self._shape.nodes * self._shape.measured_s)
        ages = sorted(self._ages)
        return Load(
            calls_made=counts["made"] * per_node,
            calls_answered=counts["answered"] * per_node,
            sent_bytes=counts["sent"] * per_node,
            received_bytes=counts["received"] * per_node,
            request_bytes=counts["requests"] / counts["made"],
            reply_bytes=counts["replies"] / counts["answered"],
            cpu_ms=self._cpu_s * per_node * 1000,
            age_median_s=ages[len(ages) // 2],
            age_p99_s=ages[len(ages) * 99 // 100],
            age_max_s=ages[-1],
        )

"""Simulation of a load pattern."""

import collections
import dataclasses
import heapq
import itertools
import random

from wasabilanding import dispatch
from wasabilanding.experiments.placing import patterns
from wasabilanding.experiments.placing import policies
from wasabilanding import fleet

SLOW_FACTOR = 4.0
# A request that starts later than this is late.
START_GOAL_S = 0.3


@dataclasses.dataclass(frozen=True)
class Result:
    """Outcome of a simulation.

    :param requests: number of requests.
    :param refused: share that a full replica refused.
    :param late: share that ran, but started after :data:`START_GOAL_S`.
    :param median_wait_s: median time in seconds until the start.
    :param p99_wait_s: 99th percentile of the time in seconds until the start.
    :param remote: share sent to another failure domain.
    """

    requests: int
    refused: float
    late: float
    median_wait_s: float
    p99_wait_s: float
    remote: float


@dataclasses.dataclass
class _Replica:
    candidate: dispatch.Candidate
    factor: float
    running: int = 0
    queue: collections.deque["_Request"] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(frozen=True)
class _Request:
    node: int
    arrived_at: float
    service_s: float


class Simulation:
    """Model of one load pattern.

    :param pattern: the pattern.
    :param policy: chooses the endpoint of each request.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        pattern: patterns.LoadPattern,
        policy: policies.Policy,
        rng: random.Random,
    ) -> None:
        self._pattern = pattern
        self._policy = policy
        self._rng = rng
        self._now = 0.0
        self._events: list[tuple] = []
        self._order = itertools.count()
        self._domains = [f"z{i}" for i in range(pattern.failure_domains)]
        self._trackers = [
            dispatch.EndpointTracker()
            for _ in range(pattern.failure_domains * pattern.nodes)
        ]
        self._replicas = self._make_replicas()
        self._candidates = [r.candidate for r in self._replicas.values()]
        self.waits_s: list[float] = []
        self.requests = self.refused = self.remote = 0

    def _make_replicas(self) -> dict[str, _Replica]:
        replicas = {}
        for number, domain in enumerate(self._domains):
            lost = 0 if number else self._pattern.lost_replicas
            for index in range(self._pattern.replicas - lost):
                name = f"{domain}-{index}"
                endpoint = fleet.Endpoint(name, "writer", "", 80, domain)
                is_slow = self._rng.random() < self._pattern.slow_share
                replicas[name] = _Replica(
                    dispatch.Candidate(endpoint, self._pattern.slots),
                    SLOW_FACTOR if is_slow else 1.0,
                )
        return replicas

    def _at(self, at: float, action, *arguments) -> None:
        event = (at, next(self._order), action, arguments)
        heapq.heappush(self._events, event)

    def run(self) -> None:
        """Run until all requests have ended."""
        for node in range(len(self._trackers)):
            self._at(self._next_arrival_s(node), self._arrive, node)
            period_s = self._pattern.report_period_s
            self._at(self._rng.uniform(0, period_s), self._report, node)
        self._run_events()

    def _run_events(self) -> None:
        while self._events:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _next_arrival_s(self, node: int) -> float:
        pattern = self._pattern
        per_s = (
            pattern.utilization
            * pattern.replicas
            * pattern.slots
            / pattern.mean_service_s
            / pattern.nodes
        )
        if node < pattern.nodes:
            per_s *= pattern.first_domain_factor
        return self._rng.expovariate(per_s)

    def _domain(self, node: int) -> str:
        return self._domains[node // self._pattern.nodes]

    def _arrive(self, node: int) -> None:
        if self._now > self._pattern.duration_s:
            return
        self._at(self._now + self._next_arrival_s(node), self._arrive, node)
        self.requests += 1
        tracker = self._trackers[node]
        found = self._policy(
            self._candidates, tracker, self._domain(node), self._now, self._rng
        )
        endpoint = fleet.incarnation_of(found.endpoint)
        self.remote += found.endpoint.failure_domain != self._domain(node)
        replica = self._replicas[endpoint.endpoint_id]
        service_s = self._rng.expovariate(1 / self._pattern.mean_service_s)
        request = _Request(node, self._now, service_s)
        if replica.running < self._pattern.slots:
            tracker.begin(endpoint, self._now)
            self._start(replica, request)
        elif len(replica.queue) < self._pattern.queue:
            tracker.begin(endpoint, self._now)
            replica.queue.append(request)
        else:
            self.refused += 1

    def _start(self, replica: _Replica, request: _Request) -> None:
        replica.running += 1
        self.waits_s.append(self._now - request.arrived_at)
        endpoint = fleet.incarnation_of(replica.candidate.endpoint)
        self._trackers[request.node].record_progress(endpoint, self._now)
        ends_at = self._now + request.service_s * replica.factor
        self._at(ends_at, self._end, replica, request)

    def _end(self, replica: _Replica, request: _Request) -> None:
        replica.running -= 1
        endpoint = fleet.incarnation_of(replica.candidate.endpoint)
        self._trackers[request.node].end(endpoint)
        if replica.queue:
            self._start(replica, replica.queue.popleft())

    def _report(self, node: int) -> None:
        """Send a node's load to all others."""
        load = self._trackers[node].local_load
        delay_s = self._pattern.report_delay_s
        self._at(self._now + delay_s, self._learn, node, load)
        if self._now < self._pattern.duration_s:
            again = self._now + self._pattern.report_period_s
            self._at(again, self._report, node)

    def _learn(self, node: int, load: dispatch.Load) -> None:
        for other, tracker in enumerate(self._trackers):
            if other != node:
                tracker.update_peer_load(str(node), load, self._now)


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of sorted values.

    :param values: the values, sorted.
    :param share: share of the values below it.
    """
    return values[min(int(share * len(values)), len(values) - 1)]


def simulate(
    pattern: patterns.LoadPattern, policy: policies.Policy, seed: int
) -> Result:
    """Return the outcome of a load pattern; the same for the same seed.

    :param pattern: the pattern.
    :param policy: chooses the endpoint of each request.
    :param seed: seed of the random number generator.
    """
    simulation = Simulation(pattern, policy, random.Random(seed))
    simulation.run()
    waits_s = sorted(simulation.waits_s)
    late = sum(wait > START_GOAL_S for wait in waits_s)
    return Result(
        requests=simulation.requests,
        refused=simulation.refused / simulation.requests,
        late=late / simulation.requests,
        median_wait_s=quantile(waits_s, 0.5),
        p99_wait_s=quantile(waits_s, 0.99),
        remote=simulation.remote / simulation.requests,
    )

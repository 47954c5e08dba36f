"""Simulation of admission control at nodes that share a pool.

A node sends a request immediately while a slot is free and nothing waits, and
queues it otherwise, by the gateway's own decisions
(:class:`wasabilanding.limits.PoolQueue`).
"""

import collections
import dataclasses
import random

from wasabilanding import dispatch
from wasabilanding.experiments.placing import patterns
from wasabilanding.experiments.placing import simulation
from wasabilanding import fleet
from wasabilanding.gateway import waiting
from wasabilanding import limits
from wasabilanding import model

POOL = "pages"
LARGE = "large"
KIND = limits.Kind("pages", 1)
# The retry budget is not modelled; sends that are refused are counted.
UNLIMITED = 1_000_000


@dataclasses.dataclass(frozen=True)
class OverloadPattern(patterns.LoadPattern):
    """Load of one large customer beside small ones.

    :param is_constant: whether all requests run equally long.
    :param large: demand of the large customer, relative to the capacity.
    :param small_customers: number of small customers.
    :param small_per_s: requests per second of all small customers.
    :param time_limit_s: time limit in seconds of each request.
    :param returns: how often a refused caller returns when it is told to.
    :param settle_s: seconds at the start that are not counted.
    """

    failure_domains: int = 2
    nodes: int = 2
    replicas: int = 3
    slots: int = 4
    queue: int = 8
    mean_service_s: float = 1.5
    report_period_s: float = 0.05
    report_delay_s: float = 0.05
    duration_s: float = 60.0
    is_constant: bool = True
    large: float = 1.5
    small_customers: int = 10
    small_per_s: float = 1.6
    time_limit_s: float = 6.0
    returns: int = 0
    settle_s: float = 5.0

    @property
    def silent_after_s(self) -> float:
        """Longest usual time in seconds without progress of an endpoint."""
        usual_s = waiting.SILENT_SLOT_TIMES * self.mean_service_s
        return max(dispatch.PROGRESS_TIMEOUT_S, usual_s)

    @property
    def report_age_s(self) -> float:
        """Usual age in seconds of what other nodes report."""
        return self.report_period_s + self.report_delay_s

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that all slots can run."""
        slots = self.failure_domains * self.replicas * self.slots
        return slots / self.mean_service_s


@dataclasses.dataclass
class Ending:
    """End of a request.

    :param customer: its customer.
    :param arrived_at: time in seconds of its arrival.
    :param took_s: seconds until its end.
    :param how: "served", "refused" (on arrival), "late" (refused after
        waiting), "cut" (at its time limit).
    """

    customer: str
    arrived_at: float
    took_s: float
    how: str


@dataclasses.dataclass(frozen=True)
class _Request:
    request_id: str
    node: int
    customer: str
    arrived_at: float
    service_s: float
    returns: int


@dataclasses.dataclass(frozen=True)
class _Sent:
    request: _Request
    at: float


class _Overload(simulation.Simulation):
    """Model of an overload pattern."""

    def __init__(self, pattern: OverloadPattern, rng: random.Random) -> None:
        super().__init__(pattern, dispatch.choose, rng)
        count = len(self._trackers)
        self._queues = [limits.PoolQueue(POOL, rng) for _ in range(count)]
        self._reported = [limits.WaitingReports() for _ in range(count)]
        self._requests: dict[str, _Request] = {}
        self._is_checking = [False] * count
        self.endings: list[Ending] = []
        self.retries = 0

    def run(self) -> None:
        """Run until all requests have ended."""
        pattern = self._pattern
        for number in range(pattern.small_customers):
            per_s = pattern.small_per_s / pattern.small_customers
            self._at(0.0, self._customer, f"small-{number}", per_s)
        per_s = pattern.large * pattern.capacity_per_s
        self._at(0.0, self._customer, LARGE, per_s)
        for node in range(len(self._trackers)):
            offset_s = self._rng.uniform(0, pattern.report_period_s)
            self._at(offset_s, self._report, node)
        self._run_events()

    def _customer(self, customer: str, per_s: float) -> None:
        """Let a customer send its next request, and so on."""
        if not per_s or self._now > self._pattern.duration_s:
            return
        pause_s = self._rng.expovariate(per_s)
        self._at(self._now + pause_s, self._customer, customer, per_s)
        self._at(
            self._now + pause_s, self._ask, customer, self._pattern.returns
        )

    def _ask(self, customer: str, returns: int) -> None:
        self.requests += 1
        node = self._rng.randrange(len(self._trackers))
        service_s = self._pattern.mean_service_s
        if not self._pattern.is_constant:
            service_s = self._rng.expovariate(1 / service_s)
        request = _Request(
            str(self.requests), node, customer, self._now, service_s, returns
        )
        self._requests[request.request_id] = request
        queue = self._queues[node]
        if not queue and not self._peers(node) and self._has_free_slot(node):
            self._send(request)
            return
        outcome = queue.offer(
            self._pool_request(request), self._state(node), self._now
        )
        if outcome is not None:
            self._refuse(request, outcome, "refused")
            return
        if not self._is_checking[node]:
            self._is_checking[node] = True
            self._at(
                self._now + waiting.RECHECK_INTERVAL_S, self._recheck, node
            )
        self._admit(node)

    def _pool_request(self, request: _Request) -> limits.PoolRequest:
        return limits.PoolRequest(
            request.request_id,
            request.customer,
            KIND,
            request.arrived_at,
            request.arrived_at + self._pattern.time_limit_s,
        )

    def _peers(self, node: int) -> collections.Counter[str]:
        return self._reported[node].of_pool(POOL, self._now)

    def _usable(self, node: int) -> list[dispatch.Candidate]:
        return dispatch.usable(
            self._candidates,
            self._trackers[node],
            self._now,
            self._pattern.silent_after_s,
        )

    def _has_free_slot(self, node: int) -> bool:
        tracker = self._trackers[node]
        return any(
            tracker.load(fleet.incarnation_of(c.endpoint)) < c.slots
            for c in self._usable(node)
        )

    def _state(self, node: int) -> limits.PoolState:
        tracker = self._trackers[node]
        candidates = self._usable(node)
        return limits.PoolState(
            tuple(c.slots for c in candidates),
            sum(
                tracker.load(fleet.incarnation_of(c.endpoint))
                for c in candidates
            ),
            self._pattern.report_age_s,
            self._peers(node),
            self._reported[node].slot_times_s(POOL),
        )

    def _recheck(self, node: int) -> None:
        self._admit(node)
        self._is_checking[node] = bool(self._queues[node])
        if self._is_checking[node]:
            self._at(
                self._now + waiting.RECHECK_INTERVAL_S, self._recheck, node
            )

    def _admit(self, node: int, has_ended: bool = False) -> None:
        queue = self._queues[node]
        if not queue:
            return
        state = self._state(node)
        for request_id, outcome in queue.refuse_late(state, self._now):
            self._refuse(self._requests[request_id], outcome, "late")
        admitted = queue.admit(state, self._now, UNLIMITED, has_ended)
        for request_id in admitted:
            self._send(self._requests[request_id])

    def _refuse(
        self, request: _Request, outcome: model.Outcome, how: str
    ) -> None:
        self._end_request(request, how)
        if request.returns:
            self._at(
                self._now + outcome.retry_after_s,
                self._ask,
                request.customer,
                request.returns - 1,
            )

    def _end_request(self, request: _Request, how: str) -> None:
        took_s = self._now - request.arrived_at
        if how == "served" and took_s > self._pattern.time_limit_s:
            how = "cut"
        self.endings.append(
            Ending(request.customer, request.arrived_at, took_s, how)
        )

    def _send(self, request: _Request) -> None:
        tracker = self._trackers[request.node]
        found = dispatch.choose(
            self._candidates,
            tracker,
            self._domain(request.node),
            self._now,
            self._rng,
            self._pattern.silent_after_s,
        )
        endpoint = fleet.incarnation_of(found.endpoint)
        replica = self._replicas[endpoint.endpoint_id]
        sent = _Sent(request, self._now)
        if replica.running < self._pattern.slots:
            tracker.begin(endpoint, self._now)
            self._start(replica, sent)
        elif len(replica.queue) < self._pattern.queue:
            tracker.begin(endpoint, self._now)
            replica.queue.append(sent)
        else:
            self._send_again(request, endpoint)

    def _send_again(
        self, request: _Request, refusing: fleet.Incarnation
    ) -> None:
        self.retries += 1
        self._queues[request.node].record_refusal()
        tracker = self._trackers[request.node]
        tracker.avoid(refusing, self._now, waiting.RESEND_AFTER_S)
        again = dataclasses.replace(self._pool_request(request), is_retry=True)
        self._queues[request.node].put_back(again, self._now, False)
        if not self._is_checking[request.node]:
            self._is_checking[request.node] = True
            self._at(
                self._now + waiting.RECHECK_INTERVAL_S,
                self._recheck,
                request.node,
            )

    def _start(self, replica, sent) -> None:
        replica.running += 1
        endpoint = fleet.incarnation_of(replica.candidate.endpoint)
        tracker = self._trackers[sent.request.node]
        tracker.record_progress(endpoint, self._now)
        ends_at = self._now + sent.request.service_s * replica.factor
        self._at(ends_at, self._end, replica, sent)

    def _end(self, replica, sent) -> None:
        replica.running -= 1
        request = sent.request
        endpoint = fleet.incarnation_of(replica.candidate.endpoint)
        self._trackers[request.node].end(endpoint)
        queue = self._queues[request.node]
        state = self._state(request.node)
        queue.record_run(KIND, self._now - sent.at, state)
        self._end_request(request, "served")
        if replica.queue:
            self._start(replica, replica.queue.popleft())
        self._admit(request.node, has_ended=True)

    def _report(self, node: int) -> None:
        load = self._trackers[node].local_load
        queue = self._queues[node]
        waiting = limits.bounded({POOL: queue.waiting})
        observed_s = queue.observed_slot_time_s
        times_s = {POOL: observed_s} if observed_s else {}
        delay_s = self._pattern.report_delay_s
        at = self._now + delay_s
        self._at(at, self._learn, node, load, waiting, times_s)
        if self._now < self._pattern.duration_s + self._pattern.time_limit_s:
            again = self._now + self._pattern.report_period_s
            self._at(again, self._report, node)

    def _learn(self, node: int, load, waiting=(), times_s=()) -> None:
        super()._learn(node, load)
        for other, reported in enumerate(self._reported):
            if other != node:
                reported.update(str(node), waiting, times_s, self._now)


@dataclasses.dataclass(frozen=True)
class OverloadResult:
    """Outcome of an overload.

    :param small_served: share of the small customers' requests.
    :param small_median_s: median time in seconds of their answers.
    :param small_p95_s: 95th percentile of it.
    :param large_served: share of the large customer's requests.
    :param goodput: served requests, relative to the capacity.
    :param refusal_median_s: median time in seconds until a refusal.
    :param late: share of the refusals that came after waiting.
    :param cut: share of the sent requests that were cut at their time limit.
    :param resent: sends that endpoints refused, per request.
    """

    small_served: float
    small_median_s: float
    small_p95_s: float
    large_served: float
    goodput: float
    refusal_median_s: float
    late: float
    cut: float
    resent: float


def simulate_overload(pattern: OverloadPattern, seed: int) -> OverloadResult:
    """Return the outcome of an overload; the same for the same seed.

    :param pattern: the pattern.
    :param seed: seed of the random number generator.
    """
    run = _Overload(pattern, random.Random(seed))
    run.run()
    counted = [e for e in run.endings if e.arrived_at >= pattern.settle_s]
    small = [e for e in counted if e.customer != LARGE]
    large = [e for e in counted if e.customer == LARGE]
    small_s = sorted(e.took_s for e in small if e.how == "served") or [0.0]
    refused_s = sorted(
        e.took_s for e in counted if e.how in ("refused", "late")
    ) or [0.0]
    ends = [e.arrived_at + e.took_s for e in run.endings if e.how == "served"]
    span_s = pattern.duration_s - pattern.settle_s
    served = sum(pattern.settle_s <= at <= pattern.duration_s for at in ends)
    hows = collections.Counter(e.how for e in counted)
    return OverloadResult(
        small_served=_share(small),
        small_median_s=simulation.quantile(small_s, 0.5),
        small_p95_s=simulation.quantile(small_s, 0.95),
        large_served=_share(large),
        goodput=served / span_s / pattern.capacity_per_s,
        refusal_median_s=simulation.quantile(refused_s, 0.5),
        late=hows["late"] / max(1, hows["late"] + hows["refused"]),
        cut=hows["cut"] / max(1, hows["cut"] + hows["served"]),
        resent=run.retries / run.requests,
    )


def _share(endings: list[Ending]) -> float:
    served = sum(ending.how == "served" for ending in endings)
    return served / max(1, len(endings))

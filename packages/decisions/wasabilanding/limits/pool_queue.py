"""Requests of one node that wait for a pool.

Explanation
===========

Customers are served by start-time fair queueing
(:class:`~wasabilanding.limits.fair_queue.FairQueue`), the requests of one
customer in the order of :class:`~wasabilanding.limits.customer_queue.\
CustomerQueue`. How many requests the node may send is its part of what all
nodes may send (:mod:`~wasabilanding.limits.pool_share`). Parts of a request
are summed up; a request is sent when the sum reaches a threshold drawn from
:data:`THRESHOLD_RANGE`, whose mean is one request. A draw at each decision
would have the same mean, but waits would be spread exponentially about the
prediction, and many requests would miss their deadlines. With a fixed
threshold, nodes whose queues began at the same time would send at the same
time.

A request that cannot end within its time limit is refused on arrival: the
requests ahead of it over all nodes in fair order, divided by the pool's
completions per second, predict its wait, which is corrected by observed
waits. While a kind of request is refused, its corrections decay, so that a
wrong one does not outlast what caused it.
"""

import dataclasses
import random
import statistics

from wasabilanding.limits import admission_request
from wasabilanding.limits import backlog_share
from wasabilanding.limits import customer_queue
from wasabilanding.limits import fair_queue
from wasabilanding.limits import pool_share
from wasabilanding.limits import return_schedule
from wasabilanding.limits import run_time
from wasabilanding.limits import slot_time
from wasabilanding.limits import wait_correction
from wasabilanding import model

# Tokens that the fair queue charges for each request.
REQUEST_TOKENS = 1.0
# Requests that a node must be allotted before it sends the next one.
THRESHOLD_RANGE = (0.75, 1.25)
# Requests that a node may send in advance of its part, as it is the first to
# know that one of its own has ended.
MAX_DEBT = 1.0
# Longest time for which the pool is refilled at once, if decisions are late.
MAX_ELAPSED_S = 0.25
# Half-life of the corrections of a kind of request that is refused.
CORRECTION_HALF_LIFE_S = 2.0
# The expected run time counts for at most this part of a time limit. A kind
# of request that needs nearly all its time would never be admitted otherwise.
MAX_RUN_SHARE = 0.7
# Assumed run time without an observation, relative to the slot time that other
# nodes report.
ASSUMED_RUN_FACTOR = 2.0
# A request is refused, not cut off, this long before its deadline.
DEADLINE_MARGIN_S = 0.05


@dataclasses.dataclass(frozen=True)
class PoolRequest:
    """A request for a pool.

    :param request_id: identity of the request on this node.
    :param customer: customer of the caller.
    :param kind: its kind.
    :param arrived_at: local monotonic time in seconds of its arrival.
    :param deadline: local monotonic time in seconds.
    :param is_retry: whether sending it takes from the retry budget.
    :param not_before: local monotonic time in seconds before which it is not
        sent.
    """

    request_id: str
    customer: str
    kind: customer_queue.Kind
    arrived_at: float
    deadline: float
    is_retry: bool = False
    not_before: float = float("-inf")


@dataclasses.dataclass(frozen=True)
class _Entry:
    """A waiting request.

    :param since: local monotonic time in seconds.
    :param predicted_s: its wait as predicted, without correction.
    """

    request: PoolRequest
    since: float
    predicted_s: float


class PoolQueue:
    """Requests of one node that wait for a pool, and what is known of it.

    :param name: name of the pool, for the detail of refusals.
    :param rng: draws thresholds.
    """

    def __init__(self, name: str, rng: random.Random) -> None:
        self._name = name
        self._rng = rng
        self._fair = fair_queue.FairQueue()
        self._customers: dict[str, customer_queue.CustomerQueue] = {}
        self._entries: dict[str, _Entry] = {}
        self._slot_time = slot_time.SlotTime()
        self._run_time = run_time.RunTime()
        self._correction = wait_correction.WaitCorrection()
        self._backlog = backlog_share.BacklogShare()
        self._returns = return_schedule.ReturnSchedule()
        # Mean time in seconds that a request holds a slot, also as other
        # nodes observed it at the last decision; 0 if unknown.
        self.known_slot_time_s = 0.0
        self._credit = rng.random()
        self._threshold = rng.uniform(*THRESHOLD_RANGE)
        self._allotted_at = float("-inf")
        # Local monotonic time in seconds of the last observation or decay.
        self._corrected_at: dict[tuple[str, customer_queue.Kind], float] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def waiting(self) -> dict[str, int]:
        """Number of waiting requests, by customer."""
        return {name: len(queue) for name, queue in self._customers.items()}

    @property
    def observed_slot_time_s(self) -> float:
        """Mean time in seconds for which the node's requests hold slots.

        It is 0 without observations.
        """
        return self._slot_time.expected_s(REQUEST_TOKENS)

    def _slot_time_s(self, pool: pool_share.PoolState) -> float:
        """Return the time in seconds that a request holds a slot.

        Of many nodes, each observes few requests, and a new one none. So the
        median over the nodes is used.
        """
        known_s = self.observed_slot_time_s
        if pool.peer_slot_times_s:
            own = (known_s,) if known_s else ()
            known_s = statistics.median(pool.peer_slot_times_s + own)
        self.known_slot_time_s = known_s
        return known_s

    def offer(
        self, request: PoolRequest, pool: pool_share.PoolState, now: float
    ) -> model.Outcome | None:
        """Let a request wait, or refuse it.

        :param request: the request.
        :param pool: the pool.
        :param now: local monotonic time in seconds.
        :returns: the refusal; None if it waits.
        """
        self._push(request, now, False)
        predicted_s = self._predicted_s(request, pool)
        late_s = self._lateness_s(request, predicted_s, now)
        if late_s > 0:
            self._remove(request.request_id)
            self._relax(request, now)
            return self._refusal(request, pool, late_s, now)
        self._entries[request.request_id] = _Entry(request, now, predicted_s)
        return None

    def put_back(
        self, request: PoolRequest, now: float, may_have_run: bool
    ) -> None:
        """Let a request wait again that was sent.

        If no endpoint has run it, it precedes the others of its kind, and
        its customer is not charged for the send. Otherwise it comes last.

        :param request: the request.
        :param now: local monotonic time in seconds.
        :param may_have_run: whether an endpoint may have run it.
        """
        if not may_have_run:
            self._fair.charge(request.customer, -REQUEST_TOKENS, 1.0)
        self._push(request, now, not may_have_run)

    def _push(self, request: PoolRequest, now: float, is_first: bool) -> None:
        if not self._entries:
            self._allotted_at = now
        self._fair.push(
            admission_request.AdmissionRequest(
                request.request_id,
                self._name,
                request.customer,
                REQUEST_TOKENS,
                0,
                request.deadline,
            ),
            1.0,
        )
        queue = self._customers.setdefault(
            request.customer, customer_queue.CustomerQueue()
        )
        queue.push(request.request_id, request.kind, is_first)
        self._entries[request.request_id] = _Entry(request, now, 0.0)

    def withdraw(self, request_id: str) -> None:
        """Remove a waiting request, if it still waits.

        :param request_id: identity of the request.
        """
        if request_id in self._entries:
            self._remove(request_id)

    def _remove(self, request_id: str) -> _Entry:
        self._fair.remove(request_id)
        entry = self._entries.pop(request_id)
        customer = entry.request.customer
        self._customers[customer].remove(request_id)
        self._drop_if_empty(customer)
        return entry

    def _drop_if_empty(self, customer: str) -> None:
        if not self._customers[customer]:
            del self._customers[customer]

    def admit(
        self,
        pool: pool_share.PoolState,
        now: float,
        retries: int,
        has_ended: bool = False,
    ) -> list[str]:
        """Remove and return the requests that are to be sent now.

        :param pool: the pool.
        :param now: local monotonic time in seconds.
        :param retries: retries that the budget allows.
        :param has_ended: whether a request of this node has just ended.
        :returns: identities of the requests, in the order of sending.
        """
        if not self._entries or not pool.slots:
            return []
        elapsed_s = min(now - self._allotted_at, MAX_ELAPSED_S)
        self._allotted_at = now
        slot_time_s = self._slot_time_s(pool)
        wanted = len(self._entries) + sum(pool.peer_waiting.values())
        room = pool.room(slot_time_s, self._backlog.share)
        if room >= wanted:
            return self._serve(len(self._entries), retries, now)
        free = pool_share.refill(pool, room, slot_time_s, elapsed_s)
        self._credit += pool_share.allot(free, self.waiting, pool.peer_waiting)
        count = 0
        has_free_slot = pool.total_slots - pool.load >= 1.0
        if has_ended and has_free_slot and self._credit > -MAX_DEBT:
            # No other node knows of the free slot yet.
            count = 1
            self._credit -= 1.0
        while self._credit >= self._threshold and count < len(self._entries):
            count += 1
            self._credit -= self._threshold
            self._threshold = self._rng.uniform(*THRESHOLD_RANGE)
        self._credit = min(self._credit, self._threshold)
        return self._serve(count, retries, now)

    def _serve(self, count: int, retries: int, now: float) -> list[str]:
        served: list[str] = []
        for _ in range(count):
            found = self._next(retries, now)
            if found is None:
                break
            retries -= self._entries[found].request.is_retry
            self._start(found, now)
            served.append(found)
        return served

    def _next(self, retries: int, now: float) -> str | None:
        def may_serve(request_id: str) -> bool:
            request = self._entries[request_id].request
            is_allowed = retries > 0 or not request.is_retry
            return is_allowed and now >= request.not_before

        for head in self._fair.heads():
            found = self._customers[head.customer].next(may_serve)
            if found is not None:
                return found
        return None

    def _start(self, request_id: str, now: float) -> None:
        self._fair.serve(request_id)
        entry = self._entries.pop(request_id)
        request = entry.request
        self._customers[request.customer].serve(request_id)
        self._drop_if_empty(request.customer)
        self._correction.observe(
            *_correction_key(request), entry.predicted_s, now - entry.since
        )
        self._corrected_at[request.customer, request.kind] = now

    def refuse_late(
        self, pool: pool_share.PoolState, now: float
    ) -> list[tuple[str, model.Outcome]]:
        """Remove and refuse the requests that cannot end in time any more.

        :param pool: the pool.
        :param now: local monotonic time in seconds.
        :returns: identities of the requests, with the refusals.
        """
        refused = []
        for request_id, entry in list(self._entries.items()):
            request = entry.request
            late_s = now - self.latest_start(request)
            if late_s < 0:
                continue
            self._remove(request_id)
            self._correction.observe(
                *_correction_key(request), entry.predicted_s, now - entry.since
            )
            outcome = self._refusal(request, pool, late_s, now)
            refused.append((request_id, outcome))
        return refused

    def latest_start(self, request: PoolRequest) -> float:
        """Return the time after which a request cannot end in time.

        :param request: the request.
        :returns: local monotonic time in seconds.
        """
        limit_s = request.deadline - request.arrived_at
        needed_s = self._run_time.needed_s(request.kind)
        needed_s = needed_s or ASSUMED_RUN_FACTOR * self.known_slot_time_s
        needed_s = min(needed_s, MAX_RUN_SHARE * limit_s)
        return request.deadline - max(needed_s, DEADLINE_MARGIN_S)

    def wait_deadline(self, request: PoolRequest) -> float:
        """Return the time at which a waiting request is refused at the latest.

        :param request: the request.
        :returns: local monotonic time in seconds.
        """
        return request.deadline - DEADLINE_MARGIN_S

    def _predicted_s(
        self, request: PoolRequest, pool: pool_share.PoolState
    ) -> float:
        """Return the predicted wait of a waiting request in seconds."""
        slot_time_s = self._slot_time_s(pool)
        per_s = pool.completions_per_s(slot_time_s)
        if not per_s:
            return 0.0
        own = self.waiting
        peers = pool.peer_waiting
        customer = request.customer
        local = self._customers[customer].ahead_of(request.request_id) + 1
        # The requests of the customer at other nodes are served evenly in
        # between.
        ahead = local * (1 + peers.get(customer, 0) / own[customer])
        others = sum(
            min(own.get(name, 0) + peers.get(name, 0), ahead)
            for name in own.keys() | peers.keys()
            if name != customer
        )
        room = max(0.0, pool.room(slot_time_s, self._backlog.share))
        return max(0.0, ahead + others - room) / per_s

    def _lateness_s(
        self, request: PoolRequest, predicted_s: float, now: float
    ) -> float:
        wait_s = self._correction.corrected_s(
            *_correction_key(request), predicted_s
        )
        return now + wait_s - self.latest_start(request)

    def _relax(self, request: PoolRequest, now: float) -> None:
        """Let the corrections of a refused kind decay with time."""
        key = (request.customer, request.kind)
        elapsed_s = now - self._corrected_at.get(key, now)
        self._corrected_at[key] = now
        share = 1 - 0.5 ** (elapsed_s / CORRECTION_HALF_LIFE_S)
        self._correction.relax(*_correction_key(request), share)
        self._run_time.relax(request.kind, share)

    def _refusal(
        self,
        request: PoolRequest,
        pool: pool_share.PoolState,
        late_s: float,
        now: float,
    ) -> model.Outcome:
        own = len(self._entries) + 1
        part = own / (own + sum(pool.peer_waiting.values()))
        per_s = pool.completions_per_s(self._slot_time_s(pool)) * part
        retry_after_s = self._returns.next_s(
            now, late_s, per_s, request.deadline - now
        )
        detail = (
            f"{self._name}: the deadline would be missed by {late_s:.2f} s"
        )
        return model.not_run(model.Reason.OVERLOADED, detail, retry_after_s)

    def record_run(
        self,
        kind: customer_queue.Kind,
        seconds: float,
        pool: pool_share.PoolState,
    ) -> None:
        """Record the end of a completed request.

        Where more requests than slots were at the endpoints, part of the time
        was spent in their queues, by Little's law. The load of the pool is
        used, as the known load of the endpoint itself was low by choice.

        :param kind: kind of the request.
        :param seconds: time in seconds from its send to its end.
        :param pool: the pool at its end.
        """
        self._backlog.record(is_refused=False)
        self._run_time.observe(kind, seconds)
        held_s = seconds / max(1.0, pool.load / max(1.0, pool.total_slots))
        self._slot_time.observe(REQUEST_TOKENS, held_s)
        self._slot_time_s(pool)

    def record_refusal(self) -> None:
        """Record that an endpoint refused a request."""
        self._backlog.record(is_refused=True)

    def sweep(self) -> None:
        """Discard the state of customers without waiting requests."""
        self._fair.sweep()


def _correction_key(request: PoolRequest) -> tuple[str, int]:
    return f"{request.customer} {request.kind.route}", request.kind.rank

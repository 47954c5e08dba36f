"""Waiting of requests at the node while all slots of their pool are in use.

Explanation
===========

A pool is the capacity that some requests compete for: the usable endpoints of
one service and model, in the regions that the requests may use. Pools that
differ only in these share endpoints, whose load counts in each of them. While
a slot is free and no node reports waiting requests, a request passes
:class:`WaitingRoom` at once. Otherwise it waits in its pool's
:class:`wasabilanding.limits.PoolQueue`, which decides on order, refusal and
start.

The queues are examined when a request arrives or ends, when another node
reports its load, and periodically while requests wait, as waiting requests
also gain their turn by the passing of time.
"""

import dataclasses
import itertools
import logging
import random

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding.gateway import region_restrictions
from wasabilanding.gateway import request_state as request_state_module
from wasabilanding.gateway import selection
from wasabilanding.gateway import stopping
from wasabilanding import limits
from wasabilanding import model
from wasabilanding import routes

# Interval between examinations of the queues while requests wait.
RECHECK_INTERVAL_S = 0.05
# Reports of other nodes that arrive together cause one examination.
MIN_WAKE_INTERVAL_S = 0.01
# A queue that is empty for this time is logged as ended.
QUIET_S = 1.0
# A refused send is not repeated within this time, unless another endpoint has
# a free slot. The endpoint is avoided for the same time.
RESEND_AFTER_S = 0.15
# An endpoint of a plain service with requests in flight makes progress within
# this multiple of the time that a request holds a slot.
SILENT_SLOT_TIMES = 2.0
# If no other node reports for this time while requests wait here, this node
# uses its part of the pool only.
ISOLATED_AFTER_S = 1.5
_LOG = logging.getLogger(__name__)


def pool_name(state: request_state_module.RequestState) -> str:
    """Return the name of the pool of a request.

    :param state: the request.
    """
    name = f"{state.service.name}/{state.required_model}"
    return region_restrictions.pool_name(name, state.allowed_regions)


def _kind_of(state: request_state_module.RequestState) -> limits.Kind:
    return limits.Kind(state.route.name, state.priority)


@dataclasses.dataclass
class _Waiter:
    """A waiting request.

    :param state: the request.
    :param ended: set when its wait has ended.
    :param refusal: why it is refused; None if it is to be sent.
    :param has_moved: whether it no longer belongs to its pool.
    """

    state: request_state_module.RequestState
    ended: trio.Event = dataclasses.field(default_factory=trio.Event)
    refusal: model.Outcome | None = None
    has_moved: bool = False


@dataclasses.dataclass
class _Pool:
    """A pool of this node.

    :param service: its service.
    :param model: name of its model; empty for a plain service.
    :param allowed: regions that its requests may use; None for all.
    :param queue: its waiting requests.
    :param waiters: the same by identity.
    :param departing: requests that may be sent and are not in flight yet.
    :param since: local monotonic time in seconds since which requests wait;
        None if none has for :data:`QUIET_S`.
    :param busy_at: local monotonic time in seconds at which a request last
        waited.
    """

    service: routes.RoutedService
    model: str
    allowed: routes.AllowedRegions
    queue: limits.PoolQueue
    waiters: dict[str, _Waiter] = dataclasses.field(default_factory=dict)
    departing: int = 0
    since: float | None = None
    busy_at: float = dispatch.NEVER
    # Routing table by which its waiting requests belong to it.
    table: routes.RoutingTable | None = None


def _share_regions(
    allowed: routes.AllowedRegions, others: routes.AllowedRegions
) -> bool:
    """Tell whether two pools have a region in common."""
    return allowed is None or others is None or bool(allowed & others)


class WaitingRoom:
    """Requests of this node that wait to be sent.

    :param selector: lists the endpoints of a pool, and limits retries.
    :param tracker: this node's observations of the endpoints.
    :param reports: waiting requests of other nodes.
    :param metrics: counts waits and refusals.
    :param rng: random number generator.
    """

    def __init__(
        self,
        selector: selection.EndpointSelector,
        tracker: dispatch.EndpointTracker,
        reports: limits.WaitingReports,
        metrics: metrics_module.Metrics,
        rng: random.Random,
    ) -> None:
        self._selector = selector
        selector.silent_after_s = self._silent_after_s
        self._tracker = tracker
        self._reports = reports
        self._metrics = metrics
        self._rng = rng
        self._pools: dict[str, _Pool] = {}
        # Names of pools by service and model; their regions differ.
        self._related: dict[tuple[str, str], list[str]] = {}
        selector.wanted_regions = self._wanted_regions
        # Pools of plain services, by service.
        self._plain_pools: dict[str, list[_Pool]] = {}
        self._numbers = itertools.count()
        self._begun = trio.Event()
        self._examined_at = dispatch.NEVER
        self._is_closed = False
        # Usual age in seconds of what other nodes report.
        self.report_age_s = lambda: RECHECK_INTERVAL_S
        # Number of known nodes, including this one.
        self.known_nodes = lambda: 1

    @property
    def waiting(self) -> dict[str, dict[str, int]]:
        """Number of waiting requests, by customer, by pool."""
        return {
            name: pool.queue.waiting
            for name, pool in self._pools.items()
            if pool.queue
        }

    @property
    def slot_times_s(self) -> dict[str, float]:
        """Mean slot times in seconds, by pool, where observed."""
        return {
            name: pool.queue.observed_slot_time_s
            for name, pool in self._pools.items()
            if pool.queue.observed_slot_time_s
        }

    def _silent_after_s(self, service: routes.RoutedService) -> float:
        """Return the longest usual time without progress of an endpoint.

        Requests to a plain service make no progress before they end. If a
        busy endpoint counted as silent, its slots would count as absent.
        """
        pools = self._plain_pools.get(service.name)
        if service.engine is not None or pools is None:
            return dispatch.PROGRESS_TIMEOUT_S
        usual_s = max(pool.queue.known_slot_time_s for pool in pools)
        return max(dispatch.PROGRESS_TIMEOUT_S, SILENT_SLOT_TIMES * usual_s)

    async def enter(
        self,
        state: request_state_module.RequestState,
        previous: model.Outcome | None,
    ) -> model.Outcome | None:
        """Wait until a request may be sent.

        Once it is in flight, or if it is not sent, :meth:`record_departure`
        must be called.

        :param state: the request.
        :param previous: outcome of its previous attempt; None for none.
        :returns: why it is refused; None if it may be sent.
        """
        now = trio.current_time()
        name = pool_name(state)
        if not self._selector.pool_candidates(
            state.service,
            state.required_model,
            allowed=state.allowed_regions,
        ):
            # The selection of an endpoint reports why there is none.
            return None
        pool = self._pool(name, state)
        is_retry = (
            previous is not None
            and previous.reason not in selection.NOT_SENT_REASONS
        )
        if self._may_pass(name, pool, is_retry, now):
            self._let_depart(name, pool, state)
            return None
        if self._is_closed:
            return stopping.REFUSAL
        waiter = _Waiter(state)
        request = limits.PoolRequest(
            str(next(self._numbers)),
            state.customer,
            _kind_of(state),
            state.arrived_at,
            state.deadline_at,
            is_retry,
            now + RESEND_AFTER_S if is_retry else now,
        )
        if previous is not None:
            pool.queue.put_back(request, now, state.may_have_run)
        else:
            refusal = pool.queue.offer(request, self._state(name, now), now)
            if refusal is not None:
                self._metrics.count_refusal(state.service.name, "forecast")
                return refusal
        try:
            refusal = await self._wait(name, pool, request, waiter)
        except trio.Cancelled:
            # The caller may have disconnected after its request was admitted.
            self.record_departure(state)
            raise
        if waiter.has_moved:
            return await self.enter(state, previous)
        return refusal

    def _let_depart(
        self,
        name: str,
        pool: _Pool,
        state: request_state_module.RequestState,
    ) -> None:
        pool.departing += 1
        state.departing_pool = name

    def record_departure(
        self, state: request_state_module.RequestState
    ) -> None:
        """Record that a request is in flight now, or is not sent.

        :param state: the request.
        """
        if state.departing_pool:
            self._pools[state.departing_pool].departing -= 1
            state.departing_pool = ""

    def _pool(
        self, name: str, state: request_state_module.RequestState
    ) -> _Pool:
        pool = self._pools.get(name)
        if pool is None:
            queue = limits.PoolQueue(name, self._rng)
            pool = _Pool(
                state.service,
                state.required_model,
                state.allowed_regions,
                queue,
            )
            self._pools[name] = pool
            key = state.service.name, state.required_model
            self._related.setdefault(key, []).append(name)
            if not state.required_model:
                plain = self._plain_pools.setdefault(state.service.name, [])
                plain.append(pool)
        pool.service = state.service
        return pool

    def _may_pass(
        self, name: str, pool: _Pool, is_retry: bool, now: float
    ) -> bool:
        """Return whether a request need not wait."""
        if pool.queue or self._reports.of_pool(name, now):
            return False
        if is_retry and not self._selector.retries_left(pool.service):
            return False
        free = sum(
            max(
                0,
                self._counted(pool, c, now)
                - self._tracker.load(fleet.incarnation_of(c.endpoint)),
            )
            for c in self._pool_candidates(pool)
            if not (is_retry and self._is_avoided(c, now))
        )
        return free > self._departing(pool)

    def _departing(self, pool: _Pool) -> int:
        """Return the requests that may take slots and are not in flight yet.

        Pools of the same service and model share the slots of their regions.
        """
        names = self._related.get((pool.service.name, pool.model), ())
        return sum(
            self._pools[name].departing
            for name in names
            if _share_regions(self._pools[name].allowed, pool.allowed)
        )

    def _counted(
        self, pool: _Pool, candidate: dispatch.Candidate, now: float
    ) -> float:
        """Return the slots of an endpoint that count as capacity."""
        return self._selector.counted_slots(
            candidate, pool.queue.known_slot_time_s, now
        )

    def _wanted_regions(
        self, service: str, model_name: str
    ) -> list[frozenset[str]]:
        """Return the regions for which restricted requests wait."""
        related = self._related.get((service, model_name), ())
        if len(related) < 2:
            return []
        now = trio.current_time()
        return [
            self._pools[name].allowed
            for name in related
            if self._pools[name].allowed is not None
            and (self._pools[name].queue or self._reports.of_pool(name, now))
        ]

    def _pool_candidates(
        self, pool: _Pool, only_grantable: bool = True
    ) -> list[dispatch.Candidate]:
        return self._selector.pool_candidates(
            pool.service, pool.model, only_grantable, pool.allowed
        )

    def _is_avoided(self, candidate: dispatch.Candidate, now: float) -> bool:
        """Tell whether an endpoint has lately refused or failed a request.

        Where all are avoided, they are candidates all the same, and a retry
        must not be sent to them at once.
        """
        record = self._tracker.record(fleet.incarnation_of(candidate.endpoint))
        return now < record.avoid_until

    async def _wait(
        self,
        name: str,
        pool: _Pool,
        request: limits.PoolRequest,
        waiter: _Waiter,
    ) -> model.Outcome | None:
        begun_at = trio.current_time()
        pool.waiters[request.request_id] = waiter
        self._note_busy(name, pool, begun_at)
        self._begun.set()
        self._examine(name, pool, begun_at)
        try:
            with trio.move_on_at(pool.queue.wait_deadline(request)):
                await waiter.ended.wait()
        finally:
            pool.queue.withdraw(request.request_id)
            pool.waiters.pop(request.request_id, None)
        now = trio.current_time()
        self._metrics.count_wait(pool.service.name, now - begun_at)
        if not waiter.ended.is_set():
            # It was not examined in time.
            self._metrics.count_refusal(pool.service.name, "late")
            return model.not_run(
                model.Reason.OVERLOADED, f"{name}: the time limit is near"
            )
        return waiter.refusal

    def _note_busy(self, name: str, pool: _Pool, now: float) -> None:
        pool.busy_at = now
        if pool.since is None:
            pool.since = now
            _LOG.info("requests wait for %s", name)

    def _state(self, name: str, now: float) -> limits.PoolState:
        """Return a pool as this node knows it."""
        pool = self._pools[name]
        candidates = self._pool_candidates(pool, only_grantable=False)
        counted = tuple(self._counted(pool, c, now) for c in candidates)
        load = 0.0
        for candidate, slots in zip(candidates, counted, strict=True):
            own = self._tracker.load(fleet.incarnation_of(candidate.endpoint))
            # What a limited endpoint holds beyond what it takes was sent
            # before, and occupies no slot of another one.
            load += min(own, slots) if slots < candidate.slots else own
        return limits.PoolState(
            counted,
            self._departing(pool) + load,
            self.report_age_s(),
            self._reports.of_pool(name, now),
            self._reports.slot_times_s(name),
            self._share(pool, now),
        )

    def _share(self, pool: _Pool, now: float) -> float:
        """Return the part of a pool that this node counts on."""
        heard_at = max(self._reports.heard_at, pool.since or now)
        if now - heard_at < ISOLATED_AFTER_S:
            return 1.0
        return 1.0 / max(1, self.known_nodes())

    def _examine(
        self, name: str, pool: _Pool, now: float, has_ended: bool = False
    ) -> None:
        """Send or refuse the requests whose wait ends now."""
        if not pool.queue:
            return
        self._move_waiters(name, pool)
        state = self._state(name, now)
        for request_id, refusal in pool.queue.refuse_late(state, now):
            self._metrics.count_refusal(pool.service.name, "late")
            self._end_wait(name, pool, request_id, refusal)
        retries = self._selector.retries_left(pool.service)
        for request_id in pool.queue.admit(state, now, retries, has_ended):
            self._end_wait(name, pool, request_id, None)
        if pool.queue:
            pool.busy_at = now

    def _move_waiters(self, name: str, pool: _Pool) -> None:
        """Let requests enter anew whose allowed regions have changed.

        So do those whose regions have no endpoint left: they are refused at
        once.
        """
        table = self._selector.table
        moved: list[str] = []
        if pool.allowed is not None and not self._selector.has_endpoint(
            pool.service, pool.model, pool.allowed
        ):
            moved = list(pool.waiters)
        elif table is not pool.table:
            moved = [
                request_id
                for request_id, waiter in pool.waiters.items()
                if pool_name(waiter.state) != name
            ]
        pool.table = table
        for request_id in moved:
            pool.queue.withdraw(request_id)
            waiter = pool.waiters.pop(request_id)
            waiter.has_moved = True
            waiter.ended.set()

    def _end_wait(
        self,
        name: str,
        pool: _Pool,
        request_id: str,
        refusal: model.Outcome | None,
    ) -> None:
        waiter = pool.waiters.pop(request_id)
        waiter.refusal = refusal
        if refusal is None:
            self._let_depart(name, pool, waiter.state)
        waiter.ended.set()

    def wake(self) -> None:
        """Examine the queues after other nodes have reported their load."""
        now = trio.current_time()
        if now - self._examined_at >= MIN_WAKE_INTERVAL_S:
            self._examine_all(now)

    def _examine_all(self, now: float) -> None:
        self._examined_at = now
        for name, pool in self._pools.items():
            self._examine(name, pool, now)

    def record_end(
        self,
        state: request_state_module.RequestState,
        seconds: float,
        outcome: model.Outcome | None,
    ) -> None:
        """Record the end of an attempt.

        :param state: the request.
        :param seconds: seconds since it was sent.
        :param outcome: its outcome; None if another one has replaced it.
        """
        name = pool_name(state)
        pool = self._pool(name, state)
        now = trio.current_time()
        if outcome is not None and (
            outcome.verdict is model.Verdict.COMPLETED
        ):
            pool.queue.record_run(
                _kind_of(state), seconds, self._state(name, now)
            )
        if outcome is not None and outcome.reason is model.Reason.REFUSED:
            pool.queue.record_refusal()
        self._examine(name, pool, now, has_ended=True)

    async def run(self) -> None:
        """Examine the queues while requests wait; never returns."""
        while True:
            if all(p.since is None for p in self._pools.values()):
                self._begun = trio.Event()
                await self._begun.wait()
            await trio.sleep(RECHECK_INTERVAL_S)
            now = trio.current_time()
            self._examine_all(now)
            self._end_quiet(now)
            self._metrics.set_waiting(
                {name: len(p.queue) for name, p in self._pools.items()}
            )

    def _end_quiet(self, now: float) -> None:
        for name, pool in self._pools.items():
            if pool.since is not None and now - pool.busy_at > QUIET_S:
                _LOG.info(
                    "no request waits for %s any more",
                    name,
                    extra={"waited_s": round(now - pool.since, 2)},
                )
                pool.since = None
                pool.queue.sweep()

    def close(self) -> None:
        """Refuse all waiting requests, and those that would wait."""
        self._is_closed = True
        for name, pool in self._pools.items():
            for request_id in list(pool.waiters):
                self._metrics.count_refusal(pool.service.name, "stopping")
                pool.queue.withdraw(request_id)
                self._end_wait(name, pool, request_id, stopping.REFUSAL)

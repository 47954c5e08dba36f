"""Plans replicas and sends the resulting orders to endpoints.

The holder of a failure domain's lease plans the replicas of that failure
domain. Nodes of the failure domain try to acquire the lease at once, other
nodes after a delay.
"""

import collections.abc
import dataclasses
import logging
import random
import secrets

import trio

from wasabilanding import assembly
from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import capacity_log
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import join_intents
from wasabilanding.gateway import lease
from wasabilanding.gateway import messages
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding.gateway import model_demand
from wasabilanding.gateway import settings as settings_module
from wasabilanding.gateway import supervision
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import metadata
from wasabilanding import model
from wasabilanding import routes

RENEW_INTERVAL_S = 0.9
# Renewals are retried at this interval once a lease has expired locally.
RETRY_RENEW_INTERVAL_S = 0.3
MAX_PLAN_INTERVAL_S = 0.25
# A node that was cut off looks for a free lease again after at most this time.
MAX_WAIT_S = 1.0
DEBOUNCE_S = 0.03
LOCAL_ACQUIRE_DELAY_S = 0.2
REMOTE_ACQUIRE_DELAY_S = 4.0
# Longest wait until the watch shows the node that won the lease.
CONFLICT_WAIT_S = 2.5
# Interval of the check whether the store has lost join intents.
INTENT_CHECK_INTERVAL_S = 0.5
# No limit on weight loads for this long after the system's first start, when
# there are no requests yet.
UNLIMITED_LOADS_S = 10.0
# A healthy endpoint with requests in flight shows progress well within this.
SILENT_AFTER_S = 0.5
# A probe that takes longer shows that the node itself did not run.
MAX_PROBE_S = upstream_module.CALL_TIMEOUT_S + 0.15
# A report that takes longer may be that of an endpoint that is lost.
LATE_REPORT_S = 0.2
OK_STATUSES = (200, 202)
# Orders that begin something at an endpoint; the others end its service.
PLACEMENT_ORDERS = (assembly.Join, assembly.Open, assembly.Stage)
ACCEPTING_STATES = (fleet.MemberState.OPEN, fleet.MemberState.CLOSING)

_LOG = logging.getLogger(__name__)


def _is_loading(endpoint: fleet.Endpoint) -> bool:
    """Return whether an endpoint joins a replica and must load its model."""
    member = endpoint.membership
    if member is None or member.state is not fleet.MemberState.JOINING:
        return False
    return not endpoint.model


class Controller:
    """Plans the replicas of one failure domain while it holds the lease.

    :param settings: settings of the node.
    :param view: the node's view of the cluster.
    :param store: the platform's store.
    :param upstream: connections to endpoints.
    :param wire: encodes orders.
    :param metrics: counts orders and endpoints that do not serve.
    :param tracker: this node's observations of the endpoints.
    :param failure_domain: the failure domain.
    :param rng: random number generator.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        view: cluster_view_module.ClusterView,
        store: messages.Store,
        upstream: upstream_module.Upstream,
        wire: messages.WireFormat,
        metrics: metrics_module.Metrics,
        tracker: dispatch.EndpointTracker,
        failure_domain: str,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._tracker = tracker
        self._metrics = metrics
        self._view = view
        self._upstream = upstream
        self._wire = wire
        self._domain = failure_domain
        self._rng = rng
        self._key = lease.lease_key(wire, failure_domain)
        self._intents_prefix = f"{wire.internal_prefix}joins/"
        self.intents = join_intents.IntentWriter(
            store, self._intents_prefix, view.eras
        )
        self._lease = lease.DomainLease(
            self._key, settings.node, store, view.eras
        )
        self._planners: dict[str, assembly.Planner] = {}
        self.demand = model_demand.ModelDemand(view, tracker, failure_domain)
        self._capacity_log = capacity_log.CapacityLog(failure_domain, metrics)
        # What the capacity was last computed from, and the result.
        self._capacity_inputs: tuple[object, int] = (None, -1)
        self._capacity: list[assembly.Capacity] = []
        # Returns whether another node should plan, as this one reaches no
        # endpoint.
        self.should_step_down: collections.abc.Callable[[], bool] = lambda: (
            False
        )
        self._scope = trio.CancelScope()
        self._started_at = trio.current_time()

    async def run(self) -> None:
        """Acquire the lease whenever it is free and plan while holding it."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    supervision.keep_running,
                    f"join intents of {self._domain}",
                    self._keep_intents,
                    self._metrics.count_loop_failure,
                )
                await supervision.keep_running(
                    f"planner of {self._domain}",
                    self._keep_planning,
                    self._metrics.count_loop_failure,
                )

    async def _keep_planning(self) -> None:
        while True:
            await self._wait_lease_free()
            acquired = await self._lease.acquire()
            if isinstance(acquired, metadata.Written):
                await self._plan_while_held()
            elif isinstance(acquired, metadata.Conflict):
                await self._wait_conflict_visible()
            else:
                await trio.sleep(self._rng.uniform(0.3, 0.8))

    async def _keep_intents(self) -> None:
        """Write join intents again that a restore of the store has lost."""
        while True:
            await self.intents.wait_recorded()
            await trio.sleep(INTENT_CHECK_INTERVAL_S)
            await self.intents.rewrite_lost()

    async def _plan_while_held(self) -> None:
        """Plan until the lease is lost."""
        self._planners.clear()
        self.demand.clear()
        self._view.active_planners += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._keep_lease, nursery.cancel_scope)
                nursery.start_soon(self._plan_loop, nursery)
        finally:
            self._view.active_planners -= 1
            self._capacity_log.clear()

    @property
    def is_planning(self) -> bool:
        """Whether this node plans the replicas now."""
        return self._lease.is_held

    async def release(self) -> None:
        """Stop planning for good and release the lease at once."""
        self._scope.cancel()
        await self._lease.release()

    async def _wait_lease_free(self) -> None:
        """Wait until the lease is free, longer in a remote failure domain."""
        is_local = self._domain == self._settings.failure_domain
        wait_s = LOCAL_ACQUIRE_DELAY_S if is_local else REMOTE_ACQUIRE_DELAY_S
        while True:
            while not self._may_acquire():
                with trio.move_on_after(MAX_WAIT_S):
                    await self._view.wait_changed()
            await trio.sleep(self._rng.uniform(wait_s / 2, wait_s))
            await trio.sleep(self._former_lease_left_s())
            if self._may_acquire() and self._former_lease_left_s() <= 0:
                return

    def _may_acquire(self) -> bool:
        """Return whether this node sees that no node holds the lease."""
        if not self._view.is_initialized or self._view.is_outdated:
            return False
        if self.should_step_down():
            return False
        return not self._is_lease_taken()

    def _former_lease_left_s(self) -> float:
        """Return for how many seconds a lease of an older era may be held."""
        if self._settings.first_start and not self._view.restores:
            return 0.0
        return self._lease.former_lease_left_s(
            self._view.era_learned_at, self._view.clock_time()
        )

    async def _wait_conflict_visible(self) -> None:
        """Wait until the watch shows the node that won the lease."""
        with trio.move_on_after(CONFLICT_WAIT_S):
            while not self._is_lease_taken():
                await self._view.wait_changed()

    def _is_lease_taken(self) -> bool:
        return self._key in self._view.internal_items

    async def _keep_lease(self, scope: trio.CancelScope) -> None:
        """Renew the lease until the store reports that it is lost.

        The store may be unreachable for longer than the lease and keep leases
        alive meanwhile. Nothing is planned until the renewal succeeds, but
        any other node would have to wait for the lease to expire.
        """
        while not self._lease.is_lost:
            held = self._lease.is_held
            await trio.sleep(
                RENEW_INTERVAL_S if held else RETRY_RENEW_INTERVAL_S
            )
            if self.should_step_down():
                _LOG.info("%s: another node should plan", self._domain)
                await self._lease.release()
            elif not self._lease.is_lost:
                await self._lease.renew()
        scope.cancel()

    async def _plan_loop(self, nursery: trio.Nursery) -> None:
        while True:
            self._plan(nursery)
            self._report_capacity()
            with trio.move_on_after(MAX_PLAN_INTERVAL_S):
                await self._view.wait_changed()
            await trio.sleep(DEBOUNCE_S)

    def _plan(self, nursery: trio.Nursery) -> None:
        table = self._view.table
        now = trio.current_time()
        if table is None or not self._lease.is_held:
            return
        for service in table.services:
            if service.engine is None:
                continue
            planner = self._planner(service.name)
            situation = self._situation(service.name, service.engine, now)
            orders = planner.plan(situation, now)
            joins = [o for o in orders if isinstance(o, assembly.Join)]
            if joins:
                nursery.start_soon(self._send_joins, planner, joins)
            for order in orders:
                if not isinstance(order, assembly.Join):
                    nursery.start_soon(self._execute, planner, order)

    async def _send_joins(
        self, planner: assembly.Planner, joins: list[assembly.Join]
    ) -> None:
        recorded = await self.intents.record(joins)
        if not self._lease.is_held:
            return
        async with trio.open_nursery() as nursery:
            for join in joins:
                if join.replica in recorded and not self._is_obsolete(join):
                    nursery.start_soon(self._execute, planner, join)

    def _is_obsolete(self, join: assembly.Join) -> bool:
        """Tell whether a member has announced its shutdown meanwhile."""
        registry = self._view.registry
        return any(map(registry.has_announced_shutdown, join.members))

    def _report_capacity(self) -> None:
        """Report the capacity, computed only when its inputs changed.

        It is compared with the shares that follow demand, as planned.
        """
        table = self._view.table
        if table is None or not self._lease.is_held:
            return
        now = trio.current_time()
        services = [
            dataclasses.replace(
                service,
                engine=self.demand.spec_of(service.name, service.engine, now),
            )
            for service in table.services
            if service.engine is not None
        ]
        inputs = (services, self._view.registry.version)
        if inputs != self._capacity_inputs:
            self._capacity_inputs = inputs
            self._capacity = capacity_log.domain_capacity(
                self._view.registry.endpoints, services, self._domain
            )
        self._capacity_log.observe(self._capacity, now)

    def _planner(self, service: str) -> assembly.Planner:
        planner = self._planners.get(service)
        if planner is None:
            prefix = f"{self._domain}-{secrets.token_hex(3)}"
            planner = assembly.Planner(prefix)
            self._planners[service] = planner
        return planner

    def _situation(
        self, service: str, spec: routes.EngineSpec, now: float
    ) -> assembly.PlannerInput:
        registry = self._view.registry
        since_start_s = now - self._started_at
        return assembly.PlannerInput(
            service=service,
            spec=self.demand.spec_of(service, spec, now),
            endpoints=tuple(
                endpoint
                for endpoint in registry.endpoints
                if endpoint.service == service
                and endpoint.failure_domain == self._domain
            ),
            recently_removed=dict(registry.recently_removed),
            revision=self._view.revision,
            loads_are_unlimited=(
                self._settings.first_start
                and since_start_s < UNLIMITED_LOADS_S
            ),
            silent_endpoints=self._tracker.silent_endpoints(
                now, SILENT_AFTER_S
            ),
            held_endpoints=self._tracker.holds.held(now),
            loading=sum(map(_is_loading, registry.endpoints)),
            pending_epochs=join_intents.pending_epochs(
                self._view.internal_items, self._intents_prefix
            ),
        )

    async def _execute(
        self, planner: assembly.Planner, order: assembly.Order
    ) -> None:
        match order:
            case assembly.Join():
                async with trio.open_nursery() as nursery:
                    for member in order.to:
                        nursery.start_soon(self._send_order, member, order)
            case assembly.Open() | assembly.Close():
                await self._send_order(order.head, order)
            case assembly.Stage() | assembly.Leave():
                await self._send_order(order.endpoint, order)
            case assembly.Probe():
                await self.query_membership(planner, order.endpoint)

    async def _send_order(
        self, endpoint: fleet.Endpoint, order: assembly.Order
    ) -> None:
        body = self._wire.order_body(order)
        purpose = upstream_module.Purpose.CONTROL
        if isinstance(order, PLACEMENT_ORDERS):
            purpose = upstream_module.Purpose.PLACEMENT
        result = "no reply"
        try:
            reply = await self._upstream.call(
                endpoint, "POST", self._wire.order_path(), body, purpose
            )
            result = str(reply.status)
            if reply.status not in OK_STATUSES:
                result += " " + reply.body[:200].decode(errors="replace")
        except upstream_module.AttemptFailed as error:
            result = error.outcome.detail
        kind = type(order).__name__.lower()
        self._metrics.count_order(kind, result[:3])
        _LOG.info(
            "order %s to %s: %s",
            kind,
            endpoint.endpoint_id,
            result,
            extra={"order": body.decode()},
        )

    async def query_membership(
        self, planner: assembly.Planner, endpoint: fleet.Endpoint
    ) -> None:
        """Request a report and tell a planner what it has shown.

        An endpoint that wants no requests for a time is not lost: it shows
        nothing about its membership.

        :param planner: receives the result.
        :param endpoint: the endpoint.
        """
        sent_at = trio.current_time()
        reach = _ReachabilityCheck(endpoint)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reach.run)
            shown = await self._request_report(endpoint)
            if shown is None:
                nursery.cancel_scope.cancel()
                return
            answer, is_open, detail = shown
            if answer is assembly.ProbeAnswer.NONE:
                if not await reach.result():
                    answer = assembly.ProbeAnswer.GONE
            nursery.cancel_scope.cancel()
        now = trio.current_time()
        if now - sent_at > MAX_PROBE_S and not answer.is_reply:
            # The node itself stood still.
            return
        planner.record_probe_result(
            fleet.incarnation_of(endpoint),
            assembly.ProbeResult(now, answer, is_open, now - sent_at),
        )
        _LOG.info(
            "report of %s: %s, open=%s %s",
            endpoint.endpoint_id,
            answer.value,
            is_open,
            detail,
        )

    async def _request_report(
        self, endpoint: fleet.Endpoint
    ) -> tuple[assembly.ProbeAnswer, bool, str] | None:
        """Return what a report shows, whether the head is open, any error.

        :returns: None if the endpoint wants no requests now.
        """
        try:
            reply = await self._upstream.call(
                endpoint,
                "GET",
                self._wire.report_path(),
                b"",
                upstream_module.Purpose.CONTROL,
            )
            if reply.notice.retry_after_s is not None:
                return None
            member = self._wire.read_report(reply.body)
        except upstream_module.AttemptFailed as error:
            if error.outcome.reason is model.Reason.ENDPOINT_HELD:
                return None
            if error.outcome.reason is model.Reason.CONNECT_FAILED:
                return assembly.ProbeAnswer.GONE, False, error.outcome.detail
            return assembly.ProbeAnswer.NONE, False, error.outcome.detail
        except ValueError as error:
            return _malformed_answer(reply), False, str(error)
        if not _is_same_membership(member, endpoint.membership):
            return assembly.ProbeAnswer.GONE, False, ""
        is_open = member.state in ACCEPTING_STATES
        return assembly.ProbeAnswer.MEMBER, is_open, ""


def _malformed_answer(
    reply: upstream_module.CallReply,
) -> assembly.ProbeAnswer:
    """Return what a report shows that cannot be decoded.

    A part of a JSON object never can be, and may be all that has arrived.
    """
    if reply.ends_with_connection:
        return assembly.ProbeAnswer.NONE
    return assembly.ProbeAnswer.GONE


class _ReachabilityCheck:
    """Checks whether an endpoint is reachable if its report is late.

    :param endpoint: the endpoint.
    """

    def __init__(self, endpoint: fleet.Endpoint) -> None:
        self._endpoint = endpoint
        self._is_reachable = False
        self._done = trio.Event()

    async def run(self) -> None:
        """Wait for the report a little, then try a new connection."""
        await trio.sleep(LATE_REPORT_S)
        self._is_reachable = await upstream_module.is_reachable(self._endpoint)
        self._done.set()

    async def result(self) -> bool:
        """Return whether the endpoint is reachable."""
        await self._done.wait()
        return self._is_reachable


def _is_same_membership(
    reported: fleet.Membership | None, registered: fleet.Membership | None
) -> bool:
    if reported is None or registered is None:
        return False
    return reported.replica_key == registered.replica_key


class ControllerSet:
    """One controller per failure domain, started when the domain appears.

    :param view: the node's view of the cluster.
    :param make: creates the controller of a failure domain.
    """

    def __init__(
        self,
        view: cluster_view_module.ClusterView,
        make: collections.abc.Callable[[str], Controller],
    ) -> None:
        self._view = view
        self._make = make
        self._running: dict[str, Controller] = {}

    async def run(self) -> None:
        """Start a controller for each new failure domain; never returns."""
        async with trio.open_nursery() as nursery:
            while True:
                for endpoint in self._view.registry.endpoints:
                    if endpoint.failure_domain not in self._running:
                        controller = self._make(endpoint.failure_domain)
                        self._running[endpoint.failure_domain] = controller
                        nursery.start_soon(controller.run)
                await self._view.wait_changed()

    async def release(self) -> None:
        """Release all leases."""
        for controller in self._running.values():
            await controller.release()

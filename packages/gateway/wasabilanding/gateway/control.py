"""Carries out the assembly of replicas.

The lease on a failure domain decides which node plans its replicas. A node
of that failure domain asks for it at once, another one after a while.
"""

import collections
import collections.abc
import logging
import random
import secrets

import trio

from wasabilanding import assembly
from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import belief as belief_module
from wasabilanding.gateway import intents
from wasabilanding.gateway import lease
from wasabilanding.gateway import measures as measures_module
from wasabilanding.gateway import messages
from wasabilanding.gateway import settings as settings_module
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import metadata
from wasabilanding import routes

RENEW_S = 0.9
# A lease that was not renewed in time is tried again so often.
REGAIN_S = 0.3
TICK_S = 0.25
SUMMARY_S = 2.0
DEBOUNCE_S = 0.03
OWN_JITTER_S = 0.2
FOREIGN_WAIT_S = 4.0
# A watch tells of the node that was first within this.
LOST_RACE_S = 2.5
# Weights load without a bound before the first request comes.
FREE_LOADS_S = 10.0
# Requests on a sound endpoint bring a sign of work well within this.
SILENT_S = 0.5
OK_STATUSES = (200, 202)
TAKING = (fleet.MemberState.OPEN, fleet.MemberState.CLOSING)

_LOG = logging.getLogger(__name__)


def _is_loading(endpoint: fleet.Endpoint) -> bool:
    """Tell whether an endpoint joins a replica whose model it must load."""
    member = endpoint.membership
    if member is None or member.state is not fleet.MemberState.JOINING:
        return False
    return not endpoint.model


class Controller:
    """Plans the replicas of one failure domain while it holds the lease.

    :param settings: settings of the node.
    :param belief: what the node believes.
    :param store: the platform's store.
    :param upstream: connections to endpoints.
    :param wire: encodes orders.
    :param measures: counts orders and endpoints that do not serve.
    :param board: what this node has seen of the endpoints.
    :param failure_domain: the failure domain.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        belief: belief_module.Belief,
        store: messages.Store,
        upstream: upstream_module.Upstream,
        wire: messages.Wire,
        measures: measures_module.Measures,
        board: dispatch.Board,
        failure_domain: str,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._board = board
        self._measures = measures
        self._belief = belief
        self._upstream = upstream
        self._wire = wire
        self._domain = failure_domain
        self._rng = rng
        self._key = lease.key_of(wire, failure_domain)
        self._notes_prefix = f"{wire.own_prefix}joins/"
        self._intents = intents.IntentWriter(store, self._notes_prefix)
        self._lease = lease.DomainLease(self._key, settings.node, store)
        self._planners: dict[str, assembly.Planner] = {}
        self._scope = trio.CancelScope()
        self._started_at = trio.current_time()

    async def run(self) -> None:
        """Hold the lease when it is free, and plan, until released."""
        with self._scope:
            while True:
                await self._wait_free()
                taken = await self._lease.acquire()
                if isinstance(taken, metadata.Written):
                    await self._hold()
                elif isinstance(taken, metadata.Conflict):
                    await self._wait_told()
                else:
                    await trio.sleep(self._rng.uniform(0.3, 0.8))

    async def _hold(self) -> None:
        """Plan until the lease is lost."""
        self._planners.clear()
        self._belief.planners += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._keep, nursery.cancel_scope)
                nursery.start_soon(self._plan_on, nursery)
        finally:
            self._belief.planners -= 1

    @property
    def is_planning(self) -> bool:
        """Whether this node plans the replicas now."""
        return self._lease.is_held

    async def release(self) -> None:
        """Let another node plan at once, and never plan again."""
        self._scope.cancel()
        await self._lease.release()

    async def _wait_free(self) -> None:
        """Wait until nobody holds the lease, own nodes less than others."""
        own = self._domain == self._settings.failure_domain
        wait_s = OWN_JITTER_S if own else FOREIGN_WAIT_S
        while True:
            while not self._belief.is_informed or self._is_taken():
                await self._belief.wait_changed()
            await trio.sleep(self._rng.uniform(wait_s / 2, wait_s))
            if not self._is_taken():
                return

    async def _wait_told(self) -> None:
        """Another node was first; wait until the watch tells of it."""
        with trio.move_on_after(LOST_RACE_S):
            while not self._is_taken():
                await self._belief.wait_changed()

    def _is_taken(self) -> bool:
        return self._key in self._belief.own

    async def _keep(self, scope: trio.CancelScope) -> None:
        """Renew the lease until the store says that it is lost.

        The load pattern it answers: the store goes away for longer than the
        lease and keeps leases meanwhile. Nothing is planned until the
        renewal, but another node would have to wait for the lease's end.
        """
        while not self._lease.is_lost:
            held = self._lease.is_held
            await trio.sleep(RENEW_S if held else REGAIN_S)
            if not self._lease.is_lost:
                await self._lease.renew()
        scope.cancel()

    async def _plan_on(self, nursery: trio.Nursery) -> None:
        told_at = float("-inf")
        while True:
            self._plan(nursery)
            if trio.current_time() - told_at > SUMMARY_S:
                told_at = trio.current_time()
                self._log_summary()
            with trio.move_on_after(TICK_S):
                await self._belief.wait_changed()
            await trio.sleep(DEBOUNCE_S)

    def _plan(self, nursery: trio.Nursery) -> None:
        table = self._belief.table
        now = trio.current_time()
        if table is None or not self._lease.is_held:
            return
        for service in table.services:
            if service.engine is None:
                continue
            planner = self._planner(service.name)
            situation = self._situation(service.name, service.engine, now)
            wanted = planner.plan(situation, now)
            joins = [o for o in wanted if isinstance(o, assembly.Join)]
            if joins:
                nursery.start_soon(self._join, planner, joins)
            for order in wanted:
                if not isinstance(order, assembly.Join):
                    nursery.start_soon(self._carry_out, planner, order)

    async def _join(
        self, planner: assembly.Planner, joins: list[assembly.Join]
    ) -> None:
        noted = await self._intents.note(joins)
        if not self._lease.is_held:
            return
        async with trio.open_nursery() as nursery:
            for join in joins:
                if join.replica in noted:
                    nursery.start_soon(self._carry_out, planner, join)

    def _log_summary(self) -> None:
        """Log how many endpoints serve, by model, and how many do not."""
        own = [
            one
            for one in self._belief.registry.endpoints
            if one.failure_domain == self._domain and one.fabric_domain
        ]
        serving: collections.Counter[str] = collections.Counter()
        for replica in fleet.replicas_of(own).values():
            if replica.is_open:
                serving[replica.model] += len(replica.members)
        self._measures.set_stranded(self._domain, len(own) - serving.total())
        _LOG.info(
            "%d of %d endpoints serve",
            serving.total(),
            len(own),
            extra={"domain": self._domain, "serving": dict(serving)},
        )

    def _planner(self, service: str) -> assembly.Planner:
        planner = self._planners.get(service)
        if planner is None:
            prefix = f"{self._domain}-{secrets.token_hex(3)}"
            planner = assembly.Planner(prefix)
            self._planners[service] = planner
        return planner

    def _situation(
        self, service: str, spec: routes.EngineSpec, now: float
    ) -> assembly.Situation:
        registry = self._belief.registry
        since_start_s = now - self._started_at
        return assembly.Situation(
            service=service,
            spec=spec,
            endpoints=tuple(
                one
                for one in registry.endpoints
                if one.service == service
                and one.failure_domain == self._domain
            ),
            departed=dict(registry.departed),
            revision=self._belief.revision,
            loads_are_free=(
                self._settings.first_start and since_start_s < FREE_LOADS_S
            ),
            silent=self._board.silent(now, SILENT_S),
            loading=sum(map(_is_loading, registry.endpoints)),
            pending=intents.pending_epochs(
                self._belief.own, self._notes_prefix
            ),
        )

    async def _carry_out(
        self, planner: assembly.Planner, order: assembly.Order
    ) -> None:
        match order:
            case assembly.Join():
                async with trio.open_nursery() as nursery:
                    for member in order.to:
                        nursery.start_soon(self._send, member, order)
            case assembly.Open() | assembly.Close():
                await self._send(order.head, order)
            case assembly.Stage() | assembly.Leave():
                await self._send(order.endpoint, order)
            case assembly.Ask():
                await self._ask(planner, order.endpoint)

    async def _send(
        self, endpoint: fleet.Endpoint, order: assembly.Order
    ) -> None:
        body = self._wire.order_body(order)
        result = "no reply"
        try:
            status, text = await self._upstream.call(
                endpoint, "POST", self._wire.order_path(), body
            )
            result = str(status)
            if status not in OK_STATUSES:
                result += " " + text[:200].decode(errors="replace")
        except upstream_module.AttemptFailed as error:
            result = error.outcome.detail
        kind = type(order).__name__.lower()
        self._measures.count_order(kind, result[:3])
        _LOG.info(
            "order %s to %s: %s",
            kind,
            endpoint.endpoint_id,
            result,
            extra={"order": body.decode()},
        )

    async def _ask(
        self, planner: assembly.Planner, endpoint: fleet.Endpoint
    ) -> None:
        lives = False
        is_open = False
        detail = ""
        try:
            _, body = await self._upstream.call(
                endpoint, "GET", self._wire.report_path(), b""
            )
            member = self._wire.read_report(body)
            same = member is not None and endpoint.membership is not None
            lives = same and member.place == endpoint.membership.place
            is_open = lives and member.state in TAKING
        except upstream_module.AttemptFailed as error:
            detail = error.outcome.detail
        except ValueError as error:
            detail = str(error)
        planner.note_answer(
            endpoint.endpoint_id, lives, is_open, trio.current_time()
        )
        _LOG.info(
            "asked %s: lives=%s open=%s %s",
            endpoint.endpoint_id,
            lives,
            is_open,
            detail,
        )


class ControllerSet:
    """Controllers, one for each failure domain, started as they appear.

    :param belief: what the node believes.
    :param make: makes the controller of a failure domain.
    """

    def __init__(
        self,
        belief: belief_module.Belief,
        make: collections.abc.Callable[[str], Controller],
    ) -> None:
        self._belief = belief
        self._make = make
        self._running: dict[str, Controller] = {}

    async def run(self) -> None:
        """Start controllers as failure domains appear; never returns."""
        async with trio.open_nursery() as nursery:
            while True:
                for one in self._belief.registry.endpoints:
                    if one.failure_domain not in self._running:
                        controller = self._make(one.failure_domain)
                        self._running[one.failure_domain] = controller
                        nursery.start_soon(controller.run)
                await self._belief.wait_changed()

    async def release(self) -> None:
        """Give back all leases."""
        for controller in self._running.values():
            await controller.release()

"""A gateway node: listeners, background loops and graceful shutdown."""

import collections.abc
import contextlib
import dataclasses
import functools
import gc
import logging
import math
import random
import signal

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import asgi
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import control
from wasabilanding.gateway import crash_guard
from wasabilanding.gateway import directory
from wasabilanding.gateway import endpoint_guard
from wasabilanding.gateway import endpoint_transport
from wasabilanding.gateway import evacuation_monitor
from wasabilanding.gateway import forwarding
from wasabilanding.gateway import hints
from wasabilanding.gateway import inbound
from wasabilanding.gateway import listeners
from wasabilanding.gateway import loop_lag
from wasabilanding.gateway import memory_account
from wasabilanding.gateway import messages
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding.gateway import quarantine_records
from wasabilanding.gateway import reachability
from wasabilanding.gateway import region_restrictions
from wasabilanding.gateway import relays
from wasabilanding.gateway import send_grants
from wasabilanding.gateway import settings as settings_module
from wasabilanding.gateway import status_apps
from wasabilanding.gateway import store_watch
from wasabilanding.gateway import supervision
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import limits
from wasabilanding import listening
from wasabilanding import model
from wasabilanding import routes

# The load balancer polls readiness every second and drops a node after two
# failed checks.
SHUTDOWN_NOTICE_S = 2.6
# Nodes use a connection to another node again that was idle for less time.
RELAY_IDLE_S = endpoint_transport.DEFAULT_REUSE_S + listening.IDLE_MARGIN_S
CLEANUP_INTERVAL_S = 1.0
GC_THRESHOLD = 20_000

WaitClosed = collections.abc.Callable[[], collections.abc.Awaitable[None]]
_LOG = logging.getLogger(__name__)


class Node:
    """A gateway node and the state that its loops share.

    :param settings: settings of the node.
    :param store: the platform's store.
    :param upstream: connections to endpoints.
    :param wire: wire format of callers and endpoints.
    :param metrics: metrics of the node.
    :param rng: random number generator.
    :param is_reachable: returns whether an endpoint accepts connections.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        store: messages.Store,
        upstream: upstream_module.Upstream,
        wire: messages.WireFormat,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        is_reachable: upstream_module.IsReachable = (
            upstream_module.is_reachable
        ),
    ) -> None:
        self._settings = settings
        self._store = store
        self._upstream = upstream
        self._draining = False
        # None until the node stops.
        self.grace: limits.GracePeriod | None = None
        self._is_store_reachable: bool | None = None
        self.metrics = metrics
        self._wire = wire
        self._account = memory_account.MemoryAccount(
            settings.memory_mb, metrics, rng
        )
        self.parsing = listening.ParsingShare(
            limits.costly_requests(limits.usable_bytes(settings.memory_mb))
        )
        self.view = cluster_view_module.ClusterView(wire)
        self._tracker = dispatch.EndpointTracker()
        self._reachability = reachability.Reachability(
            self.view, metrics, rng, is_reachable
        )
        self._relays = relays.Relays(
            settings.failure_domain, self._tracker, rng, settings.region_map
        )
        self._relays.is_evacuated = self.view.is_evacuated
        self._evacuation_monitor = evacuation_monitor.EvacuationMonitor(
            self.view, metrics
        )
        self._region_monitor = region_restrictions.RegionMonitor(
            self.view, settings.region_map
        )
        self._crash_guard = crash_guard.CrashGuard(
            self.view, self._tracker, metrics, is_reachable
        )
        self._crash_guard.check_links(self._reachability.check)
        self._grants = send_grants.SendGrants(metrics, rng)
        self._nodes_prefix = directory.address_prefix(wire)
        self._waiting_reports = limits.WaitingReports()
        self._hints = hints.HintExchange(
            settings.node,
            settings.failure_domain,
            self.view,
            self._tracker,
            self._crash_guard,
            self._grants,
            wire,
            self._waiting_reports,
        )
        self._grants.exchange_through(
            self._hints.ask_to_send, self._hints.nodes.owners_of
        )
        self._grants.cold.follow(self.view)
        self._grants.cold.report_through(self._hints.report_cold)
        self._grants.cold.was_used = self._tracker.was_used
        self._crash_guard.report_through(self._hints.report_crashes)
        self._crash_guard.try_parts_at(self._hints.nodes.is_first_for)
        self._hints.is_cut_off = self._refuses_relays
        self._hints.report_cut_off = self._relays.record_cut_off
        self._relays.nodes = self._hints.nodes.by_domain
        self._quarantine_records = quarantine_records.QuarantineRecords(
            store,
            quarantine_records.records_prefix(wire),
            self.view,
            self._crash_guard,
            self._hints.nodes.rank_for,
        )
        self._crash_guard.follow_news(self._quarantine_records.note_news)
        self.view.on_internal_item = self._quarantine_records.read
        self._guard = endpoint_guard.EndpointGuard(
            self.view,
            self._tracker,
            wire,
            metrics,
            self._grants,
            self._hints.report_leaving,
            rng,
        )
        upstream.require_permits(self._guard.admit)
        self.forwarder = forwarding.Forwarder(
            settings,
            self.view,
            upstream,
            wire,
            metrics,
            self._tracker,
            self._report_silent,
            self._crash_guard,
            self._grants,
            self._reachability,
            self._relays,
            rng,
            self._waiting_reports,
            self._account,
        )
        self._connect_waiting_room()
        self.controllers = control.ControllerSet(
            self.view,
            lambda domain: self._controller(domain, store, wire, rng),
        )

    def _connect_waiting_room(self) -> None:
        """Exchange the waiting room's numbers with other nodes in hints."""
        room = self.forwarder.waiting_room
        if room is None:
            return
        room.report_age_s = lambda: self._hints.report_age_s
        room.known_nodes = lambda: self._hints.nodes.count
        self._hints.waiting = lambda: room.waiting
        self._hints.slot_times_s = lambda: room.slot_times_s
        self._hints.note_load = room.wake

    def _controller(
        self,
        failure_domain: str,
        store: messages.Store,
        wire: messages.WireFormat,
        rng: random.Random,
    ) -> control.Controller:
        """Return the controller that plans a failure domain's replicas."""
        controller = control.Controller(
            self._settings,
            self.view,
            store,
            self._upstream,
            wire,
            self.metrics,
            self._tracker,
            failure_domain,
            rng,
        )
        controller.should_step_down = self._is_cut_off_unlike_others
        controller.demand.is_limited = self._grants.is_limited
        return controller

    def _refuses_relays(self) -> bool:
        """Whether no other node should hand requests to this one."""
        if self._draining or self._reachability.is_cut_off:
            return True
        return not self.forwarder.can_prove_keys

    def _is_cut_off_unlike_others(self) -> bool:
        """Whether this node reaches no endpoint, and another one may."""
        if not self._reachability.is_cut_off:
            return False
        return bool(self._relays.available())

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests to this node."""
        return self.view.is_initialized and not self._draining

    def _report_silent(self, endpoint: fleet.Incarnation) -> None:
        """Report a silent endpoint, unless all are silent to this node."""
        if self._reachability.has_recent_success:
            self._hints.report_silent(endpoint)

    @property
    def limits(self) -> routes.CallerLimits:
        """Limits on callers' requests."""
        if self.view.table is None:
            return routes.CallerLimits()
        return self.view.table.limits

    def callers_app(self, stopping: trio.Event) -> asgi.App:
        """Return the ASGI application for callers.

        :param stopping: set when idle connections close.
        """
        return self._requests_app(
            self.forwarder.handle,
            stopping,
            (),
            memory_account.Kind.REQUEST,
        )

    def relays_app(self, stopping: trio.Event) -> asgi.App:
        """Return the ASGI application for requests of other nodes' callers.

        :param stopping: set when idle connections close.
        """
        return self._requests_app(
            self.forwarder.handle_relayed,
            stopping,
            ((relays.VERDICT, relays.ELSEWHERE),),
            memory_account.Kind.RELAYED_REQUEST,
        )

    def _requests_app(
        self,
        handle: inbound.Handler,
        stopping: trio.Event,
        stopping_headers: tuple[messages.Header, ...],
        kind: memory_account.Kind,
    ) -> asgi.App:
        return inbound.callers_app(
            handle,
            lambda: self.limits.max_body_bytes,
            lambda: self._draining,
            lambda: not stopping.is_set(),
            stopping_headers,
            self._account,
            kind,
            self._echoed_headers,
            self._time_limit_s,
        )

    def _time_limit_s(self, head: messages.RequestHead) -> float:
        """Return the seconds within which a request must be answered.

        No request has longer than the longest timeout of all routes.
        """
        table = self.view.table
        routes_known = table.routes if table else ()
        longest = max((r.timeout_s for r in routes_known), default=math.inf)
        try:
            given = self._wire.read_request(head).deadline_s
        except messages.InvalidHead:
            given = None
        return longest if given is None else min(longest, given)

    def _echoed_headers(
        self, head: messages.RequestHead
    ) -> list[messages.Header]:
        """Return the headers of every answer to a request."""
        try:
            request = self._wire.read_request(head)
        except messages.InvalidHead:
            return []
        return self._wire.answer_headers(request)

    def start_loops(self, nursery: trio.Nursery) -> None:
        """Start the background loops.

        :param nursery: runs the loops.
        """
        loops = {
            "store watch": self._follow_store,
            "planning": self.controllers.run,
            "clean-up": self._clean_up,
            "reachability": self._reachability.keep_checking,
            "quarantine records": self._quarantine_records.run,
            "loop lag": self._observe_lag,
        }
        if self._settings.peer_port:
            loops["hints"] = self._exchange_hints
        if self.forwarder.waiting_room is not None:
            loops["waiting requests"] = self.forwarder.waiting_room.run
        for name, loop in loops.items():
            self.start_loop(nursery, name, loop)

    def start_loop(
        self,
        nursery: trio.Nursery,
        name: str,
        loop: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Start a background loop whose failure ends no answer.

        :param nursery: runs the loop.
        :param name: its name, for logs and metrics.
        :param loop: the loop.
        """
        nursery.start_soon(
            supervision.keep_running,
            name,
            loop,
            self.metrics.count_loop_failure,
        )

    async def _follow_store(self) -> None:
        await store_watch.follow_store(
            self.view,
            self._store,
            self._log_store_reachable,
            store_watch.max_poll_interval_s(self._settings.change_bounds_s),
        )

    async def _observe_lag(self) -> None:
        await loop_lag.observe(self.metrics.record_loop_lag)

    async def _exchange_hints(self) -> None:
        """Register this node's address; send and receive hints."""
        own_address = directory.NodeAddress(
            self._settings.node,
            self._settings.failure_domain,
            self._settings.address,
            self._settings.peer_port,
            directory.PROTOCOL,
        )
        with await hints.bind_socket(
            (own_address.host, own_address.port)
        ) as datagrams:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    directory.keep_registered,
                    self._store,
                    self._nodes_prefix,
                    own_address,
                )
                nursery.start_soon(self._hints.run, datagrams)

    def _log_store_reachable(self, is_reachable: bool) -> None:
        if is_reachable != self._is_store_reachable:
            _LOG.info(
                "store is %s", "reachable" if is_reachable else "unreachable"
            )
        self._is_store_reachable = is_reachable

    async def _clean_up(self) -> None:
        """Drop state of removed endpoints; update the retry budget."""
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            nodes = directory.count_nodes(
                self.view.internal_items, self._nodes_prefix
            )
            self.forwarder.update_retry_budget(nodes)
            self._tracker.drop_expired(trio.current_time())
            self.forwarder.drop_expired(trio.current_time())
            self._guard.observe()
            self._evacuation_monitor.observe()
            self._account.observe(trio.current_time())
            self._region_monitor.observe()
            self.metrics.set_rejected_registrations(
                self.view.rejected_registrations
            )
            await self._crash_guard.observe()
            for endpoint in self._upstream.endpoints:
                if relays.is_relay(endpoint.endpoint_id):
                    continue
                if not self.view.registry.is_known(endpoint):
                    await self._upstream.close_pool(endpoint)

    async def announce_shutdown(self) -> None:
        """Start draining; wait until the balancer and callers notice.

        Readiness checks fail and connections close after their answers.
        """
        _LOG.info("drains", extra={"in_flight": self.forwarder.in_flight})
        self._draining = True
        now = trio.current_time()
        self.grace = limits.grace_period(now, self._settings.shutdown_grace_s)
        self.forwarder.stop(self.grace)
        notice_until = min(now + SHUTDOWN_NOTICE_S, self.grace.answers_until)
        with trio.move_on_at(notice_until):
            await self.controllers.release()
            await trio.sleep_until(notice_until)

    def interrupt_requests(self) -> None:
        """Answer all open requests whose answers have not begun."""
        self.forwarder.interrupt_requests()

    def log_open_requests(self) -> None:
        """Log each request that the node leaves without a whole answer."""
        self.forwarder.log_open_requests()


def _reload(
    settings: settings_module.Settings,
    load: collections.abc.Callable[[], settings_module.Settings],
) -> None:
    """Read the settings file again and log the names of changed settings.

    Only the log level takes effect. Addresses and names are fixed for the
    lifetime of the process.
    """
    try:
        changed = load()
    except (OSError, model.InvalidDocument) as error:
        _LOG.error("invalid settings file ignored: %s", error)
        return
    names = [
        field.name
        for field in dataclasses.fields(settings)
        if getattr(changed, field.name) != getattr(settings, field.name)
    ]
    logging.getLogger().setLevel(changed.log_level)
    _LOG.info("reloads", extra={"changed": names})


async def _handle_signals(
    node: Node,
    settings: settings_module.Settings,
    load: collections.abc.Callable[[], settings_module.Settings],
    stopping: trio.Event,
) -> None:
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        # Blocked since the process started, see wasabilanding.gatewayd.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
        async for number in signals:
            _LOG.info("received signal %d", number)
            if number == signal.SIGHUP:
                _reload(settings, load)
            elif not stopping.is_set():
                await node.announce_shutdown()
                stopping.set()


async def serve(
    node: Node,
    settings: settings_module.Settings,
    load: collections.abc.Callable[[], settings_module.Settings],
) -> None:
    """Run a node until it has shut down.

    :param node: the node.
    :param settings: its settings.
    :param load: reloads the settings file.
    """
    stopping = trio.Event()
    listening.map_large_blocks()
    gc.set_threshold(GC_THRESHOLD)
    gc.freeze()
    callers = listeners.Listener(
        node.callers_app(stopping),
        settings.callers_address,
        is_bounded=settings.is_memory_bounded,
        report_close=functools.partial(
            node.metrics.count_connection_close, "callers"
        ),
        limits=node.limits,
        max_connections=functools.partial(max_connections, settings),
        parsing=node.parsing,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, node, settings, load, stopping)
        node.start_loops(nursery)
        node.start_loop(
            nursery, "limits", lambda: _apply_limits(node, callers)
        )
        requests = [callers, *_relay_listeners(node, settings, stopping)]
        others = _status_listeners(node, settings)
        for listener in (*requests, *others):
            nursery.start_soon(listener.serve, stopping)
        await stopping.wait()
        # Idle connections close now, so that no caller sends another request
        # that this node has no time left to answer.
        await finish_requests(node, [r.wait_closed for r in requests])
        nursery.cancel_scope.cancel()
    _LOG.info("stopped")


async def finish_requests(
    node: Node,
    closings: collections.abc.Sequence[WaitClosed],
) -> None:
    """Wait until all connections have ended, or the grace period has.

    :param node: the node, whose notice of the shutdown has ended.
    :param closings: each waits until a listener's last connection has ended.
    """
    await _wait_all_closed(closings, node.grace.answers_until)
    node.interrupt_requests()
    await _wait_all_closed(closings, node.grace.ends_at)
    node.log_open_requests()


async def _wait_all_closed(
    closings: collections.abc.Sequence[WaitClosed], until: float
) -> None:
    with trio.move_on_at(until):
        for wait_closed in closings:
            await wait_closed()


def _relay_listeners(
    node: Node, settings: settings_module.Settings, stopping: trio.Event
) -> list[listeners.Listener]:
    """Return the listeners for requests that other nodes relay."""
    if not settings.peer_port:
        return []
    address = f"{settings.address}:{settings.peer_port}"
    is_bounded = settings.is_memory_bounded
    app = node.relays_app(stopping)
    report_close = functools.partial(
        node.metrics.count_connection_close, "relays"
    )
    return [
        listeners.Listener(
            app,
            address,
            is_bounded,
            report_close,
            stop_idle_s=RELAY_IDLE_S,
            max_connections=functools.partial(
                max_connections, settings, share=limits.RELAYS_SHARE
            ),
            parsing=node.parsing,
        )
    ]


def _status_listeners(
    node: Node, settings: settings_module.Settings
) -> list[listeners.Listener]:
    """Return the listeners for readiness checks and metrics."""
    apps = {
        settings.ready_address: status_apps.ready_app(lambda: node.is_ready)
    }
    if settings.metrics_port:
        address = f"{settings.address}:{settings.metrics_port}"
        apps[address] = status_apps.metrics_app(node.metrics.text)
    return [
        listeners.Listener(
            app,
            address,
            settings.is_memory_bounded,
            max_connections=functools.partial(
                max_connections, settings, share=limits.STATUS_SHARE
            ),
            parsing=node.parsing,
        )
        for address, app in apps.items()
    ]


def max_connections(
    settings: settings_module.Settings, head_bytes: int, share: float = 1.0
) -> int:
    """Return how many connections may be open at a listener.

    :param settings: settings of the node.
    :param head_bytes: largest size of a request's head.
    :param share: share of the listener.
    """
    return limits.connection_limit(
        listening.open_limit(int(settings.max_descriptors)),
        limits.usable_bytes(settings.memory_mb),
        head_bytes,
        share,
    )


async def _apply_limits(node: Node, callers: listeners.Listener) -> None:
    """Apply the configuration's limits to the callers' connections."""
    while True:
        callers.update_limits(node.limits)
        await node.view.wait_changed()


@contextlib.asynccontextmanager
async def open_node(
    settings: settings_module.Settings,
    store: messages.Store,
    wire: messages.WireFormat,
    metrics: metrics_module.Metrics,
) -> collections.abc.AsyncIterator[Node]:
    """Yield a node; close its connections afterwards.

    :param settings: settings of the node.
    :param store: the platform's store.
    :param wire: wire format of callers and endpoints.
    :param metrics: metrics of the node.
    """
    rng = random.Random()
    async with upstream_module.Upstream(
        bounds=settings.reply_bounds
    ) as upstream:
        _LOG.info("starts", extra={"settings": str(settings)})
        yield Node(settings, store, upstream, wire, metrics, rng)

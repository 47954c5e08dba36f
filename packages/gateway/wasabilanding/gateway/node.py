"""One gateway: its listeners, its loops and its graceful shutdown."""

import collections.abc
import contextlib
import dataclasses
import gc
import logging
import math
import random
import signal

import hypercorn.config
import hypercorn.trio
import quart
import quart_trio
import trio

from wasabilanding import dispatch
from wasabilanding.gateway import belief as belief_module
from wasabilanding.gateway import control
from wasabilanding.gateway import directory
from wasabilanding.gateway import forwarding
from wasabilanding.gateway import hints
from wasabilanding.gateway import inbound
from wasabilanding.gateway import measures as measures_module
from wasabilanding.gateway import messages
from wasabilanding.gateway import settings as settings_module
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import model
from wasabilanding import routes

# The balancer asks once a second and drops a node after two misses.
NOTICE_S = 2.6
EXIT_MARGIN_S = 0.8
SWEEP_S = 1.0
BACKLOG = 1000
MANY_REQUESTS = 1_000_000
GC_THRESHOLD = 20_000

_LOG = logging.getLogger(__name__)


class Node:
    """One node and what its loops share.

    :param settings: settings of the node.
    :param store: the platform's store.
    :param upstream: connections to endpoints.
    :param wire: how callers and endpoints speak.
    :param measures: metrics of the node.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        store: messages.Store,
        upstream: upstream_module.Upstream,
        wire: messages.Wire,
        measures: measures_module.Measures,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._store = store
        self._upstream = upstream
        self._draining = False
        self._store_in_reach: bool | None = None
        self.measures = measures
        self.belief = belief_module.Belief(wire)
        self._board = dispatch.Board()
        self._nodes_prefix = directory.prefix_of(wire)
        self._hints = hints.Hints(
            settings.node,
            settings.failure_domain,
            self.belief,
            self._board,
            wire,
        )
        self.forwarder = forwarding.Forwarder(
            settings,
            self.belief,
            upstream,
            wire,
            measures,
            self._board,
            self._hints.tell_silent,
            rng,
        )
        self.controllers = control.ControllerSet(
            self.belief,
            lambda domain: control.Controller(
                settings,
                self.belief,
                store,
                upstream,
                wire,
                measures,
                self._board,
                domain,
                rng,
            ),
        )

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send callers."""
        return self.belief.is_informed and not self._draining

    @property
    def limits(self) -> routes.CallerLimits:
        """What a caller may send."""
        if self.belief.table is None:
            return routes.CallerLimits()
        return self.belief.table.limits

    def callers_app(self):
        """Return the ASGI application for callers."""
        return inbound.callers_app(
            self.forwarder.handle,
            lambda: self.limits.max_body_bytes,
            lambda: self._draining,
        )

    def start_loops(self, nursery: trio.Nursery) -> None:
        """Start the loops that need no listener.

        :param nursery: runs the loops.
        """
        nursery.start_soon(
            belief_module.keep_informed,
            self.belief,
            self._store,
            self._note_store,
            belief_module.interval_s(self._settings.change_bounds_s),
        )
        nursery.start_soon(self.controllers.run)
        nursery.start_soon(self._sweep)
        if self._settings.peer_port:
            nursery.start_soon(self._speak_with_nodes)

    async def _speak_with_nodes(self) -> None:
        """Be known to the other nodes, and take and send hints."""
        own = directory.NodeAddress(
            self._settings.node,
            self._settings.failure_domain,
            self._settings.address,
            self._settings.peer_port,
        )
        with await hints.bound_socket((own.host, own.port)) as datagrams:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    directory.keep_registered,
                    self._store,
                    self._nodes_prefix,
                    own,
                )
                nursery.start_soon(self._hints.run, datagrams)

    def _note_store(self, in_reach: bool) -> None:
        if in_reach != self._store_in_reach:
            _LOG.info("the store is %s reach", "in" if in_reach else "out of")
        self._store_in_reach = in_reach

    async def _sweep(self) -> None:
        """Forget endpoints that are gone; follow the number of nodes."""
        while True:
            await trio.sleep(SWEEP_S)
            nodes = directory.count_of(self.belief.own, self._nodes_prefix)
            self.forwarder.share_budget(nodes)
            self._board.forget_old(trio.current_time())
            for endpoint_id in self._upstream.known:
                known = self.belief.registry.get(endpoint_id)
                gone = endpoint_id in self.belief.registry.departed
                if known is None and not gone:
                    await self._upstream.forget(endpoint_id)

    async def announce_shutdown(self) -> None:
        """Tell the balancer and callers, and wait until they know."""
        _LOG.info("drains", extra={"in_flight": self.forwarder.in_flight})
        self._draining = True
        with trio.move_on_after(NOTICE_S):
            await self.controllers.release()
            await trio.sleep(NOTICE_S)

    async def wait_idle(self) -> None:
        """Wait until nothing runs, while the time for shutdown lasts."""
        left_s = self._settings.shutdown_grace_s - NOTICE_S - EXIT_MARGIN_S
        with trio.move_on_after(left_s):
            await self.forwarder.wait_idle()


def ready_app(node: Node) -> quart_trio.QuartTrio:
    """Return the application that the balancer asks.

    :param node: the node.
    """
    app = quart_trio.QuartTrio("ready")

    @app.get("/<path:path>")
    async def ready(path: str) -> quart.ResponseReturnValue:
        return {"ready": node.is_ready}, 200 if node.is_ready else 503

    return app


def metrics_app(node: Node) -> quart_trio.QuartTrio:
    """Return the application that serves the node's metrics.

    :param node: the node.
    """
    app = quart_trio.QuartTrio("metrics")

    @app.get("/metrics")
    async def metrics() -> quart.ResponseReturnValue:
        return node.measures.text(), 200, {"Content-Type": "text/plain"}

    return app


def _http_config(
    address: str, limits: routes.CallerLimits
) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    config.backlog = BACKLOG
    config.include_server_header = False
    config.include_date_header = False
    config.h11_max_incomplete_size = limits.max_header_bytes
    config.keep_alive_timeout = limits.idle_timeout_s
    config.keep_alive_max_requests = MANY_REQUESTS
    config.graceful_timeout = math.inf
    return config


def _reload(
    settings: settings_module.Settings,
    load: collections.abc.Callable[[], settings_module.Settings],
) -> None:
    """Read the settings file again and say what has changed.

    Addresses and names hold for the life of a process; of the rest the level
    of the log takes effect.
    """
    try:
        changed = load()
    except (OSError, model.InvalidDocument) as error:
        _LOG.error("the settings file is not used: %s", error)
        return
    names = [
        field.name
        for field in dataclasses.fields(settings)
        if getattr(changed, field.name) != getattr(settings, field.name)
    ]
    logging.getLogger().setLevel(changed.log_level)
    _LOG.info("reloads", extra={"changed": names})


async def _heed_signals(
    node: Node,
    settings: settings_module.Settings,
    load: collections.abc.Callable[[], settings_module.Settings],
    stopping: trio.Event,
) -> None:
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as received:
        # Held back since the process began, see wasabilanding.gatewayd.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
        async for number in received:
            _LOG.info("signal %d", number)
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
    :param load: reads the settings file again.
    """
    stopping = trio.Event()
    limits = routes.CallerLimits()
    gc.set_threshold(GC_THRESHOLD)
    gc.freeze()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_heed_signals, node, settings, load, stopping)
        node.start_loops(nursery)
        served = [
            (ready_app(node), settings.ready_address),
            (node.callers_app(), settings.callers_address),
        ]
        if settings.metrics_port:
            address = f"{settings.address}:{settings.metrics_port}"
            served.append((metrics_app(node), address))
        for app, address in served:
            config = _http_config(address, limits)
            nursery.start_soon(_serve_app, app, config, stopping)
        await stopping.wait()
        # The servers close idle connections now, so that no caller sends a
        # request on one that this node has no time to answer.
        await node.wait_idle()
        await trio.sleep(EXIT_MARGIN_S / 4)
        nursery.cancel_scope.cancel()
    _LOG.info("stopped")


async def _serve_app(app, config, stopping: trio.Event) -> None:
    await hypercorn.trio.serve(
        app, config, shutdown_trigger=stopping.wait, mode="asgi"
    )


@contextlib.asynccontextmanager
async def opened(
    settings: settings_module.Settings,
    store: messages.Store,
    wire: messages.Wire,
    measures: measures_module.Measures,
) -> collections.abc.AsyncIterator[Node]:
    """Yield a node with its connections, which close after it.

    :param settings: settings of the node.
    :param store: the platform's store.
    :param wire: how callers and endpoints speak.
    :param measures: metrics of the node.
    """
    rng = random.Random()
    async with upstream_module.Upstream() as upstream:
        _LOG.info("starts", extra={"settings": str(settings)})
        yield Node(settings, store, upstream, wire, measures, rng)

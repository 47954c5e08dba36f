"""Listeners, loops and graceful shutdown of a node."""

import collections.abc
import contextlib
import functools
import logging
import math
import random
import signal
import time
import typing

import hypercorn.config
import quart_trio
import trio
import trio_asyncio

from wasabilanding import callers
from wasabilanding.daemon import cache_watch
from wasabilanding.daemon import configuration_watch
from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import control
from wasabilanding.daemon import exchange
from wasabilanding.daemon import joining
from wasabilanding.daemon import observation
from wasabilanding.daemon import requests
from wasabilanding.daemon import settings as settings_module
from wasabilanding.daemon import status
from wasabilanding.daemon import telemetry
from wasabilanding import endpoints
from wasabilanding import knowledge
from wasabilanding import limits
from wasabilanding import listening
from wasabilanding import membership
from wasabilanding import metadata
from wasabilanding import operators
from wasabilanding import peers

KEEP_ALIVE_S = 3600.0
# The HTTP server's default.
MAX_HEAD_BYTES = 16 * 1024
NS_PER_MS = 1_000_000

_LOG = logging.getLogger(__name__)


def _http_config(
    listener: settings_module.Listener,
) -> hypercorn.config.Config:
    config = listening.BoundedConfig()
    config.bind = [listener.address]
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    config.h11_max_incomplete_size = MAX_HEAD_BYTES
    return config


async def serve_app(
    app: typing.Any,
    listener: settings_module.Listener,
    stopping: trio.Event,
    stopped: trio.Event,
    max_connections: float = math.inf,
    parsing: listening.ParsingShare | None = None,
) -> None:
    """Serve an application until it is stopped and its requests are answered.

    Open streams have no time limit.

    :param app: ASGI application.
    :param listener: address to serve it at.
    :param stopping: set to stop.
    :param stopped: set when the last connection has ended.
    :param max_connections: connections that may be open at the same time.
    :param parsing: places for requests of many small parts.
    """
    config = _http_config(listener)
    server = listening.HttpListener(
        app,
        config,
        KEEP_ALIVE_S,
        max_connections=max_connections,
        parsing=parsing,
    )
    await server.serve(stopping)
    stopped.set()


def own_node(
    settings: settings_module.Settings, incarnation: int
) -> membership.Node:
    """Return a node's entry in its own member table.

    :param settings: settings of the node.
    :param incarnation: number that increases with each start.
    """
    return membership.Node(
        name=settings.node,
        incarnation=incarnation,
        failure_domain=settings.failure_domain,
        address=settings.peers.address,
    )


class Node:
    """HTTP applications and loops of one node.

    :param context: state shared by the daemon's loops.
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self.service = requests.RequestService(context)
        self.status = status.NodeStatus(context)
        self.controller = control.Controller(context)
        self._exchanger = exchange.Exchanger(context)

    @property
    def context(self) -> context_module.Context:
        """State shared by the daemon's loops."""
        return self._context

    def callers_app(self) -> quart_trio.QuartTrio:
        """Return the HTTP application for callers."""
        return callers.callers_app(self.service)

    def operators_app(self) -> quart_trio.QuartTrio:
        """Return the HTTP application for operators."""
        return operators.operators_app(
            self.status,
            self._context.platform,
            self._context.known.learn_configuration,
        )

    def start_loops(self, nursery: trio.Nursery) -> None:
        """Start the loops that need no listener.

        :param nursery: nursery that runs the loops.
        """
        context = self._context
        nursery.start_soon(self._exchanger.run)
        nursery.start_soon(joining.join, context)
        watch = configuration_watch.ConfigurationWatch(context)
        nursery.start_soon(watch.run)
        nursery.start_soon(observation.observe_endpoints, context)
        nursery.start_soon(self.controller.run)
        nursery.start_soon(self.status.accumulate_totals)
        nursery.start_soon(self.service.claims.run)
        nursery.start_soon(self.service.guard.run)
        nursery.start_soon(self.service.gate.run)
        nursery.start_soon(
            cache_watch.poll_cache_events, context, self.service.router
        )

    async def announce_shutdown(self) -> None:
        """Report not ready, leave the cluster and wait for the balancer."""
        self.service.begin_drain()
        self._context.members.leave()
        await trio.sleep(self._context.settings.drain_notice_s)

    async def drain(self) -> None:
        """Announce the shutdown and wait until nothing is in flight."""
        await self.announce_shutdown()
        await self.service.wait_idle()


async def _drain_on_signal(node: Node, stopping: trio.Event) -> None:
    signals = (signal.SIGTERM, signal.SIGINT)
    # The receiver stays open, so that a second signal does not kill the
    # process.
    with trio.open_signal_receiver(*signals) as received:
        async for number in received:
            _LOG.info(
                "draining %d requests after signal %d",
                node.service.in_flight,
                number,
            )
            if not stopping.is_set():
                await node.announce_shutdown()
                stopping.set()


async def _serve_node(node: Node) -> None:
    settings = node.context.settings
    memory_bytes = limits.usable_bytes(settings.memory_mb)
    budget = limits.memory_budget(settings.memory_mb)
    account = listening.MemoryAccount(budget)
    parsing = listening.ParsingShare(limits.costly_requests(memory_bytes))
    max_connections = functools.partial(
        limits.connection_limit,
        listening.open_limit(settings.max_descriptors),
        memory_bytes,
        MAX_HEAD_BYTES,
    )
    stopping = trio.Event()
    callers_stopped = trio.Event()
    administration_stopping = trio.Event()
    administration_stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_drain_on_signal, node, stopping)
        nursery.start_soon(
            serve_app,
            callers.bounded(node.callers_app(), account),
            settings.callers,
            stopping,
            callers_stopped,
            max_connections(),
            parsing,
        )
        # The operators' API stays available until all requests are drained.
        nursery.start_soon(
            serve_app,
            operators.bounded(node.operators_app(), account),
            settings.administration,
            administration_stopping,
            administration_stopped,
            max_connections(limits.STATUS_SHARE),
            parsing,
        )
        nursery.start_soon(exchange.serve_peers, node.context)
        node.start_loops(nursery)
        await callers_stopped.wait()
        await node.service.wait_idle()
        administration_stopping.set()
        await administration_stopped.wait()
        nursery.cancel_scope.cancel()


async def run_node(
    settings: settings_module.Settings,
    log_lines_dropped: collections.abc.Mapping[telemetry.Labels, int],
) -> None:
    """Run a node until it has shut down gracefully.

    :param settings: settings of the node.
    :param log_lines_dropped: number of dropped log lines by reason and kind,
        which the log keeps up to date.
    """
    listening.map_large_blocks()
    incarnation = time.time_ns() // NS_PER_MS
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(trio_asyncio.open_loop())
        rng = random.Random()
        node_telemetry = telemetry.Telemetry(
            settings.node, settings.trace_file
        )
        platform = await stack.enter_async_context(
            metadata.PlatformClient(
                settings.platform_url,
                rng=rng,
                count=node_telemetry.count_store_call,
            )
        )
        endpoint_client = await stack.enter_async_context(
            endpoints.EndpointClient()
        )
        node_telemetry.observe_log_lines(log_lines_dropped)
        context = context_module.Context(
            settings=settings,
            known=knowledge.ClusterState(),
            members=membership.MemberTable(own_node(settings, incarnation)),
            platform=platform,
            endpoints=endpoint_client,
            telemetry=node_telemetry,
            connect_peer=peers.PeerChannel,
            rng=rng,
        )
        _LOG.info("node %s is starting", settings.node)
        await _serve_node(Node(context))
        _LOG.info("node %s has stopped", settings.node)

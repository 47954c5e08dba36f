"""One node: its listeners, its loops and its graceful shutdown."""

import contextlib
import logging
import random
import signal
import time
import typing

import hypercorn.config
import hypercorn.trio
import trio
import trio_asyncio

from wasabilanding import callers
from wasabilanding.daemon import configuration_watch
from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import control
from wasabilanding.daemon import exchange
from wasabilanding.daemon import observation
from wasabilanding.daemon import requests
from wasabilanding.daemon import settings as settings_module
from wasabilanding.daemon import status
from wasabilanding.daemon import telemetry
from wasabilanding import endpoints
from wasabilanding import knowledge
from wasabilanding import membership
from wasabilanding import operators
from wasabilanding import platform

KEEP_ALIVE_S = 3600.0
# A graceful shutdown has no bound: open streams decide when it ends.
SHUTDOWN_BOUND_S = 7 * 86_400.0
NS_PER_MS = 1_000_000

_LOG = logging.getLogger(__name__)


def _http_config(
    listener: settings_module.Listener,
) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.bind = [listener.address]
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = SHUTDOWN_BOUND_S
    return config


async def _serve(
    app: typing.Any,
    listener: settings_module.Listener,
    stopping: trio.Event,
    stopped: trio.Event,
) -> None:
    await hypercorn.trio.serve(
        app, _http_config(listener), shutdown_trigger=stopping.wait
    )
    stopped.set()


async def _shut_down_on_signal(
    context: context_module.Context,
    service: requests.RequestService,
    stopping: trio.Event,
) -> None:
    signals = (signal.SIGTERM, signal.SIGINT)
    with trio.open_signal_receiver(*signals) as received:
        async for number in received:
            _LOG.info(
                "drains %d requests on signal %d", service.in_flight, number
            )
            service.begin_drain()
            context.members.leave()
            await trio.sleep(context.settings.drain_notice_s)
            await service.wait_idle()
            stopping.set()
            return


def _own_node(settings: settings_module.Settings) -> membership.Node:
    return membership.Node(
        name=settings.node,
        incarnation=time.time_ns() // NS_PER_MS,
        failure_domain=settings.failure_domain,
        address=settings.peers.address,
    )


async def _run_loops(context: context_module.Context) -> None:
    service = requests.RequestService(context)
    source = status.NodeStatus(context)
    controller = control.Controller(context)
    exchanger = exchange.Exchanger(context)
    administration = operators.operators_app(
        source, context.platform, context.known.learn_configuration
    )
    settings = context.settings
    stopping = trio.Event()
    callers_stopped = trio.Event()
    administration_stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_shut_down_on_signal, context, service, stopping)
        nursery.start_soon(
            _serve,
            callers.callers_app(service),
            settings.callers,
            stopping,
            callers_stopped,
        )
        nursery.start_soon(
            _serve,
            administration,
            settings.administration,
            stopping,
            administration_stopped,
        )
        nursery.start_soon(exchange.serve_peers, context)
        nursery.start_soon(exchanger.run)
        nursery.start_soon(configuration_watch.follow_configuration, context)
        nursery.start_soon(observation.observe_endpoints, context)
        nursery.start_soon(controller.run)
        nursery.start_soon(source.measure)
        await callers_stopped.wait()
        await administration_stopped.wait()
        nursery.cancel_scope.cancel()


async def run_node(settings: settings_module.Settings) -> None:
    """Run a node until it has shut down gracefully.

    :param settings: settings of the node.
    """
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(trio_asyncio.open_loop())
        store = await stack.enter_async_context(
            platform.PlatformClient(settings.platform_url)
        )
        engines = await stack.enter_async_context(endpoints.EndpointClient())
        context = context_module.Context(
            settings=settings,
            known=knowledge.Knowledge(),
            members=membership.MemberTable(_own_node(settings)),
            platform=store,
            endpoints=engines,
            telemetry=telemetry.Telemetry(settings.node, settings.trace_file),
            rng=random.Random(settings.node),
        )
        _LOG.info("node %s starts", settings.node)
        await _run_loops(context)
        _LOG.info("node %s has stopped", settings.node)

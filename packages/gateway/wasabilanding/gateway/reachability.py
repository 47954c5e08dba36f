"""Finds out whether this node is cut off from all endpoints.

The rules are those of :class:`wasabilanding.dispatch.ReachabilityMonitor`;
here is the loop that connects to endpoints where they ask for it.
"""

import collections.abc
import contextlib
import logging
import math
import random

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding.gateway import upstream as upstream_module

LOOK_INTERVAL_S = 0.1
# Endpoints that a check connects to.
CHECKED_ENDPOINTS = 4
# A check that began so long ago at most is not repeated.
SHARED_CHECK_S = 0.1

_LOG = logging.getLogger(__name__)


class Reachability:
    """Whether this node reaches any endpoint.

    :param view: the node's view of the cluster.
    :param metrics: tells whether the node is cut off.
    :param rng: random number generator.
    :param is_reachable: returns whether an endpoint accepts connections.

    ``monitor`` receives what the node's requests show.
    """

    def __init__(
        self,
        view: cluster_view_module.ClusterView,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        is_reachable: upstream_module.IsReachable = (
            upstream_module.is_reachable
        ),
    ) -> None:
        self._view = view
        self._metrics = metrics
        self._rng = rng
        self._is_reachable = is_reachable
        self._lock = trio.Lock()
        # Set when a check may become due sooner than was known.
        self._has_news = trio.Event()
        self.monitor = dispatch.ReachabilityMonitor()
        self.monitor.on_failure = lambda: self._has_news.set()

    @property
    def is_cut_off(self) -> bool:
        """Whether this node reaches no endpoint."""
        return self.monitor.is_cut_off

    @property
    def has_recent_success(self) -> bool:
        """Whether an endpoint has replied to this node lately."""
        return self.monitor.has_recent_success(trio.current_time())

    @contextlib.contextmanager
    def waiting(self) -> collections.abc.Iterator[None]:
        """Count a request that waits for an endpoint."""
        if not self.monitor.is_waiting:
            self._has_news.set()
        self.monitor.begin(trio.current_time())
        try:
            yield
        finally:
            self.monitor.end()

    async def keep_checking(self) -> None:
        """Check whenever this node's requests ask for it; never returns."""
        while True:
            await trio.sleep(LOOK_INTERVAL_S)
            now = trio.current_time()
            if self.monitor.is_check_due(now):
                await self.check()
            await self._wait_while_quiet()

    async def _wait_while_quiet(self) -> None:
        """Wait while no check can become due, until the next failure.

        While no request waits, only a failure or the next request matters.
        """
        self._has_news = trio.Event()
        quiet_s = self.monitor.quiet_s(trio.current_time())
        if quiet_s and not self.monitor.is_waiting:
            quiet_s = math.inf
        with trio.move_on_after(max(quiet_s - LOOK_INTERVAL_S, 0.0)):
            await self._has_news.wait()

    async def accepts_connections(self, endpoint: fleet.Endpoint) -> bool:
        """Return whether an endpoint accepts a new connection.

        :param endpoint: the endpoint.
        """
        return await self._is_reachable(endpoint)

    async def check(self) -> bool:
        """Connect to some endpoints; return whether none accepts.

        What was received before does not count: many connections may break at
        the same moment. They share one check.
        """
        async with self._lock:
            now = trio.current_time()
            if not self.monitor.is_checked_since(now - SHARED_CHECK_S):
                await self._check(now)
        return self.is_cut_off

    async def _check(self, now: float) -> None:
        self.monitor.begin_check(now)
        chosen = self._choose()
        # One that accepts is enough.
        accepted = await self._connect(chosen[:1])
        if not any(accepted):
            accepted += await self._connect(chosen[1:])
        if self.monitor.record_check(sum(accepted), len(accepted)):
            self._report_change(chosen)

    async def _connect(self, endpoints: list[fleet.Endpoint]) -> list[bool]:
        """Return, for each endpoint, whether it accepts a connection."""
        accepted: list[bool] = []

        async def connect(endpoint: fleet.Endpoint) -> None:
            accepted.append(await self._is_reachable(endpoint))

        async with trio.open_nursery() as nursery:
            for endpoint in endpoints:
                nursery.start_soon(connect, endpoint)
        return accepted

    def _choose(self) -> list[fleet.Endpoint]:
        """Return some endpoints, of as many failure domains as possible."""
        endpoints = list(self._view.registry.endpoints)
        self._rng.shuffle(endpoints)
        seen: set[str] = set()
        first, others = [], []
        for endpoint in endpoints:
            is_new = endpoint.failure_domain not in seen
            seen.add(endpoint.failure_domain)
            (first if is_new else others).append(endpoint)
        return (first + others)[:CHECKED_ENDPOINTS]

    def _report_change(self, checked: list[fleet.Endpoint]) -> None:
        names = ", ".join(endpoint.endpoint_id for endpoint in checked)
        self._metrics.set_cut_off(self.is_cut_off)
        if self.is_cut_off:
            _LOG.warning("reaches no endpoint: %s accept nothing", names)
        else:
            _LOG.info("reaches endpoints again, among %s", names)

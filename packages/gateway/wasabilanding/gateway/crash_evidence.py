"""Finds out whether an endpoint that broke a connection has ended.

Explanation
===========

After a connection broke, the node connects to the endpoint anew. If nothing
accepts, the endpoint has ended. If it accepts, and its registration is removed
or replaced within some seconds, it has ended too, unless it still accepts
connections at an address that no other has. An endpoint that was leaving has
not crashed. One that goes on with a request that it had before has not ended;
progress of later requests tells nothing, as the next start of the endpoint may
serve them (:class:`wasabilanding.poison.PresumedEnds`).
"""

import collections.abc
import contextlib
import dataclasses

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import poison

IsCutOff = collections.abc.Callable[[], collections.abc.Awaitable[bool]]


@dataclasses.dataclass(frozen=True)
class SentRequest:
    """A request that was sent to an endpoint.

    :param fingerprint: its fingerprint.
    :param parts: parts of its prompt that others may share.
    :param sent_at: local monotonic time in seconds.
    """

    fingerprint: str
    parts: tuple[str, ...]
    sent_at: float


@dataclasses.dataclass(frozen=True)
class Crash:
    """An endpoint that has ended.

    :param endpoint: the endpoint.
    :param broken: its broken connections that were not reported before.
    :param is_new: whether its end was not known.
    """

    endpoint: fleet.Incarnation
    broken: tuple[poison.BrokenConnection, ...]
    is_new: bool


async def _is_never_cut_off() -> bool:
    return False


class CrashEvidence:
    """Broken connections, and the endpoints that have ended.

    :param view: the node's view of the cluster.
    :param tracker: this node's observations of the endpoints.
    :param is_reachable: returns whether an endpoint accepts connections.
    :param report_crash: receives endpoints that have ended.
    :param report_survival: receives endpoints that have not, after all.
    """

    def __init__(
        self,
        view: cluster_view_module.ClusterView,
        tracker: dispatch.EndpointTracker,
        is_reachable: upstream_module.IsReachable,
        report_crash: collections.abc.Callable[[Crash], None],
        report_survival: collections.abc.Callable[[fleet.Incarnation], None],
    ) -> None:
        self._view = view
        self._tracker = tracker
        self._is_reachable = is_reachable
        self._report_crash = report_crash
        self._report_survival = report_survival
        # Returns whether this node reaches no endpoint, so that one that it
        # does not reach need not have ended.
        self.is_cut_off: IsCutOff = _is_never_cut_off
        self._broken = poison.BrokenConnections()
        self._endpoints: dict[fleet.Incarnation, fleet.Endpoint] = {}
        # Endpoints that are being connected to.
        self._checks: dict[fleet.Incarnation, trio.Event] = {}
        self._ends = poison.PresumedEnds()

    async def may_have_ended(self, endpoint: fleet.Endpoint) -> bool:
        """Return whether an endpoint that closed a connection may have ended.

        One that leaves ends in order, after its answers.

        :param endpoint: the endpoint.
        """
        incarnation = fleet.incarnation_of(endpoint)
        if self._state_of(incarnation) is poison.EndpointState.LEAVING:
            return False
        return not await self._is_reachable(endpoint)

    async def examine(
        self, request: SentRequest, endpoint: fleet.Endpoint
    ) -> None:
        """Find out whether an endpoint that broke a connection has ended.

        :param request: the request on that connection.
        :param endpoint: the endpoint.
        """
        incarnation = fleet.incarnation_of(endpoint)
        if self._state_of(incarnation) is poison.EndpointState.LEAVING:
            return
        if self._ends.is_later(incarnation, request.sent_at):
            if await self._is_reachable(endpoint):
                return
        self._endpoints[incarnation] = endpoint
        self._broken.add(
            poison.BrokenConnection(
                request.fingerprint,
                incarnation,
                trio.current_time(),
                self._tracker.load(incarnation) + 1,
                request.parts,
                request.sent_at,
            )
        )
        while incarnation in self._checks:
            await self._checks[incarnation].wait()
        if incarnation not in self._ends:
            with self._checking(incarnation):
                if await self._is_reachable(endpoint):
                    return
                if await self.is_cut_off():
                    return
        self._record_end(incarnation)

    @contextlib.contextmanager
    def _checking(
        self, incarnation: fleet.Incarnation
    ) -> collections.abc.Iterator[None]:
        """Let other requests wait for the result of this check."""
        self._checks[incarnation] = trio.Event()
        try:
            yield
        finally:
            self._checks.pop(incarnation).set()

    def _state_of(
        self, incarnation: fleet.Incarnation
    ) -> poison.EndpointState:
        registry = self._view.registry
        found = registry.get_start(incarnation)
        if found is not None and not found.draining:
            return poison.EndpointState.REGISTERED
        if found is None:
            removed = registry.recently_removed.get(incarnation.endpoint_id)
            found = removed.endpoint if removed is not None else None
        if (
            found is not None
            and found.draining
            and fleet.incarnation_of(found) == incarnation
        ):
            return poison.EndpointState.LEAVING
        return poison.EndpointState.GONE

    def _record_end(self, incarnation: fleet.Incarnation) -> None:
        broken = self._broken.take(incarnation)
        if not broken:
            return
        broken_at = min(connection.at for connection in broken)
        is_new = self._ends.add(incarnation, broken_at, trio.current_time())
        self._report_crash(Crash(incarnation, broken, is_new))

    async def observe(self) -> None:
        """Decide about broken connections; drop what has expired."""
        now = trio.current_time()
        async with trio.open_nursery() as nursery:
            for incarnation in self._broken.decide(self._state_of, now):
                nursery.start_soon(self._examine_gone, incarnation)
        self._ends.forget(now)
        kept = self._ends.endpoints | self._broken.endpoints
        for incarnation in self._endpoints.keys() - kept:
            del self._endpoints[incarnation]

    async def _examine_gone(self, incarnation: fleet.Incarnation) -> None:
        """Examine an endpoint that is not registered any more.

        A registration may lapse although its endpoint lives.
        """
        endpoint = self._endpoints[incarnation]
        if self._is_replaced(endpoint):
            self._record_end(incarnation)
        elif await self._is_reachable(endpoint):
            self._broken.take(incarnation)
        elif not await self.is_cut_off():
            self._record_end(incarnation)

    def _is_replaced(self, endpoint: fleet.Endpoint) -> bool:
        """Return whether another start has registered at its address."""
        return any(
            (found.host, found.port) == (endpoint.host, endpoint.port)
            and found.started_at_ms > endpoint.started_at_ms
            for found in self._view.registry.endpoints
        )

    def record_progress(
        self, endpoint: fleet.Incarnation, sent_at: float
    ) -> None:
        """Withdraw the presumed end of an endpoint if progress refutes it.

        :param endpoint: the endpoint that makes progress.
        :param sent_at: local monotonic time in seconds at which its request
            was sent, on an established connection.
        """
        now = trio.current_time()
        if not self._ends.is_refuted(endpoint, sent_at, now):
            return
        if self._state_of(endpoint) is not poison.EndpointState.GONE:
            self._ends.remove(endpoint)
            self._report_survival(endpoint)

"""Turns away requests that end the endpoints that run them.

Explanation
===========

Now and then a request ends each endpoint that begins to run it, and its caller
sends it again, at any node, with another identifier. The rules that decide are
those of :mod:`wasabilanding.poison`; here is what they need: a request's
fingerprint, what counts as a crash, and the exchange with the other nodes.

A request is identified by host, path with query, customer and body. Its
fingerprint is computed only once one of its connections broke, or while any
request is suspected, so that it costs nothing on a calm day.

After a connection broke, the node connects to the endpoint anew. If nothing
accepts, the endpoint has ended. If it accepts, and its registration is
removed or replaced within some seconds, it has ended too. An endpoint that
was leaving has not crashed.
"""

import collections.abc
import contextlib
import logging

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import answers
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import crash_reports
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding.gateway import request_state as request_state_module
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import model
from wasabilanding import poison

# From this weight on, all nodes try a suspected request at the same endpoint.
CONFINED_WEIGHT = 0.5
# Progress of an endpoint so long after its presumed crash shows that it lives.
SURVIVAL_S = 0.5
QUARANTINE_OBSTACLE = "the request ends the endpoints that run it"

_NOT_SUSPECTED = poison.SuspicionStatus()
_LOG = logging.getLogger(__name__)

State = request_state_module.RequestState
Report = collections.abc.Callable[
    [collections.abc.Collection[crash_reports.CrashReport]], None
]


class CrashGuard:
    """What a node knows of requests under which endpoints have ended.

    :param view: the node's view of the cluster.
    :param tracker: this node's observations of the endpoints.
    :param metrics: counts crashes and suspected requests.
    :param is_reachable: returns whether an endpoint accepts connections.
    """

    def __init__(
        self,
        view: cluster_view_module.ClusterView,
        tracker: dispatch.EndpointTracker,
        metrics: metrics_module.Metrics,
        is_reachable: collections.abc.Callable[
            [fleet.Endpoint], collections.abc.Awaitable[bool]
        ] = upstream_module.is_reachable,
    ) -> None:
        self._view = view
        self._tracker = tracker
        self._metrics = metrics
        self._is_reachable = is_reachable
        self._report: Report = lambda reports: None
        self._suspicions = poison.Suspicions()
        self._broken = poison.BrokenConnections()
        self._endpoints: dict[fleet.Incarnation, fleet.Endpoint] = {}
        # Endpoints that are being connected to, and those found to have ended
        # with the local monotonic time in seconds.
        self._checks: dict[fleet.Incarnation, trio.Event] = {}
        self._crashed: dict[fleet.Incarnation, float] = {}
        self._repeated = {
            scope: crash_reports.RepeatedNotices()
            for scope in crash_reports.Scope
        }

    def report_through(self, report: Report) -> None:
        """Set what sends reports to the other nodes at once.

        :param report: sends reports.
        """
        self._report = report

    # Decisions about a request.

    def _status(self, state: State) -> poison.SuspicionStatus:
        if self._suspicions.are_empty:
            return _NOT_SUSPECTED
        now = trio.current_time()
        return self._suspicions.status(_fingerprint(state), now)

    def status_of(
        self, fingerprint: str, now: float
    ) -> poison.SuspicionStatus:
        """Return the suspicion against a request.

        :param fingerprint: fingerprint of the request.
        :param now: local monotonic time in seconds.
        """
        return self._suspicions.status(fingerprint, now)

    def suspected_count(self, now: float) -> int:
        """Return the number of requests that are suspected.

        :param now: local monotonic time in seconds.
        """
        return sum(
            self._suspicions.status(fingerprint, now).suspected
            for fingerprint in self._suspicions.suspects
        )

    def check(self, state: State) -> None:
        """Reject a request that is quarantined.

        :param state: the request, which has not been sent.
        :raises wasabilanding.gateway.request_state.RequestRejected: if it is.
        """
        status = self._status(state)
        if not status.quarantined:
            return
        self._metrics.count_crash("rejection")
        raise request_state_module.RequestRejected(
            answers.not_run(
                model.Reason.POISONED.value,
                f"{QUARANTINE_OBSTACLE}: {_summary(state, status)}",
                status.until - trio.current_time(),
            )
        )

    def obstacle(self, state: State) -> str:
        """Return why a request may not be sent again; empty if it may.

        :param state: the request.
        """
        return QUARANTINE_OBSTACLE if self._status(state).quarantined else ""

    def confine(
        self,
        state: State,
        candidates: list[dispatch.Candidate],
    ) -> list[dispatch.Candidate]:
        """Return the endpoints at which a request may be tried.

        :param state: the request.
        :param candidates: endpoints that could receive it.
        """
        status = self._status(state)
        if status.weight < CONFINED_WEIGHT:
            return candidates
        by_name = {
            _name_of(c.endpoint): c
            for c in candidates
            if _name_of(c.endpoint) not in status.crashed
        }
        order = poison.trial_order(state.fingerprint, by_name)[:1]
        for name in order:
            _LOG.info(
                "suspected request is held to %s: %s",
                name,
                _summary(state, status),
                extra=_log_fields(state),
            )
        return [by_name[name] for name in order]

    def record_completed(self, state: State) -> None:
        """Clear a request that an endpoint has answered.

        :param state: the request.
        """
        if not self._status(state).suspected:
            return
        now = trio.current_time()
        notice = self._suspicions.clear(state.fingerprint, now)
        _LOG.info(
            "suspected request is cleared: it was answered",
            extra=_log_fields(state),
        )
        self._share([notice], now)

    # Evidence.

    async def examine(self, state: State, endpoint: fleet.Endpoint) -> None:
        """Find out whether an endpoint that broke a connection has ended.

        :param state: the request on that connection.
        :param endpoint: the endpoint.
        """
        incarnation = fleet.incarnation_of(endpoint)
        if self._state_of(incarnation) is poison.EndpointState.LEAVING:
            return
        self._endpoints[incarnation] = endpoint
        in_flight = self._tracker.load(endpoint.endpoint_id) + 1
        self._broken.add(
            poison.BrokenConnection(
                _fingerprint(state),
                incarnation,
                trio.current_time(),
                in_flight,
            )
        )
        while incarnation in self._checks:
            await self._checks[incarnation].wait()
        if incarnation in self._crashed:
            self._record_crash(incarnation)
            return
        with self._checking(incarnation):
            is_alive = await self._is_reachable(endpoint)
        if not is_alive:
            self._record_crash(incarnation)

    @contextlib.contextmanager
    def _checking(
        self, incarnation: fleet.Incarnation
    ) -> collections.abc.Iterator[None]:
        self._checks[incarnation] = trio.Event()
        try:
            yield
        finally:
            self._checks.pop(incarnation).set()

    def _state_of(
        self, incarnation: fleet.Incarnation
    ) -> poison.EndpointState:
        endpoint_id, started_at_ms = incarnation
        registry = self._view.registry
        found = registry.get(endpoint_id)
        if found is None and endpoint_id in registry.recently_removed:
            removed = registry.recently_removed[endpoint_id].endpoint
            if removed.started_at_ms == started_at_ms and removed.draining:
                return poison.EndpointState.LEAVING
        if found is None or found.started_at_ms != started_at_ms:
            return poison.EndpointState.GONE
        if found.draining:
            return poison.EndpointState.LEAVING
        return poison.EndpointState.REGISTERED

    def _record_crash(self, incarnation: fleet.Incarnation) -> None:
        """Record that an endpoint has ended under the requests it had."""
        now = trio.current_time()
        broken = self._broken.take(incarnation)
        if not broken:
            return
        if incarnation not in self._crashed:
            self._metrics.count_crash("crash")
        self._crashed[incarnation] = now
        in_flight = _different_requests(broken)
        notices = [
            self._suspicions.record_crash(
                b.fingerprint, _name(incarnation), b.at, in_flight
            )
            for b in broken
        ]
        for notice in notices:
            self._log_crash(notice, "this node", now)
        self._share(notices, now)

    def _log_crash(
        self, notice: poison.Notice, reporter: str, now: float
    ) -> None:
        status = self._suspicions.status(notice.fingerprint, now)
        _LOG.info(
            "%s ended under a request, one of %d",
            notice.replica,
            notice.in_flight,
            extra={
                "fingerprint": notice.fingerprint,
                "endpoint": notice.replica,
                "crashes": len(status.crashed),
                "weight": round(status.weight, 3),
                "quarantined": status.quarantined,
                "reporter": reporter,
            },
        )

    async def observe(self) -> None:
        """Decide about broken connections; drop what has expired."""
        now = trio.current_time()
        self._suspicions.forget(now)
        for incarnation in self._broken.decide(self._state_of, now):
            await self._examine_gone(incarnation)
        self._withdraw_survivors(now)
        for incarnation, at in list(self._crashed.items()):
            if now - at > poison.NOTICE_RETENTION_S:
                del self._crashed[incarnation]
        kept = self._crashed.keys() | self._broken.endpoints
        for incarnation in self._endpoints.keys() - kept:
            del self._endpoints[incarnation]
        self._metrics.set_suspected(
            {
                "suspected": self.suspected_count(now),
                "quarantined": len(self._suspicions.quarantined(now)),
            }
        )

    async def _examine_gone(self, incarnation: fleet.Incarnation) -> None:
        """Examine an endpoint that is not registered any more.

        A registration may lapse although its endpoint lives.
        """
        endpoint = self._endpoints[incarnation]
        if self._is_replaced(endpoint):
            self._record_crash(incarnation)
        elif await self._is_reachable(endpoint):
            self._broken.take(incarnation)
        else:
            self._record_crash(incarnation)

    def _is_replaced(self, endpoint: fleet.Endpoint) -> bool:
        """Return whether another start has registered at its address."""
        return any(
            (found.host, found.port) == (endpoint.host, endpoint.port)
            and found.started_at_ms > endpoint.started_at_ms
            for found in self._view.registry.endpoints
        )

    def _withdraw_survivors(self, now: float) -> None:
        """Withdraw presumed crashes of endpoints that make progress."""
        for incarnation, at in list(self._crashed.items()):
            if self._state_of(incarnation) is poison.EndpointState.GONE:
                continue
            progress_at = self._tracker.record(incarnation[0]).progress_at
            if progress_at < at + SURVIVAL_S:
                continue
            del self._crashed[incarnation]
            name = _name(incarnation)
            _LOG.info("%s has not ended: it makes progress", name)
            self._share(self._suspicions.withdraw_all(name, now), now)

    # Exchange with other nodes.

    def _share(
        self, notices: collections.abc.Collection[poison.Notice], now: float
    ) -> None:
        self._repeat(notices, now)
        first = list(notices)[: crash_reports.MAX_REPORTS_PER_DATAGRAM]
        self._report([crash_reports.report_of(n, now) for n in first])

    def _repeat(
        self, notices: collections.abc.Collection[poison.Notice], now: float
    ) -> None:
        for repeated in self._repeated.values():
            repeated.add(notices, now)

    def due_reports(
        self, scope: crash_reports.Scope, now: float
    ) -> tuple[crash_reports.CrashReport, ...]:
        """Return the reports that the next datagram to some nodes repeats.

        :param scope: the nodes.
        :param now: local monotonic time in seconds.
        """
        if self._suspicions.are_empty:
            return ()
        repeated = self._repeated[scope]
        due = repeated.take_due(now)
        if not due and repeated.is_quarantine_due(now):
            due = self._quarantine_notices(now)
        return tuple(crash_reports.report_of(n, now) for n in due)

    def quarantine_reports(
        self, now: float
    ) -> tuple[crash_reports.CrashReport, ...]:
        """Return the reports for a node that may know nothing.

        :param now: local monotonic time in seconds.
        """
        notices = self._quarantine_notices(now)
        return tuple(crash_reports.report_of(n, now) for n in notices)

    def _quarantine_notices(self, now: float) -> list[poison.Notice]:
        notices = [
            notice
            for fingerprint in self._suspicions.quarantined(now)
            for notice in self._suspicions.crashes_of(fingerprint)
        ]
        return notices[-crash_reports.MAX_REPORTS_PER_DATAGRAM :]

    def apply_report(
        self, node: str, report: crash_reports.CrashReport, now: float
    ) -> None:
        """Apply what another node reports.

        :param node: name of the node.
        :param report: the report.
        :param now: local monotonic time in seconds.
        """
        notice = crash_reports.notice_of(report, now)
        if not self._suspicions.is_news(notice):
            return
        if not self._suspicions.merge(notice, now):
            return
        # It is repeated, as this node may be the only one that reaches others.
        self._repeat([notice], now)
        if notice.kind is poison.NoticeKind.CRASH:
            self._log_crash(notice, node, now)


def _fingerprint(state: State) -> str:
    """Return the fingerprint of a request, computed once."""
    if not state.fingerprint:
        state.fingerprint = poison.exact_fingerprint(
            (
                state.request.host.encode(),
                state.head.target,
                state.customer.encode(),
                state.body,
            )
        )
    return state.fingerprint


def _different_requests(
    broken: collections.abc.Collection[poison.BrokenConnection],
) -> int:
    """Return the number of different requests in flight at a crash.

    :param broken: its broken connections; some may be copies of one request.
    """
    different = len({b.fingerprint for b in broken})
    copies = len(broken) - different
    known = max(b.in_flight for b in broken)
    return max(different, known - copies)


def _name(incarnation: fleet.Incarnation) -> str:
    return f"{incarnation[0]}@{incarnation[1]}"


def _name_of(endpoint: fleet.Endpoint) -> str:
    return _name(fleet.incarnation_of(endpoint))


def _summary(state: State, status: poison.SuspicionStatus) -> str:
    names = ", ".join(status.crashed)
    return f"{state.fingerprint} after {len(status.crashed)} crashes: {names}"


def _log_fields(state: State) -> dict[str, object]:
    return {
        "request": state.request.request_id,
        "fingerprint": state.fingerprint,
    }

"""Turns away requests that end the endpoints that run them.

Explanation
===========

Now and then a request ends each endpoint that begins to run it, and its caller
sends it again, at any node, with another identifier. The rules that decide are
those of :mod:`wasabilanding.poison`; here is what they need: a request's
fingerprint, and the exchange with the other nodes. What counts as a crash is
found out in :mod:`wasabilanding.gateway.crash_evidence`.

A request is identified by host, path with query, customer and body. Its
fingerprint is computed only once one of its connections broke, or while any
request is suspected, so that it costs nothing on a calm day.
"""

import collections.abc
import logging

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import answers
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import crash_evidence
from wasabilanding.gateway import crash_reports
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding.gateway import request_state as request_state_module
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import model
from wasabilanding import poison

# From this weight on, all nodes try a suspected request at the same endpoint.
CONFINED_WEIGHT = 0.5
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
        is_reachable: crash_evidence.IsReachable = (
            upstream_module.is_reachable
        ),
    ) -> None:
        self._metrics = metrics
        self._report: Report = lambda reports: None
        self._suspicions = poison.Suspicions()
        self._evidence = crash_evidence.CrashEvidence(
            view, tracker, is_reachable, self._record_crash, self._withdraw
        )
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
        return len(self._suspicions.suspected(now))

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

    async def examine(self, state: State, endpoint: fleet.Endpoint) -> None:
        """Find out whether an endpoint that broke a connection has ended.

        :param state: the request on that connection.
        :param endpoint: the endpoint.
        """
        await self._evidence.examine(_fingerprint(state), endpoint)

    def _record_crash(self, crash: crash_evidence.Crash) -> None:
        """Record that an endpoint has ended under the requests it had."""
        now = trio.current_time()
        if crash.is_new:
            self._metrics.count_crash("crash")
        in_flight = _different_requests(crash.broken)
        notices = [
            self._suspicions.record_crash(
                b.fingerprint, _name(crash.endpoint), b.at, in_flight
            )
            for b in crash.broken
        ]
        for notice in notices:
            self._log_crash(notice, "this node", now)
        self._share(notices, now)

    def _withdraw(self, endpoint: fleet.Incarnation) -> None:
        """Withdraw the presumed crash of an endpoint that makes progress."""
        now = trio.current_time()
        name = _name(endpoint)
        _LOG.info("%s has not ended: it makes progress", name)
        self._share(self._suspicions.withdraw_all(name, now), now)

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
        await self._evidence.observe()
        self._metrics.set_suspected(
            {
                "suspected": self.suspected_count(now),
                "quarantined": len(self._suspicions.quarantined(now)),
            }
        )

    # Exchange with other nodes.

    def _share(
        self, notices: collections.abc.Collection[poison.Notice], now: float
    ) -> None:
        self._repeat(notices, now)
        first = list(notices)[: crash_reports.MAX_REPORTS_PER_DATAGRAM]
        self._report(_reports(first, now))

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
        return _reports(due, now)

    def quarantine_reports(
        self, now: float
    ) -> tuple[crash_reports.CrashReport, ...]:
        """Return the reports for a node that may know nothing.

        :param now: local monotonic time in seconds.
        """
        return _reports(self._quarantine_notices(now), now)

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


def _reports(
    notices: collections.abc.Iterable[poison.Notice], now: float
) -> tuple[crash_reports.CrashReport, ...]:
    return tuple(crash_reports.report_of(notice, now) for notice in notices)


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

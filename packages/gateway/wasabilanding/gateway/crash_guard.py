"""Turns away requests that end the endpoints that run them.

Explanation
===========

Now and then a request ends each endpoint that begins to run it, and its caller
sends it again, at any node, with another identifier. The rules that decide are
those of :mod:`wasabilanding.poison`; here is what they need: a request's
fingerprint, and what is told to the other nodes. What counts as a crash is
found out in :mod:`wasabilanding.gateway.crash_evidence`; requests that have
only a part of their prompts in common are recognized in
:mod:`wasabilanding.gateway.part_guard`.

A request is identified by host, path with query, customer and body. Its
fingerprint is computed only once one of its connections broke, or while any
request is suspected, so that it costs nothing on a calm day.
"""

import collections.abc
import logging
import typing

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import answers
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import confinement
from wasabilanding.gateway import crash_evidence
from wasabilanding.gateway import crash_exchange
from wasabilanding.gateway import crash_reports
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding.gateway import part_guard
from wasabilanding.gateway import request_state as request_state_module
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import model
from wasabilanding import poison

# From this weight on, all nodes try a suspected request at the same endpoint.
CONFINED_WEIGHT = 0.5
# Names the source of what was read from the store, in logs.
RECORD = "record"
QUARANTINE_OBSTACLE = "the request ends the endpoints that run it"
PART_OBSTACLE = "a part of the prompt ends the endpoints that write on it"

_NOT_SUSPECTED = poison.SuspicionStatus()
_LOG = logging.getLogger(__name__)

State = request_state_module.RequestState


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
        is_reachable: upstream_module.IsReachable = (
            upstream_module.is_reachable
        ),
    ) -> None:
        self._metrics = metrics
        self._exchange = crash_exchange.CrashExchange()
        self._note_news: collections.abc.Callable[
            [collections.abc.Collection[poison.Notice]], None
        ] = lambda findings: None
        self._suspicions = poison.Suspicions()
        self._parts = part_guard.PartGuard(self._suspicions)
        self._evidence = crash_evidence.CrashEvidence(
            view,
            tracker,
            is_reachable,
            self._record_crash,
            self._withdraw,
        )

    def follow_news(
        self,
        note_news: collections.abc.Callable[
            [collections.abc.Collection[poison.Notice]], None
        ],
    ) -> None:
        """Set what is called with each change of what this node knows.

        :param note_news: receives what the node has found out itself.
        """
        self._note_news = note_news

    def report_through(self, report: crash_exchange.Report) -> None:
        """Set what sends reports to the other nodes at once.

        :param report: sends reports.
        """
        self._exchange.report = report

    def try_parts_at(
        self, is_tried_here: collections.abc.Callable[[str], bool]
    ) -> None:
        """Set what tells which node tries a part of a prompt again.

        :param is_tried_here: returns whether this node tries a part.
        """
        self._parts.is_tried_here = is_tried_here

    def check_links(self, is_cut_off: crash_evidence.IsCutOff) -> None:
        """Set what tells whether this node reaches no endpoint.

        :param is_cut_off: connects to endpoints if need be.
        """
        self._evidence.is_cut_off = is_cut_off

    # Decisions about a request.

    @property
    def is_empty(self) -> bool:
        """Whether nothing is suspected or was."""
        return self._suspicions.are_empty and self._parts.notices.are_empty

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

    def quarantined_parts(self, now: float) -> tuple[str, ...]:
        """Return the parts of prompts for which requests are turned away.

        :param now: local monotonic time in seconds.
        """
        return self._parts.quarantined(now)

    def check(self, state: State) -> None:
        """Reject a request that is quarantined.

        :param state: the request, which has not been sent.
        :raises wasabilanding.gateway.request_state.RequestRejected: if it is.
        """
        if self.is_empty:
            return
        now = trio.current_time()
        status = self._status(state)
        if status.quarantined:
            summary = _summary(state.fingerprint, status.crashed)
            detail = f"{QUARANTINE_OBSTACLE}: {summary}"
            self._reject("rejection", detail, status.until - now)
        found = self._parts.quarantined_part(state, now)
        if found is not None:
            part, part_status = found
            summary = _summary(part, part_status.crashed)
            detail = f"{PART_OBSTACLE}: {summary}"
            self._reject("part_rejection", detail, part_status.until - now)

    def _reject(
        self, kind: str, detail: str, retry_after_s: float
    ) -> typing.NoReturn:
        self._metrics.count_crash(kind)
        raise request_state_module.RequestRejected(
            answers.not_run(model.Reason.POISONED.value, detail, retry_after_s)
        )

    def obstacle(self, state: State) -> str:
        """Return why a request may not be sent again; empty if it may.

        :param state: the request.
        """
        if self._status(state).quarantined:
            return QUARANTINE_OBSTACLE
        if self._parts.forbids_repeat(state, trio.current_time()):
            return PART_OBSTACLE
        return ""

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
            return self._parts.confine(state, candidates, trio.current_time())
        found = confinement.first_candidate(
            state.fingerprint, candidates, status.crashed
        )
        if found is None:
            return []
        _LOG.info(
            "suspected request is held to %s: %s",
            confinement.name_of(found),
            _summary(state.fingerprint, status.crashed),
            extra=_log_fields(state),
        )
        return [found]

    def record_completed(self, state: State) -> None:
        """Clear a request that an endpoint has answered, and its parts.

        :param state: the request.
        """
        now = trio.current_time()
        if state.answered_sent_at is not None:
            cleared = self._parts.record_answered(state, now)
            if cleared:
                self._share(cleared, now)
        if not self._status(state).suspected:
            return
        notice = self._suspicions.clear(state.fingerprint, now)
        _LOG.info(
            "suspected request is cleared: it was answered",
            extra=_log_fields(state),
        )
        self._share([notice], now)

    async def examine(
        self, state: State, endpoint: fleet.Endpoint, sent_at: float
    ) -> None:
        """Find out whether an endpoint that broke a connection has ended.

        :param state: the request on that connection.
        :param endpoint: the endpoint.
        :param sent_at: local monotonic time in seconds at which it was sent.
        """
        sent = crash_evidence.SentRequest(
            _fingerprint(state), state.parts, sent_at
        )
        await self._evidence.examine(sent, endpoint)

    async def may_have_ended(self, endpoint: fleet.Endpoint) -> bool:
        """Return whether an endpoint that closed a connection may have ended.

        :param endpoint: the endpoint.
        """
        return await self._evidence.may_have_ended(endpoint)

    def record_progress(
        self, endpoint: fleet.Incarnation, sent_at: float
    ) -> None:
        """Note progress of an endpoint, which may refute that it has ended.

        :param endpoint: the endpoint.
        :param sent_at: local monotonic time in seconds at which its request
            was sent, on an established connection.
        """
        self._evidence.record_progress(endpoint, sent_at)

    def _record_crash(self, crash: crash_evidence.Crash) -> None:
        """Record that an endpoint has ended under the requests it had."""
        now = trio.current_time()
        if crash.is_new:
            self._metrics.count_crash("crash")
        in_flight = _different_requests(crash.broken)
        notices = [
            self._suspicions.record_crash(
                b.fingerprint,
                fleet.incarnation_name(crash.endpoint),
                b.at,
                in_flight,
            )
            for b in crash.broken
        ]
        for notice in notices:
            self._log_crash(notice, "this node", now)
        part_notices = self._parts.record_crash(crash, now)
        self._share([*part_notices, *notices], now)

    def _withdraw(self, endpoint: fleet.Incarnation) -> None:
        """Withdraw the presumed crash of an endpoint that makes progress."""
        now = trio.current_time()
        name = fleet.incarnation_name(endpoint)
        _LOG.info("%s has not ended: it makes progress", name)
        withdrawn = [
            *self._suspicions.withdraw_all(name, now),
            *self._parts.notices.withdraw_all(name, now),
        ]
        self._share(withdrawn, now)

    def _share(
        self, findings: collections.abc.Collection[poison.Notice], now: float
    ) -> None:
        """Tell the other nodes what this one has found out."""
        self._exchange.share(findings, now)
        self._note_news(findings)

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
        self._parts.notices.forget(now)
        await self._evidence.observe()
        self._metrics.set_suspected(
            {
                "suspected": self.suspected_count(now),
                "quarantined": len(self._suspicions.quarantined(now)),
                **self._parts.counts(now),
            }
        )

    # Exchange with other nodes.

    def due_reports(
        self, scope: crash_reports.Scope, now: float
    ) -> tuple[crash_reports.CrashReport, ...]:
        """Return the reports that the next datagram to some nodes repeats.

        :param scope: the nodes.
        :param now: local monotonic time in seconds.
        """
        if self.is_empty:
            return ()
        return self._exchange.due(scope, now, self._quarantine_notices)

    def quarantine_reports(
        self, now: float
    ) -> tuple[crash_reports.CrashReport, ...]:
        """Return the reports for a node that may know nothing.

        :param now: local monotonic time in seconds.
        """
        return crash_exchange.reports(self._quarantine_notices(now), now)

    def _quarantine_notices(self, now: float) -> list[poison.Notice]:
        notices = [
            notice
            for crashes in self.quarantines(now).values()
            for notice in crashes
        ]
        return notices[-crash_reports.MAX_REPORTS_PER_DATAGRAM :]

    # Records that outlive the nodes.

    def quarantines(
        self, now: float
    ) -> dict[poison.Subject, collections.abc.Sequence[poison.Notice]]:
        """Return what is quarantined, with the crashes that show why.

        :param now: local monotonic time in seconds.
        """
        found = {
            poison.Subject(poison.Feature.REQUEST, request): (
                self._suspicions.evidence(request, now)
            )
            for request in self._suspicions.quarantined(now)
        }
        for part, crashes in self._parts.evidence(now).items():
            found[poison.Subject(poison.Feature.PART, part)] = crashes
        return found

    def is_refuted(self, crash: poison.Notice, now: float) -> bool:
        """Return whether this node knows that a crash does not count.

        :param crash: notice of the crash.
        :param now: local monotonic time in seconds.
        """
        return self._suspicions_on(crash).is_refuted(crash, now)

    def learn(
        self, crashes: collections.abc.Iterable[poison.Notice], now: float
    ) -> None:
        """Take crashes from a record; known ones keep their exact times.

        :param crashes: the crashes.
        :param now: local monotonic time in seconds.
        """
        for crash in crashes:
            suspicions = self._suspicions_on(crash)
            if suspicions.is_known(crash) or not suspicions.merge(crash, now):
                continue
            self._log_received(crash, RECORD, now)
            self._note_news(())

    def _suspicions_on(self, notice: poison.Notice) -> poison.Suspicions:
        if notice.feature is poison.Feature.PART:
            return self._parts.notices
        return self._suspicions

    def apply_report(
        self, node: str, report: crash_reports.CrashReport, now: float
    ) -> None:
        """Apply what another node reports.

        :param node: name of the node.
        :param report: the report.
        :param now: local monotonic time in seconds.
        """
        notice = crash_reports.notice_of(report, now)
        suspicions = self._suspicions_on(notice)
        if notice.feature is poison.Feature.PART:
            notice = self._parts.with_own_knowledge(notice, now)
        if not suspicions.is_news(notice):
            return
        if not suspicions.merge(notice, now):
            return
        # It is repeated, as this node may be the only one that reaches others.
        self._exchange.repeat([notice], now)
        self._log_received(notice, node, now)
        self._note_news(())

    def _log_received(
        self, notice: poison.Notice, source: str, now: float
    ) -> None:
        if notice.feature is poison.Feature.PART:
            self._parts.log_received(notice, source, now)
        elif notice.kind is poison.NoticeKind.CRASH:
            self._log_crash(notice, source, now)


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


def _summary(subject: str, crashed: tuple[str, ...]) -> str:
    """Return what is held against a request or a part of prompts."""
    return f"{subject} after {len(crashed)} crashes: {', '.join(crashed)}"


def _log_fields(state: State) -> dict[str, object]:
    return {
        "request": state.request.request_id,
        "fingerprint": state.fingerprint,
    }

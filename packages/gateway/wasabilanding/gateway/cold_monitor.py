"""Which endpoints are cold, from registrations, replies and other nodes.

Explanation
===========

All nodes read the registrations, so only what a reply has stated is told to
other nodes: at once when it is news, and for some seconds with the hints on
load. The rate of a cold endpoint is that of its service in the configuration
in force, so that a service without such a rate has no cold endpoints.
"""

import collections.abc
import logging

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import limit_messages
from wasabilanding.gateway import metrics as metrics_module

Report = collections.abc.Callable[[limit_messages.ColdNotice], None]
WasUsed = collections.abc.Callable[[fleet.Incarnation, float, float], bool]

_LOG = logging.getLogger(__name__)


class ColdMonitor:
    """Cold endpoints as one node knows them.

    :param metrics: receives their number.
    """

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._known = dispatch.ColdEndpoints()
        self._view: cluster_view_module.ClusterView | None = None
        self._report: Report = lambda notice: None
        # Returns whether requests to an endpoint are known, given the local
        # monotonic time and the number of seconds that count.
        self.was_used: WasUsed = lambda endpoint, now, within_s: False
        # Endpoints that were logged as cold.
        self._logged: set[fleet.Incarnation] = set()

    def follow(self, view: cluster_view_module.ClusterView) -> None:
        """Learn from the registrations and the configuration of a view.

        :param view: the node's view of the cluster.
        """
        self._view = view
        view.on_registration = self.record_registration

    def report_through(self, report: Report) -> None:
        """Set what tells other nodes at once that an endpoint is cold.

        :param report: sends a notice.
        """
        self._report = report

    @property
    def _rates(self) -> dict[str, float]:
        if self._view is None or self._view.table is None:
            return {}
        return self._view.table.cold_rates

    @property
    def has_any(self) -> bool:
        """Whether any endpoint may be cold."""
        return self._known.has_any and bool(self._rates)

    @property
    def is_view_old(self) -> bool:
        """Whether other nodes may know newer owners than this node."""
        if self._view is None:
            return False
        return self._view.staleness_s > cluster_view_module.UNREACHABLE_AFTER_S

    def rate(self, endpoint: fleet.Endpoint, now: float) -> float | None:
        """Return the requests a second that a cold endpoint takes.

        :param endpoint: the endpoint.
        :param now: local monotonic time in seconds.
        :returns: the configured rate; None if the endpoint is not cold.
        """
        phase = self._known.phase_of(fleet.incarnation_of(endpoint))
        if phase is None or now >= phase.until:
            return None
        return self._rates.get(endpoint.service)

    def rate_of_question(
        self, question: limit_messages.SendQuestion, now: float
    ) -> float | None:
        """Return the requests a second that the endpoint of a question takes.

        It need not be registered, nor its rate be configured, at this node
        yet.

        :param question: the question.
        :param now: local monotonic time in seconds.
        :returns: the rate; None if the endpoint is not cold.
        """
        if not self._known.left_s(question.incarnation, now):
            return None
        told = question.cold.per_s if question.cold is not None else 0.0
        return self._configured_rate(question.incarnation) or told or None

    def _configured_rate(self, incarnation: fleet.Incarnation) -> float:
        """Return the configured rate of an endpoint; 0 if unknown."""
        if self._view is None:
            return 0.0
        found = self._view.registry.get(incarnation.endpoint_id)
        return self._rates.get(found.service, 0.0) if found else 0.0

    def record_registration(
        self, endpoint: fleet.Endpoint, now: float
    ) -> None:
        """Record what a registration states.

        :param endpoint: the registration.
        :param now: local monotonic time in seconds at which it was read.
        """
        if not endpoint.cold_left_s and not self._known.has_any:
            return
        phase = dispatch.from_registration(endpoint.cold_left_s, now)
        self._note(fleet.incarnation_of(endpoint), phase, now)

    def record_reply(
        self, incarnation: fleet.Incarnation, left_s: float, now: float
    ) -> None:
        """Record what a reply states; tell other nodes what is new.

        :param incarnation: the endpoint.
        :param left_s: seconds for which it stays cold.
        :param now: local monotonic time in seconds.
        """
        phase = dispatch.from_reply(left_s, now)
        if self._note(incarnation, phase, now):
            notice = self.notice_of(incarnation, now)
            if notice is not None:
                self._report(notice)

    def record_failure(self, endpoint: fleet.Endpoint, now: float) -> None:
        """Record that a connection to an endpoint has failed.

        :param endpoint: the endpoint.
        :param now: local monotonic time in seconds.
        """
        if endpoint.service not in self._rates:
            return
        cold_s = self._view.table.service(endpoint.service).cold_s
        if cold_s:
            incarnation = fleet.incarnation_of(endpoint)
            self._known.note_failure(incarnation, cold_s, now)

    def apply_notice(
        self, notice: limit_messages.ColdNotice, now: float
    ) -> None:
        """Record what replies to another node have stated.

        :param notice: what they have stated.
        :param now: local monotonic time in seconds.
        """
        self._note(notice.incarnation, notice.phase(now, True), now)

    def apply_question(
        self, question: limit_messages.SendQuestion, now: float
    ) -> None:
        """Record what a node that asks for a grant knows.

        :param question: its question.
        :param now: local monotonic time in seconds.
        """
        if question.cold is not None:
            phase = question.cold.phase(now, False)
            self._note(question.incarnation, phase, now)

    def _note(
        self,
        incarnation: fleet.Incarnation,
        phase: dispatch.ColdPhase,
        now: float,
    ) -> bool:
        if not self._known.note(incarnation, phase, now):
            return False
        if self.was_used(incarnation, now, dispatch.QUIET_S):
            self._known.begin_quiet(incarnation, now)
        rate = self._configured_rate(incarnation)
        if rate and incarnation not in self._logged:
            self._logged.add(incarnation)
            _LOG.info(
                "%s is cold for %.1f s and takes %g requests a second from "
                "all nodes",
                incarnation.endpoint_id,
                self._known.left_s(incarnation, now),
                rate,
                extra={"endpoint": incarnation.endpoint_id},
            )
        return True

    def notice_of(
        self, incarnation: fleet.Incarnation, now: float
    ) -> limit_messages.ColdNotice | None:
        """Return what other nodes are told of an endpoint.

        :param incarnation: the endpoint.
        :param now: local monotonic time in seconds.
        :returns: the message; None if it is not cold.
        """
        phase = self._known.phase_of(incarnation)
        if phase is None or now >= phase.until:
            return None
        rate = self._configured_rate(incarnation)
        return limit_messages.cold_notice_of(incarnation, phase, rate, now)

    def quiet_until(self, incarnation: fleet.Incarnation) -> float:
        """Return the local monotonic time before which nothing is sent.

        :param incarnation: the endpoint.
        :returns: seconds; minus infinity if there is no such time.
        """
        return self._known.quiet_until(incarnation)

    def due_notices(self, now: float) -> tuple[limit_messages.ColdNotice, ...]:
        """Return what to tell other nodes.

        :param now: local monotonic time in seconds.
        """
        if not self.has_any:
            return ()
        return tuple(
            limit_messages.cold_notice_of(
                incarnation, phase, self._configured_rate(incarnation), now
            )
            for incarnation, phase in self._known.recent(now)
        )

    def observe(self, now: float) -> None:
        """Drop and log what has ended, and set the metric.

        :param now: local monotonic time in seconds.
        """
        cold = self._known.cold(now)
        for incarnation in self._logged - cold:
            _LOG.info(
                "%s is not cold any more",
                incarnation.endpoint_id,
                extra={"endpoint": incarnation.endpoint_id},
            )
        self._logged &= cold
        self._known.drop_expired(now)
        self._metrics.set_cold(len(cold) if self._rates else 0)

"""Admits what is sent to endpoints, and obeys what their replies ask for.

Explanation
===========

All that a node sends to an endpoint passes :class:`EndpointGuard`: requests,
retries, resumptions, orders and requests for a report. So the head of each
reply is read here, whatever becomes of the reply, and nothing reaches an
endpoint that has announced its shutdown or wants nothing for a time. Where it
names a limit or is cold, a caller's request needs a grant
(:mod:`wasabilanding.gateway.send_grants`). No caller's request reaches an
evacuated failure domain, but orders do, since its replicas are kept.

An admitted request is checked again after its connection is established, as
that takes time. A grant for a cold endpoint lapses if it takes too long.
"""

import collections.abc
import contextlib
import logging
import random

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import messages
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding.gateway import send_grants
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import model

# Nodes resume sending to an endpoint at random times within this interval
# after its hold, or within the hold's duration if that is shorter.
RETURN_SPREAD_S = 0.3
# Statuses by which an endpoint states that it does not accept a request.
REFUSAL_STATUSES = (421, 429, 503)
# Time for which an endpoint is avoided whose replies take too much work.
EXCESS_AVOID_S = 6.0
# Another endpoint than the intended one may give such a reply.
MISDIRECTED = 421
Purpose = upstream_module.Purpose
CALLERS_PURPOSES = (Purpose.CALLER, Purpose.GRANTED)

_LOG = logging.getLogger(__name__)


class EndpointGuard:
    """Admits what this node sends to endpoints.

    :param view: the node's view of the cluster.
    :param tracker: this node's observations of the endpoints.
    :param wire: decodes the heads of replies.
    :param metrics: counts what endpoints ask for.
    :param grants: keeps the limits that endpoints name.
    :param report_leaving: reports an incarnation of an endpoint that has
        announced its shutdown to other nodes.
    :param rng: random number generator.
    """

    def __init__(
        self,
        view: cluster_view_module.ClusterView,
        tracker: dispatch.EndpointTracker,
        wire: messages.WireFormat,
        metrics: metrics_module.Metrics,
        grants: send_grants.SendGrants,
        report_leaving: collections.abc.Callable[[fleet.Incarnation], None],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._tracker = tracker
        self._wire = wire
        self._metrics = metrics
        self._grants = grants
        self._report_leaving = report_leaving
        self._rng = rng
        # Endpoints that were held, or draining, at the last observation.
        self._held: frozenset[str] = frozenset()
        self._leaving: frozenset[str] = frozenset()

    @contextlib.contextmanager
    def admit(
        self, endpoint: fleet.Endpoint, purpose: upstream_module.Purpose
    ) -> collections.abc.Iterator[upstream_module.Permit]:
        """Yield the permission to send one request to an endpoint.

        :param endpoint: the endpoint.
        :param purpose: what the request is for.
        :raises wasabilanding.gateway.upstream.AttemptFailed: if nothing may be
            sent to the endpoint now.
        """
        if purpose is Purpose.RELAY:
            # What a node says in its replies is not about itself.
            yield upstream_module.Permit()
            return
        holds = self._tracker.holds
        ticket = holds.admit(endpoint.endpoint_id, trio.current_time())
        if ticket is None:
            raise _held_back(endpoint, "asked to receive nothing")
        permit = _Permit(self, endpoint, purpose, ticket)
        try:
            permit.check()
            yield permit
        except upstream_module.AttemptFailed as failure:
            reason = failure.outcome.reason
            if reason in upstream_module.UNREACHABLE_REASONS:
                # The endpoint may have started again.
                self._grants.cold.record_failure(endpoint, trio.current_time())
            raise
        finally:
            permit.settle(None)

    def check(
        self,
        endpoint: fleet.Endpoint,
        purpose: upstream_module.Purpose,
        ticket: dispatch.Ticket,
        admitted_at: float,
    ) -> None:
        """Check that an admitted request may still be sent.

        :param endpoint: the endpoint.
        :param purpose: what the request is for.
        :param ticket: its ticket.
        :param admitted_at: local monotonic time in seconds of its admission.
        :raises wasabilanding.gateway.upstream.AttemptFailed: if not.
        """
        if not self._tracker.holds.is_valid(ticket):
            raise _held_back(endpoint, "asked to receive nothing")
        if purpose is Purpose.CONTROL:
            return
        is_callers = purpose in CALLERS_PURPOSES
        if is_callers and self._view.is_evacuated(endpoint.failure_domain):
            self._metrics.count_evacuation("held_back")
            raise _held_back(endpoint, "is in an evacuated failure domain")
        if self._view.registry.has_announced_shutdown(endpoint):
            raise _held_back(endpoint, "announced its shutdown")
        if purpose is Purpose.CALLER and self._grants.is_limited(endpoint):
            raise _held_back(endpoint, "has a limit")
        if purpose is Purpose.GRANTED and self._grants.is_cold(endpoint):
            delay_s = trio.current_time() - admitted_at
            if delay_s > dispatch.MAX_CONNECT_DELAY_S:
                self._grants.record_lapsed(endpoint)
                raise _held_back(endpoint, "is cold, and its grant has lapsed")

    def settle(
        self, ticket: dispatch.Ticket, is_accepted: bool | None
    ) -> None:
        """Record the reply to an admitted request.

        :param ticket: its ticket.
        :param is_accepted: whether the endpoint accepted the request; None if
            there was no reply.
        """
        self._tracker.holds.settle(ticket, is_accepted)

    def obey(
        self,
        endpoint: fleet.Endpoint,
        purpose: upstream_module.Purpose,
        status: int,
        headers: list,
    ) -> messages.EndpointNotice:
        """Obey what the head of a reply says about its endpoint.

        :param endpoint: the endpoint.
        :param purpose: what the request was for.
        :param status: HTTP status of the reply.
        :param headers: headers, names in lower case.
        """
        notice = self._wire.read_notice(status, headers)
        now = trio.current_time()
        if notice.is_leaving:
            self._record_leaving(endpoint, now)
        if notice.retry_after_s is not None:
            self._record_hold(endpoint, notice, now)
        is_accepted = status not in REFUSAL_STATUSES
        may_end_limit = is_accepted and purpose in CALLERS_PURPOSES
        if notice.limit_per_s is not None or may_end_limit:
            self._record_limit(endpoint, notice, now)
        self._record_cold(endpoint, status, notice, now)
        return notice

    def avoid_excess(self, endpoint: fleet.Endpoint, waited_s: float) -> None:
        """Avoid an endpoint whose reply takes more than its share.

        :param endpoint: the endpoint.
        :param waited_s: seconds for which the reply had to wait.
        """
        self._tracker.avoid(
            fleet.incarnation_of(endpoint),
            trio.current_time(),
            EXCESS_AVOID_S,
        )
        _LOG.warning(
            "reply of %s is read slowly, as it has too many small parts",
            endpoint.endpoint_id,
            extra={
                "endpoint": endpoint.endpoint_id,
                "waited_s": round(waited_s, 3),
            },
        )

    def _record_cold(
        self,
        endpoint: fleet.Endpoint,
        status: int,
        notice: messages.EndpointNotice,
        now: float,
    ) -> None:
        """Record for how long an endpoint stays cold, if it says that."""
        if notice.invalid_cold_left is not None:
            _LOG.info(
                "%s is cold for a time that is no number: %r",
                endpoint.endpoint_id,
                notice.invalid_cold_left,
                extra={"endpoint": endpoint.endpoint_id},
            )
        left_s = notice.cold_left_s
        if left_s is None or (not left_s and status == MISDIRECTED):
            return
        incarnation = fleet.incarnation_of(endpoint)
        self._grants.cold.record_reply(incarnation, left_s, now)

    def _record_limit(
        self,
        endpoint: fleet.Endpoint,
        notice: messages.EndpointNotice,
        now: float,
    ) -> None:
        """Record a limit, or that a reply to a caller's request has none.

        Refusals and replies to calls need not name the limit, so that none
        there does not end it. Neither does an invalid value.
        """
        if notice.invalid_limit is not None:
            _LOG.info(
                "%s names a limit that is no number: %r",
                endpoint.endpoint_id,
                notice.invalid_limit,
                extra={"endpoint": endpoint.endpoint_id},
            )
            if notice.limit_per_s is None:
                return
        incarnation = fleet.incarnation_of(endpoint)
        self._grants.record_limit(incarnation, notice.limit_per_s, now)

    def _record_leaving(self, endpoint: fleet.Endpoint, now: float) -> None:
        incarnation = fleet.incarnation_of(endpoint)
        if not self._view.announce_shutdown(incarnation, now):
            return
        self._metrics.count_notice("leaving")
        _LOG.info(
            "%s announces its shutdown",
            endpoint.endpoint_id,
            extra={"endpoint": endpoint.endpoint_id},
        )
        self._report_leaving(incarnation)

    def _record_hold(
        self,
        endpoint: fleet.Endpoint,
        notice: messages.EndpointNotice,
        now: float,
    ) -> None:
        self._metrics.count_notice("retry_after")
        spread_s = self._rng.uniform(
            0, min(RETURN_SPREAD_S, notice.retry_after_s)
        )
        is_new = self._tracker.holds.hold(
            endpoint.endpoint_id,
            now,
            notice.retry_after_s + spread_s,
            endpoint.started_at_ms,
        )
        if not is_new:
            return
        cause = ""
        if notice.invalid_retry_after is not None:
            cause = f", as {notice.invalid_retry_after!r} is no valid duration"
        _LOG.info(
            "%s wants no requests for %g s%s",
            endpoint.endpoint_id,
            notice.retry_after_s,
            cause,
            extra={"endpoint": endpoint.endpoint_id},
        )

    def observe(self) -> None:
        """Log which endpoints have left or returned, and set the metrics."""
        now = trio.current_time()
        holds = self._tracker.holds
        holds.end_with_starts(self._view.registry.start_of, now)
        held = holds.held(now)
        returning = holds.returning(now)
        for name in self._held - held - returning:
            _LOG.info("%s receives requests as before", name)
        self._held = held | returning
        self._grants.observe(self._view.registry, now)
        since = self._view.registry.announced_since()
        for name in self._leaving - since.keys():
            _LOG.info("%s, which announced its shutdown, is gone", name)
        self._leaving = frozenset(since)
        self._metrics.set_held(
            {"held": len(held), "returning": len(returning)}
        )
        longest_s = now - min(since.values(), default=now)
        self._metrics.set_leaving(len(since), round(longest_s))


class _Permit(upstream_module.Permit):
    """Permission to send one request to an endpoint.

    :param guard: gives the permission.
    :param endpoint: the endpoint.
    :param purpose: what the request is for.
    :param ticket: ticket of the request.
    """

    def __init__(
        self,
        guard: EndpointGuard,
        endpoint: fleet.Endpoint,
        purpose: upstream_module.Purpose,
        ticket: dispatch.Ticket,
    ) -> None:
        self._guard = guard
        self._endpoint = endpoint
        self._purpose = purpose
        self._ticket = ticket
        self._admitted_at = trio.current_time()
        self._is_settled = False

    def check(self) -> None:
        """Check that the request may still be sent."""
        self._guard.check(
            self._endpoint, self._purpose, self._ticket, self._admitted_at
        )

    def record_reply(
        self, status: int, headers: list[messages.Header]
    ) -> messages.EndpointNotice:
        """Record the head of the reply, and obey what it asks for."""
        self.settle(status not in REFUSAL_STATUSES)
        return self._guard.obey(self._endpoint, self._purpose, status, headers)

    def record_excess(self, waited_s: float) -> None:
        """Have the endpoint avoided for a time."""
        self._guard.avoid_excess(self._endpoint, waited_s)

    def settle(self, is_accepted: bool | None) -> None:
        """Record the reply, or that there was none, once.

        :param is_accepted: whether the endpoint accepted the request; None if
            there was no reply.
        """
        if not self._is_settled:
            self._is_settled = True
            self._guard.settle(self._ticket, is_accepted)


def _held_back(
    endpoint: fleet.Endpoint, cause: str
) -> upstream_module.AttemptFailed:
    return upstream_module.AttemptFailed(
        model.not_run(
            model.Reason.ENDPOINT_HELD, f"held: {endpoint.endpoint_id} {cause}"
        )
    )

"""Forwarding of a request: admission, attempts, answer.

Explanation
===========

Requests are admitted in :mod:`wasabilanding.gateway.admission`; attempts are
made, streamed or not, in :mod:`wasabilanding.gateway.attempt_set`.
"""

import collections.abc
import dataclasses
import logging
import random
import sys

import trio

from wasabilanding import dispatch
from wasabilanding.gateway import admission
from wasabilanding.gateway import answers
from wasabilanding.gateway import attempt as attempt_module
from wasabilanding.gateway import attempt_set
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import crash_guard as crash_guard_module
from wasabilanding.gateway import inbound
from wasabilanding.gateway import memory_account
from wasabilanding.gateway import messages
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding.gateway import reachability as reachability_module
from wasabilanding.gateway import region_restrictions
from wasabilanding.gateway import relays as relays_module
from wasabilanding.gateway import request_state as request_state_module
from wasabilanding.gateway import selection
from wasabilanding.gateway import send_checks
from wasabilanding.gateway import send_grants
from wasabilanding.gateway import settings as settings_module
from wasabilanding.gateway import stopping
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding.gateway import waiting
from wasabilanding import limits
from wasabilanding import model
from wasabilanding import retries

# A write of this length is named as the cause where an answer is given up.
MIN_UNREAD_S = 1.0
MAY_HAVE_RUN_STATUSES = (502, 504)
# Why this node cannot serve a request that another one may serve.
UNABLE_REASONS = (
    model.Reason.CONNECT_FAILED.value,
    model.Reason.SHUTTING_DOWN.value,
)
NOT_RELAYED = answers.Answer(
    403, "not_relayed", "only nodes send requests to this port"
)
_LOG = logging.getLogger(__name__)


class Forwarder:
    """Answers the requests of callers.

    :param settings: settings of the node.
    :param view: the node's view of the cluster.
    :param upstream: connections to endpoints.
    :param wire: wire format of callers and endpoints.
    :param metrics: counts requests and attempts.
    :param tracker: this node's observations of the endpoints.
    :param report_silent: reports an endpoint that stopped responding to other
        nodes.
    :param crash_guard: holds back requests that end endpoints.
    :param grants: grants requests to endpoints with limits.
    :param reachability: whether this node reaches any endpoint.
    :param relays: nodes that serve requests for this one.
    :param rng: random number generator.
    :param waiting_reports: waiting requests of other nodes.
    :param account: the node's memory; None for no bound.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        view: cluster_view_module.ClusterView,
        upstream: upstream_module.Upstream,
        wire: messages.WireFormat,
        metrics: metrics_module.Metrics,
        tracker: dispatch.EndpointTracker,
        report_silent: collections.abc.Callable[[str], None],
        crash_guard: crash_guard_module.CrashGuard,
        grants: send_grants.SendGrants,
        reachability: reachability_module.Reachability,
        relays: relays_module.Relays,
        rng: random.Random,
        waiting_reports: limits.WaitingReports | None = None,
        account: memory_account.MemoryAccount | None = None,
    ) -> None:
        self._account = account or memory_account.unbounded()
        self._reachability = reachability
        self._settings = settings
        self._metrics = metrics
        self._crash_guard = crash_guard
        self._view = view
        self._wire = wire
        self._budget = retries.RetryBudget()
        self._known_nodes = 0
        self.update_retry_budget(0)
        self._admission = admission.Admission(settings, view, rng)
        selector = self._selector = selection.EndpointSelector(
            view,
            tracker,
            settings.failure_domain,
            self._budget,
            crash_guard,
            grants,
            reachability,
            relays,
            metrics,
            rng,
            settings.region_map,
        )
        self._stop_guard = stopping.StopGuard()
        self.waiting_room: waiting.WaitingRoom | None = None
        if settings.admission:
            self.waiting_room = waiting.WaitingRoom(
                selector,
                tracker,
                waiting_reports or limits.WaitingReports(),
                metrics,
                rng,
            )
        self._attempts_context = attempt_set.AttemptSetContext(
            attempt_module.AttemptContext(
                wire,
                upstream,
                tracker,
                self._may_repeat,
                crash_guard.may_have_ended,
                crash_guard.record_progress,
                reachability,
                self._relay_headers,
                self._account,
                send_checks.combined(
                    send_checks.caller_check(metrics),
                    region_restrictions.send_check(
                        settings.region_map, metrics
                    ),
                ),
            ),
            selector,
            tracker,
            metrics,
            report_silent,
            crash_guard,
            self._stop_guard,
            self.waiting_room,
        )
        self._open_requests: dict[
            inbound.ResponseWriter, request_state_module.OpenRequest
        ] = {}

    @property
    def can_prove_keys(self) -> bool:
        """Whether this node can tell whether an API key is valid."""
        return self._admission.can_prove_keys()

    @property
    def in_flight(self) -> int:
        """Number of requests whose answers are not complete."""
        return len(self._open_requests)

    def stop(self, grace: limits.GracePeriod) -> None:
        """Send only requests that can end before the node has stopped.

        :param grace: the grace period.
        """
        self._stop_guard.begin(grace)
        if self.waiting_room is not None:
            self.waiting_room.close()

    def drop_expired(self, now: float) -> None:
        """Drop what is known of endpoints whose limits have ended.

        :param now: local monotonic time in seconds.
        """
        self._selector.drop_expired(now)

    def update_retry_budget(self, nodes: int) -> None:
        """Set this node's share of the retries that all nodes may make.

        :param nodes: number of known nodes; 0 if unknown.
        """
        self._budget.parameters = retries.node_budget(
            self._settings.retry_ratio,
            self._settings.retry_slack,
            nodes,
            self._settings.first_start,
        )
        capacity = self._budget.parameters.capacity
        self._metrics.set_retry_budget(nodes, capacity, self._budget.tokens)
        if nodes != self._known_nodes:
            self._known_nodes = nodes
            _LOG.info(
                "the share of the retry budget changes",
                extra={"nodes": nodes, "capacity": round(capacity, 3)},
            )

    async def handle(
        self,
        head: messages.RequestHead,
        body: bytes,
        response: inbound.ResponseWriter,
    ) -> None:
        """Answer a request of a caller.

        :param head: its head.
        :param body: its complete body.
        :param response: writes the answer.
        """
        await self._handle(head, body, response, None)

    async def handle_relayed(
        self,
        head: messages.RequestHead,
        body: bytes,
        response: inbound.ResponseWriter,
    ) -> None:
        """Answer a request of a caller that another node hands to this one.

        :param head: its head, with what the other node says of it.
        :param body: its complete body.
        :param response: writes the answer.
        """
        relayed = relays_module.read_request(head.headers)
        if relayed is None:
            await response.answer(NOT_RELAYED, [])
            return
        head = dataclasses.replace(
            head, headers=relays_module.without_own(head.headers)
        )
        await self._handle(head, body, response, relayed)

    def _may_repeat(self, state: request_state_module.RequestState) -> bool:
        """Return whether a request may run again at another endpoint."""
        if self._stop_guard.refusal(state) is not None:
            return False
        return self._selector.may_repeat(state)

    def _relay_headers(
        self, state: request_state_module.RequestState
    ) -> list[messages.Header]:
        """Return what another node is told of a request.

        A request adds to the retry budget of one node: of the last one, which
        needs it for its attempts, unless this one has used it up.
        """
        table = self._view.table
        has_deposit = state.has_deposit and self._budget.withdraw(
            state.service.name
        )
        if has_deposit:
            state.has_deposit = False
        return relays_module.request_headers(
            relays_module.RelayedRequest(
                self._settings.node,
                table.version if table else 0,
                state.runs,
                has_deposit,
            )
        )

    def _deposit(self, state: request_state_module.RequestState) -> None:
        """Add a request to the retry budget."""
        state.has_deposit = True
        self._budget.deposit(state.service.name, trio.current_time())
        self._metrics.count_retry_deposit(state.service.name, state.is_relayed)

    async def _handle(
        self,
        head: messages.RequestHead,
        body: bytes,
        response: inbound.ResponseWriter,
        relayed: relays_module.RelayedRequest | None,
    ) -> None:
        found = request_state_module.OpenRequest(trio.current_time())
        self._open_requests[response] = found
        try:
            await self._answer(head, body, response, relayed, found)
        finally:
            del self._open_requests[response]

    def interrupt_requests(self) -> None:
        """End the attempts of all requests whose answers have not begun.

        Their callers get the node's answer.
        """
        for response, found in self._open_requests.items():
            if found.scope is not None and not response.has_begun:
                found.is_interrupted = True
                found.scope.cancel()

    def log_open_requests(self) -> None:
        """Log each request that the node leaves without a whole answer."""
        now = trio.current_time()
        for response, found in self._open_requests.items():
            state = found.state
            _LOG.warning(
                "leaves a request open",
                extra={
                    "request": state.request.request_id if state else "",
                    "endpoints": state.tried_endpoint_ids if state else [],
                    "runs": state.runs if state else 0,
                    "begun": response.has_begun,
                    "open_s": round(now - found.arrived_at, 4),
                },
            )

    async def _answer(
        self,
        head: messages.RequestHead,
        body: bytes,
        response: inbound.ResponseWriter,
        relayed: relays_module.RelayedRequest | None,
        found: request_state_module.OpenRequest,
    ) -> None:
        arrived_at = found.arrived_at
        try:
            request = self._wire.read_request(head)
        except messages.InvalidHead as error:
            answer = answers.Answer(400, "invalid_request", str(error))
            await response.answer(answer, [])
            return
        echoed = self._wire.answer_headers(request)
        state = None
        reason = ""
        try:
            state = self._admit(head, body, request, arrived_at)
            found.state = state
            state.caller = request_state_module.CallerConnection(
                response.has_caller_closed, response.record_caller_left
            )
            if relayed is not None:
                self._accept_relayed(relayed, state, response)
            self._crash_guard.check(state)
            self._selector.tokens.check(state)
            if self._account.is_bounded:
                response.deadline_at = state.deadline_at
            if relayed is None or relayed.has_deposit:
                self._deposit(state)
            with trio.move_on_at(state.deadline_at) as scope:
                found.scope = scope
                attempts = attempt_set.AttemptSet(
                    self._attempts_context, state, response
                )
                await attempts.run()
                self._crash_guard.record_completed(state)
                self._stop_guard.record_completed(state)
            if scope.cancelled_caught:
                raise _ended_early(found)
        except request_state_module.RequestRejected as rejection:
            reason = f"{rejection.answer.reason}: {rejection.answer.detail}"
            reason += _unread(response)
            if not response.has_begun:
                if relayed is not None:
                    echoed += _relay_verdict(rejection, state)
                await response.answer(rejection.answer, echoed)
        finally:
            self._record_end(request, state, response, arrived_at, reason)

    def _admit(
        self,
        head: messages.RequestHead,
        body: bytes,
        request: messages.CallerRequest,
        arrived_at: float,
    ) -> request_state_module.RequestState:
        """Admit a request, perhaps only to hand it to another node."""
        try:
            return self._admission.admit(head, body, request, arrived_at)
        except request_state_module.KeysNotProven as error:
            return error.state

    def _accept_relayed(
        self,
        relayed: relays_module.RelayedRequest,
        state: request_state_module.RequestState,
        response: inbound.ResponseWriter,
    ) -> None:
        """Take over a request from another node.

        :raises wasabilanding.gateway.request_state.RelayRefused: if a third
            node should serve it.
        """
        state.is_relayed = True
        state.runs = relayed.runs
        response.added_headers = lambda: [
            (relays_module.RUNS, str(state.runs).encode())
        ]
        table = self._view.table
        obstacle = ""
        if self._reachability.is_cut_off:
            obstacle = "this node reaches no endpoint"
        elif table is None or table.version < relayed.version:
            obstacle = f"configuration {relayed.version} is not in force here"
        elif state.unproven is not None:
            obstacle = state.unproven.detail
        self._metrics.count_relay("server", "refused" if obstacle else "taken")
        if obstacle:
            raise request_state_module.RelayRefused(
                answers.not_run(
                    "not_relayed", obstacle, request_state_module.RETRY_AFTER_S
                )
            )

    def _record_end(
        self,
        request: messages.CallerRequest,
        state: request_state_module.RequestState | None,
        response: inbound.ResponseWriter,
        arrived_at: float,
        reason: str,
    ) -> None:
        """Count and log the end of a request with its reason."""
        now = trio.current_time()
        if not reason:
            reason = _end_reason(response)
        first_s = None
        if response.begun_at is not None:
            first_s = round(response.begun_at - arrived_at, 4)
        service = state.service.name if state else ""
        whole_s = round(now - arrived_at, 4)
        self._metrics.count_request(service, response.status, first_s, whole_s)
        table = self._view.table
        _LOG.info(
            "request ends with %d",
            response.status,
            extra={
                "request": request.request_id,
                "reason": reason,
                "whole": response.is_complete,
                "route": state.route.name if state else "",
                "customer": state.customer if state else "",
                "model": request.model,
                "endpoints": state.tried_endpoint_ids if state else [],
                "runs": state.runs if state else 0,
                "repeats_charged": state.repeats_charged if state else 0,
                "first_s": first_s,
                "whole_s": whole_s,
                "version": table.version if table else 0,
                "belief_age_s": round(self._view.staleness_s, 2),
            },
        )


def _ended_early(
    found: request_state_module.OpenRequest,
) -> request_state_module.RequestRejected:
    """Return the rejection of a request whose time is over."""
    if not found.is_interrupted:
        return request_state_module.RequestRejected(
            answers.timed_out("the deadline has passed")
        )
    state = found.state
    if state.tried_endpoint_ids:
        state.may_have_run = True
    return request_state_module.rejection(
        state, stopping.REFUSAL, "its grace period is over"
    )


def _relay_verdict(
    rejection: request_state_module.RequestRejected,
    state: request_state_module.RequestState | None,
) -> list[messages.Header]:
    """Return what another node is told of a request that is rejected."""
    if rejection.answer.status in MAY_HAVE_RUN_STATUSES:
        return [(relays_module.VERDICT, relays_module.MAY_HAVE_RUN)]
    is_refused = isinstance(rejection, request_state_module.RelayRefused)
    # A node that fails to connect may be cut off without knowing it yet.
    is_unable = rejection.answer.reason in UNABLE_REASONS
    if is_refused or is_unable:
        has_reached = state is not None and state.arrivals_uncharged > 0
        return [
            (relays_module.VERDICT, relays_module.ELSEWHERE),
            (relays_module.REACHED, str(int(has_reached)).encode()),
        ]
    return [(relays_module.VERDICT, relays_module.NOT_RUN)]


def _unread(response: inbound.ResponseWriter) -> str:
    """Return for how long the caller did not read, if it matters."""
    if response.is_complete or response.unread_s < MIN_UNREAD_S:
        return ""
    return f"; the caller did not read for {response.unread_s:.1f} s"


def _end_reason(response: inbound.ResponseWriter) -> str:
    """Return why a request ended that the node did not reject."""
    if response.is_complete:
        return "answered"
    if response.caller_left:
        return f"the caller disconnected{_unread(response)}"
    error = sys.exception()
    if error is None or not isinstance(error, Exception):
        # It was cancelled, perhaps together with its attempts.
        return "the node ended it"
    return f"failed: {error!r}"

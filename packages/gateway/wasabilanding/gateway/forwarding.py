"""The way of one request: admission, attempts, answer.

Explanation
===========

One way serves every request, streamed or not. An attempt sends the request
to one endpoint and relays what comes; when it fails, the request goes to
another endpoint if that cannot run it twice: after a refusal that says it
did not run, or for an idempotent request. A stream that broke goes on after
the last event that its caller has, within the same answer.

What a request may do is decided by :mod:`wasabilanding.gateway.admission`;
one attempt is :mod:`wasabilanding.gateway.attempt`.
"""

import collections.abc
import logging
import random

import trio

from wasabilanding import dispatch
from wasabilanding.gateway import admission
from wasabilanding.gateway import answers
from wasabilanding.gateway import attempt as attempt_module
from wasabilanding.gateway import belief as belief_module
from wasabilanding.gateway import inbound
from wasabilanding.gateway import measures as measures_module
from wasabilanding.gateway import messages
from wasabilanding.gateway import settings as settings_module
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding.gateway import work as work_module
from wasabilanding import model
from wasabilanding import retries

REFUSED_AVOID_S = 0.15
FAILED_AVOID_S = 1.0
# Attempts that did not run are bounded too.
MAX_SENDS = 4

_LOG = logging.getLogger(__name__)


class Forwarder:
    """Answers the requests of callers.

    :param settings: settings of the node.
    :param belief: what the node believes.
    :param upstream: connections to endpoints.
    :param wire: how callers and endpoints speak.
    :param measures: counts requests and attempts.
    :param tracker: what this node has seen of the endpoints.
    :param tell_silent: tells other nodes of an endpoint that went silent.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        belief: belief_module.Belief,
        upstream: upstream_module.Upstream,
        wire: messages.Wire,
        measures: measures_module.Measures,
        tracker: dispatch.EndpointTracker,
        tell_silent: collections.abc.Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._tell_silent = tell_silent
        self._measures = measures
        self._belief = belief
        self._wire = wire
        self._rng = rng
        self._budget = retries.RetryBudget()
        self.share_budget(0)
        self._candidates: dict[str, dict[str, list[dispatch.Candidate]]] = {}
        self._candidates_of: tuple[object, int] = (None, -1)
        self._admission = admission.Admission(settings, belief, rng)
        self._tracker = tracker
        self._tools = attempt_module.Tools(
            wire, upstream, self._tracker, self._may_repeat
        )
        self.in_flight = 0
        self._idle = trio.Event()

    def share_budget(self, nodes: int) -> None:
        """Take this node's part of the retries that all nodes may make.

        :param nodes: nodes that are known; 0 for unknown.
        """
        self._budget.parameters = retries.node_budget(
            self._settings.retry_ratio, self._settings.retry_slack, nodes
        )

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self.in_flight:
            self._idle = trio.Event()
            await self._idle.wait()

    async def handle(
        self,
        head: messages.Head,
        body: bytes,
        delivery: inbound.Delivery,
    ) -> None:
        """Answer a request.

        :param head: its head.
        :param body: its whole body.
        :param delivery: takes the answer.
        """
        self.in_flight += 1
        try:
            await self._answer(head, body, delivery)
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self._idle.set()

    async def _answer(
        self,
        head: messages.Head,
        body: bytes,
        delivery: inbound.Delivery,
    ) -> None:
        arrived_at = trio.current_time()
        try:
            request = self._wire.read_request(head)
        except messages.InvalidHead as error:
            answer = answers.Answer(400, "invalid_request", str(error))
            await delivery.answer(answer, [])
            return
        echoed = self._wire.answer_headers(request)
        work = None
        reason = ""
        try:
            work = self._admission.admit(head, body, request, arrived_at)
            self._budget.deposit(work.service.name)
            with trio.move_on_at(work.due_at) as scope:
                await self._attempts(work, delivery)
            if scope.cancelled_caught:
                raise work_module.Refused(
                    answers.timed_out("the time is over")
                )
        except work_module.Refused as refused:
            reason = f"{refused.answer.reason}: {refused.answer.detail}"
            if not delivery.has_begun:
                await delivery.answer(refused.answer, echoed)
        finally:
            self._record(request, work, delivery, arrived_at, reason)

    def _record(
        self,
        request: messages.CallerRequest,
        work: work_module.Work | None,
        delivery: inbound.Delivery,
        arrived_at: float,
        reason: str,
    ) -> None:
        """Count and log the end of a request, with what decided it."""
        now = trio.current_time()
        if delivery.is_complete and not reason:
            reason = "answered"
        first_s = None
        if delivery.begun_at is not None:
            first_s = round(delivery.begun_at - arrived_at, 4)
        service = work.service.name if work else ""
        whole_s = round(now - arrived_at, 4)
        self._measures.count_request(
            service, delivery.status, first_s, whole_s
        )
        table = self._belief.table
        _LOG.info(
            "request ends with %d",
            delivery.status,
            extra={
                "request": request.request_id,
                "reason": reason or "the caller left",
                "whole": delivery.is_complete,
                "route": work.route.name if work else "",
                "customer": work.customer if work else "",
                "model": request.model,
                "endpoints": work.tried if work else [],
                "runs": work.runs if work else 0,
                "first_s": first_s,
                "whole_s": whole_s,
                "version": table.version if table else 0,
                "belief_age_s": round(self._belief.proof_age_s, 2),
            },
        )

    def _candidates_for(
        self, work: work_module.Work
    ) -> list[dispatch.Candidate]:
        table = self._belief.table
        version = (table, self._belief.registry.version)
        if version != self._candidates_of:
            self._candidates = {}
            self._candidates_of = version
        name = work.service.name
        if name not in self._candidates:
            self._candidates[name] = dispatch.candidates_of(
                self._belief.registry.endpoints, work.service
            )
        wanted = work.request.model if work.service.engine else ""
        return self._candidates[name].get(wanted, [])

    def _pick(self, work: work_module.Work) -> dispatch.Candidate | None:
        found = [
            candidate
            for candidate in self._candidates_for(work)
            if candidate.endpoint.endpoint_id not in work.tried
        ]
        return dispatch.choose(
            found,
            self._tracker,
            self._settings.failure_domain,
            trio.current_time(),
            self._rng,
        )

    async def _attempts(
        self, work: work_module.Work, delivery: inbound.Delivery
    ) -> None:
        outcome = model.not_run(
            model.Reason.NO_REPLICA, f"no replica serves {work.request.model}"
        )
        while True:
            candidate = self._pick(work)
            if candidate is None:
                raise work_module.Refused(
                    work_module.final_answer(work, outcome)
                )
            if work.tried and not self._may_send_again(work, outcome):
                raise work_module.Refused(
                    work_module.final_answer(work, outcome)
                )
            attempt = attempt_module.Attempt(
                self._tools, work, candidate.endpoint, delivery
            )
            work.tried.append(candidate.endpoint.endpoint_id)
            outcome = await attempt.run()
            self._measures.count_attempt(work.service.name, outcome)
            if outcome.verdict is model.Verdict.COMPLETED:
                return
            self._note_failure(work, candidate, outcome)
            if outcome.verdict is model.Verdict.MAY_HAVE_RUN:
                work.may_have_run = True
                if not work.route.is_idempotent:
                    raise work_module.Refused(
                        work_module.final_answer(work, outcome)
                    )

    def _may_repeat(self, work: work_module.Work) -> bool:
        """Tell whether a request may run again at another endpoint."""
        if not work.route.is_idempotent:
            return False
        if (
            work.runs >= work.route.max_attempts
            or len(work.tried) >= MAX_SENDS
        ):
            return False
        return any(
            candidate.endpoint.endpoint_id not in work.tried
            for candidate in self._candidates_for(work)
        )

    def _may_send_again(
        self, work: work_module.Work, outcome: model.Outcome
    ) -> bool:
        if (
            len(work.tried) >= MAX_SENDS
            or work.runs >= work.route.max_attempts
        ):
            return False
        if outcome.reason is model.Reason.CONNECT_FAILED:
            # Nothing arrived at the endpoint.
            return True
        return self._budget.spend(work.service.name)

    def _note_failure(
        self,
        work: work_module.Work,
        candidate: dispatch.Candidate,
        outcome: model.Outcome,
    ) -> None:
        name = candidate.endpoint.endpoint_id
        avoid_s = FAILED_AVOID_S
        if outcome.reason is model.Reason.REFUSED:
            avoid_s = REFUSED_AVOID_S
        elif outcome.reason is model.Reason.STALLED:
            avoid_s = attempt_module.BROKEN_AVOID_S
        elif outcome.reason is model.Reason.ENDPOINT_ERROR:
            avoid_s = 0.0
        self._tracker.avoid(name, trio.current_time(), avoid_s)
        if outcome.reason is model.Reason.STALLED:
            self._tell_silent(name)
        _LOG.info(
            "attempt failed: %s",
            outcome.detail,
            extra={
                "request": work.request.request_id,
                "endpoint": name,
                "reason": outcome.reason.value,
                "verdict": outcome.verdict.value,
                "events": work.last_event,
            },
        )

"""All attempts of one request.

Explanation
===========

A failed attempt is followed by another one where running the request again is
safe. While all open attempts of an idempotent stream are silent, another one
is started beside them: an endpoint that is silent may be lost, or may go on,
and nothing tells which. The first attempt to deliver the next event replaces
the others. An answer that has begun is thus given up only when its endpoints
have broken off. One that has not begun is also given up when a limit allows
no other attempt and all endpoints are unresponsive: its caller loses nothing,
and can have it tried elsewhere.
"""

import collections
import collections.abc
import dataclasses
import logging

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import attempt as attempt_module
from wasabilanding.gateway import crash_guard as crash_guard_module
from wasabilanding.gateway import hedging
from wasabilanding.gateway import inbound
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding.gateway import request_state as request_state_module
from wasabilanding.gateway import selection
from wasabilanding.gateway import shared_answer
from wasabilanding.gateway import stopping
from wasabilanding.gateway import token_capacity
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding.gateway import waiting
from wasabilanding import model

# Times for which an endpoint is avoided after a refusal, and after another
# failure.
REFUSED_AVOID_S = waiting.RESEND_AFTER_S
FAILED_AVOID_S = 1.0
# While all attempts are silent, the limits on another one are checked again
# at this interval.
RECHECK_INTERVAL_S = 0.25
# A request that fits into no endpoint's memory is tried again at this interval
# for this share of the time left, so that its caller can try elsewhere.
TOKEN_RECHECK_S = 0.05
TOKEN_WAIT_SHARE = 0.5
# Why a request that waits for a slot ends without an attempt.
NOT_SENT = "it is not sent"

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class AttemptSetContext:
    """Objects that the attempts of all requests share.

    :param attempts: objects that each attempt needs.
    :param selector: selects endpoints and limits attempts.
    :param tracker: this node's observations of the endpoints.
    :param metrics: counts attempts.
    :param report_silent: reports a silent endpoint to other nodes.
    :param crash_guard: examines endpoints that break connections.
    :param stop_guard: refuses requests that cannot end before the node stops.
    :param waiting_room: where requests wait; None if they do not.
    """

    attempts: attempt_module.AttemptContext
    selector: selection.EndpointSelector
    tracker: dispatch.EndpointTracker
    metrics: metrics_module.Metrics
    report_silent: collections.abc.Callable[[fleet.Incarnation], None]
    crash_guard: crash_guard_module.CrashGuard
    stop_guard: stopping.StopGuard
    waiting_room: waiting.WaitingRoom | None = None


@dataclasses.dataclass(frozen=True)
class _EndedAttempt:
    """An attempt that has ended.

    :param attempt: the attempt.
    :param outcome: its outcome; None if another one has replaced it.
    """

    attempt: attempt_module.Attempt
    outcome: model.Outcome | None


class AttemptSet:
    """The attempts of one request.

    :param context: objects that the attempts of all requests share.
    :param state: the request.
    :param response: writes the answer.
    """

    def __init__(
        self,
        context: AttemptSetContext,
        state: request_state_module.RequestState,
        response: inbound.ResponseWriter,
    ) -> None:
        self._context = context
        self._state = state
        self._answer = shared_answer.SharedAnswer(
            state, response, self._cancel_others, lambda: len(self._open) > 1
        )
        self._open: list[attempt_module.Attempt] = []
        self._reported: set[attempt_module.Attempt] = set()
        self._examined: set[attempt_module.Attempt] = set()
        self._ended: collections.deque[_EndedAttempt] = collections.deque()
        self._changed = trio.Event()
        self._hedge_obstacle = ""
        self._last_outcome = state.unproven or model.not_run(
            model.Reason.NO_REPLICA, f"no replica serves {state.request.model}"
        )

    async def run(self) -> None:
        """Make attempts until one is completed.

        :raises wasabilanding.gateway.request_state.RequestRejected: if none
            is completed and no other may be made.
        """
        async with trio.open_nursery() as nursery:
            rejection = await self._run_attempts(nursery)
            nursery.cancel_scope.cancel()
        if rejection is not None:
            raise rejection

    async def _run_attempts(
        self, nursery: trio.Nursery
    ) -> request_state_module.RequestRejected | None:
        while True:
            if not self._open:
                obstacle = await self._start_next(nursery)
                if obstacle:
                    return self._rejection(obstacle)
            await self._wait_changed()
            for ended in self._take_ended():
                if self._is_completed(ended):
                    return None
                if not self._may_follow(ended):
                    return self._rejection("the request must not be repeated")
            limit = self._handle_silence(nursery)
            if limit:
                return self._give_up(limit)

    def _rejection(
        self, obstacle: str
    ) -> request_state_module.RequestRejected:
        return request_state_module.rejection(
            self._state, self._last_outcome, obstacle
        )

    async def _start_next(self, nursery: trio.Nursery) -> str:
        """Start the next attempt; return why not if there is none."""
        while True:
            refusal = self._stop_refusal() or await self._wait_for_turn()
            if refusal is not None:
                self._last_outcome = refusal
                return NOT_SENT
            room = self._context.waiting_room
            if room is None:
                return await self._start_fitting(nursery)
            obstacle = selection.NO_OTHER_ENDPOINT
            try:
                obstacle = await self._start_fitting(nursery)
            finally:
                if obstacle:
                    room.record_departure(self._state)
            if obstacle != selection.BUDGET_SPENT or self._answer.has_begun:
                return obstacle
            # Another request has taken from the budget meanwhile.

    def _stop_refusal(self) -> model.Outcome | None:
        """Return why the node, which stops, makes no other attempt.

        An answer that has begun is resumed at any time: its caller would get
        less without it.
        """
        if self._answer.has_begun:
            return None
        return self._context.stop_guard.refusal(self._state)

    async def _wait_for_turn(self) -> model.Outcome | None:
        """Wait until the next attempt may be made.

        An answer that has begun is resumed without waiting.

        :returns: why it is refused; None if it may be made.
        """
        room = self._context.waiting_room
        state = self._state
        if room is None or self._answer.has_begun:
            return None
        selector = self._context.selector
        if selector.needs_relay(state):
            return None
        if not state.tried_endpoint_ids:
            return await room.enter(state, None)
        if selector.limit_reached(state, state.runs):
            return None
        if not selector.has_untried(state):
            return None
        return await room.enter(state, self._last_outcome)

    async def _start_fitting(self, nursery: trio.Nursery) -> str:
        """Start an attempt once it fits into some endpoint's memory.

        It waits here, not in the waiting room, which may let out more
        requests than there are slots: endpoints may queue those, but not
        where their memory is in use. While the node stops, it does not wait.

        :returns: why it is not started; empty if it is.
        """
        now = trio.current_time()
        left_s = self._state.deadline_at - now
        give_up_at = now + left_s * TOKEN_WAIT_SHARE
        while True:
            obstacle = await self._start_selected(nursery)
            if obstacle != selection.NO_TOKENS_FREE:
                return obstacle
            if trio.current_time() >= give_up_at or self._must_not_wait:
                return obstacle
            await trio.sleep(TOKEN_RECHECK_S)

    @property
    def _must_not_wait(self) -> bool:
        """Whether the node stops, and no part of the answer is sent."""
        is_stopping = self._context.stop_guard.is_stopping
        return is_stopping and not self._answer.has_begun

    async def _start_selected(self, nursery: trio.Nursery) -> str:
        """Select an endpoint and start an attempt; return why not if none."""
        selected = await self._context.selector.pick(self._state)
        if selected is None:
            if self._context.selector.lacks_tokens(self._state):
                self._last_outcome = token_capacity.no_room(self._state)
                return selection.NO_TOKENS_FREE
            held = self._context.selector.held_outcome(self._state)
            self._last_outcome = held or self._last_outcome
            return selection.NO_OTHER_ENDPOINT
        refusal = self._stop_refusal()
        if refusal is not None:
            # The node has begun to stop during the wait for the endpoint.
            self._last_outcome = refusal
            return NOT_SENT
        obstacle = self._context.selector.retry_obstacle(
            self._state, self._last_outcome, selected
        )
        if not obstacle:
            self._start(nursery, selected)
        return obstacle

    def _start(
        self, nursery: trio.Nursery, selected: selection.Selection
    ) -> None:
        attempt = attempt_module.Attempt(
            self._context.attempts,
            self._state,
            selected.endpoint,
            self._answer,
            selected.purpose,
        )
        self._state.tried_endpoint_ids.append(attempt.endpoint_id)
        self._open.append(attempt)
        room = self._context.waiting_room
        if room is not None or self._context.selector.tokens.counts(
            self._state
        ):
            # Others that are sent at the same moment must know of it.
            attempt.count_in_flight(trio.current_time())
        if room is not None:
            room.record_departure(self._state)
        nursery.start_soon(self._run_attempt, attempt)

    async def _run_attempt(self, attempt: attempt_module.Attempt) -> None:
        outcome = await self._run_recorded(attempt)
        if (
            outcome is not None
            and _may_be_crash(outcome)
            and not attempt.is_relayed
        ):
            # The next attempt depends on what is found.
            await self._context.crash_guard.examine(
                self._state, attempt.endpoint, attempt.sent_at
            )
        if attempt in self._open:
            self._open.remove(attempt)
        self._ended.append(_EndedAttempt(attempt, outcome))
        self._changed.set()

    async def _run_recorded(
        self, attempt: attempt_module.Attempt
    ) -> model.Outcome | None:
        """Run an attempt and record how long it held a slot."""
        room = self._context.waiting_room
        if room is None or attempt.is_relayed:
            return await attempt.run()
        outcome = None
        try:
            outcome = await attempt.run()
        finally:
            seconds = trio.current_time() - attempt.sent_at
            room.record_end(self._state, seconds, outcome)
        return outcome

    def _cancel_others(self, owner: attempt_module.Attempt) -> None:
        """Cancel all attempts but the one that owns the answer now."""
        for attempt in list(self._open):
            if attempt is not owner:
                self._cancel(attempt)

    def _cancel(self, attempt: attempt_module.Attempt) -> None:
        self._open.remove(attempt)
        # Its endpoint may have run the request, however the attempt ends.
        self._state.may_have_run = True
        attempt.cancel()

    async def _wait_changed(self) -> None:
        """Wait until an attempt ends or may have become silent."""
        due_at = self._next_check_at()
        with trio.move_on_at(due_at) as scope:
            await self._changed.wait()
        self._changed = trio.Event()
        if scope.cancelled_caught:
            now = trio.current_time()
            for attempt in self._open:
                attempt.silence.record_timer(due_at, now)

    def _next_check_at(self) -> float:
        """Return the local time in seconds of the next check for silence."""
        now = trio.current_time()
        due_at = max(attempt.silent_at for attempt in self._open)
        if due_at <= now or due_at == dispatch.WAITS_FOR_CALLER:
            return now + RECHECK_INTERVAL_S
        return due_at

    def _take_ended(self) -> list[_EndedAttempt]:
        ended = list(self._ended)
        self._ended.clear()
        return ended

    def _is_completed(self, ended: _EndedAttempt) -> bool:
        if ended.outcome is None:
            return False
        self._context.metrics.count_attempt(
            self._state.service.name, ended.outcome
        )
        if ended.attempt.is_relayed:
            self._context.metrics.count_relay(
                "sender", ended.outcome.verdict.value
            )
        return ended.outcome.verdict is model.Verdict.COMPLETED

    def _may_follow(self, ended: _EndedAttempt) -> bool:
        """Record a failed attempt; return whether another may follow it."""
        if ended.outcome is None:
            return True
        self._last_outcome = ended.outcome
        if ended.outcome.reason not in selection.NOT_SENT_REASONS:
            self._state.arrivals += 1
        if ended.outcome.reason is model.Reason.ENDPOINT_HELD:
            # Nothing was sent, and the endpoint has not failed.
            self._state.tried_endpoint_ids.remove(ended.attempt.endpoint_id)
            return True
        self._record_failure(ended.attempt, ended.outcome)
        if self._may_send_again(ended):
            self._state.refused_endpoint_ids.append(ended.attempt.endpoint_id)
        if ended.outcome.verdict is not model.Verdict.MAY_HAVE_RUN:
            return True
        self._state.may_have_run = True
        return self._state.route.is_idempotent

    def _may_send_again(self, ended: _EndedAttempt) -> bool:
        """Return whether the same endpoint may be tried again later.

        Without a waiting room a request is sent to each endpoint once.
        """
        return (
            self._context.waiting_room is not None
            and not ended.attempt.is_relayed
            and ended.outcome.reason is model.Reason.REFUSED
        )

    def _record_failure(
        self, attempt: attempt_module.Attempt, outcome: model.Outcome
    ) -> None:
        endpoint_id = attempt.endpoint_id
        is_unreachable = outcome.reason in upstream_module.UNREACHABLE_REASONS
        if is_unreachable and not attempt.is_relayed:
            self._state.connect_failures += 1
            self._record_unreachable(endpoint_id)
        avoid_s = FAILED_AVOID_S
        if outcome.reason is model.Reason.REFUSED:
            avoid_s = REFUSED_AVOID_S
        elif outcome.reason is model.Reason.ENDPOINT_ERROR:
            avoid_s = 0.0
        self._context.tracker.avoid(
            attempt.incarnation, trio.current_time(), avoid_s
        )
        _LOG.info(
            "attempt failed: %s",
            outcome.detail,
            extra=self._log_fields(endpoint_id)
            | {
                "reason": outcome.reason.value,
                "verdict": outcome.verdict.value,
            },
        )

    def _record_unreachable(self, endpoint_id: str) -> None:
        reachability = self._context.attempts.reachability
        reachability.monitor.record_failure(endpoint_id)

    def _log_fields(self, endpoint_id: str) -> dict[str, object]:
        return {
            "request": self._state.request.request_id,
            "endpoint": endpoint_id,
            "events": self._state.last_event,
        }

    def _handle_silence(self, nursery: trio.Nursery) -> str:
        """Report silent endpoints; try another one if all are silent.

        :returns: the limit that ends a request whose answer has not begun:
            its caller can have it tried elsewhere; else empty.
        """
        now = trio.current_time()
        silent = [a for a in self._open if a.silent_at <= now]
        self._reported.intersection_update(silent)
        for attempt in silent:
            if attempt not in self._reported:
                self._reported.add(attempt)
                self._report_silence(attempt, now)
        if not silent or len(silent) < len(self._open):
            return ""
        is_examined = self._examine_silent(nursery)
        limit = self._limit_reached()
        if limit and not is_examined and not self._other_limit():
            # An endpoint that is found unreachable makes room.
            return ""
        if (
            limit
            and not self._answer.has_begun
            and hedging.are_unresponsive(self._open)
        ):
            return limit
        self._start_hedge(nursery)
        return ""

    def _examine_silent(self, nursery: trio.Nursery) -> bool:
        """Examine endpoints on which the limit on runs depends.

        :returns: whether all results are known.
        """
        if not self._state.route.is_idempotent:
            return True
        found = hedging.unexamined(self._state, self._open)
        for attempt in found:
            if attempt not in self._examined:
                self._examined.add(attempt)
                nursery.start_soon(self._examine, attempt)
        return not found

    async def _examine(self, attempt: attempt_module.Attempt) -> None:
        """Find out whether the endpoint of a silent attempt is reachable."""
        reachability = self._context.attempts.reachability
        is_reachable = await reachability.accepts_connections(attempt.endpoint)
        attempt.is_unreachable = not is_reachable
        self._changed.set()

    def _other_limit(self) -> str:
        """Return the limit, other than on runs, on further attempts."""
        if self._stop_refusal() is not None:
            return stopping.OBSTACLE
        return self._context.selector.limit_reached(self._state, 0)

    def _limit_reached(self) -> str:
        """Return the limit that allows no further attempt, if any."""
        if not self._state.route.is_idempotent:
            return ""
        if self._stop_refusal() is not None:
            return stopping.OBSTACLE
        replaced = hedging.replaceable(self._state, self._open)
        return self._context.selector.limit_reached(
            self._state,
            hedging.possible_runs(self._state, self._open, replaced),
        )

    def _give_up(self, limit: str) -> request_state_module.RequestRejected:
        names = ", ".join(attempt.endpoint_id for attempt in self._open)
        self._state.may_have_run = True
        self._last_outcome = model.may_have_run(
            model.Reason.STALLED, f"{names} went silent"
        )
        return self._rejection(limit)

    def _report_silence(
        self, attempt: attempt_module.Attempt, now: float
    ) -> None:
        endpoint_id = attempt.endpoint_id
        self._context.tracker.avoid(
            attempt.incarnation, now, attempt_module.FAULTY_AVOID_S
        )
        if not attempt.is_relayed:
            self._record_unreachable(endpoint_id)
            self._context.report_silent(attempt.incarnation)
        self._context.metrics.count_silence(self._state.service.name)
        silent_s = now - attempt.silence.active_at
        _LOG.info(
            "%s went silent for %.2f s",
            endpoint_id,
            silent_s,
            extra=self._log_fields(endpoint_id),
        )

    def _start_hedge(self, nursery: trio.Nursery) -> None:
        """Start an attempt beside the silent ones, if the limits allow it."""
        replaced = hedging.replaceable(self._state, self._open)
        selected = self._context.selector.pick_unlimited(self._state)
        obstacle = selection.NO_OTHER_ENDPOINT
        if self._stop_refusal() is not None:
            obstacle = stopping.OBSTACLE
        elif selected is not None:
            obstacle = self._context.selector.hedge_obstacle(
                self._state,
                hedging.possible_runs(self._state, self._open, replaced),
            )
        self._log_obstacle(obstacle)
        if obstacle:
            return
        for attempt in replaced:
            self._cancel(attempt)
        self._start(nursery, selected)

    def _log_obstacle(self, obstacle: str) -> None:
        if obstacle and obstacle != self._hedge_obstacle:
            _LOG.info(
                "waits for a silent endpoint: %s",
                obstacle,
                extra=self._log_fields(self._open[0].endpoint_id),
            )
        self._hedge_obstacle = obstacle


def _may_be_crash(outcome: model.Outcome) -> bool:
    """Return whether an attempt may have ended together with its endpoint."""
    return (
        outcome.reason is model.Reason.CONNECTION_LOST
        and outcome.verdict is model.Verdict.MAY_HAVE_RUN
    )

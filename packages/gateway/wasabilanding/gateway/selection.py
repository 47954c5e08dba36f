"""Selection of the endpoint of an attempt, and limits on attempts."""

import collections.abc
import dataclasses
import random

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import crash_guard as crash_guard_module
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding.gateway import reachability as reachability_module
from wasabilanding.gateway import region_restrictions
from wasabilanding.gateway import relays as relays_module
from wasabilanding.gateway import request_state as request_state_module
from wasabilanding.gateway import send_grants
from wasabilanding.gateway import token_capacity
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import limits
from wasabilanding import model
from wasabilanding import retries
from wasabilanding import routes

# Limit on attempts, including those that did not run.
MAX_ATTEMPTS_SENT = 4
# Callers are told to return this long after the first endpoint does.
CALLER_RETURN_SPREAD_S = (0.1, 0.6)
MAX_RETRY_AFTER_S = 10.0
# Callers are told to return after a random time in this range if all endpoints
# of their service are evacuated, as the end of an evacuation is unknown.
EVACUATED_RETURN_S = (2.0, 5.0)
NOT_SENT_REASONS = (model.Reason.CONNECT_FAILED, model.Reason.ENDPOINT_HELD)
NO_OTHER_ENDPOINT = "no other endpoint"
NO_TOKENS_FREE = "the memory of the endpoints is in use"
BUDGET_SPENT = "the retry budget is spent"
# A request is relayed to another node after so many failed connections.
RELAY_AFTER_FAILURES = 2
# Endpoints with limits for which a request asks for a grant, one by one.
MAX_LIMITED_ASKED = 3
# An endpoint whose next grant is later than this does not count as capacity
# for waiting requests.
MAX_POOL_GRANT_WAIT_S = 0.05
# Share of a route's latency goal for which a request may wait for a grant.
GRANT_WAIT_SHARE = 0.25

# Causes of repeats, see :meth:`.metrics.Metrics.count_repeat`.
SECOND_COPY = "second_copy"

_CandidatesByModel = dispatch.CandidatesByModel


@dataclasses.dataclass(frozen=True)
class Selection:
    """An endpoint for an attempt.

    :param endpoint: the endpoint.
    :param purpose: what it is used for: a caller's request, with or without a
        grant, or a relay to another node.
    """

    endpoint: fleet.Endpoint
    purpose: upstream_module.Purpose = upstream_module.Purpose.CALLER


class EndpointSelector:
    """Selects endpoints that a request has not been sent to yet.

    :param view: the node's view of the cluster.
    :param tracker: this node's observations of the endpoints.
    :param failure_domain: failure domain of this node.
    :param budget: this node's share of the retries.
    :param crash_guard: holds back requests that end endpoints.
    :param grants: grants requests to endpoints with limits.
    :param reachability: whether this node reaches any endpoint.
    :param relays: nodes that serve requests for this one.
    :param metrics: counts requests that cannot be served.
    :param rng: random number generator.
    :param regions: regions of the failure domains.
    """

    def __init__(
        self,
        view: cluster_view_module.ClusterView,
        tracker: dispatch.EndpointTracker,
        failure_domain: str,
        budget: retries.RetryBudget,
        crash_guard: crash_guard_module.CrashGuard,
        grants: send_grants.SendGrants,
        reachability: reachability_module.Reachability,
        relays: relays_module.Relays,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        regions: routes.RegionMap | None = None,
    ) -> None:
        self.tokens = token_capacity.TokenCapacity(tracker, metrics)
        self._regions = regions or routes.RegionMap()
        self._metrics = metrics
        self._reachability = reachability
        self._relays = relays
        self._view = view
        self._tracker = tracker
        self._failure_domain = failure_domain
        self._budget = budget
        self._crash_guard = crash_guard
        self._grants = grants
        self._rng = rng
        self._limited_slots = limits.LimitedSlots()
        # Returns the longest usual time in seconds without progress of an
        # endpoint of a service.
        self.silent_after_s: collections.abc.Callable[
            [routes.RoutedService], float
        ] = lambda service: dispatch.PROGRESS_TIMEOUT_S
        # Returns the regions for which restricted requests to a service and
        # model wait.
        self.wanted_regions: collections.abc.Callable[
            [str, str], list[frozenset[str]]
        ] = lambda service, model_name: []
        # Candidates by service and model: those that may receive requests,
        # and those in evacuated failure domains.
        self._candidates: dict[
            str, tuple[_CandidatesByModel, _CandidatesByModel]
        ] = {}
        self._candidates_version: tuple[object, ...] = ()

    async def pick(
        self, state: request_state_module.RequestState
    ) -> Selection | None:
        """Return an endpoint for the next attempt; None if there is none.

        Endpoints with limits are needed only if the others have no free
        slot.

        :param state: the request.
        """
        if self.needs_relay(state):
            return self._pick_relay(state)
        limited, unlimited = self._candidates_by_limit(state)
        found = self._choose(state, unlimited)
        if limited and not self._has_free_slot(found):
            max_wait_s = state.route.latency_goal_s * GRANT_WAIT_SHARE
            granted = await self._pick_limited(limited, max_wait_s)
            if granted is not None:
                return granted
        return Selection(found.endpoint) if found is not None else None

    def pick_unlimited(
        self, state: request_state_module.RequestState
    ) -> Selection | None:
        """Return an endpoint without a limit for the next attempt.

        :param state: the request.
        """
        if self.needs_relay(state):
            return self._pick_relay(state)
        found = self._choose(state, self._candidates_by_limit(state)[1])
        return Selection(found.endpoint) if found is not None else None

    def needs_relay(self, state: request_state_module.RequestState) -> bool:
        """Return whether another node must serve a request.

        After some failures it need not, if there is none.

        :param state: the request.
        """
        if state.is_relayed:
            return False
        if state.is_rejected_elsewhere or state.unproven is not None:
            return True
        if self._reachability.is_cut_off:
            return True
        if state.connect_failures < RELAY_AFTER_FAILURES:
            return False
        return self._has_relay(state)

    def _has_relay(self, state: request_state_module.RequestState) -> bool:
        """Return whether there is another node for a request."""
        if state.is_rejected_elsewhere:
            return False
        return bool(
            self._relays.available(
                state.tried_endpoint_ids, state.allowed_regions
            )
        )

    def _pick_relay(
        self, state: request_state_module.RequestState
    ) -> Selection | None:
        if state.is_rejected_elsewhere:
            return None
        found = self._relays.choose(
            state.service.name,
            state.tried_endpoint_ids,
            state.allowed_regions,
        )
        if found is None:
            return None
        return Selection(found, upstream_module.Purpose.RELAY)

    def _candidates_by_limit(
        self, state: request_state_module.RequestState
    ) -> tuple[list[dispatch.Candidate], list[dispatch.Candidate]]:
        """Return the candidates with limits, and those without."""
        allowed = self._crash_guard.confine(
            state, self.tokens.fitting(state, self._untried(state))
        )
        if not self._grants.has_limits:
            return [], allowed
        limited: list[dispatch.Candidate] = []
        unlimited: list[dispatch.Candidate] = []
        for candidate in allowed:
            is_limited = self._grants.is_limited(candidate.endpoint)
            (limited if is_limited else unlimited).append(candidate)
        return limited, unlimited

    def _choose(
        self,
        state: request_state_module.RequestState,
        candidates: list[dispatch.Candidate],
    ) -> dispatch.Candidate | None:
        """Return a candidate.

        A request without a restriction leaves regions to those that wait for
        them, if there are others: it would take each slot that ends there.
        """
        wanted = self.wanted_regions(state.service.name, state.required_model)
        if wanted and state.allowed_regions is None:
            spared = region_restrictions.keep_allowed(
                candidates, self._regions, frozenset().union(*wanted)
            )
            others = [c for c in candidates if c not in spared]
            found = self._choose_among(state, others)
            if found is not None:
                return found
        return self._choose_among(state, candidates)

    def _choose_among(
        self,
        state: request_state_module.RequestState,
        candidates: list[dispatch.Candidate],
    ) -> dispatch.Candidate | None:
        return dispatch.choose(
            candidates,
            self._tracker,
            self._failure_domain,
            trio.current_time(),
            self._rng,
            self.silent_after_s(state.service),
        )

    def _has_free_slot(self, candidate: dispatch.Candidate | None) -> bool:
        if candidate is None:
            return False
        endpoint = candidate.endpoint.incarnation
        return self._tracker.load(endpoint) < candidate.slots

    async def _pick_limited(
        self, candidates: list[dispatch.Candidate], max_wait_s: float
    ) -> Selection | None:
        """Return an endpoint with a limit that grants the request.

        No grant is asked for where the next one is known to be later than
        ``max_wait_s``.
        """
        now = trio.current_time()
        likely = [
            candidate
            for candidate in candidates
            if (self._grants.wait_s(candidate.endpoint, now) or 0.0)
            <= max_wait_s
        ]
        self._rng.shuffle(likely)
        likely.sort(key=self._is_remote)
        for candidate in likely[:MAX_LIMITED_ASKED]:
            if await self._grants.acquire(candidate.endpoint, max_wait_s):
                return Selection(
                    candidate.endpoint, upstream_module.Purpose.GRANTED
                )
        return None

    def _is_remote(self, candidate: dispatch.Candidate) -> bool:
        return candidate.endpoint.failure_domain != self._failure_domain

    def held_outcome(
        self, state: request_state_module.RequestState
    ) -> model.Outcome | None:
        """Return the outcome if no endpoint accepts requests now.

        Callers are told to return at random times after the first endpoint
        accepts requests again. If all endpoints are in evacuated failure
        domains, they return within :data:`EVACUATED_RETURN_S`. If the allowed
        regions leave none, they return within
        :data:`wasabilanding.gateway.region_restrictions.RETURN_S`.

        :param state: the request.
        """
        refused = self._evacuated_outcome(state) or self._region_outcome(state)
        if refused is not None:
            return refused
        waits_s = [
            self._wait_s(candidate.endpoint)
            for candidate in self._candidates_for(state)
        ]
        if not waits_s or None in waits_s:
            return None
        wait_s = min(waits_s)
        wait_s += self._rng.uniform(*CALLER_RETURN_SPREAD_S)
        return model.not_run(
            model.Reason.ENDPOINT_HELD,
            f"no endpoint of {state.service.name} wants requests now",
            min(wait_s, MAX_RETRY_AFTER_S),
        )

    def _evacuated_outcome(
        self, state: request_state_module.RequestState
    ) -> model.Outcome | None:
        """Return the outcome if all endpoints are evacuated."""
        usable, excluded = self._split_candidates(state)
        if usable or not excluded:
            return None
        self._metrics.count_evacuation("rejected")
        names = sorted({c.endpoint.failure_domain for c in excluded})
        return model.not_run(
            model.Reason.EVACUATED,
            f"all endpoints of {state.service.name} are in evacuated failure "
            f"domains: {', '.join(names)}",
            self._rng.uniform(*EVACUATED_RETURN_S),
        )

    def _region_outcome(
        self, state: request_state_module.RequestState
    ) -> model.Outcome | None:
        """Return the outcome if the allowed regions leave no endpoint."""
        allowed = state.allowed_regions
        if allowed is None:
            return None
        if not any(self._split_candidates(state)):
            lack = f"no endpoint of {state.service.name}"
        elif self._lacks_allowed_relay(state):
            lack = "this node reaches no endpoint, and no other node"
        else:
            return None
        self._metrics.count_region_refusal("rejected")
        return region_restrictions.refusal(
            allowed, lack, self._rng.uniform(*region_restrictions.RETURN_S)
        )

    def _lacks_allowed_relay(
        self, state: request_state_module.RequestState
    ) -> bool:
        """Return whether only nodes in other regions may serve a request."""
        if state.is_rejected_elsewhere or not self.needs_relay(state):
            return False
        return not self._has_relay(state) and bool(
            self._relays.available(state.tried_endpoint_ids)
        )

    def _wait_s(self, endpoint: fleet.Endpoint) -> float | None:
        """Return the time until an endpoint wants a request again."""
        now = trio.current_time()
        held_s = self._tracker.holds.wait_s([endpoint.endpoint_id], now)
        limited_s = self._grants.wait_s(endpoint, now)
        return max(
            (s for s in (held_s, limited_s) if s is not None), default=None
        )

    def may_repeat(self, state: request_state_module.RequestState) -> bool:
        """Return whether a request may run again at another endpoint.

        :param state: the request.
        """
        if not state.route.is_idempotent:
            return False
        if self.limit_reached(state, state.runs):
            return False
        if self.needs_relay(state):
            return self._has_relay(state)
        return bool(self._untried(state))

    def has_untried(self, state: request_state_module.RequestState) -> bool:
        """Return whether there is another endpoint for a request.

        :param state: the request.
        """
        return bool(self._untried(state))

    def lacks_tokens(self, state: request_state_module.RequestState) -> bool:
        """Return whether only memory is lacking at the endpoints left.

        :param state: the request.
        """
        if self.needs_relay(state):
            return False
        untried = self._untried(state)
        return bool(untried) and not self.tokens.fitting(state, untried)

    def retry_obstacle(
        self,
        state: request_state_module.RequestState,
        outcome: model.Outcome,
        selected: Selection,
    ) -> str:
        """Return why a failed request is not retried; empty if it may be.

        Unless the endpoint did not receive it, the retry is taken from the
        budget.

        :param state: the request.
        :param outcome: outcome of the failed attempt.
        :param selected: the endpoint of the next attempt.
        """
        if not state.tried_endpoint_ids:
            return ""
        obstacle = self.limit_reached(state, state.runs)
        if obstacle:
            return obstacle
        cause = _repeat_cause(state, selected)
        if outcome.reason in NOT_SENT_REASONS:
            # The endpoint did not receive the request.
            self._metrics.count_repeat(state.service.name, cause, "free")
            return ""
        return self._budget_obstacle(state, cause)

    def hedge_obstacle(
        self, state: request_state_module.RequestState, possible_runs: int
    ) -> str:
        """Return why no attempt is made beside an open one; empty if it may.

        The attempt is taken from the retry budget.

        :param state: the request.
        :param possible_runs: runs, including those that open attempts may
            still become.
        """
        if not state.route.is_idempotent:
            return "the request must not be repeated"
        obstacle = self.limit_reached(state, possible_runs)
        if obstacle:
            return obstacle
        return self._budget_obstacle(state, SECOND_COPY)

    def limit_reached(
        self, state: request_state_module.RequestState, runs: int
    ) -> str:
        """Return the limit that allows no further attempt; empty if none.

        :param state: the request.
        :param runs: its runs, or those that it may have.
        """
        if len(state.spent_endpoint_ids) >= MAX_ATTEMPTS_SENT:
            return f"sent {MAX_ATTEMPTS_SENT} times"
        if runs >= state.route.max_attempts:
            return f"run {runs} times"
        if not state.is_position_known:
            return "it is unknown where its answer would go on"
        return self._crash_guard.obstacle(state)

    def _budget_obstacle(
        self, state: request_state_module.RequestState, cause: str
    ) -> str:
        service = state.service.name
        if not self._budget.spend(service, trio.current_time()):
            self._metrics.count_repeat(service, cause, "refused")
            return BUDGET_SPENT
        state.repeats_charged += 1
        self._metrics.count_repeat(service, cause, "charged")
        return ""

    def _untried(
        self, state: request_state_module.RequestState
    ) -> list[dispatch.Candidate]:
        closed = self._tracker.holds.closed(trio.current_time())
        excluded = closed.union(state.spent_endpoint_ids)
        return [
            candidate
            for candidate in self._candidates_for(state)
            if candidate.endpoint.endpoint_id not in excluded
        ]

    def _candidates_for(
        self, state: request_state_module.RequestState
    ) -> list[dispatch.Candidate]:
        return self._split_candidates(state)[0]

    def _split_candidates(
        self, state: request_state_module.RequestState
    ) -> tuple[list[dispatch.Candidate], list[dispatch.Candidate]]:
        """Return the candidates, and those in evacuated failure domains.

        Both are in the regions that the request may use.
        """
        usable, excluded = self._split_candidates_of(
            state.service, state.required_model
        )
        allowed = state.allowed_regions
        if allowed is None:
            return usable, excluded
        return (
            region_restrictions.keep_allowed(usable, self._regions, allowed),
            region_restrictions.keep_allowed(excluded, self._regions, allowed),
        )

    def _split_candidates_of(
        self, service: routes.RoutedService, model_name: str
    ) -> tuple[list[dispatch.Candidate], list[dispatch.Candidate]]:
        """Do the same for all requests to a service and model."""
        view = self._view
        version = (
            view.table,
            view.registry.version,
            view.evacuations.version,
        )
        if version != self._candidates_version:
            self._candidates = {}
            self._candidates_version = version
        name = service.name
        if name not in self._candidates:
            self._candidates[name] = dispatch.split_evacuated(
                dispatch.candidates_of(view.registry.endpoints, service),
                view.evacuations.names,
            )
        usable, excluded = self._candidates[name]
        return usable.get(model_name, []), excluded.get(model_name, [])

    @property
    def table(self) -> routes.RoutingTable | None:
        """Routing table that is in force."""
        return self._view.table

    def has_endpoint(
        self,
        service: routes.RoutedService,
        model_name: str,
        allowed: routes.AllowedRegions,
    ) -> bool:
        """Return whether a pool has any endpoint that is not evacuated.

        :param service: the service.
        :param model_name: name of the model; empty for a plain service.
        :param allowed: regions that its requests may use; None for all.
        """
        usable = self._split_candidates_of(service, model_name)[0]
        return bool(
            region_restrictions.keep_allowed(usable, self._regions, allowed)
        )

    def pool_candidates(
        self,
        service: routes.RoutedService,
        model_name: str,
        only_grantable: bool = True,
        allowed: routes.AllowedRegions = None,
    ) -> list[dispatch.Candidate]:
        """Return the endpoints that can take some request of a pool now.

        :param service: the service.
        :param model_name: name of the model; empty for a plain service.
        :param only_grantable: whether those with limits are left out whose
            next grant is late.
        :param allowed: regions that its requests may use; None for all.
        """
        now = trio.current_time()
        candidates = region_restrictions.keep_allowed(
            self._split_candidates_of(service, model_name)[0],
            self._regions,
            allowed,
        )
        if only_grantable and self._grants.has_limits:
            candidates = [c for c in candidates if self._may_grant(c, now)]
        found = dispatch.usable(
            candidates, self._tracker, now, self.silent_after_s(service)
        )
        return self.tokens.capped(service, model_name, found)

    def _may_grant(self, candidate: dispatch.Candidate, now: float) -> bool:
        wait_s = self._grants.wait_s(candidate.endpoint, now)
        return wait_s is None or wait_s <= MAX_POOL_GRANT_WAIT_S

    def counted_slots(
        self, candidate: dispatch.Candidate, slot_time_s: float, now: float
    ) -> float:
        """Return the slots of an endpoint that count as capacity.

        :param candidate: the endpoint.
        :param slot_time_s: mean time in seconds that a request holds a slot;
            0 if unknown.
        :param now: local monotonic time in seconds.
        """
        if not (self._grants.has_limits or self._limited_slots.has_any):
            return candidate.slots
        endpoint = candidate.endpoint
        return self._limited_slots.count(
            fleet.incarnation_of(endpoint),
            candidate.slots,
            self._grants.rate(endpoint, now),
            slot_time_s,
            now,
        )

    def drop_expired(self, now: float) -> None:
        """Drop what is known of endpoints whose limits have ended.

        :param now: local monotonic time in seconds.
        """
        self._limited_slots.drop_expired(now)

    def retries_left(self, service: routes.RoutedService) -> int:
        """Return how many retries the budget allows now.

        :param service: service of the requests.
        """
        return self._budget.available(service.name, trio.current_time())


def _repeat_cause(
    state: request_state_module.RequestState, selected: Selection
) -> str:
    """Return what the next attempt of a failed request is for."""
    if selected.purpose is upstream_module.Purpose.RELAY:
        return "relay"
    return "retry" if state.last_event is None else "resumption"

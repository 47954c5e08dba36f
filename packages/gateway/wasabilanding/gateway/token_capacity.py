"""Requests that do not fit into the memory of an endpoint.

Explanation
===========

Load pattern: some requests are many times as large as the others, and an
endpoint of a model crashes if the requests that it holds exceed its memory.
Slots alone do not prevent that. The state is this node's: the mean size of
its requests by service and model, and the tokens in flight that
:class:`wasabilanding.dispatch.EndpointTracker` counts.
"""

import dataclasses

from wasabilanding import dispatch
from wasabilanding.gateway import answers
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding.gateway import request_state as request_state_module
from wasabilanding import limits
from wasabilanding import model
from wasabilanding import routes

TOO_LARGE = "too_many_tokens"
# A refused caller may return when some requests have ended.
RETRY_AFTER_S = 1.0

Candidates = list[dispatch.Candidate]
_ModelKey = tuple[str, str]


def _capacity(service: routes.RoutedService) -> int:
    """Return the tokens that a replica can hold; 0 if it is not known."""
    return service.engine.kv_capacity if service.engine else 0


class TokenCapacity:
    """Tokens that endpoints can hold, as this node knows them.

    :param tracker: this node's observations of the endpoints.
    :param metrics: counts refusals.
    """

    def __init__(
        self,
        tracker: dispatch.EndpointTracker,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._tracker = tracker
        self._metrics = metrics
        self._means: dict[_ModelKey, limits.MeanTokens] = {}

    def counts(self, state: request_state_module.RequestState) -> bool:
        """Return whether the tokens of a request matter at its endpoint.

        :param state: the request.
        """
        return bool(_capacity(state.service))

    def check(self, state: request_state_module.RequestState) -> None:
        """Check that an endpoint can hold a request; record its size.

        :param state: the request.
        :raises wasabilanding.gateway.request_state.RequestRejected: if none
            ever can.
        """
        capacity = _capacity(state.service)
        if not capacity or not state.tokens:
            return
        if state.tokens > capacity:
            self._metrics.count_memory_refusal("endpoint")
            detail = (
                f"the request needs {state.tokens} tokens; an endpoint of "
                f"{state.service.name} holds {capacity}"
            )
            raise request_state_module.RequestRejected(
                answers.Answer(503, TOO_LARGE, detail)
            )
        key = state.service.name, state.required_model
        mean = self._means.get(key, limits.MeanTokens())
        self._means[key] = mean.after(state.tokens)

    def _free(
        self,
        candidate: dispatch.Candidate,
        capacity: int,
        mean: limits.MeanTokens,
    ) -> float:
        endpoint = candidate.endpoint.incarnation
        return limits.free_tokens(
            capacity,
            self._tracker.record(endpoint).tokens,
            self._tracker.peer_load(endpoint),
            mean.tokens,
        )

    def fitting(
        self, state: request_state_module.RequestState, candidates: Candidates
    ) -> Candidates:
        """Return the candidates that can hold a request now.

        :param state: the request.
        :param candidates: endpoints that it may be sent to.
        """
        capacity = _capacity(state.service)
        if not capacity:
            return candidates
        key = state.service.name, state.required_model
        mean = self._means.get(key, limits.MeanTokens())
        return [
            candidate
            for candidate in candidates
            if self._free(candidate, capacity, mean) >= state.tokens
        ]

    def capped(
        self,
        service: routes.RoutedService,
        model_name: str,
        candidates: Candidates,
    ) -> Candidates:
        """Return candidates with the slots that requests of mean size fill.

        An endpoint whose memory is in use is full although slots are free.

        :param service: service of the candidates.
        :param model_name: name of their model.
        :param candidates: the candidates.
        """
        capacity = _capacity(service)
        mean = self._means.get((service.name, model_name))
        if not capacity or mean is None:
            return candidates
        return [self._cap(c, capacity, mean) for c in candidates]

    def _cap(
        self,
        candidate: dispatch.Candidate,
        capacity: int,
        mean: limits.MeanTokens,
    ) -> dispatch.Candidate:
        fit = max(int(self._free(candidate, capacity, mean) / mean.tokens), 0)
        load = self._tracker.load(candidate.endpoint.incarnation)
        if load + fit >= candidate.slots:
            return candidate
        return dataclasses.replace(candidate, slots=max(load + fit, 1))


def no_room(state: request_state_module.RequestState) -> model.Outcome:
    """Return the outcome of a request that fits nowhere now.

    :param state: the request.
    """
    return model.not_run(
        model.Reason.OVERLOADED,
        f"no endpoint of {state.service.name} has memory for "
        f"{state.tokens} tokens now",
        RETRY_AFTER_S,
    )

"""Admission of requests: route, API key and deadline.

A node that has not heard from the store for some seconds cannot tell whether a
key is valid. Another node may, so the request is handed to it
(:mod:`wasabilanding.gateway.relays`), as callers have few retries.
"""

import random

from wasabilanding.gateway import answers
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import messages
from wasabilanding.gateway import region_restrictions
from wasabilanding.gateway import request_state as request_state_module
from wasabilanding.gateway import settings as settings_module
from wasabilanding import model
from wasabilanding import routes

DEFAULT_DEADLINE_S = 30.0
UNINITIALIZED_RETRY_AFTER_S = 1.0
# Requests with a key are refused this long before the revocation bound.
REVOCATION_MARGIN_S = 0.4
# An older configuration may lack a recently added route or key.
MAX_RECENT_AGE_S = 3.0


class Admission:
    """Checks requests against the current configuration.

    :param settings: settings of the node.
    :param view: the node's view of the cluster.
    :param rng: random number generator.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        view: cluster_view_module.ClusterView,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._rng = rng

    def admit(
        self,
        head: messages.RequestHead,
        body: bytes,
        request: messages.CallerRequest,
        arrived_at: float,
    ) -> request_state_module.RequestState:
        """Admit a request and return its state.

        :param head: its head as received.
        :param body: its body.
        :param request: its decoded head.
        :param arrived_at: local monotonic time in seconds of its arrival.
        :raises wasabilanding.gateway.request_state.RequestRejected: if it may
            not be served; :class:`~wasabilanding.gateway.request_state.\
            KeysNotProven` if another node may serve it.
        """
        table = self._view.table
        if table is None:
            raise request_state_module.RequestRejected(
                answers.not_run(
                    "no_configuration",
                    "no configuration received yet",
                    UNINITIALIZED_RETRY_AFTER_S,
                )
            )
        route = table.find_route(request.host, head.path)
        if route is None:
            detail = f"no route for {request.host}{head.path}"
            raise self._reject_unknown(404, "unknown_route", detail)
        holder, unproven = self._authenticate(table, route, request)
        service = table.service(
            routes.choose_target(route, self._rng.random())
        )
        if service is None:
            raise request_state_module.RequestRejected(
                answers.not_run(
                    "unknown_service",
                    f"route {route.name} has no known service",
                    request_state_module.RETRY_AFTER_S,
                )
            )
        deadline_s = request.deadline_s
        if deadline_s is None:
            deadline_s = DEFAULT_DEADLINE_S
        timeout_s = min(deadline_s, route.timeout_s)
        priority = route.priority
        if holder is not None and holder.priority is not None:
            priority = holder.priority
        state = request_state_module.RequestState(
            head=head,
            body=body,
            request=request,
            route=route,
            service=service,
            customer=holder.customer if holder else "",
            priority=priority,
            deadline_at=arrived_at + timeout_s,
            arrived_at=arrived_at,
            unproven=unproven,
            restriction=region_restrictions.follow(
                self._view,
                (request.host, head.path),
                request.key,
                route,
                holder,
            ),
        )
        if unproven is not None:
            raise request_state_module.KeysNotProven(state, unproven)
        return state

    def can_prove_keys(self) -> bool:
        """Return whether this node can tell whether an API key is valid."""
        table = self._view.table
        if table is not None and table.key_holders is None:
            return True
        return not self._keys_obstacle()

    def _keys_obstacle(self) -> str:
        """Return why this node cannot tell which keys are valid, if so."""
        bound_s = self._settings.key_revocation_s
        age_s = self._view.staleness_s
        if bound_s and age_s > bound_s - REVOCATION_MARGIN_S:
            return f"API keys were last confirmed {age_s:.1f} s ago"
        if self._view.is_configuration_proven:
            return ""
        version = self._view.table.version if self._view.table else 0
        return f"configuration {version} may not be the newest"

    def _authenticate(
        self,
        table: routes.RoutingTable,
        route: routes.Route,
        request: messages.CallerRequest,
    ) -> tuple[routes.KeyHolder | None, model.Outcome | None]:
        """Return the holder of a key, or why it cannot be told."""
        if table.key_holders is None or route.public:
            return None, None
        holder = table.holder(request.key) if request.key else None
        obstacle = self._keys_obstacle()
        if obstacle:
            # The regions of the last known holder bind the choice of a node.
            return holder, _unproven(model.Reason.KEYS_NOT_PROVEN, obstacle)
        if holder is not None:
            return holder, None
        if self._is_final:
            raise self._reject_unknown(401, "unknown_key", "unknown API key")
        detail = self._aged("unknown API key")
        return None, _unproven(model.Reason.NOT_PROVEN, detail)

    def _reject_unknown(
        self, status: int, reason: str, detail: str
    ) -> request_state_module.RequestRejected:
        """Return the rejection of an unknown key or route.

        It is final only if the configuration is recent and no other node
        has a newer one.
        """
        if self._is_final:
            return request_state_module.RequestRejected(
                answers.Answer(status, reason, detail)
            )
        return request_state_module.RequestRejected(
            answers.not_run(
                "not_proven", self._aged(detail), UNINITIALIZED_RETRY_AFTER_S
            )
        )

    @property
    def _is_final(self) -> bool:
        """Whether what the configuration lacks is unknown to all nodes."""
        is_recent = self._view.staleness_s <= MAX_RECENT_AGE_S
        return is_recent and not self._view.lacks_configuration

    def _aged(self, detail: str) -> str:
        """Return a detail with the age of the configuration."""
        age_s = self._view.staleness_s
        return f"{detail}; the configuration is {age_s:.1f} s old"


def _unproven(reason: model.Reason, detail: str) -> model.Outcome:
    """Return the outcome of a request whose key this node cannot check."""
    return model.not_run(reason, detail, UNINITIALIZED_RETRY_AFTER_S)

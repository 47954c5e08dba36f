"""Admission of requests: route, API key and deadline."""

import random

from wasabilanding.gateway import answers
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import messages
from wasabilanding.gateway import region_restrictions
from wasabilanding.gateway import request_state as request_state_module
from wasabilanding.gateway import settings as settings_module
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
            not be served.
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
        holder = self._authenticate(table, route, request)
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
        return request_state_module.RequestState(
            head=head,
            body=body,
            request=request,
            route=route,
            service=service,
            customer=holder.customer if holder else "",
            priority=priority,
            deadline_at=arrived_at + timeout_s,
            arrived_at=arrived_at,
            restriction=region_restrictions.follow(
                self._view,
                (request.host, head.path),
                request.key,
                route,
                holder,
            ),
        )

    def _authenticate(
        self,
        table: routes.RoutingTable,
        route: routes.Route,
        request: messages.CallerRequest,
    ) -> routes.KeyHolder | None:
        if table.key_holders is None or route.public:
            return None
        bound_s = self._settings.key_revocation_s
        age_s = self._view.staleness_s
        if bound_s and age_s > bound_s - REVOCATION_MARGIN_S:
            raise request_state_module.RequestRejected(
                answers.not_run(
                    "keys_not_proven",
                    f"API keys were last confirmed {age_s:.1f} s ago",
                    UNINITIALIZED_RETRY_AFTER_S,
                )
            )
        if not self._view.is_configuration_proven:
            raise request_state_module.RequestRejected(
                answers.not_run(
                    "keys_not_proven",
                    f"configuration {table.version} may not be the newest",
                    UNINITIALIZED_RETRY_AFTER_S,
                )
            )
        holder = table.holder(request.key) if request.key else None
        if holder is None:
            raise self._reject_unknown(401, "unknown_key", "unknown API key")
        return holder

    def _reject_unknown(
        self, status: int, reason: str, detail: str
    ) -> request_state_module.RequestRejected:
        """Return the rejection of an unknown key or route.

        It is final only if the configuration is recent and no other node
        has a newer one.
        """
        age_s = self._view.staleness_s
        is_newest = not self._view.lacks_configuration
        if age_s <= MAX_RECENT_AGE_S and is_newest:
            return request_state_module.RequestRejected(
                answers.Answer(status, reason, detail)
            )
        detail = f"{detail}; the configuration is {age_s:.1f} s old"
        return request_state_module.RequestRejected(
            answers.not_run("not_proven", detail, UNINITIALIZED_RETRY_AFTER_S)
        )

"""Whether a request may be served: its route, its key, its deadline."""

import random

from wasabilanding.gateway import answers
from wasabilanding.gateway import belief as belief_module
from wasabilanding.gateway import messages
from wasabilanding.gateway import settings as settings_module
from wasabilanding.gateway import work as work_module
from wasabilanding import routes

DEFAULT_DEADLINE_S = 30.0
UNINFORMED_COMEBACK_S = 1.0
# Margin before the revocation bound at which keyed requests are refused.
REVOCATION_MARGIN_S = 0.4
# A configuration that was proven in force so long ago may lack what is new.
RECENT_S = 3.0


class Admission:
    """Checks requests against the configuration in force.

    :param settings: settings of the node.
    :param belief: what the node believes.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        belief: belief_module.Belief,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._belief = belief
        self._rng = rng

    def admit(
        self,
        head: messages.Head,
        body: bytes,
        request: messages.CallerRequest,
        arrived_at: float,
    ) -> work_module.Work:
        """Return a request that may be served.

        :param head: its head as received.
        :param body: its body.
        :param request: what its head says.
        :param arrived_at: local monotonic time in seconds.
        :raises wasabilanding.gateway.work.Refused: when it may not.
        """
        table = self._belief.table
        if table is None:
            raise work_module.Refused(
                answers.not_run(
                    "no_configuration",
                    "no configuration is known yet",
                    UNINFORMED_COMEBACK_S,
                )
            )
        route = table.find(request.host, head.path)
        if route is None:
            detail = f"no route for {request.host}{head.path}"
            raise self._unknown(404, "unknown_route", detail)
        holder = self._holder(table, route, request)
        service = table.service(
            routes.choose_target(route, self._rng.random())
        )
        if service is None:
            raise work_module.Refused(
                answers.not_run(
                    "unknown_service",
                    f"route {route.name} leads to no service",
                    work_module.RETRY_AFTER_S,
                )
            )
        wait_s = min(request.deadline_s or DEFAULT_DEADLINE_S, route.timeout_s)
        urgency = route.priority
        if holder is not None and holder.priority is not None:
            urgency = holder.priority
        return work_module.Work(
            head=head,
            body=body,
            request=request,
            route=route,
            service=service,
            customer=holder.customer if holder else "",
            urgency=urgency,
            due_at=arrived_at + wait_s,
        )

    def _holder(
        self,
        table: routes.RoutingTable,
        route: routes.Route,
        request: messages.CallerRequest,
    ) -> routes.KeyHolder | None:
        if table.key_holders is None or route.public:
            return None
        bound_s = self._settings.key_revocation_s
        age_s = self._belief.proof_age_s
        if bound_s and age_s > bound_s - REVOCATION_MARGIN_S:
            raise work_module.Refused(
                answers.not_run(
                    "keys_not_proven",
                    f"keys were last proven valid {age_s:.1f} s ago",
                    UNINFORMED_COMEBACK_S,
                )
            )
        holder = table.holder(request.key) if request.key else None
        if holder is None:
            raise self._unknown(401, "unknown_key", "the key is not known")
        return holder

    def _unknown(
        self, status: int, reason: str, detail: str
    ) -> work_module.Refused:
        """Refuse what the configuration does not know, if it is recent."""
        age_s = self._belief.proof_age_s
        if age_s <= RECENT_S:
            return work_module.Refused(answers.Answer(status, reason, detail))
        detail = f"{detail}; the configuration is {age_s:.1f} s old"
        return work_module.Refused(
            answers.not_run("not_proven", detail, UNINFORMED_COMEBACK_S)
        )

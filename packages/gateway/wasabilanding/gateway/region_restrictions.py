"""Keeps requests in the regions that their route and customer allow.

Explanation
===========

:func:`wasabilanding.routes.effective_regions` decides which regions a request
may use. The decision follows the configuration that is in force: a request
may wait, or be sent again, after the configuration has changed. Selection and
the check just before sending use the same decision, so that the check never
refuses what selection goes on to offer.
"""

import collections.abc
import json
import logging

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding.gateway import relays
from wasabilanding.gateway import request_state as request_state_module
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import model
from wasabilanding import routes

# Callers are told to return after a random time in this range, as it is not
# known when their regions have an endpoint again.
RETURN_S = (2.0, 5.0)
# Routes and customers that one log line names at most.
MAX_LOGGED = 20

_LOG = logging.getLogger(__name__)


def follow(
    view: cluster_view_module.ClusterView,
    address: tuple[str, str],
    key: str,
    route: routes.Route,
    holder: routes.KeyHolder | None,
) -> collections.abc.Callable[[], routes.AllowedRegions]:
    """Return what tells the regions that a request may use now.

    After a change of the configuration the request is decided again like one
    that arrives then. A route or key that the configuration has no longer
    keeps the regions that it had.

    :param view: the node's view of the cluster.
    :param address: host and path of the request.
    :param key: its API key.
    :param route: its route.
    :param holder: the customer that holds its key; None for none.
    """
    table = view.table
    allowed = _allowed(route, holder)

    def current() -> routes.AllowedRegions:
        nonlocal table, route, holder, allowed
        if view.table is not table and view.table is not None:
            table = view.table
            route = table.find_route(*address) or route
            if route.public or table.key_holders is None:
                holder = None
            else:
                holder = table.holder(key) or holder
            allowed = _allowed(route, holder)
        return allowed

    return current


def _allowed(
    route: routes.Route, holder: routes.KeyHolder | None
) -> routes.AllowedRegions:
    return routes.effective_regions(
        route.allowed_regions, holder.allowed_regions if holder else None
    )


def keep_allowed(
    candidates: list[dispatch.Candidate],
    regions: routes.RegionMap,
    allowed: routes.AllowedRegions,
) -> list[dispatch.Candidate]:
    """Return the candidates in allowed regions.

    :param candidates: endpoints that may receive requests.
    :param regions: regions of the failure domains.
    :param allowed: regions that a request may use; None for all.
    """
    if allowed is None:
        return candidates
    # There are many candidates in few failure domains.
    domains = {c.endpoint.failure_domain for c in candidates}
    permitted = {d for d in domains if regions.allows(d, allowed)}
    return [c for c in candidates if c.endpoint.failure_domain in permitted]


def pool_name(name: str, allowed: routes.AllowedRegions) -> str:
    """Return the name of the part of a pool that a request may use.

    :param name: name of the pool.
    :param allowed: regions that the request may use; None for all.

    Examples
    ========

    >>> from wasabilanding.gateway import region_restrictions
    >>> region_restrictions.pool_name("chat/m", frozenset({"us", "eu"}))
    'chat/m@["eu", "us"]'
    """
    if allowed is None:
        return name
    return f"{name}@{json.dumps(sorted(allowed))}"


def refusal(
    allowed: frozenset[str], lack: str, retry_after_s: float
) -> model.Outcome:
    """Return the outcome of a request that its regions leave no endpoint.

    :param allowed: regions that it may use.
    :param lack: what the regions lack.
    :param retry_after_s: seconds after which the caller may come back.
    """
    names = ", ".join(sorted(allowed))
    if not allowed:
        names = "none that its route and its customer have in common"
    return model.not_run(
        model.Reason.REGION_UNAVAILABLE,
        f"{lack} is in the allowed regions: {names}",
        retry_after_s,
    )


def send_check(
    regions: routes.RegionMap, metrics: metrics_module.Metrics
) -> collections.abc.Callable[
    [request_state_module.RequestState, fleet.Endpoint], None
]:
    """Return the check of a request's regions just before it is sent.

    It raises :class:`wasabilanding.gateway.upstream.AttemptFailed` if the
    request may not be sent to the endpoint, or node, any more.

    :param regions: regions of the failure domains.
    :param metrics: counts requests that are held back.
    """

    def check(
        state: request_state_module.RequestState, endpoint: fleet.Endpoint
    ) -> None:
        allowed = state.allowed_regions
        if allowed is None:
            return
        is_relay = relays.is_relay(endpoint.endpoint_id)
        allows = regions.allows_node if is_relay else regions.allows
        if allows(endpoint.failure_domain, allowed):
            return
        metrics.count_region_refusal("held_back")
        raise upstream_module.AttemptFailed(
            model.not_run(
                model.Reason.ENDPOINT_HELD,
                f"held: {endpoint.endpoint_id} is in no allowed region",
            )
        )

    return check


class RegionMonitor:
    """Logs the routes and customers that no known region may serve.

    :param view: the node's view of the cluster.
    :param regions: regions of the failure domains.
    """

    def __init__(
        self,
        view: cluster_view_module.ClusterView,
        regions: routes.RegionMap,
    ) -> None:
        self._view = view
        self._regions = regions
        self._table: routes.RoutingTable | None = None

    def observe(self) -> None:
        """Log one line if a new version of the configuration has some."""
        table = self._view.table
        if table is self._table or table is None:
            return
        known_version = self._table.version if self._table else None
        self._table = table
        if table.version == known_version:
            return
        found = routes.without_known_region(table, self._regions.known)
        if found:
            _LOG.warning(
                "configuration %d allows only unknown regions to %d routes "
                "and customers, whose requests are refused: %s",
                table.version,
                len(found),
                ", ".join(found[:MAX_LOGGED]),
                extra={"version": table.version},
            )

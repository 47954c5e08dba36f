"""Demand for the models of each service, as the planner sees it.

The requests in flight of all nodes are known from their hints. Those at the
replicas of a model are its demand; :mod:`wasabilanding.assembly.demand` says
which shares of the VMs follow from it. What heads that are limited for long do
not supply is added (:mod:`wasabilanding.assembly.limited_heads`).
"""

import collections
import collections.abc
import logging

from wasabilanding import assembly
from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding import routes

# Interval between two observations.
OBSERVE_INTERVAL_S = 1.0
SHARE_DIGITS = 3

_LOG = logging.getLogger(__name__)


class ModelDemand:
    """Demand for the models of all services.

    :param view: the node's view of the cluster.
    :param tracker: requests in flight from all nodes.
    :param failure_domain: failure domain that is planned, for logs.
    """

    def __init__(
        self,
        view: cluster_view_module.ClusterView,
        tracker: dispatch.EndpointTracker,
        failure_domain: str,
    ) -> None:
        self._view = view
        self._tracker = tracker
        self._domain = failure_domain
        self._estimates: dict[str, assembly.DemandEstimate] = {}
        self._limited: dict[str, assembly.LimitedHeads] = {}
        # Returns whether an endpoint is cold or names a limit.
        self.is_limited: collections.abc.Callable[[fleet.Endpoint], bool] = (
            lambda endpoint: False
        )
        self._observed_at: dict[str, float] = {}

    def spec_of(
        self, service: str, spec: routes.EngineSpec, now: float
    ) -> routes.EngineSpec:
        """Return the models of a service with shares that follow demand.

        :param service: name of the service.
        :param spec: its models as they are configured.
        :param now: local monotonic time in seconds.
        """
        estimate = self._estimates.get(service)
        if estimate is None or not estimate.is_of(spec):
            estimate = assembly.DemandEstimate(spec)
            self._estimates[service] = estimate
            self._observed_at.pop(service, None)
        observed_at = self._observed_at.get(service)
        if observed_at is None or now - observed_at >= OBSERVE_INTERVAL_S:
            self._observed_at[service] = now
            self._observe(service, spec, estimate, now)
        return estimate.spec

    def _observe(
        self,
        service: str,
        spec: routes.EngineSpec,
        estimate: assembly.DemandEstimate,
        now: float,
    ) -> None:
        own = [
            endpoint
            for endpoint in self._view.registry.endpoints
            if endpoint.service == service
        ]
        heads = self._heads(own)
        requests: collections.Counter[str] = collections.Counter()
        replicas: collections.Counter[str] = collections.Counter()
        for head in heads:
            requests[head.model] += head.requests
            replicas[head.model] += 1
        open_vms = {m.name: m.size * replicas[m.name] for m in spec.models}
        limited = self._limited.setdefault(service, assembly.LimitedHeads())
        requests.update(limited.observe(heads, spec, now))
        if not estimate.update(requests, open_vms, len(own), now):
            return
        shares = {
            model.name: round(model.share, SHARE_DIGITS)
            for model in estimate.spec.models
        }
        _LOG.info(
            "%s: shares of the VMs follow the demand: %s",
            service,
            shares,
            extra={
                "domain": self._domain,
                "shares": shares,
                "requests": dict(requests),
            },
        )

    def _heads(self, endpoints: list[fleet.Endpoint]) -> list[assembly.Head]:
        """Return the heads of the open replicas of some endpoints."""
        return [
            assembly.Head(
                fleet.incarnation_of(replica.head),
                replica.model,
                self._tracker.load(fleet.incarnation_of(replica.head)),
                self.is_limited(replica.head),
            )
            for replica in fleet.replicas_of(endpoints).values()
            if replica.is_open
        ]

    def clear(self) -> None:
        """Forget the demand: the node does not plan any more."""
        self._limited.clear()
        self._estimates.clear()
        self._observed_at.clear()

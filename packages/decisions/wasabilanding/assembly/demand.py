"""Demand for each model, and the shares of the VMs that follow from it.

Explanation
===========

Load pattern: callers ask for the models of a service in other proportions
than the configuration states, or a model's replicas are slower than expected,
so that one model's requests queue while another's slots are free.

By Little's law [1]_, the mean number of requests at the replicas of a model is
their arrival rate times the time that each takes. Divided by the slots of a
replica and multiplied by its VMs, it is the number of VMs that the model keeps
busy. The share of each model in the busy VMs replaces the configured one.

Periods and bursts of the whole load change all models alike, and so no share.
The numbers are smoothed, and the shares in force change only if one of them
is clearly wrong. They leave the configured ones only while a model is short of
VMs, as a replica that changes its model serves nobody meanwhile, and spare
replicas are what is left after the loss of others. The configured shares count
like a few busy VMs, so that they hold while there is little load.

Callers of a model that has lost its replicas are refused and are not seen. So
its demand is not taken to fall while it has few VMs, and no model falls far
below its configured share.

References
==========

.. [1] J. D. C. Little, "A Proof for the Queuing Formula: L = λW", Operations
       Research 9(3), 1961.
"""

import collections.abc
import dataclasses
import math

from wasabilanding import routes

# Time constant of the smoothing.
SMOOTHING_S = 8.0
# The configured shares count like this part of the service's VMs.
PRIOR_VM_SHARE = 0.05
# No share falls below this part of the configured one.
MIN_SHARE_FACTOR = 0.5
# Factor by which a share must be wrong before the shares in force change.
MIN_CHANGE = 1.25
# A model is short of VMs if this part of its share of them is busy: requests
# come in bunches, so some wait while others are free.
SHORT_VM_SHARE = 0.7
# The demand for a model is not taken to fall while it has less than this part
# of its share of the VMs. Rounding to whole replicas leaves it more than that.
MIN_OPEN_SHARE = 0.5

Shares = dict[str, float]


def busy_vms(
    spec: routes.EngineSpec, requests: collections.abc.Mapping[str, float]
) -> dict[str, float]:
    """Return the VMs that each model keeps busy.

    :param spec: the models.
    :param requests: requests at the replicas of each model, running and
        queued.

    Examples
    ========

    >>> from wasabilanding import assembly
    >>> from wasabilanding import routes
    >>> large = routes.ModelSpec("large", 8, 0.5, 1.0, 16.0, 1.6)
    >>> small = routes.ModelSpec("small", 2, 0.5, 0.6, 12.0, 1.1)
    >>> spec = routes.EngineSpec(10, (large, small), 7.0)
    >>> assembly.busy_vms(spec, {"large": 15, "small": 20})
    {'large': 12.0, 'small': 4.0}
    """
    return {
        model.name: requests.get(model.name, 0) * model.size / spec.slots
        for model in spec.models
    }


def _configured_shares(spec: routes.EngineSpec) -> Shares:
    total = sum(model.share for model in spec.models)
    if not total:
        return {model.name: 1 / len(spec.models) for model in spec.models}
    return {model.name: model.share / total for model in spec.models}


def demanded_shares(
    spec: routes.EngineSpec,
    busy: collections.abc.Mapping[str, float],
    vms: int,
) -> Shares:
    """Return the shares of the VMs that the models' demand asks for.

    :param spec: the models.
    :param busy: VMs that each model keeps busy.
    :param vms: VMs of the service.

    Examples
    ========

    >>> from wasabilanding import assembly
    >>> from wasabilanding import routes
    >>> large = routes.ModelSpec("large", 8, 0.5, 1.0, 16.0, 1.6)
    >>> small = routes.ModelSpec("small", 2, 0.5, 0.6, 12.0, 1.1)
    >>> spec = routes.EngineSpec(10, (large, small), 7.0)
    >>> assembly.demanded_shares(spec, {"large": 15.0, "small": 5.0}, 100)
    {'large': 0.7, 'small': 0.3}
    >>> assembly.demanded_shares(spec, {"large": 95.0}, 100)
    {'large': 0.75, 'small': 0.25}
    """
    configured = _configured_shares(spec)
    prior = PRIOR_VM_SHARE * vms
    total = sum(busy.values()) + prior
    if not total:
        return configured
    shares = {
        name: max(
            (busy.get(name, 0.0) + prior * share) / total,
            MIN_SHARE_FACTOR * share,
        )
        for name, share in configured.items()
    }
    excess = sum(shares.values())
    if math.isclose(excess, 1.0):
        return shares
    return _without_excess(shares, configured)


def _without_excess(shares: Shares, configured: Shares) -> Shares:
    """Scale down the parts above the least shares so that the sum is 1."""
    least = {
        name: MIN_SHARE_FACTOR * share for name, share in configured.items()
    }
    above = sum(shares[name] - least[name] for name in shares)
    factor = (1.0 - sum(least.values())) / above
    return {
        name: least[name] + factor * (shares[name] - least[name])
        for name in shares
    }


class DemandEstimate:
    """Shares of the VMs of one service that follow its demand.

    :param spec: the service's models.
    """

    def __init__(self, spec: routes.EngineSpec) -> None:
        self._spec = spec
        self._busy: dict[str, float] = {}
        self._updated_at = float("-inf")
        self._shares = _configured_shares(spec)

    @property
    def spec(self) -> routes.EngineSpec:
        """The models, with the shares in force."""
        return dataclasses.replace(
            self._spec,
            models=tuple(
                dataclasses.replace(model, share=self._shares[model.name])
                for model in self._spec.models
            ),
        )

    def is_of(self, spec: routes.EngineSpec) -> bool:
        """Tell whether the estimate is of some models.

        :param spec: the models as they are configured.
        """
        return spec == self._spec

    def update(
        self,
        requests: collections.abc.Mapping[str, float],
        open_vms: collections.abc.Mapping[str, float],
        vms: int,
        now: float,
    ) -> bool:
        """Add an observation.

        :param requests: requests at the replicas of each model, running and
            queued, from all nodes.
        :param open_vms: VMs in open replicas of each model.
        :param vms: VMs of the service.
        :param now: local monotonic time in seconds.
        :returns: whether the shares in force have changed.
        """
        weight = 1 - math.exp((self._updated_at - now) / SMOOTHING_S)
        self._updated_at = now
        for name, observed in busy_vms(self._spec, requests).items():
            before = self._busy.get(name, observed)
            if self._has_lost_replicas(name, open_vms, vms):
                observed = max(observed, before)
            self._busy[name] = before + weight * (observed - before)
        demanded = demanded_shares(self._spec, self._busy, vms)
        if _largest_ratio(demanded, self._shares) <= MIN_CHANGE:
            return False
        if not self._is_short(vms) and not self._is_return(demanded):
            return False
        self._shares = demanded
        return True

    def _has_lost_replicas(
        self,
        name: str,
        open_vms: collections.abc.Mapping[str, float],
        vms: int,
    ) -> bool:
        """Tell whether a model has so few VMs that its demand hardly shows."""
        least = MIN_OPEN_SHARE * self._shares[name] * vms
        return open_vms.get(name, 0) < least

    def _is_return(self, demanded: Shares) -> bool:
        """Tell whether shares are nearer to the configured ones."""
        configured = _configured_shares(self._spec)
        return _largest_ratio(demanded, configured) < _largest_ratio(
            self._shares, configured
        )

    def _is_short(self, vms: int) -> bool:
        """Tell whether the demand for a model needs most of its VMs."""
        return any(
            self._busy[name] >= SHORT_VM_SHARE * share * vms
            for name, share in self._shares.items()
        )


def _largest_ratio(some: Shares, others: Shares) -> float:
    """Return the largest factor between the two shares of a model."""
    return max(_ratio(some[name], others[name]) for name in others)


def _ratio(one: float, other: float) -> float:
    """Return the factor between two shares, 1 or more."""
    if one == other:
        return 1.0
    least, most = sorted((one, other))
    return most / least if least else math.inf

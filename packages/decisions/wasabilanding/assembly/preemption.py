"""Preemption of replicas in favour of a model that lacks VMs."""

import collections
import collections.abc
import dataclasses

from wasabilanding.assembly import choice
from wasabilanding.assembly import load_scheduler as load_scheduler_module
from wasabilanding.assembly import orders
from wasabilanding import fleet
from wasabilanding import routes

# Time to close the victims, in addition to the model's load time.
CLOSE_ALLOWANCE_S = 14.0
# A replica that lost a member is often formed again within this time.
MIN_LACK_S = 4.0


@dataclasses.dataclass(frozen=True)
class _ActivePreemption:
    model: routes.ModelSpec
    members: frozenset[fleet.Incarnation]
    victims: tuple[fleet.ReplicaKey, ...]
    expires_at: float


class Preemptions:
    """Preemptions in progress, at most one in each fabric domain.

    The weights are staged first, while the victims still serve. The victims
    are closed when all members of the new replica have its weights.
    """

    def __init__(self) -> None:
        self._active_by_domain: dict[str, _ActivePreemption] = {}
        # Model that lacks VMs, and since when.
        self._lacking_model = ""
        self._lacking_since = 0.0

    def __bool__(self) -> bool:
        """Tell whether any preemption is in progress."""
        return bool(self._active_by_domain)

    @property
    def reserved_models(self) -> dict[str, str]:
        """Model to form next, by fabric domain."""
        return {
            domain: preemption.model.name
            for domain, preemption in self._active_by_domain.items()
        }

    def complete(self, plan: choice.ReplicaPlan) -> None:
        """End the preemption that a planned replica completes.

        :param plan: replica that is being formed.
        """
        domain = plan.members[0].fabric_domain
        preemption = self._active_by_domain.get(domain)
        if preemption is not None and preemption.model == plan.model:
            del self._active_by_domain[domain]

    def start(
        self,
        free: collections.abc.Sequence[fleet.Endpoint],
        serving: collections.abc.Sequence[fleet.Replica],
        vms_by_model: collections.Counter[str],
        spec: routes.EngineSpec,
        domains_in_transition: set[str],
        now: float,
    ) -> None:
        """Start preemptions for models that lack VMs.

        :param free: endpoints that belong to no replica.
        :param serving: whole replicas that accept requests.
        :param vms_by_model: VMs of each model; updated with the VMs that
            preemptions will add.
        :param spec: the models.
        :param domains_in_transition: fabric domains to skip.
        :param now: local monotonic time in seconds.
        """
        for domain, preemption in list(self._active_by_domain.items()):
            if now > preemption.expires_at:
                del self._active_by_domain[domain]
            else:
                vms_by_model[preemption.model.name] += preemption.model.size
        while True:
            skipped = domains_in_transition | set(self._active_by_domain)
            found = choice.choose_preemption(
                free, serving, vms_by_model, spec, skipped
            )
            if not self._is_due(found, now):
                return
            vms_by_model[found.model.name] += found.model.size
            self._active_by_domain[found.victims[0].head.fabric_domain] = (
                _ActivePreemption(
                    model=found.model,
                    members=frozenset(
                        map(fleet.incarnation_of, found.members)
                    ),
                    victims=tuple(
                        victim.replica_key for victim in found.victims
                    ),
                    expires_at=now + found.model.load_s + CLOSE_ALLOWANCE_S,
                )
            )

    def _is_due(self, found: choice.Preemption | None, now: float) -> bool:
        """Tell whether a preemption may start now.

        The same model must have lacked VMs for long, as a replica is often
        formed again without a preemption. If most members are free, as the
        survivors of a large replica are, they would form replicas of the small
        model meanwhile, and more of these would have to be preempted later.
        """
        if found is not None and found.is_mostly_free:
            return True
        name = found.model.name if found else ""
        if name != self._lacking_model:
            self._lacking_model = name
            self._lacking_since = now
        return bool(name) and now - self._lacking_since >= MIN_LACK_S

    def next_orders(
        self,
        load_scheduler: load_scheduler_module.LoadScheduler,
        inputs: orders.PlannerInput,
        now: float,
    ) -> tuple[list[orders.Order], set[fleet.ReplicaKey]]:
        """Return orders to stage weights, and the replicas to close.

        A preemption one of whose members is lost or draining is dropped.

        :param load_scheduler: decides when a load may start.
        :param inputs: current state of the cluster.
        :param now: local monotonic time in seconds.
        """
        planned: list[orders.Order] = []
        closing: set[fleet.ReplicaKey] = set()
        for domain, preemption in list(self._active_by_domain.items()):
            members = [
                endpoint
                for endpoint in inputs.endpoints
                if fleet.incarnation_of(endpoint) in preemption.members
                and not endpoint.draining
            ]
            if len(members) < len(preemption.members):
                del self._active_by_domain[domain]
                continue
            name = preemption.model.name
            cold = [
                endpoint
                for endpoint in members
                if not endpoint.has_weights(name)
            ]
            if not cold:
                closing.update(preemption.victims)
            for endpoint in cold:
                planned += load_scheduler.stage(
                    endpoint, preemption.model, inputs, now
                )
        return planned, closing

"""Replicas that give way to one of another model, step by step."""

import collections
import collections.abc
import dataclasses

from wasabilanding.assembly import choice
from wasabilanding.assembly import load_scheduler as load_scheduler_module
from wasabilanding.assembly import orders
from wasabilanding import fleet
from wasabilanding import routes

# Time to close the replicas that give way, on top of the time to load.
CLOSE_ALLOWANCE_S = 14.0


@dataclasses.dataclass(frozen=True)
class _ActivePreemption:
    model: routes.ModelSpec
    members: tuple[str, ...]
    victims: tuple[fleet.ReplicaKey, ...]
    expires_at: float


class Preemptions:
    """Exchanges under way, one at most in each fabric domain.

    The weights are staged first, while the replicas that give way still
    serve; they are closed when all members of the new one hold its model.
    """

    def __init__(self) -> None:
        self._by_domain: dict[str, _ActivePreemption] = {}

    def __bool__(self) -> bool:
        """Tell whether any exchange is under way."""
        return bool(self._by_domain)

    @property
    def reserved_models(self) -> dict[str, str]:
        """Model that goes first, by fabric domain."""
        return {
            domain: preemption.model.name
            for domain, preemption in self._by_domain.items()
        }

    def complete(self, plan: choice.ReplicaPlan) -> None:
        """End the exchange that a formation completes.

        :param plan: a replica that is being formed.
        """
        domain = plan.members[0].fabric_domain
        preemption = self._by_domain.get(domain)
        if preemption is not None and preemption.model == plan.model:
            del self._by_domain[domain]

    def start(
        self,
        free: collections.abc.Sequence[fleet.Endpoint],
        serving: collections.abc.Sequence[fleet.Replica],
        vms_by_model: collections.Counter[str],
        spec: routes.EngineSpec,
        domains_in_transition: set[str],
        now: float,
    ) -> None:
        """Choose replicas that give way to a model that lacks VMs.

        :param free: endpoints that belong to no replica.
        :param serving: whole replicas that take requests.
        :param vms_by_model: VMs of each model; those that are promised are added.
        :param spec: the models.
        :param domains_in_transition: fabric domains that are left as they are.
        :param now: local monotonic time in seconds.
        """
        for domain, preemption in list(self._by_domain.items()):
            if now > preemption.expires_at:
                del self._by_domain[domain]
            else:
                vms_by_model[preemption.model.name] += preemption.model.size
        while True:
            skipped = domains_in_transition | set(self._by_domain)
            found = choice.choose_preemption(
                free, serving, vms_by_model, spec, skipped
            )
            if found is None:
                return
            vms_by_model[found.model.name] += found.model.size
            self._by_domain[found.victims[0].head.fabric_domain] = (
                _ActivePreemption(
                    model=found.model,
                    members=tuple(one.endpoint_id for one in found.members),
                    victims=tuple(
                        victim.replica_key for victim in found.victims
                    ),
                    expires_at=now + found.model.load_s + CLOSE_ALLOWANCE_S,
                )
            )

    def advance(
        self,
        load_scheduler: load_scheduler_module.LoadScheduler,
        inputs: orders.PlannerInput,
        now: float,
    ) -> tuple[list[orders.Order], set[fleet.ReplicaKey]]:
        """Return orders to stage weights, and the replicas to close.

        :param load_scheduler: loads that the planner has ordered.
        :param inputs: what is known.
        :param now: local monotonic time in seconds.
        """
        wanted: list[orders.Order] = []
        closing: set[fleet.ReplicaKey] = set()
        for domain, preemption in list(self._by_domain.items()):
            members = [
                one
                for one in inputs.endpoints
                if one.endpoint_id in preemption.members and not one.draining
            ]
            if len(members) < len(preemption.members):
                del self._by_domain[domain]
                continue
            name = preemption.model.name
            cold = [one for one in members if not one.has_weights(name)]
            if not cold:
                closing.update(preemption.victims)
            for one in cold:
                wanted += load_scheduler.stage(
                    one, preemption.model, inputs, now
                )
        return wanted, closing

"""Replicas that give way to one of another model, step by step."""

import collections
import collections.abc
import dataclasses

from wasabilanding.assembly import choice
from wasabilanding.assembly import loads as loads_module
from wasabilanding.assembly import orders
from wasabilanding import fleet
from wasabilanding import routes

# Time to close the replicas that give way, on top of the time to load.
SLACK_S = 14.0


@dataclasses.dataclass(frozen=True)
class _Exchange:
    model: routes.ModelSpec
    members: tuple[str, ...]
    victims: tuple[fleet.Place, ...]
    gives_up_at: float


class Exchanges:
    """Exchanges under way, one at most in each fabric domain.

    The weights are staged first, while the replicas that give way still
    serve; they are closed when all members of the new one hold its model.
    """

    def __init__(self) -> None:
        self._by_domain: dict[str, _Exchange] = {}

    def __bool__(self) -> bool:
        """Tell whether any exchange is under way."""
        return bool(self._by_domain)

    @property
    def promised(self) -> dict[str, str]:
        """Model that goes first, by fabric domain."""
        return {
            domain: exchange.model.name
            for domain, exchange in self._by_domain.items()
        }

    def fulfil(self, formation: choice.Formation) -> None:
        """End the exchange that a formation completes.

        :param formation: a replica that is being formed.
        """
        domain = formation.members[0].fabric_domain
        exchange = self._by_domain.get(domain)
        if exchange is not None and exchange.model == formation.model:
            del self._by_domain[domain]

    def begin(
        self,
        free: collections.abc.Sequence[fleet.Endpoint],
        serving: collections.abc.Sequence[fleet.Replica],
        held: collections.Counter[str],
        spec: routes.EngineSpec,
        moving: set[str],
        now: float,
    ) -> None:
        """Choose replicas that give way to a model that lacks VMs.

        :param free: endpoints that belong to no replica.
        :param serving: whole replicas that take requests.
        :param held: VMs of each model; those that are promised are added.
        :param spec: the models.
        :param moving: fabric domains that are left as they are.
        :param now: local monotonic time in seconds.
        """
        for domain, exchange in list(self._by_domain.items()):
            if now > exchange.gives_up_at:
                del self._by_domain[domain]
            else:
                held[exchange.model.name] += exchange.model.size
        while True:
            skipped = moving | set(self._by_domain)
            found = choice.choose_exchange(free, serving, held, spec, skipped)
            if found is None:
                return
            held[found.model.name] += found.model.size
            self._by_domain[found.victims[0].head.fabric_domain] = _Exchange(
                model=found.model,
                members=tuple(one.endpoint_id for one in found.members),
                victims=tuple(victim.place for victim in found.victims),
                gives_up_at=now + found.model.load_s + SLACK_S,
            )

    def go_on(
        self,
        loads: loads_module.Loads,
        situation: orders.Situation,
        now: float,
    ) -> tuple[list[orders.Order], set[fleet.Place]]:
        """Return orders to stage weights, and the replicas to close.

        :param loads: loads that the planner has ordered.
        :param situation: what is known.
        :param now: local monotonic time in seconds.
        """
        wanted: list[orders.Order] = []
        closing: set[fleet.Place] = set()
        for domain, exchange in list(self._by_domain.items()):
            members = [
                one
                for one in situation.endpoints
                if one.endpoint_id in exchange.members and not one.draining
            ]
            if len(members) < len(exchange.members):
                del self._by_domain[domain]
                continue
            name = exchange.model.name
            cold = [one for one in members if not one.holds(name)]
            if not cold:
                closing.update(exchange.victims)
            for one in cold:
                wanted += loads.stage(one, exchange.model, situation, now)
        return wanted, closing

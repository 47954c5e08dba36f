"""Parameters of a cluster."""

import dataclasses

from wasabilanding import model
from wasabilanding import standins

ENGINE_PORT = 8000


@dataclasses.dataclass(frozen=True)
class Plan:
    """Parameters of a cluster.

    :param failure_domains: names of the failure domains.
    :param nodes_per_domain: number of entry VMs in each failure domain.
    :param fabrics_per_domain: number of fabric domains in each failure domain.
    :param vms_per_fabric: number of VMs in each fabric domain.
    :param engine: settings of the engines.
    :param seed: seed of all random choices.
    """

    failure_domains: tuple[str, ...] = ("prov", "nunoa", "maipu")
    nodes_per_domain: int = 1
    fabrics_per_domain: int = 2
    vms_per_fabric: int = 3
    engine: standins.EngineSettings = standins.EngineSettings()
    seed: int = 1

    @property
    def vms(self) -> tuple[model.Vm, ...]:
        """All VMs of the endpoints."""
        return tuple(
            model.Vm(
                vm=f"{domain}-{fabric}-{index}",
                address=f"http://{domain}-{fabric}-{index}:{ENGINE_PORT}",
                failure_domain=domain,
                fabric_domain=f"{domain}-{fabric}",
            )
            for domain in self.failure_domains
            for fabric in range(self.fabrics_per_domain)
            for index in range(self.vms_per_fabric)
        )

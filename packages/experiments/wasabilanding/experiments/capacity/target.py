"""Planned size of the deployment, as its users require it."""

import dataclasses

SECONDS_PER_DAY = 86_400


@dataclasses.dataclass(frozen=True)
class Target:
    """Size and budgets of the deployment planned in two years.

    :param nodes: entry VMs.
    :param endpoint_vms: VMs of endpoints.
    :param failure_domains: failure domains.
    :param vms_per_replica: VMs of one replica.
    :param requests_per_s: requests per second.
    :param tokens_per_s: tokens per second.
    :param changes_per_day: configuration changes per day.
    :param replacements_per_day: VMs that fail or are replaced per day.
    :param control_core_share: share of a core that control may use.
    :param control_memory_mb: memory that control may use, in megabytes.
    :param control_bytes_per_s: bytes per second that control may send.
    :param store_writes_per_s: writes per second that the store can serve.
    :param store_reads_per_s: reads per second that the store can serve.
    """

    nodes: int = 1400
    endpoint_vms: int = 10_000
    failure_domains: int = 15
    vms_per_replica: int = 16
    requests_per_s: int = 110_000
    tokens_per_s: int = 29_000_000
    changes_per_day: int = 7500
    replacements_per_day: int = 3220
    control_core_share: float = 0.01
    control_memory_mb: float = 256.0
    control_bytes_per_s: float = 11_000.0
    store_writes_per_s: float = 500.0
    store_reads_per_s: float = 2000.0

    @property
    def nodes_per_domain(self) -> float:
        """Entry VMs in a failure domain."""
        return self.nodes / self.failure_domains

    @property
    def vms_per_domain(self) -> float:
        """VMs of endpoints in a failure domain."""
        return self.endpoint_vms / self.failure_domains

    @property
    def replicas_per_domain(self) -> float:
        """Replicas in a failure domain."""
        return self.vms_per_domain / self.vms_per_replica

    @property
    def requests_per_node(self) -> float:
        """Requests per second at one entry VM."""
        return self.requests_per_s / self.nodes

    @property
    def tokens_per_node(self) -> float:
        """Tokens per second at one entry VM."""
        return self.tokens_per_s / self.nodes

    @property
    def changes_per_s(self) -> float:
        """Configuration changes per second."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def replacements_per_s(self) -> float:
        """VMs that fail or are replaced per second."""
        return self.replacements_per_day / SECONDS_PER_DAY

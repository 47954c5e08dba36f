"""Load patterns, by name."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LoadPattern:
    """Sizes and load of a fleet.

    :param failure_domains: number of failure domains.
    :param nodes: nodes in each failure domain.
    :param replicas: replicas in each failure domain.
    :param slots: requests that a replica runs concurrently.
    :param queue: further requests that it queues; it refuses others.
    :param mean_service_s: mean time in seconds that a request runs.
    :param utilization: offered load, relative to the slots of all replicas.
    :param first_domain_factor: factor on the arrivals of the first failure
        domain.
    :param slow_share: share of the replicas that take four times as long.
    :param lost_replicas: replicas that the first failure domain lacks.
    :param report_period_s: seconds between two load reports of a node.
    :param report_delay_s: seconds until a report is known.
    :param duration_s: seconds of arrivals.
    """

    failure_domains: int = 3
    nodes: int = 30
    replicas: int = 20
    slots: int = 7
    queue: int = 14
    mean_service_s: float = 1.0
    utilization: float = 0.75
    first_domain_factor: float = 1.0
    slow_share: float = 0.0
    lost_replicas: int = 0
    report_period_s: float = 0.24
    report_delay_s: float = 0.2
    duration_s: float = 5.0


PATTERNS = {
    "steady": LoadPattern(),
    "burst": LoadPattern(utilization=0.92),
    "callers move to one failure domain": LoadPattern(
        utilization=0.7, first_domain_factor=1.8
    ),
    "replicas lost in one failure domain": LoadPattern(
        utilization=0.7, lost_replicas=8
    ),
    "slow engines": LoadPattern(utilization=0.6, slow_share=0.1),
}

"""Compares the costs of placement with those of baselines in seeded runs.

Explanation
===========

``python -m wasabilanding.experiments.faults.baselines`` runs the same seeded
faults (crashes and pauses of VMs, losses of fabric domains) for each policy
for unassigned VMs and for the weights of each user. It prints the means of
group downtime and stranded accelerators, and the cost by the user's weights.
"""

import collections.abc
import dataclasses
import logging
import statistics

import typer

from wasabilanding.experiments.faults import runs
from wasabilanding import placement

WEIGHT_S = 15.0
VMS_PER_FABRIC = 9
KINDS = ("kill_vm", "kill_vm", "kill_vm", "pause_vm", "lose_fabric_domain")
POLICIES: dict[str, placement.SparePolicy] = {
    "no spares": placement.assign_nothing,
    "one spare per replica": placement.assign_spares_only,
    "weighed": placement.assign_spares_and_extras,
}
USERS = {"Consorcio": (4.0, 1.0), "Council": (1.0, 4.0)}
BASE = dataclasses.replace(
    runs.PROFILE, vms_per_replica=3, replicas_per_domain=4
)


@dataclasses.dataclass(frozen=True)
class Row:
    """Means of one policy for one user.

    :param user: name of the user whose weights apply.
    :param policy: name of the policy.
    :param downtime_s: group downtime in replica-seconds.
    :param stranded_s: stranded accelerators in accelerator-seconds.
    :param cost: sum of both, by the user's weights.
    :param violations: number of violations in all runs.
    """

    user: str
    policy: str
    downtime_s: float
    stranded_s: float
    cost: float
    violations: int


def measure(
    user: str,
    policy: str,
    seeds: collections.abc.Sequence[int],
    fault_duration_s: float,
    mean_fault_interval_s: float,
) -> Row:
    """Run all seeds for one policy and one user.

    :param user: name of the user.
    :param policy: name of the policy.
    :param seeds: seeds of the runs.
    :param fault_duration_s: time in which faults are injected, in seconds.
    :param mean_fault_interval_s: mean time between faults, in seconds.
    """
    downtime_weight, stranding_weight = USERS[user]
    profile = dataclasses.replace(
        BASE,
        downtime_weight=downtime_weight,
        stranding_weight=stranding_weight,
    )
    results = [
        runs.run_seeded(
            runs.RunPlan(
                seed=seed,
                fault_duration_s=fault_duration_s,
                mean_fault_interval_s=mean_fault_interval_s,
                kinds=KINDS,
                profile=profile,
                vms_per_fabric=VMS_PER_FABRIC,
                spare_policy=POLICIES[policy],
                weight_fetch_s=WEIGHT_S,
            )
        )
        for seed in seeds
    ]
    downtime_s = statistics.mean(r.downtime_s for r in results)
    stranded_s = statistics.mean(r.stranded_s for r in results)
    cost = downtime_weight * downtime_s + stranding_weight * stranded_s
    violations = sum(len(r.violations) for r in results)
    return Row(user, policy, downtime_s, stranded_s, cost, violations)


def main(
    count: int = typer.Option(5, help="Number of seeds, from 1."),
    seconds: float = typer.Option(
        120.0, help="Seconds in which faults are injected."
    ),
    every: float = typer.Option(8.0, help="Mean seconds between faults."),
    only: str = typer.Option("", help="Name of one user; all when empty."),
) -> None:
    """Print one row for each user and policy."""
    logging.disable(logging.CRITICAL)
    typer.echo(
        f"{'user':10} {'policy':22} {'downtime s':>10} "
        f"{'stranded s':>10} {'cost':>10} violations"
    )
    seeds = range(1, count + 1)
    for user in [only] if only else USERS:
        for policy in POLICIES:
            row = measure(user, policy, seeds, seconds, every)
            typer.echo(
                f"{user:10} {policy:22} {row.downtime_s:10.1f} "
                f"{row.stranded_s:10.1f} {row.cost:10.1f} {row.violations}"
            )


if __name__ == "__main__":
    typer.run(main)

"""Explanation of the number of replicas of a service.

Explanation
===========

For each fabric domain of a failure domain the explanation counts the VMs
that are free, placed, silent or leaving, and tells whether another replica of
the service's profile would fit. Operators read it when fewer replicas serve
than a profile requires.
"""

import collections
import collections.abc
import dataclasses

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding import routing


@dataclasses.dataclass(frozen=True)
class FabricExplanation:
    """VM counts of one fabric domain.

    :param fabric_domain: the fabric domain.
    :param free: VMs that a new replica could take.
    :param placed: members of recorded replicas.
    :param silent: VMs without a recent report.
    :param leaving: VMs that announced their shutdown.
    :param fits: whether the free VMs suffice for a replica of the profile.
    """

    fabric_domain: str
    free: int
    placed: int
    silent: int
    leaving: int
    fits: bool


@dataclasses.dataclass(frozen=True)
class Explanation:
    """Explanation of a service's replicas in a failure domain.

    :param failure_domain: the failure domain.
    :param service: the service.
    :param profile: name of its profile.
    :param vms_per_replica: VMs that each replica needs.
    :param wanted: replicas that the profile requires.
    :param recorded: replicas in the committed record.
    :param serving: replicas that can serve requests.
    :param reason: one sentence for operators.
    :param fabrics: state of each fabric domain.
    """

    failure_domain: str
    service: str
    profile: str
    vms_per_replica: int
    wanted: int
    recorded: int
    serving: int
    reason: str
    fabrics: tuple[FabricExplanation, ...]


def _count(
    vms: collections.abc.Iterable[model.Vm],
    placed: frozenset[str],
    reports: collections.abc.Mapping[str, model.VmReport],
    now: float,
) -> collections.Counter[str]:
    counts: collections.Counter[str] = collections.Counter()
    for vm in vms:
        report = reports.get(vm.vm)
        if vm.leaving or (report and report.leaving):
            counts["leaving"] += 1
        elif vm.vm in placed:
            counts["placed"] += 1
        elif (
            report is None
            or now - report.observed_at > routing.MAX_REPORT_AGE_S
        ):
            counts["silent"] += 1
        else:
            counts["free"] += 1
    return counts


def _fabrics(
    vms: collections.abc.Iterable[model.Vm],
    placed: frozenset[str],
    reports: collections.abc.Mapping[str, model.VmReport],
    now: float,
    needed: int,
) -> tuple[FabricExplanation, ...]:
    by_fabric: dict[str, list[model.Vm]] = collections.defaultdict(list)
    for vm in vms:
        by_fabric[vm.fabric_domain].append(vm)
    fabrics = []
    for name, members in sorted(by_fabric.items()):
        counts = _count(members, placed, reports, now)
        fabrics.append(
            FabricExplanation(
                fabric_domain=name,
                free=counts["free"],
                placed=counts["placed"],
                silent=counts["silent"],
                leaving=counts["leaving"],
                fits=counts["free"] >= needed,
            )
        )
    return tuple(fabrics)


def _reason(
    wanted: int, recorded: int, serving: int, fits: bool, needed: int
) -> str:
    if serving >= wanted:
        return "all wanted replicas serve"
    if recorded > serving:
        return (
            f"{recorded - serving} recorded replicas cannot serve: a VM is "
            "loading, is silent or reports another replica"
        )
    if fits:
        return (
            "a fabric domain has enough VMs; the next replica is being formed"
        )
    return f"no fabric domain has {needed} free VMs"


def explain(
    record: model.DomainRecord,
    service: str,
    entry: configuration.ProfileRevision,
    vms: collections.abc.Iterable[model.Vm],
    reports: collections.abc.Mapping[str, model.VmReport],
    now: float,
) -> Explanation:
    """Explain the replicas of a service in one failure domain.

    :param record: the committed record.
    :param service: the service.
    :param entry: its profile revision, of kind ``replica``.
    :param vms: listed VMs of the failure domain.
    :param reports: latest report of each VM.
    :param now: local monotonic time in seconds.
    """
    needed = entry.profile.vms_per_replica
    placed = frozenset(vm for r in record.replicas for vm in r.members)
    fabrics = _fabrics(vms, placed, reports, now, needed)
    own = [r for r in record.replicas if r.service == service]
    serving = sum(routing.is_usable(r, reports, now) for r in own)
    wanted = entry.profile.replicas_per_domain
    fits = any(fabric.fits for fabric in fabrics)
    return Explanation(
        failure_domain=record.failure_domain,
        service=service,
        profile=entry.profile.name,
        vms_per_replica=needed,
        wanted=wanted,
        recorded=len(own),
        serving=serving,
        reason=_reason(wanted, len(own), serving, fits, needed),
        fabrics=fabrics,
    )

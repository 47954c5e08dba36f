"""Orders that bring VMs in line with the committed record.

Explanation
===========

Orders are repeated until the VMs report the ordered state. The throughput of
the weight store is limited, so at most :data:`MAX_LOADING` VMs are ordered to
fetch weights at a time. Replicas of the services with the greatest weighted
shortfall go first, and among them the replica with the fewest members that
are not ready; spares come last. VMs that already hold the weights are not
limited.
"""

import collections.abc
import dataclasses

from wasabilanding import model
from wasabilanding.placement import history as history_module

MAX_LOADING = 16

Reports = collections.abc.Mapping[str, model.VmReport]
VmHistories = collections.abc.Mapping[str, history_module.VmHistory]
Shortfall = collections.abc.Mapping[str, float]


@dataclasses.dataclass(frozen=True)
class Load:
    """Order to a VM to join a replica as a member.

    :param vm: the VM.
    :param replica: the replica as recorded.
    :param fence: fencing token of the controller.
    """

    vm: str
    replica: model.ReplicaRecord
    fence: int


@dataclasses.dataclass(frozen=True)
class Preload:
    """Order to a spare VM to fetch weights in advance.

    :param vm: the VM.
    :param model: model to fetch.
    :param version: version of the model.
    :param adapters: adapters beside the model.
    :param fence: fencing token of the controller.
    """

    vm: str
    model: str
    version: str
    adapters: tuple[str, ...]
    fence: int


@dataclasses.dataclass(frozen=True)
class Drain:
    """Order to a leader to refuse new requests and finish running ones.

    :param vm: the VM.
    :param replica_id: replica that it leads.
    :param epoch: epoch of that replica.
    :param fence: fencing token of the controller.
    """

    vm: str
    replica_id: str
    epoch: int
    fence: int


@dataclasses.dataclass(frozen=True)
class Release:
    """Order to a VM to leave the replica that it reports.

    :param vm: the VM.
    :param replica_id: replica that it reports.
    :param epoch: epoch that it reports.
    :param fence: fencing token of the controller.
    """

    vm: str
    replica_id: str
    epoch: int
    fence: int


Order = Load | Preload | Drain | Release


def _holds_weights(
    vm_histories: VmHistories, vm: str, weights: history_module.Weights
) -> bool:
    return vm in vm_histories and vm_histories[vm].weights == weights


def _misplaced_members(
    replica: model.ReplicaRecord, reports: Reports
) -> list[str]:
    return [
        vm
        for vm in replica.members
        if vm in reports and reports[vm].replica_key != replica.replica_key
    ]


def _load_orders(
    record: model.DomainRecord,
    reports: Reports,
    shortfall: Shortfall,
) -> collections.abc.Iterator[Load]:
    def order(replica: model.ReplicaRecord) -> tuple:
        missing = sum(
            reports[vm].replica_key != replica.replica_key
            or reports[vm].state is not model.VmState.READY
            for vm in replica.members
            if vm in reports
        )
        service_shortfall = shortfall.get(replica.service, 0.0)
        return -service_shortfall, missing, replica.replica_id

    for replica in sorted(record.replicas, key=order):
        for vm in _misplaced_members(replica, reports):
            yield Load(vm, replica, record.fence)


def _preload_orders(
    record: model.DomainRecord, reports: Reports, vm_histories: VmHistories
) -> collections.abc.Iterator[Preload]:
    for replica in record.replicas:
        for vm in replica.spares:
            report = reports.get(vm)
            if report is None or report.replica_key != model.NO_REPLICA_KEY:
                continue
            done = report.state is model.VmState.PRELOADED
            if not done or not _holds_weights(
                vm_histories, vm, replica.weights
            ):
                yield Preload(
                    vm,
                    replica.model,
                    replica.version,
                    replica.adapters,
                    record.fence,
                )


def _drain_orders(
    record: model.DomainRecord, reports: Reports
) -> collections.abc.Iterator[Drain]:
    for replica in record.replicas:
        report = reports.get(replica.leader)
        if replica.state is model.ReplicaState.ACTIVE or report is None:
            continue
        if report.replica_key != replica.replica_key:
            continue
        if report.state is not model.VmState.DRAINING:
            yield Drain(replica.leader, *replica.replica_key, record.fence)


def _release_orders(
    record: model.DomainRecord, reports: Reports
) -> collections.abc.Iterator[Release]:
    placed = {vm for r in record.replicas for vm in r.members}
    for vm, report in reports.items():
        if report.replica_id and vm not in placed:
            yield Release(vm, report.replica_id, report.epoch, record.fence)


def _is_loading(report: model.VmReport) -> bool:
    return report.state is model.VmState.LOADING


def _limit_fetches(
    fetches: collections.abc.Iterable[Load | Preload], room: int
) -> list[Load | Preload]:
    return list(fetches)[: max(0, room)]


def orders_for(
    record: model.DomainRecord,
    reports: Reports,
    vm_histories: VmHistories | None = None,
    shortfall: Shortfall | None = None,
    max_loading: int = MAX_LOADING,
) -> tuple[Order, ...]:
    """Return the orders that follow from the committed record.

    :param record: the committed record.
    :param reports: latest report of each VM of the failure domain.
    :param vm_histories: history of each VM.
    :param shortfall: missing replicas of each service times its downtime
        weight.
    :param max_loading: greatest number of VMs that fetch weights at a time.
    """
    vm_histories = vm_histories or {}
    loads = list(_load_orders(record, reports, shortfall or {}))
    warm = [
        o
        for o in loads
        if _holds_weights(vm_histories, o.vm, o.replica.weights)
    ]
    cold = [o for o in loads if o not in warm]
    fetches = [*cold, *_preload_orders(record, reports, vm_histories)]
    room = max_loading - sum(_is_loading(r) for r in reports.values())
    return (
        *_release_orders(record, reports),
        *_drain_orders(record, reports),
        *warm,
        *_limit_fetches(fetches, room),
    )

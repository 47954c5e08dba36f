"""Orders that bring VMs in line with the agreed record.

Explanation
===========

Orders repeat until the VMs report what was ordered. The weight store is
limited, so only :data:`MAX_LOADING` VMs are ordered to fetch weights at a
time. The replicas that their services lack most, by weight, go first, and
among them the one that lacks the fewest VMs; spares come last. A VM that
holds the weights already waits for nobody.
"""

import collections.abc
import dataclasses

from wasabilanding import model
from wasabilanding.placement import history as history_module

MAX_LOADING = 16

Reports = collections.abc.Mapping[str, model.VmReport]
Tracks = collections.abc.Mapping[str, history_module.VmTrack]
Urgency = collections.abc.Mapping[str, float]


@dataclasses.dataclass(frozen=True)
class Load:
    """Order to a VM to take its place in a replica.

    :param vm: the VM.
    :param replica: the replica as recorded.
    :param fence: fencing number of the holder of control.
    """

    vm: str
    replica: model.ReplicaRecord
    fence: int


@dataclasses.dataclass(frozen=True)
class Preload:
    """Order to a VM without a place to fetch weights beforehand.

    :param vm: the VM.
    :param model: model to fetch.
    :param version: version of the model.
    :param adapters: adapters beside the model.
    :param fence: fencing number of the holder of control.
    """

    vm: str
    model: str
    version: str
    adapters: tuple[str, ...]
    fence: int


@dataclasses.dataclass(frozen=True)
class Drain:
    """Order to a leader to take no new request and finish what it runs.

    :param vm: the VM.
    :param replica_id: replica that it leads.
    :param epoch: epoch of that replica.
    :param fence: fencing number of the holder of control.
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
    :param fence: fencing number of the holder of control.
    """

    vm: str
    replica_id: str
    epoch: int
    fence: int


Order = Load | Preload | Drain | Release


def _holds(tracks: Tracks, vm: str, weights: history_module.Weights) -> bool:
    return vm in tracks and tracks[vm].weights == weights


def _away(replica: model.ReplicaRecord, reports: Reports) -> list[str]:
    return [
        vm
        for vm in replica.members
        if vm in reports and reports[vm].replica_epoch != replica.replica_epoch
    ]


def _loads(
    record: model.DomainRecord,
    reports: Reports,
    urgency: Urgency,
) -> collections.abc.Iterator[Load]:
    def order(replica: model.ReplicaRecord) -> tuple:
        missing = sum(
            reports[vm].replica_epoch != replica.replica_epoch
            or reports[vm].state is not model.VmState.READY
            for vm in replica.members
            if vm in reports
        )
        lack = urgency.get(replica.service, 0.0)
        return -lack, missing, replica.replica_id

    for replica in sorted(record.replicas, key=order):
        for vm in _away(replica, reports):
            yield Load(vm, replica, record.fence)


def _preloads(
    record: model.DomainRecord, reports: Reports, tracks: Tracks
) -> collections.abc.Iterator[Preload]:
    for replica in record.replicas:
        for vm in replica.spares:
            report = reports.get(vm)
            if (
                report is None
                or report.replica_epoch != model.NO_REPLICA_EPOCH
            ):
                continue
            done = report.state is model.VmState.PRELOADED
            if not done or not _holds(tracks, vm, replica.weights):
                yield Preload(
                    vm,
                    replica.model,
                    replica.version,
                    replica.adapters,
                    record.fence,
                )


def _drains(
    record: model.DomainRecord, reports: Reports
) -> collections.abc.Iterator[Drain]:
    for replica in record.replicas:
        report = reports.get(replica.leader)
        if replica.state is model.ReplicaState.ACTIVE or report is None:
            continue
        if report.replica_epoch != replica.replica_epoch:
            continue
        if report.state is not model.VmState.DRAINING:
            yield Drain(replica.leader, *replica.replica_epoch, record.fence)


def _releases(
    record: model.DomainRecord, reports: Reports
) -> collections.abc.Iterator[Release]:
    placed = {vm for r in record.replicas for vm in r.members}
    for vm, report in reports.items():
        if report.replica_id and vm not in placed:
            yield Release(vm, report.replica_id, report.epoch, record.fence)


def _is_loading(report: model.VmReport) -> bool:
    return report.state is model.VmState.LOADING


def _limited(
    fetches: collections.abc.Iterable[Load | Preload], room: int
) -> list[Load | Preload]:
    return list(fetches)[: max(0, room)]


def orders_for(
    record: model.DomainRecord,
    reports: Reports,
    tracks: Tracks | None = None,
    urgency: Urgency | None = None,
    max_loading: int = MAX_LOADING,
) -> tuple[Order, ...]:
    """Return the orders that the agreed record asks for.

    :param record: the agreed record.
    :param reports: latest report of each VM of the failure domain.
    :param tracks: what is remembered of each VM.
    :param urgency: how much each service lacks replicas, by weight.
    :param max_loading: VMs that fetch weights at a time.
    """
    tracks = tracks or {}
    loads = list(_loads(record, reports, urgency or {}))
    warm = [o for o in loads if _holds(tracks, o.vm, o.replica.weights)]
    cold = [o for o in loads if o not in warm]
    fetches = [*cold, *_preloads(record, reports, tracks)]
    room = max_loading - sum(_is_loading(r) for r in reports.values())
    return (
        *_releases(record, reports),
        *_drains(record, reports),
        *warm,
        *_limited(fetches, room),
    )

"""Orders that bring VMs in line with the agreed record."""

import collections.abc
import dataclasses

from wasabilanding import model


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


def _loads(
    record: model.DomainRecord,
    reports: collections.abc.Mapping[str, model.VmReport],
) -> collections.abc.Iterator[Load]:
    for replica in record.replicas:
        for vm in replica.members:
            report = reports.get(vm)
            if report is None:
                continue
            place = (report.replica_id, report.epoch)
            if place != (replica.replica_id, replica.epoch):
                yield Load(vm, replica, record.fence)


def _releases(
    record: model.DomainRecord,
    reports: collections.abc.Mapping[str, model.VmReport],
) -> collections.abc.Iterator[Release]:
    placed = {vm for r in record.replicas for vm in r.members}
    for vm, report in reports.items():
        if report.replica_id and vm not in placed:
            yield Release(vm, report.replica_id, report.epoch, record.fence)


def orders_for(
    record: model.DomainRecord,
    reports: collections.abc.Mapping[str, model.VmReport],
) -> tuple[Load | Release, ...]:
    """Return the orders that the agreed record asks for.

    :param record: the agreed record.
    :param reports: latest report of each VM of the failure domain.
    """
    return (*_loads(record, reports), *_releases(record, reports))
